/*
 * Counters and latency histograms with labels that are known only when they
 * are counted. The number of series is bounded.
 */
#ifndef GODWITVALE_OPS_SERIES_H
#define GODWITVALE_OPS_SERIES_H

#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"

/// What is counted.
struct series_kind {
	const char *name; /// without the program's prefix
	const char *help;
	const char *label;        /// names the first label; NULL: none
	const char *second_label; /// NULL: none
};

void series_add(const struct series_kind *kind, const char *value,
    const char *second_value, uint64_t n);
void series_observe(const struct series_kind *kind, const char *value,
    const char *second_value, usec_t span);
void series_reset(void);
void series_to_text(GString *out);

#endif
