/*
 * Messages between instances: one-way ONC RPC calls over UDP. Each is bound
 * to one life of its sender and one of its receiver, and authenticated with
 * the key from the settings, so that neither a forged message nor a replayed
 * one is taken.
 */
#include "godwitvale/peer/peer.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib-unix.h>
#include <rpc/rpc.h>
#include <sodium.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/peer/peer_codec.h"
#include "godwitvale/peer/replay.h"
#include "godwitvale/registry/member_list.h"
#include "godwitvale/serve/rollout.h"
#include "godwitvale/serve/actions.h"

/// Largest datagram sent: the envelope and what RPC puts around it.
#define DATAGRAM_BYTES_MAX (WIRE_BODY_BYTES_MAX + 512)
/// Heartbeats go out this often, each time to a few instances.
#define HEARTBEAT_INTERVAL (400 * USEC_PER_MSEC)
/// Instances that each round of heartbeats goes to.
#define HEARTBEAT_FANOUT 3

/// What is known of one other instance.
struct contact {
	uint64_t boot;      /// its present life; 0: not known
	uint64_t challenge; /// it is to echo this to prove a new life
	struct replay replay;
	usec_t answered_at; /// when it last proved to be alive
	uint64_t bundle_version;
};

struct peer {
	struct instance *instance;
	node_id self;
	int fd;
	SVCXPRT *transport;
	guint source;
	uint64_t sequence;
	GHashTable *contacts; /// node_id -> struct contact
	usec_t heartbeat_due;
	bool called; /// the datagram that is being read was a call of ours
};

/// RPC hands a call to a function without context: the one open socket.
static struct peer *open_peer;

/// Finds or enters a contact.
///
/// @param peer  the part
/// @param id    the instance
/// @return its contact
static struct contact *
contact_get(struct peer *peer, node_id id)
{
	struct contact *contact = g_hash_table_lookup(peer->contacts, &id);
	node_id *key;

	if (contact != NULL)
		return contact;
	contact = g_new0(struct contact, 1);
	key = g_new(node_id, 1);
	*key = id;
	g_hash_table_insert(peer->contacts, key, contact);
	return contact;
}

/// Makes a random number that is not 0.
///
/// @return the number
static uint64_t
random_nonzero(void)
{
	uint64_t number = 0;

	while (number == 0)
		randombytes_buf(&number, sizeof(number));
	return number;
}

/// Works out the tag that authenticates an envelope.
///
/// @param peer      the part
/// @param envelope  all but its tag
/// @param tag       filled in
static void
make_tag(
    const struct peer *peer, const wire_envelope *envelope, unsigned char *tag)
{
	uint64_t head[] = {
	    GUINT64_TO_BE(envelope->sender),
	    GUINT64_TO_BE(envelope->sender_boot),
	    GUINT64_TO_BE(envelope->receiver),
	    GUINT64_TO_BE(envelope->receiver_boot),
	    GUINT64_TO_BE(envelope->sequence),
	};
	crypto_auth_hmacsha512256_state state;

	crypto_auth_hmacsha512256_init(
	    &state, peer->instance->settings->peer_key, SETTINGS_KEY_BYTES);
	crypto_auth_hmacsha512256_update(
	    &state, (const unsigned char *)head, sizeof(head));
	crypto_auth_hmacsha512256_update(&state,
	    (const unsigned char *)envelope->body.body_val,
	    envelope->body.body_len);
	crypto_auth_hmacsha512256_final(&state, tag);
}

/// Encodes an RPC call that wants no answer.
///
/// @param envelope  its argument
/// @param bytes     room for the datagram
/// @param size      size of that room
/// @return number of bytes, 0 on failure
static size_t
encode_call(wire_envelope *envelope, char *bytes, size_t size)
{
	struct rpc_msg call = {
	    .rm_xid = (uint32_t)envelope->sequence,
	    .rm_direction = CALL,
	};
	XDR xdr;
	size_t len = 0;

	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = GODWITVALE_PEER_PROGRAM;
	call.rm_call.cb_vers = GODWITVALE_PEER_V1;
	call.rm_call.cb_proc = PEER_MESSAGE;
	call.rm_call.cb_cred = _null_auth;
	call.rm_call.cb_verf = _null_auth;
	xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
	if (xdr_callmsg(&xdr, &call) && xdr_wire_envelope(&xdr, envelope))
		len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return len;
}

