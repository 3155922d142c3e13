/*
 * Snapshot synchronisation between instances: when another instance has a newer
 * configuration, has upstreams while this instance has none, or knows changes
 * of upstreams that this instance has missed, this instance fetches a snapshot
 * of all items from it. In normal operation the store
 * delivers the same changes sooner.
 */
#ifndef GODWITVALE_FLEET_SNAPSHOT_SYNC_H
#define GODWITVALE_FLEET_SNAPSHOT_SYNC_H

#include "godwitvale/core/membership.h"
#include "godwitvale/fleet/fleet_codec.h"
#include "godwitvale/fleet/view.h"
#include "godwitvale/http/pool.h"

/// Target of a GET request for a snapshot, at an instance's control address.
#define SNAPSHOT_SYNC_TARGET "/fleet/snapshot"

struct snapshot_sync;

struct snapshot_sync *snapshot_sync_new(struct view *view, struct pool *pool,
    const struct membership *membership, uint16_t control_port);
void snapshot_sync_free(struct snapshot_sync *snapshot_sync);
const struct member *snapshot_sync_find_member(
    const struct snapshot_sync *snapshot_sync, usec_t now);
void snapshot_sync_tick(struct snapshot_sync *snapshot_sync, usec_t now);
GBytes *snapshot_sync_encode(const struct view *view);
void snapshot_sync_apply(struct view *view, usec_t now,
    const fleet_snapshot *snapshot, const struct fleet_trailer *trailer);

#endif
