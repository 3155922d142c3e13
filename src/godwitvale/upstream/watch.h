/* An idle connection to each upstream, whose end tells of a restart. */
#ifndef GODWITVALE_UPSTREAM_WATCH_H
#define GODWITVALE_UPSTREAM_WATCH_H

#include "godwitvale/upstream/upstream.h"

/// The most upstreams that are watched so: beyond, reports have to do.
#define WATCH_UPSTREAMS_MAX 128

struct watch;

struct watch *watch_new(struct instance *instance, struct upstream *upstream);
void watch_free(struct watch *watch);
void watch_tick(struct watch *watch, usec_t now);

#endif
