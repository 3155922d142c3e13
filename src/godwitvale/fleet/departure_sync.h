/*
 * Exchange of the upstreams that have said that they leave, between instances.
 * Times are sent as ages, because the instances' clocks differ.
 */
#ifndef GODWITVALE_FLEET_DEPARTURE_SYNC_H
#define GODWITVALE_FLEET_DEPARTURE_SYNC_H

#include "godwitvale/core/upstream_notices.h"
#include "godwitvale/fleet/fleet_wire_xdr.h"

/// Called for each upstream of a message.
typedef void (*departure_sync_listener)(
    void *owner, uint64_t upstream, usec_t at);

size_t departure_sync_encode(const struct upstream_notices *notices, usec_t now,
    char *bytes, size_t size);
void departure_sync_apply(usec_t now, const fleet_departures *received,
    departure_sync_listener listener, void *owner);

#endif
