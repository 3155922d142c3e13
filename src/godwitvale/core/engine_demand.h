/*
 * Tracks what the callers of each service ask of its engines: the shortest
 * target and the size of the requests that have it, how fast engines read
 * prompts, and the share of the engines' memory that is in use.
 *
 * Load pattern: long generations and short requests share engines, and either
 * kind may come in bursts. What must be left free for the short ones follows
 * from their size and target, which no configuration states together.
 */
#ifndef GODWITVALE_CORE_ENGINE_DEMAND_H
#define GODWITVALE_CORE_ENGINE_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// State of one service.
struct engine_demand_state {
	/// shortest target of the requests that came of late; USEC_NEVER: none
	usec_t urgent_target;
	double urgent_tokens; /// mean size of the requests that have it
	usec_t urgent_seen_at;
	/// prompt tokens that an engine reads in a microsecond; 0: unknown
	double read_speed;
	double utilisation; /// of the memory of all engines together
	usec_t measured_at; /// when `utilisation` was computed; 0: never
};

struct engine_demand;

struct engine_demand *engine_demand_new(void);
void engine_demand_free(struct engine_demand *demand);
const struct engine_demand_state *engine_demand_get(
    struct engine_demand *demand, uint64_t service);
void engine_demand_note_request(struct engine_demand *demand, usec_t now,
    uint64_t service, usec_t target, int32_t tokens);
void engine_demand_note_read(struct engine_demand *demand, uint64_t service,
    int32_t tokens, usec_t span);
void engine_demand_set_utilisation(struct engine_demand *demand, usec_t now,
    uint64_t service, double utilisation);

#endif
