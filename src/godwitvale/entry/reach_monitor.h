/*
 * Finds out whether this instance is cut off from all upstreams of a service:
 * watches its requests for signs of it, and probes upstreams.
 * core/reachability.c decides.
 */
#ifndef GODWITVALE_ENTRY_REACH_MONITOR_H
#define GODWITVALE_ENTRY_REACH_MONITOR_H

#include "godwitvale/core/reachability.h"
#include "godwitvale/entry/entry_request_defs.h"

struct reach_monitor *reach_monitor_new(struct entry *entry);
void reach_monitor_free(struct reach_monitor *monitor);
struct reachability *reach_monitor_reachability(
    const struct reach_monitor *monitor);
void reach_monitor_note_failed(const struct entry_request *request);
void reach_monitor_verify(struct entry *entry);
void reach_monitor_tick(struct reach_monitor *monitor, usec_t now);

#endif
