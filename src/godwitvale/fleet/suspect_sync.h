/* Messages with the evidence on requests that crash upstreams. */
#ifndef GODWITVALE_FLEET_SUSPECT_SYNC_H
#define GODWITVALE_FLEET_SUSPECT_SYNC_H

#include "godwitvale/core/crash_suspects.h"
#include "godwitvale/fleet/fleet_wire_xdr.h"

size_t suspect_sync_encode(const struct crash_suspects *suspects, usec_t now,
    char *bytes, size_t size);
void suspect_sync_apply(struct crash_suspects *suspects, usec_t now,
    const fleet_suspects *received);

#endif
