/*
 * Chooses an upstream for each request, and keeps account of loads and retries.
 * dispatch_upstream.c records what is learnt of the upstreams.
 */
#include "godwitvale/entry/dispatch_state.h"

#include <string.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/core/place_share.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/ops/log.h"

/// Share of an upstream's connections that the instances divide among
/// themselves. The rest is a reserve for connections that are closing.
#define DISPATCH_CONNECTION_SHARE 0.85
/// After the evacuation of a zone ends, its upstreams count as cold for at
/// least this long.
#define DISPATCH_ZONE_RETURN_PERIOD (5 * USEC_PER_SEC)
/// Placement penalty of an upstream that is on trial after an ejection, or
/// whose entry is missing from the store.
#define DISPATCH_TRIAL_PENALTY 0.3
/// Placement penalty of an upstream that refused a connection of another
/// instance. It is high enough to place the upstream last.
#define DISPATCH_SUSPECT_PENALTY 2.0
/// Largest share of a service's upstreams that ejection may exclude. If more
/// are ejected, none is excluded.
#define DISPATCH_MAX_EJECTED_SHARE 0.8
/// An ejection by the fleet is expected to last for at least this long.
#define DISPATCH_FLEET_EJECTION_STEP (100 * USEC_PER_MSEC)
/// Placement penalty of a cold upstream.
#define DISPATCH_COLD_PENALTY 0.2

/// Where engines differ in speed, this many times more of them are compared, so
/// that a fast one is among them.
#define DISPATCH_UNEVEN_SAMPLE_FACTOR 3

/// Candidates of one placement.
struct candidate_list {
	struct place_candidate *candidates;
	const struct upstream_record **records;
	size_t n;
};

/// Ejected upstreams of a service, among those in service.
struct ejected_counts {
	size_t n_all;     /// upstreams in service
	size_t n_ejected; /// by this instance or by the fleet
	size_t n_held;    /// by the fleet
};

/// Creates a dispatch.
///
/// @param options  copied; the objects that it points to must outlive the
///                 dispatch
/// @return the dispatch; free with dispatch_free()
struct dispatch *
dispatch_new(const struct dispatch_options *options)
{
	struct dispatch *dispatch = g_new0(struct dispatch, 1);

	dispatch->options = *options;
	dispatch->health_by_upstream =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	dispatch->retry_shares =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	dispatch->event_intervals =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	dispatch->brittle =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	dispatch->demand = engine_demand_new();
	dispatch->rand = g_rand_new();
	return dispatch;
}

/// Frees the dispatch. The objects in its options are not freed.
///
/// @param dispatch  not NULL
void
dispatch_free(struct dispatch *dispatch)
{
	g_hash_table_unref(dispatch->health_by_upstream);
	g_hash_table_unref(dispatch->retry_shares);
	g_hash_table_unref(dispatch->event_intervals);
	g_hash_table_unref(dispatch->brittle);
	engine_demand_free(dispatch->demand);
	g_rand_free(dispatch->rand);
	g_free(dispatch);
}

/// Returns the health of an upstream; creates it if it doesn't exist.
static struct upstream_health *
get_health(struct dispatch *dispatch, uint64_t key)
{
	struct upstream_health *health =
	    g_hash_table_lookup(dispatch->health_by_upstream, &key);

	if (health != NULL)
		return health;
	health = g_new0(struct upstream_health, 1);
	g_hash_table_insert(
	    dispatch->health_by_upstream, g_memdup2(&key, sizeof(key)), health);
	return health;
}

/// Handles a change of an upstream in the directory.
///
/// @param dispatch  holds the health of the upstream
/// @param change    kind of change
/// @param record    directory record of the upstream
void
dispatch_on_upstream_change(struct dispatch *dispatch,
    enum directory_change change, const struct upstream_record *record)
{
	uint64_t key = record->key;

	if (change == DIRECTORY_REMOVED || change == DIRECTORY_RESTARTED) {
		g_hash_table_remove(dispatch->health_by_upstream, &key);
		rate_limits_forget(
		    dispatch->options.rate_limits, record->incarnation_key);
		pool_close_idle(dispatch->options.pool, record->entry.address);
	}
}

/// @return number of instances that divide a rate among themselves: the
///         recent peak, so that lost instances still count for a while
static unsigned
count_sharing_instances(const struct dispatch *dispatch)
{
	return membership_peak_size(dispatch->options.membership);
}

