/*
 * Exchange of evidence on prompt segments that crash engines, between the
 * quarantines of the instances. Times are sent as ages, because the instances'
 * clocks differ.
 */
#ifndef GODWITVALE_FLEET_EVIDENCE_SYNC_H
#define GODWITVALE_FLEET_EVIDENCE_SYNC_H

#include "godwitvale/core/quarantine.h"
#include "godwitvale/fleet/fleet_wire_xdr.h"

size_t evidence_sync_encode(const struct quarantine *quarantine, usec_t now,
    const char *sender, char *bytes, size_t size);
void evidence_sync_apply(
    struct quarantine *quarantine, usec_t now, const fleet_evidence *evidence);
size_t evidence_sync_encode_early(
    const struct quarantine *quarantine, usec_t now, char *bytes, size_t size);
void evidence_sync_apply_early(struct quarantine *quarantine, usec_t now,
    const fleet_early_crashes *early);

#endif
