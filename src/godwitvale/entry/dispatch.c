/* Upstreams as this instance uses them. */
#include "godwitvale/entry/dispatch.h"

#include <string.h>

#include "godwitvale/core/fleet_share.h"
#include "godwitvale/core/hash.h"
#include "godwitvale/core/event_interval.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/ops/log.h"

/// An upstream that says it is full gets nothing for this long: other
/// instances see the same, and its queue must drain first.
#define DISPATCH_FULL_SPAN (100 * USEC_PER_MSEC)
/// Part of an upstream's connections that the instances share out; the rest
/// allows for connections that are closing.
#define DISPATCH_CONNECTION_SHARE 0.85
/// Upstreams of a zone that was taken back count as cold for this long
/// unless they say otherwise.
#define DISPATCH_RETURN_SPAN (5 * USEC_PER_SEC)
/// Penalty in placement of an upstream that is back from an ejection.
#define DISPATCH_TRIAL_PENALTY 0.3
/// Penalty in placement of an upstream that has refused a connection of
/// another instance: it comes last.
#define DISPATCH_SUSPECT_PENALTY 2.0
/// What one refused connection tells others lasts this long.
#define DISPATCH_SUSPECT_SPAN (3 * USEC_PER_SEC)
/// Share of a service's upstreams that ejection leaves out at most.
#define DISPATCH_EJECTED_SHARE 0.8
/// Penalty in placement of an upstream that is cold.
#define DISPATCH_COLD_PENALTY 0.2

struct dispatch {
	struct dispatch_options options;
	GHashTable *states;  /// hash of an id -> struct state *
	GHashTable *repeats; /// service -> struct fleet_share *
	GHashTable *paces;   /// service -> struct event_interval *
	GRand *rand;
};

/// What this instance has learnt of an upstream.
struct state {
	struct outlier outlier;
	struct event_interval pace;
	struct fleet_share cold;
	usec_t full_until;
	usec_t gone_until;    /// it has refused a connection of this instance
	usec_t suspect_until; /// it has refused one of another instance
	bool misdirected;     /// its address belongs to another one
	bool leaving;         /// it has said so itself, before the store did
};

/// Candidates of one placement.
struct gathered {
	struct place_candidate *candidates;
	const struct upstream_record **records;
	size_t n;
};

/// Makes the dispatch.
///
/// @param options  copied
/// @return the dispatch; free with dispatch_free()
struct dispatch *
dispatch_new(const struct dispatch_options *options)
{
	struct dispatch *dispatch = g_new0(struct dispatch, 1);

	dispatch->options = *options;
	dispatch->states =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	dispatch->repeats =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	dispatch->paces =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	dispatch->rand = g_rand_new();
	return dispatch;
}

/// Frees the dispatch.
///
/// @param dispatch  the dispatch
void
dispatch_free(struct dispatch *dispatch)
{
	g_hash_table_unref(dispatch->states);
	g_hash_table_unref(dispatch->repeats);
	g_hash_table_unref(dispatch->paces);
	g_rand_free(dispatch->rand);
	g_free(dispatch);
}

/// Finds what is known of an upstream, making it.
static struct state *
state_of(struct dispatch *dispatch, uint64_t key)
{
	struct state *state = g_hash_table_lookup(dispatch->states, &key);

	if (state != NULL)
		return state;
	state = g_new0(struct state, 1);
	g_hash_table_insert(
	    dispatch->states, g_memdup2(&key, sizeof(key)), state);
	return state;
}

/// Takes a change of the directory.
///
/// @param dispatch  the dispatch
/// @param change    what changed
/// @param record    of the upstream
void
dispatch_on_upstream(struct dispatch *dispatch, enum directory_change change,
    const struct upstream_record *record)
{
	uint64_t key = hash_name(record->entry.id);
	struct state *state = g_hash_table_lookup(dispatch->states, &key);

	/* It said itself that it leaves, and has thought better of it. */
	if (change == DIRECTORY_READY && state != NULL)
		state->leaving = false;
	if (change == DIRECTORY_REMOVED || change == DIRECTORY_RESTARTED) {
		g_hash_table_remove(dispatch->states, &key);
		pool_close_idle(dispatch->options.pool, record->entry.address);
	}
}

/// @return instances that share a rate, counted with care: those seen
///         lately, not only those alive now
static unsigned
sharers(const struct dispatch *dispatch)
{
	return membership_peak(dispatch->options.membership);
}

/// Whether an upstream can't bear its usual load yet.
static bool
is_cold(const struct dispatch *dispatch, usec_t now,
    const struct upstream_record *record)
{
	usec_t returned_at =
	    view_zone_returned_at(dispatch->options.view, record->entry.zone);

	return now < record->cold_until ||
	    (returned_at != 0 && now < returned_at + DISPATCH_RETURN_SPAN);
}

