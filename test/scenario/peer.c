/* Messages between instances, by datagrams that may be lost. */
#include "scenario.h"

#include <string.h>

#include "godwitvale/peer/peer_codec.h"

/// Instances that each round of heartbeats goes to, as in the daemon.
#define HEARTBEAT_FANOUT 3
/// The envelope and the RPC call around a body, and IP and UDP headers.
#define ENVELOPE_BYTES (40 + 44 + 32 + 28)

enum packet_type { PACKET_HELLO, PACKET_ECHO, PACKET_QUORUM };

struct packet {
	enum packet_type type;
	struct inst *from, *to;
	uint64_t from_boot, to_boot;
	uint64_t version, revision;
	bool has_read; /// the sender has read the register in this life
	struct quorum_message message;
};

static struct contact *
contact_of(struct inst *inst, node_id id)
{
	struct contact *contact = g_hash_table_lookup(inst->contacts, &id);

	if (contact != NULL)
		return contact;
	contact = g_new0(struct contact, 1);
	g_hash_table_insert(
	    inst->contacts, g_memdup2(&id, sizeof(id)), contact);
	return contact;
}

static bool
lists(const struct inst *inst, const struct inst *other)
{
	return inst->list != NULL &&
	    g_ptr_array_find(inst->list->insts, other, NULL);
}

static size_t
message_bytes(const struct quorum_message *message)
{
	char bytes[WIRE_BODY_BYTES_MAX];
	u_quad_t voters[QUORUM_VOTERS_MAX];
	wire_record records[QUORUM_PAGE_RECORDS];
	wire_body body = {.type = WIRE_QUORUM};

	peer_codec_from_quorum(
	    &body.wire_body_u.quorum, message, voters, records);
	return peer_codec_encode(&body, bytes, sizeof(bytes)) + ENVELOPE_BYTES;
}

static void on_packet(struct world *world, void *data);

static void
post(struct packet *packet)
{
	struct world *world = packet->from->world;
	unsigned copies = 1;

	packet->from_boot = packet->from->boot;
	if (packet->type == PACKET_QUORUM) {
		world->n_messages++;
		if (world->measure)
			world->n_bytes += message_bytes(&packet->message);
	} else {
		world->n_hellos++;
		world->hello_bytes += sizeof(wire_hello) + 4 + ENVELOPE_BYTES;
	}
	if (!lists(packet->from, packet->to) || !packet->to->up ||
	    !world_passes(world, &packet->from->end, &packet->to->end))
		return;
	if (world->loss > 0 && g_rand_double(world->random) < world->loss)
		return;
	if (world->dup > 0 && g_rand_double(world->random) < world->dup)
		copies = 2;
	while (copies-- > 0)
		world_after(world, world_delay(world, false), packet->to,
		    on_packet, g_memdup2(packet, sizeof(*packet)), true);
}

static void
hello(struct inst *from, struct inst *to, enum packet_type type, uint64_t boot)
{
	struct packet packet = {
	    .type = type, .from = from, .to = to, .to_boot = boot};

	packet.version = from->bundle == NULL ? 0 : from->bundle->version;
	packet.has_read = from->authority.register_was_read;
	packet.revision = from->list == NULL ? 0 : from->list->revision;
	post(&packet);
}

static void
take_echo(struct inst *inst, const struct packet *packet)
{
	struct contact *contact = contact_of(inst, packet->from->id);

	if (packet->to_boot != inst->boot)
		return;
	contact->boot = packet->from_boot;
	contact->answered_at = inst_now(inst);
	contact->version = packet->version;
	if (packet->has_read)
		authority_record_peer_read(&inst->authority);
	if (inst->list != NULL && packet->revision > inst->list->revision)
		inst->members_due = 0;
	if (inst->bundle == NULL ? packet->version > 0
				 : packet->version > inst->bundle->version)
		inst_fetch(inst, packet->from);
}

static void
on_packet(struct world *world, void *data)
{
	struct packet *packet = data;
	struct inst *inst = packet->to;

	(void)world;
	if (!lists(inst, packet->from)) {
		inst->members_due = 0;
		return;
	}
	if (packet->type == PACKET_HELLO) {
		if (packet->from->up)
			hello(
			    inst, packet->from, PACKET_ECHO, packet->from_boot);
	} else if (packet->type == PACKET_ECHO) {
		take_echo(inst, packet);
	} else if (packet->to_boot != inst->boot ||
	    contact_of(inst, packet->from->id)->boot != packet->from_boot) {
		hello(inst, packet->from, PACKET_HELLO, 0);
	} else {
		quorum_receive(inst->quorum, inst_now(inst), packet->from->id,
		    &packet->message);
	}
	inst_drive(inst);
}

/// Sends a message of the quorum part.
void
peer_say(struct inst *inst, node_id to, const struct quorum_message *message)
{
	struct inst *peer = g_hash_table_lookup(inst->world->by_id, &to);
	struct packet packet = {.type = PACKET_QUORUM, .from = inst};

	if (peer == NULL)
		return;
	packet.to = peer;
	packet.to_boot = contact_of(inst, to)->boot;
	packet.message = *message;
	if (packet.to_boot == 0)
		hello(inst, peer, PACKET_HELLO, 0);
	else
		post(&packet);
}

/// Sends a round of heartbeats.
void
peer_heartbeat(struct inst *inst)
{
	GPtrArray *peers = inst->list == NULL ? NULL : inst->list->insts;

	for (int i = 0; peers != NULL && i < HEARTBEAT_FANOUT; i++) {
		struct inst *peer;

		if (peers->len == 0)
			return;
		peer = peers->pdata[g_rand_int_range(
		    inst->random, 0, (gint32)peers->len)];
		if (peer != inst)
			hello(inst, peer, PACKET_HELLO, 0);
	}
}

/// Counts the listed peers that answered within the freshness span.
unsigned
peer_answered(struct inst *inst, uint64_t *highest)
{
	usec_t since = inst_now(inst) - inst->world->timing.bundle;
	unsigned count = 0;

	for (guint i = 0; inst->list != NULL && i < inst->list->insts->len;
	     i++) {
		struct inst *peer = inst->list->insts->pdata[i];
		const struct contact *contact =
		    g_hash_table_lookup(inst->contacts, &peer->id);

		if (contact == NULL || contact->answered_at == 0 ||
		    contact->answered_at < since)
			continue;
		count++;
		*highest = MAX(*highest, contact->version);
	}
	return count;
}
