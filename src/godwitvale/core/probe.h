/*
 * When something that is away is asked again.
 *
 * Load pattern: the store fails for every instance of a fleet at once. If each
 * keeps asking as a single client would, the calls of the outage are more than
 * those of the whole day, and come at the moment of the return. So the pauses
 * grow with the fleet, and the first instance that is answered has the others
 * ask again soon.
 */
#ifndef GODWITVALE_CORE_PROBE_H
#define GODWITVALE_CORE_PROBE_H

#include "godwitvale/core/time_defs.h"

/// One thing's; embedded by value, all zero while it answers.
struct probe {
	unsigned failures; /// in a row
	usec_t pause;      /// after the last one, at the longest
	usec_t due_at;     /// when it is asked again
};

void probe_answered(struct probe *probe);
void probe_failed(struct probe *probe, usec_t now, unsigned fleet_size,
    unsigned others_away, double chance);
void probe_heard(struct probe *probe, usec_t now, double chance);

#endif
