/* Leases on the slots of cold upstreams, which limit their load fleet-wide. */
#ifndef GODWITVALE_SERVE_SLOTS_H
#define GODWITVALE_SERVE_SLOTS_H

#include "godwitvale/serve/instance_defs.h"

/// A slot whose lease this instance holds or has claimed.
struct slot {
	router_upstream upstream;
	uint32_t number;      /// index of the slot at its upstream
	quorum_ticket ticket; /// claim of the lease
};

void slots_acquire(
    struct instance *instance, router_upstream upstream, uint32_t slot);
void slots_release(
    struct instance *instance, router_upstream upstream, uint32_t slot);
bool slots_handle_claim_result(
    struct instance *instance, const struct quorum_action *action);

#endif
