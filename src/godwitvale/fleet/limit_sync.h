/*
 * Exchange of the limits that upstreams name, between instances. Times are sent
 * as ages, because the instances' clocks differ.
 */
#ifndef GODWITVALE_FLEET_LIMIT_SYNC_H
#define GODWITVALE_FLEET_LIMIT_SYNC_H

#include "godwitvale/core/rate_limits.h"
#include "godwitvale/fleet/fleet_wire_xdr.h"

/// Called for each statement of a message that changes what is known.
typedef void (*limit_sync_listener)(void *owner, enum rate_limit_change change,
    const struct rate_limit_statement *statement);

size_t limit_sync_encode(
    struct rate_limits *limits, usec_t now, char *bytes, size_t size);
size_t limit_sync_encode_turn(const struct rate_limit_turn *turn,
    uint64_t sender, usec_t now, char *bytes, size_t size);
void limit_sync_apply_turn(
    struct rate_limits *limits, usec_t now, const fleet_turn *received);
void limit_sync_apply(struct rate_limits *limits, usec_t now,
    const fleet_limits *received, limit_sync_listener listener, void *owner);

#endif
