/* Leases on the slots of cold upstreams. */
#ifndef GODWITVALE_SERVE_SLOTS_H
#define GODWITVALE_SERVE_SLOTS_H

#include "godwitvale/serve/instance_defs.h"

/// One slot that this instance holds or asks for.
struct slot {
	router_upstream upstream;
	uint32_t number;
	quorum_ticket ticket;
};

void slots_acquire(
    struct instance *instance, router_upstream upstream, uint32_t slot);
void slots_release(
    struct instance *instance, router_upstream upstream, uint32_t slot);
bool slots_take_result(
    struct instance *instance, const struct quorum_action *action);

#endif
