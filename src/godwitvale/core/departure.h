/*
 * What an instance that leaves still takes on.
 *
 * Load pattern: from SIGTERM the balancer sends callers here for some seconds
 * more, and kept connections go on asking; the process ends when its grace
 * does. A generation whose output may last longer than that would be cut in
 * its stream, which its caller can't repeat; refused at once, it is served by
 * another instance.
 */
#ifndef GODWITVALE_CORE_DEPARTURE_H
#define GODWITVALE_CORE_DEPARTURE_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// What a request may take.
struct departure_work {
	bool is_generation;
	uint32_t max_output; /// tokens of a generation, at the most
	usec_t usual_span;   /// of another kind of request
};

bool departure_takes(const struct departure_work *work, usec_t left);

#endif
