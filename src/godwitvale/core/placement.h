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
 */
#ifndef GODWITVALE_CORE_PLACEMENT_H
#define GODWITVALE_CORE_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>

#include "godwitvale/core/loads.h"

/// Size and constraints of the request to place.
struct place_request {
	bool is_generation;
	int32_t tokens;        /// prompt and expected output
	int32_t prompt_tokens; /// prompt tokens that the engine must read
	bool is_move;          /// moves a running generation between upstreams
	size_t sample_size;    /// candidates to compare; 0 for all
};

/// An upstream that may receive the request.
struct place_candidate {
	double penalty;        /// added to the cost; 0 for none
	struct load load;      /// work of all instances at this upstream
	int32_t slots;         /// concurrent requests; 0 if unknown
	int32_t memory_tokens; /// an engine's memory, in tokens; 0 if unknown
	bool same_zone; /// in the zone of this instance or of a move's source
	bool excluded;  /// must not be chosen for this request
};

/// Result of a placement.
enum place_outcome {
	PLACE_FOUND = 1,
	PLACE_FULL,         /// candidates exist, but none has capacity now
	PLACE_NO_CANDIDATE, /// no candidates, or all of them are excluded
};

/// Returns a random number, at least 0 and less than 1.
typedef double (*place_draw)(void *context);

size_t place_sample_size(size_t n_candidates, unsigned n_instances);
enum place_outcome place_pick(const struct place_request *request,
    const struct place_candidate *candidates, size_t n_candidates,
    place_draw draw, void *draw_context, size_t *picked);

#endif
