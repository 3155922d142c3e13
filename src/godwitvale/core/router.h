/*
 * The router part of one instance: decides when and where each request goes.
 * Pure: takes the time and an event, fills a queue of actions. After each
 * call take the actions out until there are none, and call router_tick() at
 * router_next_deadline(), which may have moved.
 *
 * The life of a request's handle:
 *
 *   router_submit -> waits -> SEND -> runs -> router_finish -> stale
 *                      |       ^                 | FAILED or BUSY
 *                      v       |                 v
 *                   REFUSE     +-- true -- router_retry -- false -> stale
 *                   (stale)
 *
 * router_finish(CANCELLED) ends it anywhere. A stale handle is harmless: its
 * number is tagged with a generation and is not given out again for at least
 * a million requests. A SEND must be carried out when it is taken out, not
 * later: it was checked at that moment.
 *
 * Slots: each SLOT is answered by router_slot_granted() or router_slot_denied()
 * once. A granted slot is held until SLOT_DONE, which follows when the request
 * sent with it has ended, or at once when no request needs the slot any more.
 */
#ifndef GODWITVALE_CORE_ROUTER_H
#define GODWITVALE_CORE_ROUTER_H

#include "godwitvale/core/router_defs.h"

struct router;

struct router *router_new(const struct router_options *options);
void router_free(struct router *router);
void router_set_entries(struct router *router, unsigned n_entries);
void router_count(
    const struct router *router, usec_t now, struct router_counts *counts);
void router_set_weights(
    struct router *router, const struct router_weights *weights);
void router_set_index(struct router *router, unsigned index);

router_upstream router_add_upstream(struct router *router, usec_t now,
    const struct router_upstream_options *options);
void router_remove_upstream(
    struct router *router, usec_t now, router_upstream upstream);
void router_set_in_service(struct router *router, usec_t now,
    router_upstream upstream, bool in_service);
void router_report_load(struct router *router, usec_t now,
    router_upstream upstream, const struct router_report *report);
void router_upstream_silent(
    struct router *router, usec_t now, router_upstream upstream);
void router_cache_event(struct router *router, usec_t now,
    router_upstream upstream, uint64_t sequence, uint64_t block, bool stored);

router_request router_submit(struct router *router, usec_t now,
    const struct router_request_options *options);
void router_progress(struct router *router, usec_t now, router_request request,
    uint32_t tokens_so_far);
void router_finish(struct router *router, usec_t now, router_request request,
    enum router_end end, uint32_t tokens);
bool router_retry(struct router *router, usec_t now, router_request request,
    enum verdict verdict);
void router_slot_granted(
    struct router *router, usec_t now, router_upstream upstream, uint32_t slot);
void router_slot_denied(struct router *router, usec_t now,
    router_upstream upstream, uint32_t slot, usec_t retry_at);

void router_tick(struct router *router, usec_t now);
usec_t router_next_deadline(const struct router *router);
bool router_next_action(struct router *router, struct router_action *action);

#endif
