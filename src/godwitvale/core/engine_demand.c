/* Keeps the demand on the engines of each service. */
#include "godwitvale/core/engine_demand.h"

#include <glib.h>

/// A target counts as asked for this long after the last request that has it.
#define DEMAND_TTL (30 * USEC_PER_SEC)
/// Weight of one request in the means.
#define DEMAND_WEIGHT 0.1

struct engine_demand {
	GHashTable *services; /// hash of the name -> engine_demand_state *
};

/// Creates a table without services.
///
/// @return the table; free with engine_demand_free()
struct engine_demand *
engine_demand_new(void)
{
	struct engine_demand *demand = g_new0(struct engine_demand, 1);

	demand->services =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return demand;
}

/// Frees a table.
///
/// @param demand  not NULL
void
engine_demand_free(struct engine_demand *demand)
{
	g_hash_table_unref(demand->services);
	g_free(demand);
}

/// Returns the state of a service; adds it if it isn't known.
static struct engine_demand_state *
get_state(struct engine_demand *demand, uint64_t service)
{
	struct engine_demand_state *state =
	    g_hash_table_lookup(demand->services, &service);

	if (state != NULL)
		return state;
	state = g_new0(struct engine_demand_state, 1);
	state->urgent_target = USEC_NEVER;
	g_hash_table_insert(
	    demand->services, g_memdup2(&service, sizeof(service)), state);
	return state;
}

/// @param demand   table to query
/// @param service  hash of a service's name
/// @return the state of the service; valid until the table is freed
const struct engine_demand_state *
engine_demand_get(struct engine_demand *demand, uint64_t service)
{
	return get_state(demand, service);
}

/// Notes a request that is to be placed.
///
/// @param demand   table to update
/// @param now      current time
/// @param service  hash of its service's name
/// @param target   target latency of its route
/// @param tokens   expected size, prompt and output
void
engine_demand_note_request(struct engine_demand *demand, usec_t now,
    uint64_t service, usec_t target, int32_t tokens)
{
	struct engine_demand_state *state = get_state(demand, service);

	if (target < state->urgent_target ||
	    now > state->urgent_seen_at + DEMAND_TTL) {
		state->urgent_target = target;
		state->urgent_tokens = tokens;
		state->urgent_seen_at = now;
	} else if (target == state->urgent_target) {
		state->urgent_tokens +=
		    (tokens - state->urgent_tokens) * DEMAND_WEIGHT;
		state->urgent_seen_at = now;
	}
}

/// Notes how long an engine that had no other prompt to read has taken for one.
///
/// @param demand   table to update
/// @param service  hash of the name of the engine's service
/// @param tokens   size of the prompt
/// @param span     time from the sending to the first event
void
engine_demand_note_read(
    struct engine_demand *demand, uint64_t service, int32_t tokens, usec_t span)
{
	struct engine_demand_state *state = get_state(demand, service);
	double speed;

	if (tokens <= 0 || span <= 0)
		return;
	speed = (double)tokens / (double)span;
	if (state->read_speed <= 0)
		state->read_speed = speed;
	state->read_speed += (speed - state->read_speed) * DEMAND_WEIGHT;
}

/// Sets the share of the engines' memory that is in use.
///
/// @param demand       table to update
/// @param now          current time
/// @param service      hash of the service's name
/// @param utilisation  from 0; more than 1 if more is expected than there is
void
engine_demand_set_utilisation(struct engine_demand *demand, usec_t now,
    uint64_t service, double utilisation)
{
	struct engine_demand_state *state = get_state(demand, service);

	state->utilisation = utilisation;
	state->measured_at = now;
}
