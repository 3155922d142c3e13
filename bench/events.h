/* Events in virtual time, in order; equal times in the order of entry. */
#ifndef GODWITVALE_BENCH_EVENTS_H
#define GODWITVALE_BENCH_EVENTS_H

#include <stdbool.h>

#include "godwitvale/core/time_defs.h"

struct events;

struct event {
	usec_t at;
	uint64_t serial;
	int type;
	unsigned entry;
	unsigned upstream;
	uint64_t value;
	void *data;
};

struct events *events_new(void);
void events_free(struct events *events);
void events_push(struct events *events, const struct event *event);
bool events_pop(struct events *events, struct event *event);

#endif
