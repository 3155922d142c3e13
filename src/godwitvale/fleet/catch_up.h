/*
 * What an instance has missed: where a member has a newer configuration, or
 * upstreams while this instance knows none, all that it has read is fetched
 * from it. In calm the store tells sooner.
 */
#ifndef GODWITVALE_FLEET_CATCH_UP_H
#define GODWITVALE_FLEET_CATCH_UP_H

#include "godwitvale/core/membership.h"
#include "godwitvale/fleet/view.h"
#include "godwitvale/http/pool.h"

/// Target of a GET for a snapshot, at an instance's control address.
#define CATCH_UP_SNAPSHOT_TARGET "/fleet/snapshot"

struct catch_up;

struct catch_up *catch_up_new(struct view *view, struct pool *pool,
    const struct membership *membership, uint16_t control_port);
void catch_up_free(struct catch_up *catch_up);
void catch_up_tick(struct catch_up *catch_up, usec_t now);
GBytes *catch_up_snapshot(const struct view *view);

#endif
