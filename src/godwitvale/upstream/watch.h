/* Detects restarts of an upstream by the end of an idle connection to it. */
#ifndef GODWITVALE_UPSTREAM_WATCH_H
#define GODWITVALE_UPSTREAM_WATCH_H

#include "godwitvale/upstream/upstream.h"

/// Limit on the number of watched upstreams. Restarts of further upstreams are
/// detected by their load reports only.
#define WATCH_UPSTREAMS_MAX 128

struct watch;

struct watch *watch_new(struct instance *instance, struct upstream *upstream);
void watch_free(struct watch *watch);
void watch_reconnect(struct watch *watch, usec_t now);

#endif