/// Checks whether an upstream is still cold and can't serve its usual load.
static bool
is_cold(const struct dispatch *dispatch, usec_t now,
    const struct upstream_record *record)
{
	usec_t returned_at =
	    view_zone_returned_at(dispatch->options.view, record->entry.zone);

	return now < record->cold_until ||
	    (returned_at != 0 &&
		now < returned_at + DISPATCH_ZONE_RETURN_PERIOD);
}

/// Sets this instance's share of the request rate of a cold upstream.
static void
configure_cold_share(struct dispatch *dispatch, usec_t now,
    struct upstream_health *health, const struct service *service)
{
	const struct entry_settings *settings = dispatch->options.settings;

	fleet_share_configure_cold(&health->cold_share, now, service->cold_rate,
	    settings->cold_overrun, settings->cold_slack,
	    count_sharing_instances(dispatch));
}

/// Checks whether this instance has opened all connections to an upstream that
/// it may open, and none of them is idle.
static bool
are_connections_used_up(const struct dispatch *dispatch,
    const struct service *service, const char *address)
{
	double max_connections;

	if (service->max_connections == 0 ||
	    pool_count_idle(dispatch->options.pool, address) > 0)
		return false;
	max_connections = DISPATCH_CONNECTION_SHARE * service->max_connections /
	    count_sharing_instances(dispatch);
	return pool_count_connections(dispatch->options.pool, address) >=
	    MAX(max_connections, 1);
}

/// Checks whether a request has been sent to an upstream before.
static bool
was_tried(const struct dispatch_request *request, uint64_t key)
{
	for (unsigned i = 0; i < request->n_tried; i++)
		if (request->tried[i] == key)
			return true;
	return false;
}

/// Returns the mean event interval of all engines of a service; creates it if
/// it doesn't exist.
///
/// @param dispatch  holds the intervals
/// @param service   name of the service
/// @return the interval, owned by the dispatch
struct event_interval *
dispatch_get_service_interval(struct dispatch *dispatch, const char *service)
{
	struct event_interval *interval =
	    g_hash_table_lookup(dispatch->event_intervals, service);

	if (interval != NULL)
		return interval;
	interval = g_new0(struct event_interval, 1);
	g_hash_table_insert(
	    dispatch->event_intervals, g_strdup(service), interval);
	return interval;
}

/// Returns the software version of an upstream.
///
/// @return 0 if it isn't known
static uint64_t
find_version(
    const struct dispatch *dispatch, const struct upstream_record *record)
{
	const struct dispatch_options *options = &dispatch->options;

	return options->is_version_doubtful(options->owner, record)
	    ? 0
	    : record->version_key;
}

/// Returns how many requests like this one an upstream runs at a time.
static unsigned
count_places(const struct dispatch_request *request,
    const struct service *service, const struct upstream_record *record)
{
	unsigned slots = MAX(record->entry.slots, 1);
	unsigned tokens = (unsigned)MAX(request->place.tokens, 1);

	if (!request->place.is_generation || service->engine.memory_tokens == 0)
		return slots;
	return CLAMP(service->engine.memory_tokens / tokens, 1, slots);
}

/// Checks whether an upstream of a brittle service has no room that this
/// instance may use.
static bool
lacks_place(const struct dispatch *dispatch,
    const struct dispatch_request *request, const struct service *service,
    const struct upstream_record *record)
{
	const struct dispatch_options *options = &dispatch->options;
	const struct place_share share = {
	    .upstream = record->key,
	    .capacity = count_places(request, service, record),
	    .n_instances = membership_size(options->membership),
	    .position = membership_position(options->membership),
	    .own_requests = (unsigned)MAX(
		loads_get_own(options->loads, record->key).requests, 0),
	    .all_requests = (unsigned)MAX(
		loads_get_total(options->loads, record->key).requests, 0),
	};

	return !place_share_allows(&share);
}

/// Returns until when an upstream gets no requests because they fail. The end
/// of an ejection by the fleet isn't known.
static usec_t
find_ejected_until(const struct dispatch *dispatch, usec_t now,
    const struct upstream_record *record, const struct upstream_health *health)
{
	const struct fleet_outcomes *outcomes = dispatch->options.outcomes;

	if (outcomes != NULL &&
	    fleet_outcomes_is_ejected(outcomes, record->incarnation_key))
		return MAX(health->outlier.ejected_until,
		    now + DISPATCH_FLEET_EJECTION_STEP);
	return health->outlier.ejected_until;
}

