/*
 * Claims and releases slots of cold upstreams. Each slot is a quorum lease, as
 * in the daemon.
 */
#include "slot.h"

#include <string.h>

/// Time after which the router may claim a denied slot again.
#define SLOT_RETRY_DELAY (100 * USEC_PER_MSEC)

/// Returns the name of the upstream with a router handle, or "".
static const char *
upstream_name(struct inst *inst, router_upstream handle)
{
	for (guint i = 0; i < inst->world->upstreams->len; i++) {
		struct upstream *up = inst->world->upstreams->pdata[i];

		if (inst->router_handles[i] == handle)
			return up->end.name;
	}
	return "";
}

void
slot_start_claim(struct inst *inst, router_upstream upstream, uint32_t slot)
{
	struct slot_claim claim = {.upstream = upstream, .slot = slot};
	struct quorum_claim_options options = {
	    .lease_term = inst->world->timing.lease_term};
	char *name =
	    g_strdup_printf("%s/%u", upstream_name(inst, upstream), slot);
	struct quorum_key key =
	    quorum_key_make(QUORUM_LEASE, "slot", name, strlen(name));

	claim.ticket =
	    quorum_start_claim(inst->quorum, inst_now(inst), &key, &options);
	g_array_append_val(inst->slots, claim);
	g_free(name);
}

void
slot_release_claim(struct inst *inst, router_upstream upstream, uint32_t slot)
{
	for (guint i = 0; i < inst->slots->len; i++) {
		struct slot_claim *claim =
		    &g_array_index(inst->slots, struct slot_claim, i);

		if (claim->upstream != upstream || claim->slot != slot)
			continue;
		quorum_release_claim(
		    inst->quorum, inst_now(inst), claim->ticket);
		g_array_remove_index_fast(inst->slots, i);
		return;
	}
}

/// Handles the result of a claim on a slot.
/// @return false if the claim is not on a slot
bool
slot_handle_claim_result(struct inst *inst, const struct quorum_action *action)
{
	usec_t now = inst_now(inst);

	for (guint i = 0; i < inst->slots->len; i++) {
		struct slot_claim claim =
		    g_array_index(inst->slots, struct slot_claim, i);

		if (claim.ticket != action->ticket)
			continue;
		if (action->type == QUORUM_ACTION_GRANTED) {
			router_handle_slot_grant(
			    inst->router, now, claim.upstream, claim.slot);
		} else if (action->type == QUORUM_ACTION_DENIED) {
			g_array_remove_index_fast(inst->slots, i);
			router_handle_slot_denial(inst->router, now,
			    claim.upstream, claim.slot, now + SLOT_RETRY_DELAY);
		}
		return true;
	}
	return false;
}