/// Sends a datagram.
///
/// @param peer    the part
/// @param member  to whom
/// @param bytes   first byte
/// @param len     number of bytes
static void
send_datagram(struct peer *peer, const struct member *member, const char *bytes,
    size_t len)
{
	GSocketAddress *address = g_inet_socket_address_new_from_string(
	    member->ip, member->peer_port);
	struct sockaddr_storage native;
	gssize native_len;

	if (address == NULL)
		return;
	native_len = g_socket_address_get_native_size(address);
	if (g_socket_address_to_native(
		address, &native, sizeof(native), NULL) &&
	    sendto(peer->fd, bytes, len, MSG_DONTWAIT,
		(struct sockaddr *)&native, (socklen_t)native_len) >= 0)
		metrics_add(METRIC_PEER_SENT, 1);
	g_object_unref(address);
}

/// Sends a body to one life of an instance.
///
/// @param peer  the part
/// @param to    the instance
/// @param boot  its life; 0: any, for a heartbeat that asks for it
/// @param body  the body
static void
send_body(struct peer *peer, node_id to, uint64_t boot, const wire_body *body)
{
	const struct member *member =
	    member_list_find(peer->instance->members, to);
	char inner[WIRE_BODY_BYTES_MAX];
	char outer[DATAGRAM_BYTES_MAX];
	wire_envelope envelope = {
	    .sender = peer->self,
	    .sender_boot = peer->instance->boot_id,
	    .receiver = to,
	    .receiver_boot = boot,
	    .sequence = ++peer->sequence,
	};
	size_t len;

	if (member == NULL)
		return;
	len = peer_codec_encode(body, inner, sizeof(inner));
	if (len == 0)
		return;
	envelope.body.body_val = inner;
	envelope.body.body_len = (u_int)len;
	make_tag(peer, &envelope, (unsigned char *)envelope.tag);
	len = encode_call(&envelope, outer, sizeof(outer));
	if (len > 0)
		send_datagram(peer, member, outer, len);
}

/// Sends a heartbeat.
///
/// @param peer  the part
/// @param to    the instance
/// @param boot  the life it is for, 0: any
/// @param echo  the challenge that it answers, 0: none
static void
send_hello(struct peer *peer, node_id to, uint64_t boot, uint64_t echo)
{
	struct contact *contact = contact_get(peer, to);
	const struct bundle *bundle = peer->instance->bundle;
	wire_body body = {.type = WIRE_HELLO};

	if (contact->challenge == 0)
		contact->challenge = random_nonzero();
	body.wire_body_u.hello.challenge = echo == 0 ? contact->challenge : 0;
	body.wire_body_u.hello.echo = echo;
	body.wire_body_u.hello.bundle_version =
	    bundle == NULL ? 0 : bundle->version;
	body.wire_body_u.hello.list_revision =
	    member_list_get_revision(peer->instance->members);
	body.wire_body_u.hello.register_read =
	    peer->instance->authority.register_was_read;
	send_body(peer, to, boot, &body);
}

/// Takes a heartbeat: answers its challenge, or takes its proof of life.
///
/// @param peer      the part
/// @param envelope  the envelope
/// @param hello     the heartbeat
static void
take_hello(
    struct peer *peer, const wire_envelope *envelope, const wire_hello *hello)
{
	struct contact *contact = contact_get(peer, envelope->sender);
	struct instance *instance = peer->instance;

	if (hello->challenge != 0)
		send_hello(peer, envelope->sender, envelope->sender_boot,
		    hello->challenge);
	if (hello->echo == 0 || hello->echo != contact->challenge ||
	    envelope->receiver_boot != instance->boot_id)
		return;
	if (contact->boot != envelope->sender_boot) {
		contact->boot = envelope->sender_boot;
		replay_init(&contact->replay, envelope->sequence);
	}
	contact->challenge = 0;
	contact->answered_at = g_get_monotonic_time();
	contact->bundle_version = hello->bundle_version;
	if (hello->register_read)
		authority_record_peer_read(&instance->authority);
	if (hello->list_revision > member_list_get_revision(instance->members))
		member_list_schedule_read(instance->members);
	if (instance->bundle == NULL ||
	    hello->bundle_version > instance->bundle->version)
		rollout_fetch_from_peer(instance, envelope->sender);
}