/// Returns until when an upstream has no room for a request, by its own word. A
/// generation that moves is offered to it all the same, as it may need less.
static usec_t
find_full_until(const struct dispatch_request *request,
    const struct upstream_health *health)
{
	bool lacks_place = !request->place.is_move &&
	    request->place.tokens >= health->no_place_tokens;

	return lacks_place ? MAX(health->full_until, health->no_place_until)
			   : health->full_until;
}

/// Collects what is known of an upstream that decides whether a request may be
/// sent to it. `service` may be NULL for the decision whether the upstream is
/// in service.
static struct eligibility_inputs
collect_inputs(struct dispatch *dispatch, usec_t now,
    const struct dispatch_request *request, const struct service *service,
    const struct upstream_record *record, struct upstream_health *health)
{
	const struct dispatch_options *options = &dispatch->options;
	uint64_t incarnation_key = record->incarnation_key;
	bool cold = service->cold_rate > 0 && is_cold(dispatch, now, record);
	struct rate_limit_permit permit = rate_limits_next_permit(
	    options->rate_limits, now, incarnation_key, options->membership);

	if (cold)
		configure_cold_share(dispatch, now, health, service);
	return (struct eligibility_inputs){
	    .is_draining = record->entry.state != UPSTREAM_READY,
	    .is_leaving =
		upstream_notices_is_leaving(options->notices, incarnation_key),
	    .is_relocated = health->misdirected,
	    .is_evacuated =
		view_is_zone_evacuated(options->view, record->entry.zone),
	    .has_other_version = request->needs_version &&
		(request->version_key == 0 ||
		    request->version_key != find_version(dispatch, record)),
	    .was_tried = was_tried(request, record->key),
	    .ejected_until = find_ejected_until(dispatch, now, record, health),
	    .paused_until = upstream_notices_paused_until(
		options->notices, incarnation_key),
	    .full_until = find_full_until(request, health),
	    .limit_permit_at = permit.at,
	    .limit_has_turns = permit.is_turn,
	    .lacks_cold_permit =
		cold && !fleet_share_has_permit(&health->cold_share, now),
	    .lacks_connections = are_connections_used_up(
		dispatch, service, record->entry.address),
	    .lacks_place = dispatch_is_brittle(dispatch, now, service->name) &&
		lacks_place(dispatch, request, service, record),
	};
}

/// Fills in one candidate: its load, penalties, and whether it is excluded.
static void
fill_candidate(struct dispatch *dispatch, usec_t now,
    const struct dispatch_request *request, const struct service *service,
    const struct upstream_record *record, struct upstream_health *health,
    const struct eligibility_inputs *inputs, struct place_candidate *candidate)
{
	const char *zone = request->zone == NULL
	    ? dispatch->options.settings->zone
	    : request->zone;
	bool cold = service->cold_rate > 0 && is_cold(dispatch, now, record);

	*candidate = (struct place_candidate){
	    .load = loads_get_total(dispatch->options.loads, record->key),
	    .slots = (int32_t)record->entry.slots,
	    .memory_tokens = (int32_t)service->engine.memory_tokens,
	    .same_zone = strcmp(record->entry.zone, zone) == 0,
	};
	if (cold)
		candidate->penalty += DISPATCH_COLD_PENALTY;
	if (outlier_is_on_trial(&health->outlier, now))
		candidate->penalty += DISPATCH_TRIAL_PENALTY;
	if (record->missing_deadline != 0)
		candidate->penalty += DISPATCH_TRIAL_PENALTY;
	if (request->place.avoids_pauses)
		candidate->pause_risk = engine_pace_pause_risk(
		    dispatch->options.pace, now, hash_name(service->name),
		    record->incarnation_key, request->target_gap);
	candidate->penalty += event_interval_penalty(&health->event_interval,
	    dispatch_get_service_interval(dispatch, service->name));
	if (now < health->suspect_until)
		candidate->penalty += DISPATCH_SUSPECT_PENALTY;
	candidate->excluded =
	    eligibility_check(inputs, now).reason != ELIGIBLE ||
	    (request->needs_round && !dispatch_in_round(dispatch, now, record));
}

/// Checks whether the fleet has ejected an upstream.
static bool
is_held(const struct dispatch *dispatch, const struct upstream_record *record)
{
	return dispatch->options.outcomes != NULL &&
	    fleet_outcomes_is_ejected(
		dispatch->options.outcomes, record->incarnation_key);
}

