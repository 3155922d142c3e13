/*
 * Router: decides when and to which upstream each request is sent. It performs
 * no I/O and reads no clock: each call passes in the current time, and the
 * router queues actions for the embedder (the code that owns the router).
 * After each call, the embedder takes actions with router_next_action() until
 * this function returns false. The embedder calls router_tick() at the time
 * that router_next_deadline() returns; each call may change this time.
 *
 * Lifecycle of a request handle:
 *
 *   router_submit -> queued -> SEND -> running -> router_finish -> stale
 *                      |         ^                   | FAILED or BUSY
 *                      v         |                   v
 *                   REFUSE       +---- true --- router_retry - false -> stale
 *                   (stale)
 *
 * router_finish(CANCELLED) makes the handle stale in any state. Calls with a
 * stale handle have no effect: a handle contains a reuse counter and is not
 * reused for at least a million requests. The embedder carries out a SEND as
 * soon as it has taken the SEND out of the queue, because the router's checks
 * hold only at that moment.
 *
 * Slots: a slot is the right to run one request at a cold upstream. At most one
 * instance of the fleet holds the lease on a slot. For each ACQUIRE_SLOT the
 * embedder calls exactly once either router_handle_slot_grant() or
 * router_handle_slot_denial(). The router keeps a granted slot until it queues
 * RELEASE_SLOT: when the request sent with the slot has ended, or immediately
 * when no request needs the slot any more.
 */
#ifndef GODWITVALE_CORE_ROUTER_H
#define GODWITVALE_CORE_ROUTER_H

#include "godwitvale/core/router_defs.h"

struct router;

struct router *router_new(const struct router_options *options);
void router_free(struct router *router);
void router_set_instance_count(struct router *router, unsigned n_instances);
void router_get_counts(
    const struct router *router, usec_t now, struct router_counts *counts);
void router_set_weights(
    struct router *router, const struct router_weights *weights);
void router_set_instance_index(struct router *router, unsigned instance_index);

router_upstream router_add_upstream(struct router *router, usec_t now,
    const struct router_upstream_options *options);
void router_remove_upstream(
    struct router *router, usec_t now, router_upstream upstream);
void router_set_in_service(struct router *router, usec_t now,
    router_upstream upstream, bool in_service);
void router_report_load(struct router *router, usec_t now,
    router_upstream upstream, const struct router_load_report *report);
void router_mark_unresponsive(
    struct router *router, usec_t now, router_upstream upstream);
void router_handle_cache_event(struct router *router, usec_t now,
    router_upstream upstream, uint64_t sequence, uint64_t block, bool stored);

router_request router_submit(struct router *router, usec_t now,
    const struct router_request_options *options);
void router_report_progress(struct router *router, usec_t now,
    router_request request, uint32_t generated_tokens);
void router_finish(struct router *router, usec_t now, router_request request,
    enum router_outcome outcome, uint32_t generated_tokens);
bool router_retry(struct router *router, usec_t now, router_request request,
    enum verdict verdict);
void router_handle_slot_grant(
    struct router *router, usec_t now, router_upstream upstream, uint32_t slot);
void router_handle_slot_denial(struct router *router, usec_t now,
    router_upstream upstream, uint32_t slot, usec_t retry_at);

void router_tick(struct router *router, usec_t now);
usec_t router_next_deadline(const struct router *router);
bool router_next_action(struct router *router, struct router_action *action);

#endif
