/*
 * Exchange between instances of the engine memory that organisations hold.
 */
#ifndef GODWITVALE_FLEET_SHARE_SYNC_H
#define GODWITVALE_FLEET_SHARE_SYNC_H

#include "godwitvale/core/organisation_shares.h"
#include "godwitvale/fleet/fleet_wire_xdr.h"

size_t share_sync_encode(struct organisation_shares *shares, usec_t now,
    uint64_t sender, uint64_t incarnation, char *bytes, size_t size);
void share_sync_apply(struct organisation_shares *shares, usec_t now,
    const fleet_shares_message *received);

#endif
