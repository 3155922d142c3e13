/*
 * What is learnt of upstreams from their answers: results, ejections, limits,
 * pauses, departures and addresses that are out of date.
 */
#include <string.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/entry/dispatch_state.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/ops/log.h"

/// An upstream that reports that it is full gets no requests for this long:
/// other instances get the same report, and its queue must drain first.
#define DISPATCH_FULL_BACKOFF (100 * USEC_PER_MSEC)
/// The same for an upstream that falls over when it must turn away more than a
/// few requests in a second.
#define DISPATCH_FULL_BACKOFF_BRITTLE (1 * USEC_PER_SEC)
/// How long an upstream counts as unreachable after it refused a connection.
/// Other instances are told, and use the same period.
#define DISPATCH_SUSPECT_PERIOD (3 * USEC_PER_SEC)

/// Maximum number of ejections and their ends that are handled in one tick.
#define DISPATCH_CHANGES_MAX 16

/// Records a result for the evidence of all instances, if the upstream is one
/// of a plain service.
static void
record_outcome(struct dispatch *dispatch, const struct dispatch_target *target,
    const struct dispatch_result *result)
{
	const struct dispatch_options *options = &dispatch->options;
	const struct upstream_record *record =
	    directory_find(view_directory(options->view), target->id);
	const struct service *service = record == NULL
	    ? NULL
	    : deployment_find_service(
		  view_deployment(options->view), record->entry.service);
	struct fleet_outcome_sample sample = {
	    .upstream = target->incarnation_key,
	    .fingerprint = result->fingerprint,
	    .result = result->result,
	};

	if (options->outcomes == NULL || service == NULL || service->has_engine)
		return;
	sample.service = hash_name(service->name);
	fleet_outcomes_record(
	    options->outcomes, g_get_monotonic_time(), &sample);
}

/// Logs and counts an ejection by the evidence of all instances, or its end.
static void
log_outcome_change(
    const struct fleet_outcome_change *change, const char *upstream)
{
	static const char *const names[] = {
	    [FLEET_OUTCOME_EJECTED] = "upstream-fleet-ejected",
	    [FLEET_OUTCOME_RETURNED] = "upstream-fleet-returned",
	    [FLEET_OUTCOME_EXPIRED] = "upstream-fleet-expired",
	};
	const struct fleet_outcome_evidence *evidence = &change->evidence;

	series_add(&entry_metric_fleet_ejections, upstream,
	    names[change->event] + strlen("upstream-fleet-"), 1);
	log_event(LOG_LEVEL_WARN, names[change->event],
	    "upstream=%s served=%u errors=%u broken=%u unreachable=%u "
	    "instances=%u after_ms=%" G_GINT64_FORMAT,
	    upstream, evidence->n_served, evidence->n_errors,
	    evidence->n_broken, evidence->n_unreachable, evidence->n_instances,
	    change->span / USEC_PER_MSEC);
}

/// Handles an ejection by the evidence of all instances, or its end. After a
/// trial was served, this instance's own evidence is out of date, too.
static void
handle_outcome_change(
    struct dispatch *dispatch, const struct fleet_outcome_change *change)
{
	const struct upstream_record *record =
	    dispatch_find_incarnation(dispatch, change->upstream);
	struct upstream_health *health;

	log_outcome_change(change, record == NULL ? "-" : record->entry.id);
	if (record == NULL || change->event != FLEET_OUTCOME_RETURNED)
		return;
	health =
	    g_hash_table_lookup(dispatch->health_by_upstream, &record->key);
	if (health != NULL)
		health->outlier = (struct outlier){0};
}

/// Decides on ejections by the evidence of all instances. Called often.
///
/// @param dispatch  knows the results
/// @param now       current time
void
dispatch_tick(struct dispatch *dispatch, usec_t now)
{
	struct fleet_outcome_change changes[DISPATCH_CHANGES_MAX];
	size_t n;

	if (dispatch->options.outcomes == NULL)
		return;
	n = fleet_outcomes_tick(
	    dispatch->options.outcomes, now, changes, DISPATCH_CHANGES_MAX);
	for (size_t i = 0; i < n; i++)
		handle_outcome_change(dispatch, &changes[i]);
}