/// Sets this instance's share of what an upstream bears while it is cold.
static void
set_cold_share(struct dispatch *dispatch, usec_t now, struct state *state,
    const struct service *service)
{
	const struct entry_settings *settings = dispatch->options.settings;

	fleet_share_configure_cold(&state->cold, now, service->cold_rate,
	    settings->cold_overrun, settings->cold_slack, sharers(dispatch));
}

/// Whether this instance has all the connections to an upstream that it may
/// open, and none of them is idle.
static bool
connections_used_up(const struct dispatch *dispatch,
    const struct service *service, const char *address)
{
	double most;

	if (service->max_connections == 0 ||
	    pool_count_idle(dispatch->options.pool, address) > 0)
		return false;
	most = DISPATCH_CONNECTION_SHARE * service->max_connections /
	    sharers(dispatch);
	return pool_count_connections(dispatch->options.pool, address) >=
	    MAX(most, 1);
}

/// Whether a request has been sent to an upstream before.
static bool
was_tried(const struct dispatch_request *request, uint64_t key)
{
	for (unsigned i = 0; i < request->n_tried; i++)
		if (request->tried[i] == key)
			return true;
	return false;
}

/// Whether an upstream is in service at all, whatever its load.
static bool
in_service(const struct dispatch *dispatch,
    const struct upstream_record *record, const struct state *state)
{
	return record->entry.state == UPSTREAM_READY && !state->misdirected &&
	    !state->leaving &&
	    !view_is_zone_evacuated(dispatch->options.view, record->entry.zone);
}

/// Finds the pace of a service's engines, making it.
static struct event_interval *
pace_of(struct dispatch *dispatch, const char *service)
{
	struct event_interval *pace =
	    g_hash_table_lookup(dispatch->paces, service);

	if (pace != NULL)
		return pace;
	pace = g_new0(struct event_interval, 1);
	g_hash_table_insert(dispatch->paces, g_strdup(service), pace);
	return pace;
}

/// Fills in one candidate.
static void
fill_candidate(struct dispatch *dispatch, usec_t now,
    const struct dispatch_request *request, const struct service *service,
    const struct upstream_record *record, struct state *state,
    struct place_candidate *candidate)
{
	const char *zone = request->zone == NULL
	    ? dispatch->options.settings->zone
	    : request->zone;
	bool cold = service->cold_rate > 0 && is_cold(dispatch, now, record);

	*candidate = (struct place_candidate){
	    .load = loads_get_total(
		dispatch->options.loads, hash_name(record->entry.id)),
	    .slots = (int32_t)record->entry.slots,
	    .memory_tokens = (int32_t)service->engine.memory_tokens,
	    .same_zone = strcmp(record->entry.zone, zone) == 0,
	};
	if (cold) {
		set_cold_share(dispatch, now, state, service);
		candidate->penalty += DISPATCH_COLD_PENALTY;
	}
	if (outlier_is_on_trial(&state->outlier, now))
		candidate->penalty += DISPATCH_TRIAL_PENALTY;
	if (record->missing_deadline != 0)
		candidate->penalty += DISPATCH_TRIAL_PENALTY;
	candidate->penalty += event_interval_penalty(
	    &state->pace, pace_of(dispatch, service->name));
	if (now < state->suspect_until)
		candidate->penalty += DISPATCH_SUSPECT_PENALTY;
	candidate->excluded = was_tried(request, hash_name(record->entry.id)) ||
	    now < state->full_until ||
	    (cold && !fleet_share_has_permit(&state->cold, now)) ||
	    connections_used_up(dispatch, service, record->entry.address);
}

/// Lets ejected upstreams take part again where too few are left: a service
/// is never emptied by ejection.
static bool
ejection_counts(size_t n_ejected, size_t n_all)
{
	return (double)n_ejected <= DISPATCH_EJECTED_SHARE * (double)n_all;
}

/// Gathers the upstreams that a request may go to.
static void
gather(struct dispatch *dispatch, usec_t now,
    const struct dispatch_request *request, const struct service *service,
    struct gathered *gathered)
{
	const GPtrArray *records = directory_get_service_records(
	    view_directory(dispatch->options.view), request->service);
	size_t n_ejected = 0;
	size_t n_all = 0;

