/*
 * Decides which requests an instance still accepts while it shuts down.
 *
 * Load pattern: for some seconds after SIGTERM the load balancer still sends
 * new callers to this instance, and callers with open connections keep sending
 * requests. The process ends when its grace period is over. A generation that
 * runs until then would be cut off in the middle of its stream, and the caller
 * can't retry it. When the generation is refused immediately, another instance
 * serves it.
 */
#ifndef GODWITVALE_CORE_SHUTDOWN_ADMISSION_H
#define GODWITVALE_CORE_SHUTDOWN_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// What the expected duration of a request depends on.
struct shutdown_work {
	bool is_generation;
	uint32_t max_output_tokens; /// used for generations only
	usec_t expected_span;       /// used for other requests only
};

bool shutdown_admission_accepts(
    const struct shutdown_work *work, usec_t time_left);

#endif