/// Records the result of a request to an upstream, and ejects the upstream if
/// too many requests to it have failed.
///
/// @param dispatch  holds the health of the upstream
/// @param target    the upstream
/// @param recorded  result of the request
void
dispatch_record_result(struct dispatch *dispatch,
    const struct dispatch_target *target,
    const struct dispatch_result *recorded)
{
	struct upstream_health *health =
	    g_hash_table_lookup(dispatch->health_by_upstream, &target->key);
	enum outlier_result result = recorded->result;

	record_outcome(dispatch, target, recorded);
	if (health == NULL)
		return;
	if (result == OUTLIER_UNREACHABLE)
		health->unreachable_until =
		    g_get_monotonic_time() + DISPATCH_SUSPECT_PERIOD;
	if (!outlier_record_result(
		&health->outlier, g_get_monotonic_time(), result))
		return;
	series_add(&entry_metric_ejections, target->id, NULL, 1);
	log_event(LOG_LEVEL_WARN, "upstream-ejected",
	    "upstream=%s ejections=%u for_ms=%" G_GINT64_FORMAT, target->id,
	    health->outlier.ejections,
	    (health->outlier.ejected_until - g_get_monotonic_time()) /
		USEC_PER_MSEC);
}

/// Notes that the upstreams of a service say that they are brittle.
///
/// @param dispatch  holds the state of the service
/// @param service   hash of the service's name
/// @param left      time for which this holds
/// @return whether the service wasn't brittle before
bool
dispatch_set_brittle(struct dispatch *dispatch, uint64_t service, usec_t left)
{
	usec_t now = g_get_monotonic_time();
	const usec_t *known = g_hash_table_lookup(dispatch->brittle, &service);
	usec_t until = now + MIN(left, DISPATCH_BRITTLE_SPAN);
	bool is_news = known == NULL || *known <= now;

	if (known != NULL && *known >= until)
		return false;
	g_hash_table_replace(dispatch->brittle,
	    g_memdup2(&service, sizeof(service)),
	    g_memdup2(&until, sizeof(until)));
	return is_news;
}

/// @param dispatch  holds the state of the service
/// @param now       current time
/// @param service   name of a service
/// @return whether its upstreams have lately said that they are brittle
bool
dispatch_is_brittle(
    const struct dispatch *dispatch, usec_t now, const char *service)
{
	uint64_t hash;
	const usec_t *until;

	if (g_hash_table_size(dispatch->brittle) == 0)
		return false;
	hash = hash_name(service);
	until = g_hash_table_lookup(dispatch->brittle, &hash);
	return until != NULL && now < *until;
}

/// Lists the services that are brittle.
///
/// @param dispatch  holds the state of the services
/// @param brittle   filled in
/// @param max       number of elements in `brittle`
/// @return number of elements filled in
size_t
dispatch_list_brittle(
    const struct dispatch *dispatch, struct peers_brittle *brittle, size_t max)
{
	usec_t now = g_get_monotonic_time();
	GHashTableIter iter;
	void *service;
	void *until;
	size_t n = 0;

	g_hash_table_iter_init(&iter, dispatch->brittle);
	while (n < max && g_hash_table_iter_next(&iter, &service, &until)) {
		usec_t left = *(const usec_t *)until - now;

		if (left > 0)
			brittle[n++] = (struct peers_brittle){
			    *(const uint64_t *)service, left};
	}
	return n;
}

/// Records that an upstream is full. It gets no requests for a while.
///
/// @param dispatch  holds the health of the upstream
/// @param target    the upstream
/// @param service   name of its service
void
dispatch_set_full(struct dispatch *dispatch,
    const struct dispatch_target *target, const char *service)
{
	struct upstream_health *health =
	    g_hash_table_lookup(dispatch->health_by_upstream, &target->key);
	usec_t now = g_get_monotonic_time();

	if (health != NULL)
		health->full_until = now +
		    (dispatch_is_brittle(dispatch, now, service)
			    ? DISPATCH_FULL_BACKOFF_BRITTLE
			    : DISPATCH_FULL_BACKOFF);
}