	gathered->n = 0;
	for (guint i = 0; records != NULL && i < records->len; i++) {
		const struct upstream_record *record = records->pdata[i];
		struct state *state =
		    state_of(dispatch, hash_name(record->entry.id));

		if (!in_service(dispatch, record, state))
			continue;
		n_all++;
		n_ejected += outlier_is_ejected(&state->outlier, now);
	}
	gathered->candidates = g_new(struct place_candidate, n_all + 1);
	gathered->records = g_new(const struct upstream_record *, n_all + 1);
	for (guint i = 0; records != NULL && i < records->len; i++) {
		const struct upstream_record *record = records->pdata[i];
		struct state *state =
		    state_of(dispatch, hash_name(record->entry.id));

		if (!in_service(dispatch, record, state) ||
		    (outlier_is_ejected(&state->outlier, now) &&
			ejection_counts(n_ejected, n_all)))
			continue;
		fill_candidate(dispatch, now, request, service, record, state,
		    &gathered->candidates[gathered->n]);
		gathered->records[gathered->n++] = record;
	}
}

/// Draws a number from 0 to 1.
static double
draw(void *context)
{
	return g_rand_double(context);
}

/// Whether some candidate is only excluded for now, so that waiting helps.
static bool
is_waiting_useful(
    const struct dispatch_request *request, const struct gathered *gathered)
{
	for (size_t i = 0; i < gathered->n; i++)
		if (!was_tried(
			request, hash_name(gathered->records[i]->entry.id)))
			return true;
	return false;
}

/// Places a request.
///
/// @param dispatch  the dispatch
/// @param request   what is placed
/// @param target    filled in when PLACE_FOUND; free with
///                  dispatch_target_clear()
/// @return PLACE_FOUND, or why no upstream takes it
enum place_outcome
dispatch_place(struct dispatch *dispatch,
    const struct dispatch_request *request, struct dispatch_target *target)
{
	const struct service *service = deployment_find_service(
	    view_deployment(dispatch->options.view), request->service);
	usec_t now = g_get_monotonic_time();
	struct place_request place = request->place;
	struct gathered gathered;
	enum place_outcome outcome;
	size_t picked = 0;

	if (service == NULL)
		return PLACE_NO_CANDIDATE;
	gather(dispatch, now, request, service, &gathered);
	place.sample_size = place_sample_size(
	    gathered.n, membership_size(dispatch->options.membership));
	outcome = place_pick(&place, gathered.candidates, gathered.n, draw,
	    dispatch->rand, &picked);
	if (outcome == PLACE_NO_CANDIDATE &&
	    is_waiting_useful(request, &gathered))
		outcome = PLACE_FULL;
	if (outcome == PLACE_FOUND) {
		const struct upstream_record *record = gathered.records[picked];
		struct state *state =
		    state_of(dispatch, hash_name(record->entry.id));

		if (service->cold_rate > 0 && is_cold(dispatch, now, record))
			fleet_share_take_permit(&state->cold, now);
		target->id = g_strdup(record->entry.id);
		target->address = g_strdup(record->entry.address);
		target->zone = g_strdup(record->entry.zone);
		target->key = hash_name(record->entry.id);
	}
	g_free(gathered.candidates);
	g_free(gathered.records);
	return outcome;
}

/// Frees a target's texts.
///
/// @param target  may be empty
void
dispatch_target_clear(struct dispatch_target *target)
{
	g_clear_pointer(&target->id, g_free);
	g_clear_pointer(&target->address, g_free);
	g_clear_pointer(&target->zone, g_free);
	target->key = 0;
}

/// Finds the share of the repeats to a service, brought up to date.
static struct fleet_share *
repeats_of(struct dispatch *dispatch, const char *service)
{
	const struct entry_settings *settings = dispatch->options.settings;
	struct fleet_share *share =
	    g_hash_table_lookup(dispatch->repeats, service);

	if (share == NULL) {
		share = g_new0(struct fleet_share, 1);
		g_hash_table_insert(
		    dispatch->repeats, g_strdup(service), share);
	}
	fleet_share_configure_retries(share, g_get_monotonic_time(),
	    settings->retry_slack, settings->retry_window, sharers(dispatch));
	return share;
}

/// Part of what first requests earn that is used: they are counted in a
/// window that may have begun just before them.
#define DISPATCH_EARNED_SHARE 0.7

/// Takes it that a request for a service has come for the first time.
///
/// @param dispatch  the dispatch
/// @param service   the service's name
void
dispatch_first_arrival(struct dispatch *dispatch, const char *service)
{
	fleet_share_add_permits(repeats_of(dispatch, service),
	    DISPATCH_EARNED_SHARE * dispatch->options.settings->retry_ratio);
}

/// Takes a permit to send a request to a service once more.
///
/// @param dispatch  the dispatch
/// @param service   the service's name
/// @return false when this instance's share is used up
bool
dispatch_take_repeat(struct dispatch *dispatch, const char *service)
{
	return fleet_share_take_permit(
	    repeats_of(dispatch, service), g_get_monotonic_time());
}