/// Checks whether an ejected upstream is excluded from placement. If too many
/// are ejected, none is excluded, so that ejection never empties a service.
/// But a request that must not run twice isn't sent to one that the fleet has
/// ejected while it hasn't ejected all of them.
static bool
is_ejected_excluded(const struct dispatch *dispatch,
    const struct dispatch_request *request,
    const struct upstream_record *record, const struct ejected_counts *counts)
{
	if (!request->may_repeat && counts->n_held < counts->n_all &&
	    is_held(dispatch, record))
		return true;
	return (double)counts->n_ejected <=
	    DISPATCH_MAX_EJECTED_SHARE * (double)counts->n_all;
}

/// Checks whether a request may be the trial of an upstream that the fleet has
/// ejected. It must be one that may be sent again, and that hasn't failed yet.
static bool
may_be_trial(struct dispatch *dispatch, usec_t now,
    const struct dispatch_request *request,
    const struct upstream_record *record)
{
	const struct dispatch_options *options = &dispatch->options;

	return request->may_repeat && request->n_tried == 0 &&
	    is_held(dispatch, record) &&
	    fleet_outcomes_may_try(options->outcomes, now,
		record->incarnation_key, options->membership);
}

/// Lists the upstreams of a service that are in service.
///
/// @param records  of the service; NULL: there are none
/// @param inputs   filled in, for each element of `list`
/// @param list     its records are filled in
/// @return number of them that are ejected
static struct ejected_counts
gather_in_service(struct dispatch *dispatch, usec_t now,
    const struct dispatch_request *request, const struct service *service,
    const GPtrArray *records, struct eligibility_inputs *inputs,
    struct candidate_list *list)
{
	struct ejected_counts counts = {0};

	for (guint i = 0; records != NULL && i < records->len; i++) {
		const struct upstream_record *record = records->pdata[i];

		inputs[counts.n_all] = collect_inputs(dispatch, now, request,
		    service, record, get_health(dispatch, record->key));
		if (!eligibility_is_in_service(&inputs[counts.n_all]))
			continue;
		counts.n_ejected += inputs[counts.n_all].ejected_until > now;
		counts.n_held += is_held(dispatch, record);
		list->records[counts.n_all++] = record;
	}
	return counts;
}

/// Lists the upstreams that are candidates for a request. If the request may be
/// the trial of one, that one is the only candidate.
static void
gather_candidates(struct dispatch *dispatch, usec_t now,
    const struct dispatch_request *request, const struct service *service,
    struct candidate_list *list)
{
	const GPtrArray *records = directory_get_service_records(
	    view_directory(dispatch->options.view), request->service);
	guint n_records = records == NULL ? 0 : records->len;
	struct eligibility_inputs *inputs =
	    g_new(struct eligibility_inputs, n_records + 1);
	struct ejected_counts counts;

	list->n = 0;
	list->candidates = g_new(struct place_candidate, n_records + 1);
	list->records = g_new(const struct upstream_record *, n_records + 1);
	counts = gather_in_service(
	    dispatch, now, request, service, records, inputs, list);
	for (size_t i = 0; i < counts.n_all; i++) {
		const struct upstream_record *record = list->records[i];
		struct place_candidate *candidate = &list->candidates[list->n];
		bool is_ejected = inputs[i].ejected_until > now;
		bool is_trial =
		    is_ejected && may_be_trial(dispatch, now, request, record);

		if (is_ejected && !is_trial &&
		    is_ejected_excluded(dispatch, request, record, &counts))
			continue;
		inputs[i].ejected_until = 0;
		fill_candidate(dispatch, now, request, service, record,
		    get_health(dispatch, record->key), &inputs[i], candidate);
		if (is_trial && !candidate->excluded &&
		    candidate->load.requests < candidate->slots) {
			list->candidates[0] = *candidate;
			list->records[0] = record;
			list->n = 1;
			break;
		}
		list->records[list->n++] = record;
	}
	g_free(inputs);
}

/// Returns a random number from 0 to 1.
///
/// @param context  the GRand to use
static double
draw_random(void *context)
{
	return g_rand_double(context);
}

/// Checks whether the request hasn't been sent to some candidate yet. Such a
/// candidate is only excluded for a while, so it is worth waiting for it.
static bool
is_waiting_useful(
    const struct dispatch_request *request, const struct candidate_list *list)
{
	for (size_t i = 0; i < list->n; i++)
		if (!was_tried(request, list->records[i]->key))
			return true;
	return false;
}

