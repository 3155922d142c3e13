/* Bounds how often a repeated event is logged. */
#include "godwitvale/ops/log_pace.h"

#include <glib.h>

/// Shortest time between two log lines.
#define LOG_PACE_PAUSE (1 * USEC_PER_SEC)

/// Counts an event.
///
/// @param pace  of this kind of event
/// @return how often it has come since it was logged last; 0: it isn't to be
///         logged now
uint64_t
log_pace_note(struct log_pace *pace)
{
	usec_t now = g_get_monotonic_time();
	uint64_t n_times = ++pace->n_unlogged;

	if (now < pace->next_at)
		return 0;
	pace->next_at = now + LOG_PACE_PAUSE;
	pace->n_unlogged = 0;
	return n_times;
}