/// Takes a message of the quorum part, unless it is of another life or a
/// repeated one.
///
/// @param peer      the part
/// @param envelope  the envelope
/// @param wire      the message
static void
take_quorum(
    struct peer *peer, const wire_envelope *envelope, const wire_quorum *wire)
{
	struct contact *contact = contact_get(peer, envelope->sender);
	struct quorum_message message;

	if (envelope->receiver_boot != peer->instance->boot_id ||
	    contact->boot != envelope->sender_boot) {
		metrics_add(METRIC_PEER_DROPPED_UNKNOWN, 1);
		send_hello(peer, envelope->sender, 0, 0);
		return;
	}
	if (!replay_take(&contact->replay, envelope->sequence)) {
		metrics_add(METRIC_PEER_DROPPED_REPLAYED, 1);
		return;
	}
	if (!peer_codec_to_quorum(&message, wire)) {
		metrics_add(METRIC_PEER_DROPPED_GARBAGE, 1);
		return;
	}
	quorum_receive(peer->instance->quorum, g_get_monotonic_time(),
	    envelope->sender, &message);
}

/// Takes an envelope.
///
/// @param peer      the part
/// @param envelope  the envelope
static void
take_envelope(struct peer *peer, wire_envelope *envelope)
{
	unsigned char tag[WIRE_TAG_BYTES];
	wire_body body;

	make_tag(peer, envelope, tag);
	if (sodium_memcmp(tag, envelope->tag, sizeof(tag)) != 0) {
		metrics_add(METRIC_PEER_DROPPED_FORGED, 1);
		return;
	}
	if (envelope->receiver != peer->self ||
	    envelope->sender == peer->self ||
	    member_list_find(peer->instance->members, envelope->sender) ==
		NULL) {
		metrics_add(METRIC_PEER_DROPPED_UNKNOWN, 1);
		member_list_schedule_read(peer->instance->members);
		return;
	}
	if (!peer_codec_decode(
		&body, envelope->body.body_val, envelope->body.body_len)) {
		metrics_add(METRIC_PEER_DROPPED_GARBAGE, 1);
		return;
	}
	metrics_add(METRIC_PEER_RECEIVED, 1);
	if (body.type == WIRE_HELLO)
		take_hello(peer, envelope, &body.wire_body_u.hello);
	else
		take_quorum(peer, envelope, &body.wire_body_u.quorum);
	peer_codec_free(&body);
}

/// Takes an RPC call; no answer is sent to any.
///
/// @param request    the call
/// @param transport  where its argument is
static void
on_call(struct svc_req *request, SVCXPRT *transport)
{
	wire_envelope envelope;

	if (open_peer == NULL || request->rq_proc != PEER_MESSAGE)
		return;
	memset(&envelope, 0, sizeof(envelope));
	if (svc_getargs(
		transport, (xdrproc_t)xdr_wire_envelope, (char *)&envelope)) {
		open_peer->called = true;
		take_envelope(open_peer, &envelope);
	}
	svc_freeargs(
	    transport, (xdrproc_t)xdr_wire_envelope, (char *)&envelope);
}

/// Takes the datagrams that wait.
///
/// @param fd         the socket
/// @param condition  unused
/// @param data       the part
/// @return G_SOURCE_CONTINUE
static gboolean
on_readable(gint fd, GIOCondition condition, gpointer data)
{
	struct peer *peer = data;

	(void)condition;
	peer->called = false;
	svc_getreq_common(fd);
	if (!peer->called)
		metrics_add(METRIC_PEER_DROPPED_GARBAGE, 1);
	actions_execute_pending(peer->instance);
	return G_SOURCE_CONTINUE;
}

