/* Receives the datagrams of other instances, and applies them. */
#include <string.h>

#include <glib.h>
#include <sys/socket.h>

#include "godwitvale/fleet/departure_sync.h"
#include "godwitvale/fleet/evidence_sync.h"
#include "godwitvale/fleet/fleet_codec.h"
#include "godwitvale/fleet/limit_sync.h"
#include "godwitvale/fleet/outcome_sync.h"
#include "godwitvale/fleet/pace_sync.h"
#include "godwitvale/fleet/peers_state.h"
#include "godwitvale/fleet/share_sync.h"
#include "godwitvale/fleet/suspect_sync.h"
#include "godwitvale/ops/log.h"

/// Datagrams that are received before the loop's other sources have their turn.
#define RECEIVES_PER_WAKEUP 64

/// Converts loads from their wire format.
static void
decode_loads(const fleet_load *wire, u_int n_loads, struct load_entry *loads)
{
	for (u_int i = 0; i < n_loads; i++)
		loads[i] = (struct load_entry){wire[i].upstream,
		    {wire[i].requests, wire[i].tokens, wire[i].prompt}};
}

/// Applies a message with the load that another instance places on the
/// upstreams.
static void
handle_load_update(struct peers *peers, const fleet_work *work,
    const struct fleet_trailer *trailer)
{
	const struct peers_options *options = &peers->options;
	const struct member *member =
	    membership_find(peers->membership, work->name);
	struct load_entry loads[FLEET_LOADS];

	if (member == NULL || member->incarnation != work->incarnation ||
	    !membership_accept_sequence(
		peers->membership, work->name, trailer->sequence))
		return;
	decode_loads(work->loads.loads_val, work->loads.loads_len, loads);
	loads_merge_peer(
	    options->loads, member->name_hash, loads, work->loads.loads_len);
	options->vtable->loads_changed(options->owner);
}

/// Checks whether a later message of the same incarnation came before this one.
static bool
is_overtaken(const struct peers *peers, const fleet_beat *received,
    const struct fleet_trailer *trailer)
{
	const struct member *member =
	    membership_find(peers->membership, received->name);

	return member != NULL && trailer->sequence != 0 &&
	    member->incarnation == received->incarnation &&
	    trailer->sequence <= member->sequence;
}

/// Applies a heartbeat that says only that its sender runs.
static void
handle_alive(struct peers *peers, const fleet_alive *received)
{
	usec_t now = g_get_monotonic_time();
	const struct member *member = membership_handle_alive(
	    peers->membership, now, received->sender, received->incarnation);

	if (member != NULL)
		address_book_add(peers->addresses, peers_parse_ipv4(member->ip),
		    now + PEERS_TARGET_TTL);
}

/// Adds an address. A hub greets a hub that it didn't know.
static void
learn_address(struct peers *peers, usec_t now, uint32_t address, bool is_hub)
{
	address_book_add(peers->addresses, address, now + PEERS_TARGET_TTL);
	if (address_book_note_hub(peers->addresses, address, is_hub) &&
	    hub_is_hub(peers->hub)) {
		peers_greet_hub(peers, address);
		hub_greet(peers->hub, now, address);
	}
}

/// Adds the addresses that a heartbeat names. Those that a hub names are hubs.
static void
learn_addresses(struct peers *peers, usec_t now, const fleet_beat *received,
    const struct fleet_trailer *trailer)
{
	bool is_hub = (trailer->features & MEMBER_IS_HUB) != 0;

	learn_address(peers, now, peers_parse_ipv4(received->ip), is_hub);
	for (u_int i = 0; i < received->known.known_len; i++) {
		uint32_t address = received->known.known_val[i];

		if (is_hub)
			learn_address(peers, now, address, true);
		else
			address_book_add(
			    peers->addresses, address, now + PEERS_TARGET_TTL);
	}
}

/// Applies a heartbeat.
static void
handle_heartbeat(struct peers *peers, const fleet_beat *received,
    const struct fleet_trailer *trailer)
{
	const struct peers_options *options = &peers->options;
	usec_t now = g_get_monotonic_time();
	const struct member_heartbeat heartbeat = {
	    .name = received->name,
	    .ip = received->ip,
	    .incarnation = received->incarnation,
	    .directory_revision = received->directory_revision,
	    .config_revision = received->config_revision,
	    .config_version = trailer->config_version,
	    .store_era = trailer->era,
	    .features = trailer->features,
	    .zone = trailer->zone,
	    .sequence = trailer->sequence,
	    .link_mbps = trailer->link_mbps,
	    .interval = received->interval_ms * USEC_PER_MSEC,
	    .store_reachable = received->reads_store,
	    .leaving = received->leaving,
	};
	const struct member *member;
	struct load_entry loads[FLEET_LOADS];

	if (is_overtaken(peers, received, trailer))
		return;
	member =
	    membership_handle_heartbeat(peers->membership, now, &heartbeat);
	if (member == NULL)
		return;
	learn_addresses(peers, now, received, trailer);
	decode_loads(
	    received->loads.loads_val, received->loads.loads_len, loads);
	loads_set_peer(options->loads, member->name_hash, loads,
	    received->loads.loads_len);
	for (u_int i = 0; i < received->gone.gone_len; i++)
		options->vtable->unreachable_reported(
		    options->owner, received->gone.gone_val[i]);
	options->vtable->loads_changed(options->owner);
}

