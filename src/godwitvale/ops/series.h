/*
 * Counters and latency histograms whose label values are only known at run
 * time. The number of series is bounded.
 */
#ifndef GODWITVALE_OPS_SERIES_H
#define GODWITVALE_OPS_SERIES_H

#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"

/// Describes the series of one name.
struct series_kind {
	const char *name; /// without the program's prefix
	const char *help;
	const char *label;        /// name of the first label, or NULL
	const char *second_label; /// name of the second label, or NULL
};

void series_add(const struct series_kind *kind, const char *value,
    const char *second_value, uint64_t n);
void series_observe(const struct series_kind *kind, const char *value,
    const char *second_value, usec_t duration);
void series_reset(void);
void series_to_text(GString *out);

#endif
