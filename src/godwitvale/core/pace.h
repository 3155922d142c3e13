/*
 * The pace of engines: how long they take from one event to the next, beside
 * the other engines of their service.
 *
 * Load pattern: some engines turn slow and say that they are well. Their
 * generations show it long before they end.
 */
#ifndef GODWITVALE_CORE_PACE_H
#define GODWITVALE_CORE_PACE_H

#include "godwitvale/core/time_defs.h"

/// A running mean of the spans between events; embedded by value.
struct pace {
	double mean; /// microseconds
	unsigned n;  /// spans seen
};

void pace_take(struct pace *pace, usec_t span);
double pace_penalty(const struct pace *own, const struct pace *all);

#endif
