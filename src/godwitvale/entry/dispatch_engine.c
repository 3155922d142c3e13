/* Applies core/engine_admission to the placement on engines. */
#include "godwitvale/core/engine_admission.h"
#include "godwitvale/core/hash.h"
#include "godwitvale/entry/dispatch_state.h"

/// The utilisation of a service's engines is computed at most this often, as
/// that takes a look at each of them.
#define DISPATCH_UTILISATION_INTERVAL (20 * USEC_PER_MSEC)

/// Requests whose target is at least this many times the shortest one of their
/// service can wait for those that have that. Others would miss their own.
#define DISPATCH_YIELD_RATIO 2
/// An engine that had no place for a request isn't asked again for this long.
#define DISPATCH_NO_PLACE_SPAN (100 * USEC_PER_MSEC)

/// Computes the share of the memory of a service's engines that is expected to
/// be in use.
static double
compute_utilisation(
    const struct dispatch *dispatch, const struct service *service)
{
	const struct dispatch_options *options = &dispatch->options;
	const GPtrArray *records = directory_get_service_records(
	    view_directory(options->view), service->name);
	double used = 0;
	double memory = 0;

	for (guint i = 0; records != NULL && i < records->len; i++) {
		const struct upstream_record *record = records->pdata[i];

		if (record->entry.state != UPSTREAM_READY ||
		    view_is_zone_evacuated(options->view, record->entry.zone) ||
		    upstream_notices_is_leaving(
			options->notices, record->incarnation_key))
			continue;
		used += loads_get_total(options->loads, record->key).tokens;
		memory += service->engine.memory_tokens;
	}
	return memory > 0 ? used / memory : 0;
}

/// Returns the demand on the engines of a service, with their present
/// utilisation.
static const struct engine_demand_state *
update_demand(struct dispatch *dispatch, usec_t now,
    const struct dispatch_request *request, const struct service *service)
{
	struct engine_demand *demand = dispatch->demand;
	uint64_t key = hash_name(service->name);
	const struct engine_demand_state *state =
	    engine_demand_get(demand, key);

	if (!request->place.is_move && !request->has_waited)
		engine_demand_note_request(demand, now, key,
		    request->target_latency, request->place.tokens);
	if (state->measured_at == 0 ||
	    now >= state->measured_at + DISPATCH_UTILISATION_INTERVAL)
		engine_demand_set_utilisation(
		    demand, now, key, compute_utilisation(dispatch, service));
	return state;
}

/// Sets what a request must leave free at the engine that it is placed on.
///
/// @param dispatch  knows the demand and the engines
/// @param now       current time
/// @param service   service of the request
/// @param request   a generation; its `place`, `scarcity` and `needs_round` are
///                  changed
void
dispatch_set_engine_limits(struct dispatch *dispatch, usec_t now,
    const struct service *service, struct dispatch_request *request)
{
	const struct engine_demand_state *demand =
	    update_demand(dispatch, now, request, service);
	/* A begun answer goes before new ones, also without a copy to move. */
	bool is_begun = request->place.is_move || request->deployment != NULL;
	bool yields = demand->urgent_target != USEC_NEVER &&
	    request->target_latency >=
		DISPATCH_YIELD_RATIO * demand->urgent_target;
	const struct engine_admission_inputs inputs = {
	    .utilisation = demand->utilisation,
	    .urgent_share = yields
		? demand->urgent_tokens / service->engine.memory_tokens
		: 0,
	    .organisation_headroom = request->organisation_headroom,
	    .is_begun = is_begun,
	    .is_past_target = now >= request->target_at,
	};
	const struct engine_admission_read read = {
	    .scarcity = engine_admission_scarcity(demand->utilisation),
	    .tokens_per_usec = demand->read_speed,
	    .time_left = now < request->target_at ? request->target_at - now
						  : request->target_latency,
	    .urgent_target = yields ? demand->urgent_target : 0,
	};

	request->scarcity = read.scarcity;
	request->place.headroom = engine_admission_headroom(&inputs);
	if (is_begun)
		return;
	request->place.max_unread_tokens = engine_admission_max_unread(&read);
	request->needs_round =
	    request->has_waited && yields && read.scarcity > 0;
}

/// Checks whether a request that waits may be placed on an engine in this
/// round.
///
/// @param dispatch  knows the instances
/// @param now       current time
/// @param record    the engine
/// @return whether it may
bool
dispatch_in_round(const struct dispatch *dispatch, usec_t now,
    const struct upstream_record *record)
{
	uint64_t round = (uint64_t)(now / ENGINE_ADMISSION_ROUND_SPAN);

	return engine_admission_in_round(
	    hash_pair(hash_name(dispatch->options.settings->instance),
		hash_pair(record->key, round)),
	    membership_size(dispatch->options.membership));
}

/// Records how long an engine has taken to read a prompt, if it had no other
/// one to read.
///
/// @param dispatch  knows the demand
/// @param service   name of the engine's service
/// @param target    the engine, as it was when the prompt was sent
/// @param tokens    size of the prompt
/// @param span      time from the sending to the first event
void
dispatch_record_read(struct dispatch *dispatch, const char *service,
    const struct dispatch_target *target, int32_t tokens, usec_t span)
{
	if (target->unread_tokens <= 0 && !target->is_cold)
		engine_demand_note_read(
		    dispatch->demand, hash_name(service), tokens, span);
}

/// Notes that an engine has no place for a request. For a moment it isn't asked
/// for one for a request of that size, as its own requests must end first.
///
/// @param dispatch  holds the health of the engine
/// @param target    the engine
/// @param tokens    expected size of the request
void
dispatch_set_no_place(struct dispatch *dispatch,
    const struct dispatch_target *target, int32_t tokens)
{
	struct upstream_health *health =
	    g_hash_table_lookup(dispatch->health_by_upstream, &target->key);

	if (health == NULL)
		return;
	health->no_place_until =
	    g_get_monotonic_time() + DISPATCH_NO_PLACE_SPAN;
	health->no_place_tokens = tokens;
}
