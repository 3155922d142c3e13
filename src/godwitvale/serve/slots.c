/*
 * Leases on slots: a cold upstream bears a fixed number of requests from all
 * instances together, so each one sent to it holds a lease on one slot.
 */
#include "godwitvale/serve/slots.h"

#include <string.h>

#include "godwitvale/ops/log.h"
#include "godwitvale/upstream/upstream.h"

/// Term of a lease on a slot; it is renewed while the slot is in use.
#define SLOT_LEASE_TERM (3 * USEC_PER_SEC)
/// When a slot that another instance holds is tried again.
#define SLOT_RETRY (100 * USEC_PER_MSEC)

/// Finds a slot by its place.
///
/// @param slots     the table
/// @param upstream  the upstream
/// @param number    the slot
/// @return its index, or -1
static int
find_place(const GArray *slots, router_upstream upstream, uint32_t number)
{
	for (guint i = 0; i < slots->len; i++) {
		const struct slot *slot = &g_array_index(slots, struct slot, i);

		if (slot->upstream == upstream && slot->number == number)
			return (int)i;
	}
	return -1;
}

/// Finds a slot by its claim.
///
/// @param slots   the table
/// @param ticket  the claim
/// @return its index, or -1
static int
find_ticket(const GArray *slots, quorum_ticket ticket)
{
	for (guint i = 0; i < slots->len; i++) {
		if (g_array_index(slots, struct slot, i).ticket == ticket)
			return (int)i;
	}
	return -1;
}

/// Asks for a lease on a slot.
///
/// @param instance  the instance
/// @param handle    the upstream
/// @param slot      the slot's number
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
	name =
	    g_strdup_printf("%s@%s/%u", upstream->name, upstream->base, slot);
	key = quorum_key_make(QUORUM_LEASE, "slot", name, strlen(name));
	entry.ticket = quorum_start_claim(
	    instance->quorum, g_get_monotonic_time(), &key, &options);
	g_array_append_val(instance->slots, entry);
	g_free(name);
}

/// Gives a slot back.
///
/// @param instance  the instance
/// @param upstream  the upstream
/// @param slot      the slot's number
void
slots_release(
    struct instance *instance, router_upstream upstream, uint32_t slot)
{
	int index = find_place(instance->slots, upstream, slot);

	if (index < 0)
		return;
	quorum_release_claim(instance->quorum, g_get_monotonic_time(),
	    g_array_index(instance->slots, struct slot, index).ticket);
	g_array_remove_index_fast(instance->slots, (guint)index);
}

/// Takes the result of a claim, where it is one on a slot.
///
/// @param instance  the instance
/// @param action    granted, denied or lost
/// @return false when the claim is not on a slot
bool
slots_take_result(struct instance *instance, const struct quorum_action *action)
{
	usec_t now = g_get_monotonic_time();
	int index = find_ticket(instance->slots, action->ticket);
	struct slot slot;

	if (index < 0)
		return false;
	slot = g_array_index(instance->slots, struct slot, index);
	switch (action->type) {
	case QUORUM_ACTION_GRANTED:
		router_slot_granted(
		    instance->router, now, slot.upstream, slot.number);
		break;
	case QUORUM_ACTION_DENIED:
		g_array_remove_index_fast(instance->slots, (guint)index);
		router_slot_denied(instance->router, now, slot.upstream,
		    slot.number, now + SLOT_RETRY);
		break;
	default:
		log_event(LOG_LEVEL_WARN, "slot_lost", "upstream=%u slot=%u",
		    slot.upstream, slot.number);
		break;
	}
	return true;
}
