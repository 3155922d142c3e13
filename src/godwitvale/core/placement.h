/*
 * Placement: which upstream takes a request.
 *
 * Load pattern: generations of unknown length fill an engine's memory while
 * they run, and a long prompt delays every token made beside it. Memory is
 * counted as it will be when each generation ends, prompts still being read
 * count extra, and equal upstreams are told apart by chance so that instances
 * with the same view don't all choose the same one. Many instances compare
 * only some upstreams each, drawn anew for every request: what they know of
 * one another is some requests old.
 */
#ifndef GODWITVALE_CORE_PLACEMENT_H
#define GODWITVALE_CORE_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>

#include "godwitvale/core/loads.h"

/// What is placed.
struct place_request {
	bool is_generation;
	int32_t tokens; /// prompt and expected output
	int32_t prompt; /// tokens to be read
	bool is_move;   /// of a running generation: zones weigh more
	size_t sample;  /// candidates that are compared; 0: all
};

/// An upstream that may take it.
struct place_candidate {
	double penalty;        /// 0: none; added to the score
	struct load load;      /// of all instances
	int32_t slots;         /// requests at a time; 0: not known
	int32_t memory_tokens; /// of an engine; 0: not known
	bool same_zone;        /// as this instance, or as a move's source
	bool excluded;
};

/// What came of it.
enum place_outcome {
	PLACE_FOUND = 1,
	PLACE_FULL, /// candidates exist, none has room now
	PLACE_NONE, /// no candidate at all
};

/// Draws a number from 0 to 1, without 1.
typedef double (*place_draw)(void *context);

size_t place_sample(size_t n_candidates, unsigned n_instances);
enum place_outcome place_pick(const struct place_request *request,
    const struct place_candidate *candidates, size_t n_candidates,
    place_draw draw, void *draw_context, size_t *picked);

#endif