/// Takes what a request to an upstream came to.
///
/// @param dispatch  the dispatch
/// @param target    the upstream
/// @param sign      what it came to
void
dispatch_sign(struct dispatch *dispatch, const struct dispatch_target *target,
    enum outlier_result sign)
{
	struct state *state =
	    g_hash_table_lookup(dispatch->states, &target->key);

	if (state == NULL)
		return;
	if (sign == OUTLIER_UNREACHABLE)
		state->gone_until =
		    g_get_monotonic_time() + DISPATCH_SUSPECT_SPAN;
	if (!outlier_record_result(
		&state->outlier, g_get_monotonic_time(), sign))
		return;
	series_add(&entry_metric_ejections, target->id, NULL, 1);
	log_event(LOG_LEVEL_WARN, "upstream-ejected",
	    "upstream=%s ejections=%u for_ms=%" G_GINT64_FORMAT, target->id,
	    state->outlier.ejections,
	    (state->outlier.ejected_until - g_get_monotonic_time()) /
		USEC_PER_MSEC);
}

/// Takes it that an upstream has no room.
///
/// @param dispatch  the dispatch
/// @param target    the upstream
void
dispatch_full(struct dispatch *dispatch, const struct dispatch_target *target)
{
	struct state *state =
	    g_hash_table_lookup(dispatch->states, &target->key);

	if (state != NULL)
		state->full_until = g_get_monotonic_time() + DISPATCH_FULL_SPAN;
}

/// Takes it that an upstream's address belongs to another one.
///
/// @param dispatch  the dispatch
/// @param target    the upstream
void
dispatch_misdirected(
    struct dispatch *dispatch, const struct dispatch_target *target)
{
	struct state *state =
	    g_hash_table_lookup(dispatch->states, &target->key);

	log_event(LOG_LEVEL_WARN, "upstream-misdirected",
	    "upstream=%s address=%s outcome=not-used", target->id,
	    target->address);
	if (state != NULL)
		state->misdirected = true;
	pool_close_idle(dispatch->options.pool, target->address);
}

/// Takes it that an upstream says itself that it leaves.
///
/// @param dispatch  the dispatch
/// @param id        the upstream's
/// @return false when that was known
bool
dispatch_set_leaving(struct dispatch *dispatch, const char *id)
{
	struct state *state = state_of(dispatch, hash_name(id));

	if (state->leaving)
		return false;
	state->leaving = true;
	return true;
}

/// Lists upstreams that have refused connections of this instance lately.
///
/// @param dispatch   the dispatch
/// @param upstreams  filled in with hashes of ids
/// @param max        room in it
/// @return how many were filled in
size_t
dispatch_list_gone(struct dispatch *dispatch, uint64_t *upstreams, size_t max)
{
	usec_t now = g_get_monotonic_time();
	size_t n = 0;
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, dispatch->states);
	while (n < max && g_hash_table_iter_next(&iter, &key, &value))
		if (now < ((const struct state *)value)->gone_until)
			upstreams[n++] = *(const uint64_t *)key;
	return n;
}

/// Takes it that an upstream has refused a connection of another instance.
///
/// @param dispatch  the dispatch
/// @param upstream  hash of its id
void
dispatch_heard_gone(struct dispatch *dispatch, uint64_t upstream)
{
	struct state *state = g_hash_table_lookup(dispatch->states, &upstream);

	if (state != NULL)
		state->suspect_until =
		    g_get_monotonic_time() + DISPATCH_SUSPECT_SPAN;
}

/// Takes the span between two events of a generation.
///
/// @param dispatch  the dispatch
/// @param service   the engine's service
/// @param target    the engine
/// @param span      the span
void
dispatch_event_span(struct dispatch *dispatch, const char *service,
    const struct dispatch_target *target, usec_t span)
{
	struct state *state =
	    g_hash_table_lookup(dispatch->states, &target->key);

	if (state != NULL)
		event_interval_add(&state->pace, span);
	event_interval_add(pace_of(dispatch, service), span);
}

/// Adds work at an upstream, or takes it away.
///
/// @param dispatch  the dispatch
/// @param target    the upstream
/// @param load      the work
/// @param sign      1 or -1
void
dispatch_charge(struct dispatch *dispatch, const struct dispatch_target *target,
    const struct load *load, int sign)
{
	const struct load delta = {sign * load->requests, sign * load->tokens,
	    sign * load->prompt_tokens};

	loads_add(dispatch->options.loads, target->key, &delta);
}

/// @param outcome  of a placement
/// @return one word
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
