/*
 * Sends and receives messages between instances as datagrams that the network
 * may lose or duplicate: heartbeats, their echoes and quorum messages.
 */
#include "scenario.h"

#include <string.h>

#include "godwitvale/peer/peer_codec.h"

/// Number of peers that get a heartbeat in each interval, as in the daemon.
#define HEARTBEAT_FANOUT 3
/// Size of the envelope and the RPC call around a body, and of the IP and UDP
/// headers.
#define ENVELOPE_BYTES (40 + 44 + 32 + 28)

enum packet_type { PACKET_HELLO, PACKET_ECHO, PACKET_QUORUM };

/// A datagram in flight.
struct packet {
	enum packet_type type;
	struct inst *from, *to;
	uint64_t from_boot, to_boot; /// boot IDs; to_boot 0: unknown
	uint64_t version, revision;  /// of the sender's bundle and list
	bool has_read; /// the sender has read the register since its start
	struct quorum_message message;
};

/// Returns the state of a peer, which is created if needed.
static struct peer_state *
ensure_peer_state(struct inst *inst, node_id id)
{
	struct peer_state *state = g_hash_table_lookup(inst->peer_states, &id);

	if (state != NULL)
		return state;
	state = g_new0(struct peer_state, 1);
	g_hash_table_insert(
	    inst->peer_states, g_memdup2(&id, sizeof(id)), state);
	return state;
}

/// Reports whether the membership list of one instance contains another.
static bool
has_listed(const struct inst *inst, const struct inst *other)
{
	return inst->list != NULL &&
	    g_ptr_array_find(inst->list->insts, other, NULL);
}

/// Returns the size of a quorum message on the wire in bytes.
static size_t
quorum_message_bytes(const struct quorum_message *message)
{
	char bytes[WIRE_BODY_BYTES_MAX];
	u_quad_t voters[QUORUM_VOTERS_MAX];
	wire_record records[QUORUM_PAGE_RECORDS];
	wire_body body = {.type = WIRE_QUORUM};

	peer_codec_quorum_to_wire(
	    &body.wire_body_u.quorum, message, voters, records);
	return peer_codec_encode_body(&body, bytes, sizeof(bytes)) +
	    ENVELOPE_BYTES;
}

static void on_packet(struct world *world, void *data);

static void
send_packet(struct packet *packet)
{
	struct world *world = packet->from->world;
	unsigned copies = 1;

	packet->from_boot = packet->from->boot;
	if (packet->type == PACKET_QUORUM) {
		world->n_quorum_messages++;
		if (world->measure_bytes)
			world->n_quorum_bytes +=
			    quorum_message_bytes(&packet->message);
	} else {
		world->n_hellos++;
		world->n_hello_bytes += sizeof(wire_hello) + 4 + ENVELOPE_BYTES;
	}
	if (!has_listed(packet->from, packet->to) || !packet->to->up ||
	    !world_is_reachable(world, &packet->from->end, &packet->to->end))
		return;
	if (world->loss > 0 && g_rand_double(world->random) < world->loss)
		return;
	if (world->dup > 0 && g_rand_double(world->random) < world->dup)
		copies = 2;
	while (copies-- > 0)
		world_schedule(world, world_draw_delay(world, false),
		    packet->to, on_packet, g_memdup2(packet, sizeof(*packet)),
		    true);
}

static void
send_hello(
    struct inst *from, struct inst *to, enum packet_type type, uint64_t boot)
{
	struct packet packet = {
	    .type = type, .from = from, .to = to, .to_boot = boot};

	packet.version = from->bundle == NULL ? 0 : from->bundle->version;
	packet.has_read = from->bundle_freshness.register_was_read;
	packet.revision = from->list == NULL ? 0 : from->list->revision;
	send_packet(&packet);
}

static void
handle_echo(struct inst *inst, const struct packet *packet)
{
	struct peer_state *state = ensure_peer_state(inst, packet->from->id);

	if (packet->to_boot != inst->boot)
		return;
	state->boot = packet->from_boot;
	state->answered_at = inst_now(inst);
	state->version = packet->version;
	if (packet->has_read)
		bundle_freshness_record_peer_read(&inst->bundle_freshness);
	if (inst->list != NULL && packet->revision > inst->list->revision)
		inst->members_due = 0;
	if (inst->bundle == NULL ? packet->version > 0
				 : packet->version > inst->bundle->version)
		inst_fetch_bundle(inst, packet->from);
}

static void
on_packet(struct world *world, void *data)
{
	struct packet *packet = data;
	struct inst *inst = packet->to;

	(void)world;
	if (!has_listed(inst, packet->from)) {
		inst->members_due = 0;
		return;
	}
	if (packet->type == PACKET_HELLO) {
		if (packet->from->up)
			send_hello(
			    inst, packet->from, PACKET_ECHO, packet->from_boot);
	} else if (packet->type == PACKET_ECHO) {
		handle_echo(inst, packet);
	} else if (packet->to_boot != inst->boot ||
	    ensure_peer_state(inst, packet->from->id)->boot !=
		packet->from_boot) {
		send_hello(inst, packet->from, PACKET_HELLO, 0);
	} else {
		quorum_handle_message(inst->quorum, inst_now(inst),
		    packet->from->id, &packet->message);
	}
	inst_run_actions(inst);
}

/// Sends a quorum message to a peer. If the boot ID of the peer is unknown,
/// sends a heartbeat instead, whose echo contains the boot ID.
void
peer_send_quorum_message(
    struct inst *inst, node_id to, const struct quorum_message *message)
{
	struct inst *peer = g_hash_table_lookup(inst->world->insts_by_id, &to);
	struct packet packet = {.type = PACKET_QUORUM, .from = inst};

	if (peer == NULL)
		return;
	packet.to = peer;
	packet.to_boot = ensure_peer_state(inst, to)->boot;
	packet.message = *message;
	if (packet.to_boot == 0)
		send_hello(inst, peer, PACKET_HELLO, 0);
	else
		send_packet(&packet);
}

/// Sends heartbeats to randomly chosen peers.
void
peer_send_heartbeats(struct inst *inst)
{
	GPtrArray *peers = inst->list == NULL ? NULL : inst->list->insts;

	for (int i = 0; peers != NULL && i < HEARTBEAT_FANOUT; i++) {
		struct inst *peer;

		if (peers->len == 0)
			return;
		peer = peers->pdata[g_rand_int_range(
		    inst->random, 0, (gint32)peers->len)];
		if (peer != inst)
			send_hello(inst, peer, PACKET_HELLO, 0);
	}
}

/// Returns the number of listed peers that echoed a heartbeat within
/// timing.bundle_freshness.
/// @param highest  raised to the highest bundle version of these peers
unsigned
peer_count_fresh(struct inst *inst, uint64_t *highest)
{
	usec_t since = inst_now(inst) - inst->world->timing.bundle_freshness;
	unsigned count = 0;

	for (guint i = 0; inst->list != NULL && i < inst->list->insts->len;
	     i++) {
		struct inst *peer = inst->list->insts->pdata[i];
		const struct peer_state *state =
		    g_hash_table_lookup(inst->peer_states, &peer->id);

		if (state == NULL || state->answered_at == 0 ||
		    state->answered_at < since)
			continue;
		count++;
		*highest = MAX(*highest, state->version);
	}
	return count;
}