/// @param dispatch  knows the upstreams
/// @param id        id of an upstream
/// @return hash of the upstream's id and incarnation; 0 if it isn't in the
///         directory
uint64_t
dispatch_incarnation_key(const struct dispatch *dispatch, const char *id)
{
	const struct upstream_record *record =
	    directory_find(view_directory(dispatch->options.view), id);

	return record == NULL ? 0 : record->incarnation_key;
}

/// Finds an upstream by the hash of its id and incarnation.
///
/// @param dispatch         knows the upstreams
/// @param incarnation_key  the hash
/// @return the upstream, or NULL if it isn't in the directory
const struct upstream_record *
dispatch_find_incarnation(
    const struct dispatch *dispatch, uint64_t incarnation_key)
{
	GPtrArray *records =
	    directory_list_records(view_directory(dispatch->options.view));
	const struct upstream_record *found = NULL;

	for (guint i = 0; i < records->len && found == NULL; i++) {
		const struct upstream_record *record = records->pdata[i];

		if (record->incarnation_key == incarnation_key)
			found = record;
	}
	g_ptr_array_unref(records);
	return found;
}

/// Logs that an upstream has named a limit, or that it has none any more.
///
/// @param dispatch   knows the upstreams' ids
/// @param change     how the statement changes what was known
/// @param statement  what the upstream has said
/// @param source     who heard it, in one word
void
dispatch_log_limit_change(struct dispatch *dispatch,
    enum rate_limit_change change, const struct rate_limit_statement *statement,
    const char *source)
{
	const char *name = change == RATE_LIMIT_LIFTED ? "upstream-limit-lifted"
						       : "upstream-limit-named";
	const struct upstream_record *record =
	    dispatch_find_incarnation(dispatch, statement->upstream);

	series_add(&entry_metric_upstream_changes, name, NULL, 1);
	log_event(LOG_LEVEL_INFO, name,
	    "upstream=%s limit=%.2f source=%s age_ms=%" G_GINT64_FORMAT,
	    record == NULL ? "-" : record->entry.id, statement->rate, source,
	    (g_get_monotonic_time() - statement->at) / USEC_PER_MSEC);
}

/// Records the limit that an upstream has named in an answer.
///
/// @param dispatch  knows the limits
/// @param target    the upstream
/// @param rate      requests a second from all instances; negative: none
/// @return whether the other instances must learn of it at once
enum rate_limit_change
dispatch_set_limit(struct dispatch *dispatch,
    const struct dispatch_target *target, double rate)
{
	const struct rate_limit_statement statement = {
	    .upstream = target->incarnation_key,
	    .rate = rate,
	    .at = g_get_monotonic_time(),
	};
	enum rate_limit_change change =
	    rate_limits_hear(dispatch->options.rate_limits, &statement);

	if (change != RATE_LIMIT_SAME)
		dispatch_log_limit_change(
		    dispatch, change, &statement, "answer");
	return change;
}

/// Records that an upstream wants nothing from this instance for a while.
///
/// @param dispatch  knows what upstreams have said
/// @param target    the upstream
/// @param span      length of the pause
void
dispatch_set_pause(struct dispatch *dispatch,
    const struct dispatch_target *target, usec_t span)
{
	upstream_notices_set_pause(dispatch->options.notices,
	    g_get_monotonic_time(), target->incarnation_key, span);
}

/// Records that another upstream has an upstream's address now. The upstream
/// gets no more requests, and the connections to its address are dropped.
///
/// @param dispatch  holds the health of the upstream
/// @param target    the upstream whose address is wrong
void
dispatch_set_misdirected(
    struct dispatch *dispatch, const struct dispatch_target *target)
{
	struct upstream_health *health =
	    g_hash_table_lookup(dispatch->health_by_upstream, &target->key);

	log_event(LOG_LEVEL_WARN, "upstream-misdirected",
	    "upstream=%s address=%s outcome=not-used", target->id,
	    target->address);
	if (health != NULL)
		health->misdirected = true;
	pool_close_idle(dispatch->options.pool, target->address);
}

