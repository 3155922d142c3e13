/*
 * Exchange of the base intervals of engines between instances. Times are sent
 * as ages, because the instances' clocks differ.
 */
#ifndef GODWITVALE_FLEET_PACE_SYNC_H
#define GODWITVALE_FLEET_PACE_SYNC_H

#include "godwitvale/core/engine_pace.h"
#include "godwitvale/fleet/fleet_wire_xdr.h"

size_t pace_sync_encode(
    struct engine_pace *pace, usec_t now, char *bytes, size_t size);
void pace_sync_apply(
    struct engine_pace *pace, usec_t now, const fleet_paces *received);

#endif