/// Opens the UDP socket.
///
/// @param address  IP number and port
/// @param error    set on failure
/// @return the socket, or -1
static int
open_socket(const struct settings_address *address, GError **error)
{
	GSocketAddress *from =
	    g_inet_socket_address_new_from_string(address->ip, address->port);
	struct sockaddr_storage native;
	gssize len = g_socket_address_get_native_size(from);
	int fd = -1;

	if (!g_socket_address_to_native(from, &native, sizeof(native), error))
		goto out;
	fd = socket(
	    native.ss_family, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd >= 0 &&
	    bind(fd, (struct sockaddr *)&native, (socklen_t)len) == 0)
		goto out;
	g_set_error(error, G_IO_ERROR, g_io_error_from_errno(errno),
	    "UDP %s:%u: %s", address->ip, address->port, g_strerror(errno));
	if (fd >= 0)
		close(fd);
	fd = -1;
out:
	g_object_unref(from);
	return fd;
}

/// Opens the part.
///
/// @param instance  the instance; its settings name the address
/// @param error     set when the address can't be bound
/// @return the part, or NULL
struct peer *
peer_open(struct instance *instance, GError **error)
{
	struct peer *peer;
	int fd = open_socket(&instance->settings->peer, error);

	if (fd < 0)
		return NULL;
	peer = g_new0(struct peer, 1);
	peer->instance = instance;
	peer->self = hash_name(instance->settings->instance);
	peer->fd = fd;
	peer->contacts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	peer->transport =
	    svc_dg_create(fd, DATAGRAM_BYTES_MAX, DATAGRAM_BYTES_MAX);
	if (peer->transport == NULL ||
	    !svc_reg(peer->transport, GODWITVALE_PEER_PROGRAM,
		GODWITVALE_PEER_V1, on_call, NULL)) {
		g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_FAILED,
		    "the RPC service can't be registered");
		peer_close(peer);
		return NULL;
	}
	open_peer = peer;
	peer->source = g_unix_fd_add(fd, G_IO_IN, on_readable, peer);
	return peer;
}

/// Closes the part.
///
/// @param peer  the part, or NULL
void
peer_close(struct peer *peer)
{
	if (peer == NULL)
		return;
	open_peer = NULL;
	if (peer->source != 0)
		g_source_remove(peer->source);
	if (peer->transport != NULL)
		svc_destroy(peer->transport);
	else
		close(peer->fd);
	g_hash_table_unref(peer->contacts);
	g_free(peer);
}

/// Sends a message of the quorum part; it may be lost.
///
/// @param peer     the part
/// @param to       the instance
/// @param message  the message
void
peer_send(struct peer *peer, node_id to, const struct quorum_message *message)
{
	struct contact *contact = contact_get(peer, to);
	u_quad_t voters[QUORUM_VOTERS_MAX];
	wire_record records[QUORUM_PAGE_RECORDS];
	wire_body body = {.type = WIRE_QUORUM};

	if (contact->boot == 0) {
		send_hello(peer, to, 0, 0);
		return;
	}
	peer_codec_from_quorum(
	    &body.wire_body_u.quorum, message, voters, records);
	send_body(peer, to, contact->boot, &body);
}

/// Sends the heartbeats that are due.
///
/// @param peer  the part
/// @param now   current time
void
peer_tick(struct peer *peer, usec_t now)
{
	GPtrArray *members = member_list_get_members(peer->instance->members);
	GRand *random = peer->instance->random;

	if (now < peer->heartbeat_due || members->len == 0)
		return;
	peer->heartbeat_due = now + HEARTBEAT_INTERVAL;
	for (int i = 0; i < HEARTBEAT_FANOUT; i++) {
		const struct member *member = g_ptr_array_index(
		    members, g_rand_int_range(random, 0, (gint32)members->len));

		if (member->id != peer->self)
			send_hello(peer, member->id, 0, 0);
	}
}

/// Counts the listed instances that have proved to be alive.
///
/// @param peer             the part
/// @param since            proofs before this do not count
/// @param highest_version  raised to the highest bundle that one named
/// @return their number, this instance not included
unsigned
peer_answered_since(
    const struct peer *peer, usec_t since, uint64_t *highest_version)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init(&iter, peer->contacts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct contact *contact = value;

		if (contact->answered_at == 0 || contact->answered_at < since ||
		    member_list_find(
			peer->instance->members, *(node_id *)key) == NULL)
			continue;
		count++;
		*highest_version =
		    MAX(*highest_version, contact->bundle_version);
	}
	return count;
}

/// Tells this instance's identifier.
///
/// @param peer  the part
/// @return the identifier
node_id
peer_self(const struct peer *peer)
{
	return peer->self;
}