/// Decides whether a request may be sent to an upstream now, as far as the
/// upstream is concerned. Requests are sent after send_check() only, which asks
/// this.
///
/// @param dispatch  knows the upstreams
/// @param target    the upstream, as it was when it was chosen
/// @param path      how the request comes to be sent
/// @return ELIGIBLE, or why not and until when
struct eligibility
dispatch_check_send(const struct dispatch *dispatch,
    const struct dispatch_target *target, enum send_path path)
{
	const struct dispatch_options *options = &dispatch->options;
	uint64_t process = target->incarnation_key;
	const struct upstream_record *record =
	    directory_find(view_directory(options->view), target->id);
	const struct upstream_health *health =
	    g_hash_table_lookup(dispatch->health_by_upstream, &target->key);
	struct send_inputs inputs = {
	    .is_leaving =
		upstream_notices_is_leaving(options->notices, process),
	    .leaving_since =
		upstream_notices_leaving_since(options->notices, process),
	    .is_relocated = health != NULL && health->misdirected,
	    .paused_until =
		upstream_notices_paused_until(options->notices, process),
	};

	if (record != NULL) {
		inputs.is_known = true;
		inputs.is_same_process = record->incarnation_key == process;
		inputs.is_draining = record->entry.state != UPSTREAM_READY;
		inputs.draining_since = record->draining_since;
		inputs.is_evacuated =
		    view_is_zone_evacuated(options->view, record->entry.zone);
	}
	return eligibility_check_send(&inputs, path, g_get_monotonic_time());
}

/// @param dispatch  knows what upstreams have said
/// @param target    the upstream
/// @return whether the upstream has itself said that it leaves
bool
dispatch_is_leaving(
    const struct dispatch *dispatch, const struct dispatch_target *target)
{
	return upstream_notices_is_leaving(
	    dispatch->options.notices, target->incarnation_key);
}

/// Lists the upstreams that refused a connection of this instance within
/// DISPATCH_SUSPECT_PERIOD.
///
/// @param dispatch   holds the health of the upstreams
/// @param upstreams  filled in with hashes of ids
/// @param max        number of elements in `upstreams`
/// @return number of elements filled in
size_t
dispatch_list_unreachable(
    struct dispatch *dispatch, uint64_t *upstreams, size_t max)
{
	usec_t now = g_get_monotonic_time();
	size_t n = 0;
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, dispatch->health_by_upstream);
	while (n < max && g_hash_table_iter_next(&iter, &key, &value))
		if (now <
		    ((const struct upstream_health *)value)->unreachable_until)
			upstreams[n++] = *(const uint64_t *)key;
	return n;
}

/// Records that an upstream refused a connection of another instance.
///
/// @param dispatch  holds the health of the upstream
/// @param upstream  hash of the upstream's id
void
dispatch_set_suspect(struct dispatch *dispatch, uint64_t upstream)
{
	struct upstream_health *health =
	    g_hash_table_lookup(dispatch->health_by_upstream, &upstream);

	if (health != NULL)
		health->suspect_until =
		    g_get_monotonic_time() + DISPATCH_SUSPECT_PERIOD;
}

/// Records the interval between two events of a generation.
///
/// @param dispatch  holds the mean intervals of the engine and its service
/// @param service   name of the engine's service
/// @param target    the engine
/// @param previous  interval before that, in microseconds; 0: there is none
/// @param interval  time between the two events, in microseconds
void
dispatch_record_event_interval(struct dispatch *dispatch, const char *service,
    const struct dispatch_target *target, usec_t previous, usec_t interval)
{
	const struct dispatch_options *options = &dispatch->options;
	struct upstream_health *health =
	    g_hash_table_lookup(dispatch->health_by_upstream, &target->key);

	if (health != NULL)
		event_interval_add(&health->event_interval, interval);
	event_interval_add(
	    dispatch_get_service_interval(dispatch, service), interval);
	if (engine_pace_add_interval(options->pace, g_get_monotonic_time(),
		hash_name(service), target->incarnation_key, previous,
		interval)) {
		log_event(LOG_LEVEL_INFO, "engine-measured",
		    "upstream=%s base_us=%.0f", target->id,
		    engine_pace_base_interval(
			options->pace, target->incarnation_key));
		options->pace_learnt(options->owner);
	}
}
