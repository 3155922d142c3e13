/*
 * Bounds how often a repeated event is logged. Load pattern: many clients run
 * into a limit at once, and each time is an event.
 */
#ifndef GODWITVALE_OPS_LOG_PACE_H
#define GODWITVALE_OPS_LOG_PACE_H

#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// When an event may be logged again. All zero at first.
struct log_pace {
	usec_t next_at;
	uint64_t n_unlogged; /// times since the last log line
};

uint64_t log_pace_note(struct log_pace *pace);

#endif