/// Checks whether another instance's changes of a scope follow what is known.
/// They don't when earlier changes are missing, as the view must not skip any,
/// and when they are of another era of the store. Members of earlier builds
/// name no era.
///
/// @param era  set to the era of the changes
static bool
do_changes_follow(struct peers *peers, enum site_scope scope,
    const fleet_news *changes, const struct fleet_trailer *trailer,
    uint64_t *era)
{
	const struct peers_options *options = &peers->options;
	const struct view *view = options->view;
	uint64_t revision = view_revision(view, scope);

	*era = trailer->era;
	if (strcmp(changes->name, peers->name) == 0 || revision == 0)
		return false;
	if (!fleet_trailer_names_era(trailer) && !view_has_seen_restore(view))
		*era = store_revision_era(revision);
	if (*era > store_revision_era(revision))
		options->vtable->later_era_reported(options->owner, *era);
	return *era == store_revision_era(revision) &&
	    store_revision_make(*era, changes->after) <= revision;
}

/// Applies changes of a scope that another instance has read.
static void
handle_changes(struct peers *peers, enum site_scope scope,
    const fleet_news *changes, const struct fleet_trailer *trailer)
{
	GPtrArray *items;
	uint64_t era;

	if (!do_changes_follow(peers, scope, changes, trailer, &era))
		return;
	items = fleet_items_to_site(
	    changes->items.items_val, changes->items.items_len, trailer, era);
	view_apply_changes(peers->options.view, g_get_monotonic_time(), scope,
	    items, store_revision_make(era, changes->as_of));
	g_ptr_array_unref(items);
}

/// Applies changes of the operator. Those that are too long are read from the
/// store.
static void
handle_operator_changes(struct peers *peers, const fleet_operator *received,
    const struct fleet_trailer *trailer)
{
	const struct peers_options *options = &peers->options;
	uint64_t known = view_revision(options->view, SITE_SCOPE_OPERATOR);

	if (received->complete)
		handle_changes(
		    peers, SITE_SCOPE_OPERATOR, &received->changes, trailer);
	else if (store_revision_make(trailer->era, received->changes.as_of) >
	    known)
		options->vtable->operator_changed(options->owner);
}

/// Passes on what another instance says of services.
static void
handle_services(struct peers *peers, const fleet_services *received)
{
	const struct peers_options *options = &peers->options;
	const struct member *member =
	    membership_find(peers->membership, received->name);

	if (member == NULL || member->incarnation != received->incarnation)
		return;
	options->vtable->reach_reported(options->owner, member->name_hash,
	    received->cut_off.cut_off_val, received->cut_off.cut_off_len);
	for (u_int i = 0; i < received->brittle.brittle_len; i++) {
		const fleet_brittle *wire = &received->brittle.brittle_val[i];
		const struct peers_brittle brittle = {
		    wire->service, (usec_t)wire->left_ms * USEC_PER_MSEC};

		options->vtable->brittle_reported(options->owner, &brittle);
	}
}

