/*
 * Claims slots of cold upstreams for an instance and releases them.
 */
#ifndef SCENARIO_SLOT_H
#define SCENARIO_SLOT_H

#include "scenario.h"

/// A slot that an instance holds or has claimed.
struct slot_claim {
	router_upstream upstream;
	uint32_t slot;
	quorum_ticket ticket; /// of the claim on the slot's lease
};

void slot_start_claim(
    struct inst *inst, router_upstream upstream, uint32_t slot);
void slot_release_claim(
    struct inst *inst, router_upstream upstream, uint32_t slot);
bool slot_handle_claim_result(
    struct inst *inst, const struct quorum_action *action);

#endif
