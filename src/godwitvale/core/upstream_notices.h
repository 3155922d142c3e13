/*
 * What upstreams say of themselves in their answers: that they are leaving, or
 * that they want nothing from this instance for a while.
 *
 * Load pattern: an upstream that is replaced says so in its answers before the
 * store does, or although the store never does. Whatever the store or other
 * instances say later, it stays so for this incarnation of the upstream; an
 * entry that is deleted and comes back doesn't change it. An upstream that
 * turns requests away may name a time to wait, which concerns only the instance
 * that it has answered.
 */
#ifndef GODWITVALE_CORE_UPSTREAM_NOTICES_H
#define GODWITVALE_CORE_UPSTREAM_NOTICES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Maximum number of notices that are sent to other instances at a time.
#define UPSTREAM_NOTICES_SENT_MAX 64
/// Longest pause that is kept. An upstream that wants a longer one will ask
/// again.
#define UPSTREAM_PAUSE_MAX (60 * 60 * USEC_PER_SEC)

/// An upstream that leaves, and when that was heard.
struct upstream_departure {
	uint64_t upstream; /// hash of the upstream's id and incarnation
	usec_t at;
};

struct upstream_notices;

struct upstream_notices *upstream_notices_new(void);
void upstream_notices_free(struct upstream_notices *notices);
bool upstream_notices_set_leaving(struct upstream_notices *notices,
    uint64_t upstream, usec_t at, bool is_news);
bool upstream_notices_is_leaving(
    const struct upstream_notices *notices, uint64_t upstream);
usec_t upstream_notices_leaving_since(
    const struct upstream_notices *notices, uint64_t upstream);
void upstream_notices_set_pause(struct upstream_notices *notices, usec_t now,
    uint64_t upstream, usec_t span);
usec_t upstream_notices_paused_until(
    const struct upstream_notices *notices, uint64_t upstream);
unsigned upstream_notices_count_paused(
    const struct upstream_notices *notices, usec_t now);
void upstream_notices_tick(struct upstream_notices *notices, usec_t now);
size_t upstream_notices_list_departures(const struct upstream_notices *notices,
    usec_t now, struct upstream_departure *departures, size_t max);

#endif