/// Takes a permit for a request to an upstream that may have named a limit.
static void
take_limit_permit(
    struct dispatch *dispatch, usec_t now, uint64_t incarnation_key)
{
	const struct dispatch_options *options = &dispatch->options;
	struct rate_limit_turn turn;

	if (rate_limits_take_permit(
		options->rate_limits, now, incarnation_key, &turn))
		options->turn_taken(options->owner, &turn);
}

/// Notes a request to an upstream that the fleet has ejected as its trial, and
/// has the other instances told.
static void
begin_trial(struct dispatch *dispatch, usec_t now,
    const struct dispatch_request *request,
    const struct upstream_record *record)
{
	const struct dispatch_options *options = &dispatch->options;

	if (!may_be_trial(dispatch, now, request, record))
		return;
	fleet_outcomes_begin_trial(
	    options->outcomes, now, record->incarnation_key);
	log_event(LOG_LEVEL_INFO, "upstream-fleet-trial", "upstream=%s",
	    record->entry.id);
	options->trial_begun(options->owner);
}

/// Finds the service of a request.
///
/// @return NULL: there is none
static const struct service *
find_service(
    const struct dispatch *dispatch, const struct dispatch_request *request)
{
	const struct service *service = deployment_find_service(
	    view_deployment(dispatch->options.view), request->service);

	if (service != NULL || request->deployment == NULL)
		return service;
	return deployment_find_service(request->deployment, request->service);
}

/// Chooses an upstream for a request. For a cold upstream, takes one of this
/// instance's permits.
///
/// @param dispatch  provides the candidates
/// @param request   the request to be placed
/// @param target    filled in on PLACE_FOUND; free with
///                  dispatch_target_clear()
/// @return PLACE_FOUND; PLACE_FULL if it is worth waiting for an upstream;
///         PLACE_NO_CANDIDATE otherwise
enum place_outcome
dispatch_place(struct dispatch *dispatch,
    const struct dispatch_request *request, struct dispatch_target *target)
{
	const struct service *service = find_service(dispatch, request);
	usec_t now = g_get_monotonic_time();
	struct dispatch_request wanted = *request;
	struct place_request *place = &wanted.place;
	struct candidate_list list;
	enum place_outcome outcome;
	size_t picked = 0;

	if (service == NULL)
		return PLACE_NO_CANDIDATE;
	place->avoids_pauses = request->target_gap > 0 &&
	    engine_pace_is_uneven(
		dispatch->options.pace, now, hash_name(service->name));
	if (place->is_generation && service->engine.memory_tokens > 0 &&
	    service->engine.reservation_ttl > 0)
		dispatch_set_engine_limits(dispatch, now, service, &wanted);
	gather_candidates(dispatch, now, &wanted, service, &list);
	place->sample_size = place_sample_size(
	    list.n, membership_size(dispatch->options.membership));
	if (place->avoids_pauses)
		place->sample_size *= DISPATCH_UNEVEN_SAMPLE_FACTOR;
	outcome = place_pick_candidate(place, list.candidates, list.n,
	    draw_random, dispatch->rand, &picked);
	target->scarcity = wanted.scarcity;
	if (outcome == PLACE_NO_CANDIDATE && is_waiting_useful(request, &list))
		outcome = PLACE_FULL;
	if (outcome == PLACE_FOUND) {
		const struct upstream_record *record = list.records[picked];
		struct upstream_health *health =
		    get_health(dispatch, record->key);

		if (service->cold_rate > 0 && is_cold(dispatch, now, record))
			fleet_share_take_permit(&health->cold_share, now);
		target->incarnation_key = record->incarnation_key;
		take_limit_permit(dispatch, now, record->incarnation_key);
		begin_trial(dispatch, now, request, record);
		target->id = g_strdup(record->entry.id);
		target->address = g_strdup(record->entry.address);
		target->zone = g_strdup(record->entry.zone);
		target->key = record->key;
		target->pause_risk = list.candidates[picked].pause_risk;
		target->is_cold = is_cold(dispatch, now, record);
		target->unread_tokens =
		    list.candidates[picked].load.prompt_tokens;
		target->utilisation =
		    place_utilisation(place, &list.candidates[picked]);
		target->version_key = find_version(dispatch, record);
	}
	g_free(list.candidates);
	g_free(list.records);
	return outcome;
}

