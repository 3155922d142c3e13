/*
 * Acquires and releases leases on the slots of cold upstreams. A cold upstream
 * has a limited number of slots, shared by all instances, and each request
 * sent to it needs a lease on one slot.
 */
#include "godwitvale/serve/slots.h"

#include <string.h>

#include "godwitvale/ops/log.h"
#include "godwitvale/upstream/upstream.h"

/// Term of a slot lease. The lease is renewed until the slot is released.
#define SLOT_LEASE_TERM (3 * USEC_PER_SEC)
/// Delay before a slot whose lease was denied is claimed again.
#define SLOT_RETRY_DELAY (100 * USEC_PER_MSEC)

/// Finds a slot by its upstream and number.
///
/// @param slots     slots held or claimed by this instance
/// @param upstream  upstream that the slot belongs to
/// @param number    index of the slot at its upstream
/// @return index in the array, or -1
static int
find_slot(const GArray *slots, router_upstream upstream, uint32_t number)
{
	for (guint i = 0; i < slots->len; i++) {
		const struct slot *slot = &g_array_index(slots, struct slot, i);

		if (slot->upstream == upstream && slot->number == number)
			return (int)i;
	}
	return -1;
}

/// Finds a slot by the ticket of its claim.
///
/// @param slots   slots held or claimed by this instance
/// @param ticket  ticket of the claim
/// @return index in the array, or -1
static int
find_slot_by_ticket(const GArray *slots, quorum_ticket ticket)
{
	for (guint i = 0; i < slots->len; i++) {
		if (g_array_index(slots, struct slot, i).ticket == ticket)
			return (int)i;
	}
	return -1;
}

/// Claims the lease on a slot. Does nothing if the upstream is not known.
///
/// @param instance  instance that claims the lease
/// @param handle    upstream that the slot belongs to
/// @param slot      index of the slot at its upstream
void
slots_acquire(struct instance *instance, router_upstream handle, uint32_t slot)
{
	struct upstream *upstream = upstream_find(instance->upstreams, handle);
	struct quorum_key key;
	struct slot entry = {.upstream = handle, .number = slot};
	struct quorum_claim_options options = {
	    .lease_term = SLOT_LEASE_TERM,
	};
	char *name;

	if (upstream == NULL)
		return;
	name = g_strdup_printf(
	    "%s@%s/%u", upstream->name, upstream->base_uri, slot);
	key = quorum_key_make(QUORUM_LEASE, "slot", name, strlen(name));
	entry.ticket = quorum_start_claim(
	    instance->quorum, g_get_monotonic_time(), &key, &options);
	g_array_append_val(instance->slots, entry);
	g_free(name);
}

/// Releases the lease on a slot, or cancels its claim. Does nothing if this
/// instance has no claim on the slot.
///
/// @param instance  instance that holds the lease
/// @param upstream  upstream that the slot belongs to
/// @param slot      index of the slot at its upstream
void
slots_release(
    struct instance *instance, router_upstream upstream, uint32_t slot)
{
	int index = find_slot(instance->slots, upstream, slot);

	if (index < 0)
		return;
	quorum_release_claim(instance->quorum, g_get_monotonic_time(),
	    g_array_index(instance->slots, struct slot, index).ticket);
	g_array_remove_index_fast(instance->slots, (guint)index);
}

/// Handles the result of a claim if the claim is on a slot, and reports a grant
/// or a denial to the router. The loss of a lease is only logged.
///
/// @param instance  instance that made the claim
/// @param action    a GRANTED, DENIED or LEASE_LOST action
/// @return false if the claim is not on a slot
bool
slots_handle_claim_result(
    struct instance *instance, const struct quorum_action *action)
{
	usec_t now = g_get_monotonic_time();
	int index = find_slot_by_ticket(instance->slots, action->ticket);
	struct slot slot;

	if (index < 0)
		return false;
	slot = g_array_index(instance->slots, struct slot, index);
	switch (action->type) {
	case QUORUM_ACTION_GRANTED:
		router_handle_slot_grant(
		    instance->router, now, slot.upstream, slot.number);
		break;
	case QUORUM_ACTION_DENIED:
		g_array_remove_index_fast(instance->slots, (guint)index);
		router_handle_slot_denial(instance->router, now, slot.upstream,
		    slot.number, now + SLOT_RETRY_DELAY);
		break;
	default:
		log_event(LOG_LEVEL_WARN, "slot_lost", "upstream=%u slot=%u",
		    slot.upstream, slot.number);
		break;
	}
	return true;
}
