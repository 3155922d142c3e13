/*
 * Placement: chooses the upstream for a request.
 *
 * Load pattern: generations of unknown length fill an engine's memory while
 * they run, and while an engine reads a long prompt, all its other generations
 * slow down. The choice therefore counts the memory that each generation will
 * use at its end and adds a cost for prompts that are still being read. Random
 * jitter separates upstreams of nearly equal cost, so that instances with the
 * same view of the load don't all choose the same upstream. In a large fleet,
 * each instance compares only a random sample of the upstreams, drawn again
 * for every request, because its view of the other instances' load lags behind
 * by several requests.
 *
 * Where engines differ in speed, some pause the events of their generations for
 * too long while they read prompts. Long generations then go to the engines
 * that don't, and short ones, which hardly meet such a pause, leave these
 * engines to them and keep away from generations that would suffer.
 */
#ifndef GODWITVALE_CORE_PLACEMENT_H
#define GODWITVALE_CORE_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>

#include "godwitvale/core/loads.h"

/// Size and constraints of the request to place.
struct place_request {
	bool is_generation;
	int32_t tokens;        /// prompt and expected output, in tokens
	int32_t prompt_tokens; /// prompt tokens that the engine must read
	int32_t output_tokens; /// expected output that is still to come
	bool is_move;          /// moves a running generation between upstreams
	size_t sample_size;    /// number of candidates to compare; 0 for all
	/// share of an engine's memory that must stay free for other requests;
	/// negative: the engine may be filled beyond what its generations are
	/// expected to need
	double headroom;
	/// prompt tokens that the engine may have to read, with this request;
	/// an engine that has none to read takes any prompt; 0: no bound
	int32_t max_unread_tokens;
	/// the route has a target for the time between events and the engines
	/// of the service differ in speed, so that `pause_risk` counts
	bool avoids_pauses;
};

/// An upstream that may receive the request.
struct place_candidate {
	/// added to the cost, whose unit is the upstream's capacity; 0 for none
	double penalty;
	/// risk, from 0 to 1, that the events of a long generation pause for
	/// too long at this engine
	double pause_risk;
	struct load load;      /// work of all instances at this upstream
	int32_t slots;         /// requests that run concurrently; 0 if unknown
	int32_t memory_tokens; /// an engine's memory, in tokens; 0 if unknown
	/// the upstream is in the zone of this instance or, for a move, in that
	/// of the upstream that runs the generation
	bool same_zone;
	bool excluded; /// must not be chosen for this request
};

/// Result of a placement.
enum place_outcome {
	PLACE_FOUND = 1,    /// an upstream was picked
	PLACE_FULL,         /// no candidate that may be chosen has capacity now
	PLACE_NO_CANDIDATE, /// there are no candidates, or all are excluded
};

/// Source of random numbers. Returns a number from 0 to less than 1.
typedef double (*place_draw)(void *context);

size_t place_sample_size(size_t n_candidates, unsigned n_instances);
double place_utilisation(const struct place_request *request,
    const struct place_candidate *candidate);
enum place_outcome place_pick_candidate(const struct place_request *request,
    const struct place_candidate *candidates, size_t n_candidates,
    place_draw draw, void *draw_context, size_t *picked);

#endif
