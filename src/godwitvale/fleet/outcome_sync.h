/*
 * Exchange of the results of requests to plain services, between instances.
 * Times are sent as ages, because the instances' clocks differ.
 */
#ifndef GODWITVALE_FLEET_OUTCOME_SYNC_H
#define GODWITVALE_FLEET_OUTCOME_SYNC_H

#include "godwitvale/core/fleet_outcomes.h"
#include "godwitvale/fleet/fleet_wire_xdr.h"

size_t outcome_sync_encode(struct fleet_outcomes *outcomes, usec_t now,
    uint64_t sender, uint64_t incarnation, char *bytes, size_t size);
void outcome_sync_apply(struct fleet_outcomes *outcomes, usec_t now,
    const fleet_outcomes_message *received);

#endif