/// Finds the upstream that may get a request first.
///
/// @param dispatch  provides the candidates
/// @param request   a request for which there is no upstream now
/// @return why that upstream may not get it now, and until when; ELIGIBLE if an
///         upstream may get it, but has no capacity
struct eligibility
dispatch_find_earliest(
    struct dispatch *dispatch, const struct dispatch_request *request)
{
	const struct service *service = find_service(dispatch, request);
	const GPtrArray *records = directory_get_service_records(
	    view_directory(dispatch->options.view), request->service);
	struct eligibility earliest = {INELIGIBLE_DRAINING, USEC_NEVER};
	usec_t now = g_get_monotonic_time();

	for (guint i = 0;
	     service != NULL && records != NULL && i < records->len; i++) {
		const struct upstream_record *record = records->pdata[i];
		const struct eligibility_inputs inputs =
		    collect_inputs(dispatch, now, request, service, record,
			get_health(dispatch, record->key));
		struct eligibility found = eligibility_check(&inputs, now);

		if (eligibility_is_in_service(&inputs) && !inputs.was_tried &&
		    found.until <= earliest.until)
			earliest = found;
	}
	return earliest;
}

/// Frees the strings of a target and resets it.
///
/// @param target  may be empty
void
dispatch_target_clear(struct dispatch_target *target)
{
	g_clear_pointer(&target->id, g_free);
	g_clear_pointer(&target->address, g_free);
	g_clear_pointer(&target->zone, g_free);
	target->key = 0;
	target->incarnation_key = 0;
	target->version_key = 0;
}

/// Returns the token bucket of this instance's permits for retries to a
/// service, with the rate and capacity for the current number of instances that
/// share the limit. Creates the bucket if it doesn't exist.
static struct fleet_share *
get_retry_share(struct dispatch *dispatch, const char *service)
{
	const struct entry_settings *settings = dispatch->options.settings;
	struct fleet_share *share =
	    g_hash_table_lookup(dispatch->retry_shares, service);

	if (share == NULL) {
		share = g_new0(struct fleet_share, 1);
		g_hash_table_insert(
		    dispatch->retry_shares, g_strdup(service), share);
	}
	fleet_share_configure_retries(share, g_get_monotonic_time(),
	    settings->retry_slack, settings->retry_window,
	    count_sharing_instances(dispatch));
	return share;
}

/// Fraction of the retry permits earned by a first request that is granted. The
/// limit on retries, a ratio to first requests, holds for every window of time.
/// A window may begin between first requests and the retries that their permits
/// allow; then it includes the retries, but not all of the first requests. The
/// fraction is below 1, so that the retries in such a window don't exceed the
/// limit.
#define DISPATCH_RETRY_CREDIT_SHARE 0.7

/// Records the first arrival of a request, which adds to the retry permits of
/// its service.
///
/// @param dispatch  holds the retry permits
/// @param service   name of the service
void
dispatch_record_first_request(struct dispatch *dispatch, const char *service)
{
	fleet_share_add_permits(get_retry_share(dispatch, service),
	    DISPATCH_RETRY_CREDIT_SHARE *
		dispatch->options.settings->retry_ratio);
}

/// @param dispatch  holds the retry permits
/// @param service   name of the service
/// @return whether dispatch_take_retry_permit() would take a permit now
bool
dispatch_has_retry_permit(struct dispatch *dispatch, const char *service)
{
	return fleet_share_has_permit(
	    get_retry_share(dispatch, service), g_get_monotonic_time());
}

/// Takes a permit to send a request to a service again.
///
/// @param dispatch  holds the retry permits
/// @param service   name of the service
/// @return false if this instance's share of the retries is used up
bool
dispatch_take_retry_permit(struct dispatch *dispatch, const char *service)
{
	return fleet_share_take_permit(
	    get_retry_share(dispatch, service), g_get_monotonic_time());
}

/// Adds load to an upstream, or removes it.
///
/// @param dispatch  provides the loads
/// @param target    the upstream
/// @param load      the load to be added or removed
/// @param sign      1 to add, -1 to remove
void
dispatch_adjust_load(struct dispatch *dispatch,
    const struct dispatch_target *target, const struct load *load, int sign)
{
	const struct load delta = {sign * load->requests, sign * load->tokens,
	    sign * load->prompt_tokens};

	loads_add_own(dispatch->options.loads, target->key, &delta);
}

/// @param outcome  outcome of a placement
/// @return its name as written to the log
const char *
dispatch_outcome_name(enum place_outcome outcome)
{
	static const char *const names[] = {
	    [PLACE_FOUND] = "found",
	    [PLACE_FULL] = "full",
	    [PLACE_NO_CANDIDATE] = "none",
	};

	return names[outcome];
}
