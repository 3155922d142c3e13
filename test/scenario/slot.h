/* Slots of cold upstreams that an instance holds or has asked for. */
#ifndef SCENARIO_SLOT_H
#define SCENARIO_SLOT_H

#include "scenario.h"

struct slot_claim {
	router_upstream upstream;
	uint32_t slot;
	quorum_ticket ticket;
};

void slot_ask(struct inst *inst, router_upstream upstream, uint32_t slot);
void slot_release(struct inst *inst, router_upstream upstream, uint32_t slot);
bool slot_claimed(struct inst *inst, const struct quorum_action *action);

#endif