/// Passes a message to the handler for its kind.
static void
handle_message(struct peers *peers, const fleet_message *message,
    const struct fleet_trailer *trailer)
{
	switch (message->kind) {
	case FLEET_BEAT:
		handle_heartbeat(
		    peers, &message->fleet_message_u.beat, trailer);
		break;
	case FLEET_NEWS:
		handle_changes(peers, SITE_SCOPE_UPSTREAMS,
		    &message->fleet_message_u.news, trailer);
		break;
	case FLEET_OPERATOR:
		handle_operator_changes(
		    peers, &message->fleet_message_u.operator_news, trailer);
		break;
	case FLEET_WORK:
		handle_load_update(
		    peers, &message->fleet_message_u.work, trailer);
		break;
	case FLEET_EVIDENCE:
		evidence_sync_apply(peers->options.quarantine,
		    g_get_monotonic_time(), &message->fleet_message_u.evidence);
		break;
	case FLEET_EARLY_CRASHES:
		evidence_sync_apply_early(peers->options.quarantine,
		    g_get_monotonic_time(),
		    &message->fleet_message_u.early_crashes);
		break;
	case FLEET_PACES:
		pace_sync_apply(peers->options.pace, g_get_monotonic_time(),
		    &message->fleet_message_u.paces);
		break;
	case FLEET_LIMITS:
		limit_sync_apply(peers->options.rate_limits,
		    g_get_monotonic_time(), &message->fleet_message_u.limits,
		    peers->options.vtable->limit_reported,
		    peers->options.owner);
		break;
	case FLEET_DEPARTURES:
		departure_sync_apply(g_get_monotonic_time(),
		    &message->fleet_message_u.departures,
		    peers->options.vtable->departure_reported,
		    peers->options.owner);
		break;
	case FLEET_TURN:
		limit_sync_apply_turn(peers->options.rate_limits,
		    g_get_monotonic_time(), &message->fleet_message_u.turn);
		break;
	case FLEET_SUSPECTS:
		suspect_sync_apply(peers->options.suspects,
		    g_get_monotonic_time(), &message->fleet_message_u.suspects);
		break;
	case FLEET_OUTCOMES:
		outcome_sync_apply(peers->options.outcomes,
		    g_get_monotonic_time(), &message->fleet_message_u.outcomes);
		break;
	case FLEET_SHARES:
		share_sync_apply(peers->options.shares, g_get_monotonic_time(),
		    &message->fleet_message_u.shares);
		break;
	case FLEET_SERVICES:
		handle_services(peers, &message->fleet_message_u.services);
		break;
	case FLEET_STREAMS:
		stream_sync_on_records(
		    peers->stream_sync, &message->fleet_message_u.streams);
		break;
	case FLEET_STREAM_QUERY:
		stream_sync_on_query(
		    peers->stream_sync, &message->fleet_message_u.stream_query);
		break;
	case FLEET_STREAM_ANSWER:
		stream_sync_on_answer(peers->stream_sync,
		    &message->fleet_message_u.stream_answer);
		break;
	case FLEET_STREAM_LOOKUP:
		stream_sync_on_lookup(peers->stream_sync,
		    &message->fleet_message_u.stream_lookup);
		break;
	case FLEET_STREAM_WITNESS:
		stream_sync_on_witness(peers->stream_sync,
		    &message->fleet_message_u.stream_witness);
		break;
	case FLEET_ALIVE:
		handle_alive(peers, &message->fleet_message_u.alive);
		break;
	case FLEET_PACK:
		hub_receive(peers->hub, g_get_monotonic_time(),
		    &message->fleet_message_u.pack, peers->has_stalled);
		break;
	}
}

/// Checks whether a message tells of crashes or failures, with their ages, or
/// of what organisations hold. Members tell of it again soon.
static bool
is_evidence(const fleet_message *message)
{
	return message->kind == FLEET_EVIDENCE ||
	    message->kind == FLEET_EARLY_CRASHES ||
	    message->kind == FLEET_SUSPECTS ||
	    message->kind == FLEET_OUTCOMES || message->kind == FLEET_SHARES;
}

/// Decodes a message and applies it.
///
/// @param is_packed  it was in a pack, and must not be one itself
static void
handle_bytes(struct peers *peers, const char *bytes, size_t len, bool is_packed)
{
	struct fleet_trailer trailer;
	fleet_message message;

	if (!fleet_message_decode(bytes, len, &message, &trailer)) {
		log_event(LOG_LEVEL_WARN, "peer-message-unreadable",
		    "bytes=%zu outcome=dropped", len);
		return;
	}
	if (is_packed && message.kind == FLEET_PACK)
		log_event(LOG_LEVEL_WARN, "peer-message-unreadable",
		    "bytes=%zu reason=nested outcome=dropped", len);
	else if (!peers->has_stalled || !is_evidence(&message))
		handle_message(peers, &message, &trailer);
	fleet_message_clear(&message);
}

/// Hub callback: a message of another instance has arrived in a pack.
///
/// @param owner  struct peers
/// @param bytes  encoded fleet_message
/// @param len    its length
void
peers_deliver(void *owner, const char *bytes, size_t len)
{
	handle_bytes(owner, bytes, len, true);
}

/// Loop callback: datagrams are ready to be received. Those that remain are
/// received after the loop's other sources have had their turn.
///
/// @param fd         the socket
/// @param condition  unused
/// @param data       struct peers
/// @return G_SOURCE_CONTINUE
gboolean
peers_on_readable(gint fd, GIOCondition condition, gpointer data)
{
	struct peers *peers = data;
	static char bytes[PEERS_BUFFER_BYTES];
	ssize_t len;

	(void)condition;
	peers_note_run(peers);
	for (int i = 0; i < RECEIVES_PER_WAKEUP; i++) {
		len = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (len < 0) {
			peers->has_stalled = false;
			break;
		}
		handle_bytes(peers, bytes, (size_t)len, false);
	}
	return G_SOURCE_CONTINUE;
}
