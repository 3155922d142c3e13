/*
 * Sends and receives the messages between instances, which are one-way ONC RPC
 * calls over UDP. Every message names the boot IDs of its sender and receiver,
 * and carries an HMAC with the shared key from the settings. A quorum message
 * is accepted only from the verified boot of its sender to the current boot of
 * its receiver, and only once. Heartbeats verify the boot ID of another
 * instance by a random challenge, which that instance must echo.
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

/// Maximum size of a datagram: the body, and 512 bytes for the rest of the
/// envelope and the RPC header.
#define DATAGRAM_BYTES_MAX (WIRE_BODY_BYTES_MAX + 512)
/// Time between two rounds of heartbeats.
#define HEARTBEAT_INTERVAL (400 * USEC_PER_MSEC)
/// Instances picked at random as receivers of each round of heartbeats.
#define HEARTBEAT_FANOUT 3

/// State of one other instance.
struct peer_state {
	uint64_t boot_id;   /// verified current boot ID; 0: not known
	uint64_t challenge; /// sent and not echoed yet; 0: none
	struct replay_window replay_window; /// of messages of boot_id
	usec_t verified_at;      /// time of the last valid echo; 0: never
	uint64_t bundle_version; /// from the last valid echo; 0: no bundle
};

/// Socket of this instance for messages to and from other instances.
struct peer_endpoint {
	struct instance *instance;
	node_id self; /// ID of this instance
	int fd;
	SVCXPRT *transport;
	guint fd_source;          /// runs on_readable(); 0: none
	uint64_t sequence;        /// sequence number of the last message sent
	GHashTable *peer_states;  /// node_id -> struct peer_state
	usec_t next_heartbeat_at; /// time of the next round of heartbeats
	bool call_received; /// the datagram being read was a PEER_MESSAGE call
};

/// The open endpoint; NULL: none. The RPC library passes no user data to
/// on_rpc_call(), so only one endpoint can be open in a process.
static struct peer_endpoint *active_endpoint;

/// Finds the state of an instance, or creates it.
///
/// @param endpoint  owner of the states
/// @param id        ID of the other instance
/// @return the state, owned by the endpoint
static struct peer_state *
ensure_peer_state(struct peer_endpoint *endpoint, node_id id)
{
	struct peer_state *state =
	    g_hash_table_lookup(endpoint->peer_states, &id);
	node_id *key;

	if (state != NULL)
		return state;
	state = g_new0(struct peer_state, 1);
	key = g_new(node_id, 1);
	*key = id;
	g_hash_table_insert(endpoint->peer_states, key, state);
	return state;
}

/// Generates a random number other than 0.
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

/// Computes the HMAC of an envelope with the shared key of the instances.
///
/// @param endpoint  endpoint whose settings hold the key
/// @param envelope  all fields set, apart from the tag
/// @param tag       filled in with WIRE_TAG_BYTES bytes
static void
compute_tag(const struct peer_endpoint *endpoint, const wire_envelope *envelope,
    unsigned char *tag)
{
	uint64_t header[] = {
	    GUINT64_TO_BE(envelope->sender),
	    GUINT64_TO_BE(envelope->sender_boot),
	    GUINT64_TO_BE(envelope->receiver),
	    GUINT64_TO_BE(envelope->receiver_boot),
	    GUINT64_TO_BE(envelope->sequence),
	};
	crypto_auth_hmacsha512256_state state;

	crypto_auth_hmacsha512256_init(
	    &state, endpoint->instance->settings->peer_key, SETTINGS_KEY_BYTES);
	crypto_auth_hmacsha512256_update(
	    &state, (const unsigned char *)header, sizeof(header));
	crypto_auth_hmacsha512256_update(&state,
	    (const unsigned char *)envelope->body.body_val,
	    envelope->body.body_len);
	crypto_auth_hmacsha512256_final(&state, tag);
}

/// Encodes a one-way RPC call, which asks for no reply.
///
/// @param envelope  argument of the call
/// @param bytes     filled in with the datagram
/// @param size      size of bytes, in bytes
/// @return length of the datagram in bytes, 0 on failure
static size_t
encode_rpc_call(wire_envelope *envelope, char *bytes, size_t size)
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

/// Sends a datagram and counts it. Errors are ignored: delivery is not
/// guaranteed anyway.
///
/// @param endpoint  endpoint that sends
/// @param member    receiver, with its address
/// @param bytes     the datagram
/// @param len       its length in bytes
static void
send_datagram(struct peer_endpoint *endpoint, const struct member *member,
    const char *bytes, size_t len)
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
	    sendto(endpoint->fd, bytes, len, MSG_DONTWAIT,
		(struct sockaddr *)&native, (socklen_t)native_len) >= 0)
		metrics_add(METRIC_PEER_SENT, 1);
	g_object_unref(address);
}

/// Wraps a message body in an authenticated envelope and sends it. Does nothing
/// when the receiver isn't in the member list.
///
/// @param endpoint  endpoint that sends
/// @param to        ID of the receiver
/// @param boot_id   boot ID of the receiver; 0: any boot, for heartbeats that
///                  ask for the boot ID
/// @param body      message to encode
static void
send_body(struct peer_endpoint *endpoint, node_id to, uint64_t boot_id,
    const wire_body *body)
{
	const struct member *member =
	    member_list_find(endpoint->instance->members, to);
	char body_bytes[WIRE_BODY_BYTES_MAX];
	char datagram[DATAGRAM_BYTES_MAX];
	wire_envelope envelope = {
	    .sender = endpoint->self,
	    .sender_boot = endpoint->instance->boot_id,
	    .receiver = to,
	    .receiver_boot = boot_id,
	    .sequence = ++endpoint->sequence,
	};
	size_t len;

	if (member == NULL)
		return;
	len = peer_codec_encode_body(body, body_bytes, sizeof(body_bytes));
	if (len == 0)
		return;
	envelope.body.body_val = body_bytes;
	envelope.body.body_len = (u_int)len;
	compute_tag(endpoint, &envelope, (unsigned char *)envelope.tag);
	len = encode_rpc_call(&envelope, datagram, sizeof(datagram));
	if (len > 0)
		send_datagram(endpoint, member, datagram, len);
}

/// Sends a heartbeat: either a challenge, or the reply to one.
///
/// @param endpoint  endpoint that sends
/// @param to        ID of the receiver
/// @param boot_id   boot ID of the receiver; 0: any boot
/// @param echo      challenge of the receiver that is echoed; 0: the heartbeat
///                  carries a challenge
static void
send_heartbeat(
    struct peer_endpoint *endpoint, node_id to, uint64_t boot_id, uint64_t echo)
{
	struct peer_state *state = ensure_peer_state(endpoint, to);
	const struct bundle *bundle = endpoint->instance->bundle;
	wire_body body = {.type = WIRE_HELLO};

	if (state->challenge == 0)
		state->challenge = random_nonzero();
	body.wire_body_u.hello.challenge = echo == 0 ? state->challenge : 0;
	body.wire_body_u.hello.echo = echo;
	body.wire_body_u.hello.bundle_version =
	    bundle == NULL ? 0 : bundle->version;
	body.wire_body_u.hello.list_revision =
	    member_list_get_revision(endpoint->instance->members);
	body.wire_body_u.hello.register_read =
	    endpoint->instance->bundle_freshness.register_was_read;
	send_body(endpoint, to, boot_id, &body);
}

/// Handles a heartbeat. Replies to a challenge. A valid echo of this instance's
/// challenge verifies the boot ID of the sender. Then starts a read of the
/// member list or a fetch of the bundle when the sender reports a newer one.
///
/// @param endpoint  endpoint that received the heartbeat
/// @param envelope  authenticated envelope of the heartbeat
/// @param hello     the heartbeat
static void
handle_heartbeat(struct peer_endpoint *endpoint, const wire_envelope *envelope,
    const wire_hello *hello)
{
	struct peer_state *state =
	    ensure_peer_state(endpoint, envelope->sender);
	struct instance *instance = endpoint->instance;

	if (hello->challenge != 0)
		send_heartbeat(endpoint, envelope->sender,
		    envelope->sender_boot, hello->challenge);
	if (hello->echo == 0 || hello->echo != state->challenge ||
	    envelope->receiver_boot != instance->boot_id)
		return;
	if (state->boot_id != envelope->sender_boot) {
		state->boot_id = envelope->sender_boot;
		replay_init(&state->replay_window, envelope->sequence);
	}
	state->challenge = 0;
	state->verified_at = g_get_monotonic_time();
	state->bundle_version = hello->bundle_version;
	if (hello->register_read)
		bundle_freshness_record_peer_read(&instance->bundle_freshness);
	if (hello->list_revision > member_list_get_revision(instance->members))
		member_list_schedule_read(instance->members);
	if (instance->bundle == NULL ||
	    hello->bundle_version > instance->bundle->version)
		rollout_fetch_from_peer(instance, envelope->sender);
}

/// Passes a message to the quorum module. Drops it when it was sent by or to an
/// earlier boot, is a replay, or has a field out of range.
///
/// @param endpoint  endpoint that received the message
/// @param envelope  authenticated envelope of the message
/// @param wire      the message in its wire format
static void
handle_quorum_message(struct peer_endpoint *endpoint,
    const wire_envelope *envelope, const wire_quorum *wire)
{
	struct peer_state *state =
	    ensure_peer_state(endpoint, envelope->sender);
	struct quorum_message message;

	if (envelope->receiver_boot != endpoint->instance->boot_id ||
	    state->boot_id != envelope->sender_boot) {
		metrics_add(METRIC_PEER_DROPPED_UNKNOWN, 1);
		send_heartbeat(endpoint, envelope->sender, 0, 0);
		return;
	}
	if (!replay_accept(&state->replay_window, envelope->sequence)) {
		metrics_add(METRIC_PEER_DROPPED_REPLAYED, 1);
		return;
	}
	if (!peer_codec_quorum_from_wire(&message, wire)) {
		metrics_add(METRIC_PEER_DROPPED_GARBAGE, 1);
		return;
	}
	quorum_handle_message(endpoint->instance->quorum,
	    g_get_monotonic_time(), envelope->sender, &message);
}

/// Authenticates a received envelope and dispatches its body. Counts the
/// message as received, or as dropped by reason.
///
/// @param endpoint  endpoint that received the envelope
/// @param envelope  decoded envelope, not authenticated yet
static void
handle_envelope(struct peer_endpoint *endpoint, wire_envelope *envelope)
{
	unsigned char tag[WIRE_TAG_BYTES];
	wire_body body;

	compute_tag(endpoint, envelope, tag);
	if (sodium_memcmp(tag, envelope->tag, sizeof(tag)) != 0) {
		metrics_add(METRIC_PEER_DROPPED_FORGED, 1);
		return;
	}
	if (envelope->receiver != endpoint->self ||
	    envelope->sender == endpoint->self ||
	    member_list_find(endpoint->instance->members, envelope->sender) ==
		NULL) {
		metrics_add(METRIC_PEER_DROPPED_UNKNOWN, 1);
		member_list_schedule_read(endpoint->instance->members);
		return;
	}
	if (!peer_codec_decode_body(
		&body, envelope->body.body_val, envelope->body.body_len)) {
		metrics_add(METRIC_PEER_DROPPED_GARBAGE, 1);
		return;
	}
	metrics_add(METRIC_PEER_RECEIVED, 1);
	if (body.type == WIRE_HELLO)
		handle_heartbeat(endpoint, envelope, &body.wire_body_u.hello);
	else
		handle_quorum_message(
		    endpoint, envelope, &body.wire_body_u.quorum);
	peer_codec_free_body(&body);
}

/// Handles an RPC call from another instance. Sends no reply.
///
/// @param request    the call; only the procedure PEER_MESSAGE is handled
/// @param transport  RPC transport that holds the argument of the call
static void
on_rpc_call(struct svc_req *request, SVCXPRT *transport)
{
	wire_envelope envelope;

	if (active_endpoint == NULL || request->rq_proc != PEER_MESSAGE)
		return;
	memset(&envelope, 0, sizeof(envelope));
	if (svc_getargs(
		transport, (xdrproc_t)xdr_wire_envelope, (char *)&envelope)) {
		active_endpoint->call_received = true;
		handle_envelope(active_endpoint, &envelope);
	}
	svc_freeargs(
	    transport, (xdrproc_t)xdr_wire_envelope, (char *)&envelope);
}

/// Reads a datagram from the socket. Counts it as garbage when it holds no
/// valid RPC call of this program.
///
/// @param fd         the UDP socket
/// @param condition  unused
/// @param data       the endpoint
/// @return G_SOURCE_CONTINUE
static gboolean
on_readable(gint fd, GIOCondition condition, gpointer data)
{
	struct peer_endpoint *endpoint = data;

	(void)condition;
	endpoint->call_received = false;
	svc_getreq_common(fd);
	if (!endpoint->call_received)
		metrics_add(METRIC_PEER_DROPPED_GARBAGE, 1);
	actions_execute_pending(endpoint->instance);
	return G_SOURCE_CONTINUE;
}

/// Opens a non-blocking UDP socket.
///
/// @param address  IP address and port to bind to
/// @param error    set on failure
/// @return the socket, or -1 on failure
static int
open_udp_socket(const struct settings_address *address, GError **error)
{
	GSocketAddress *bind_address =
	    g_inet_socket_address_new_from_string(address->ip, address->port);
	struct sockaddr_storage native;
	gssize len = g_socket_address_get_native_size(bind_address);
	int fd = -1;

	if (!g_socket_address_to_native(
		bind_address, &native, sizeof(native), error))
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
	g_object_unref(bind_address);
	return fd;
}

/// Opens the endpoint for messages between instances. At most one can be open
/// in a process.
///
/// @param instance  this instance; its settings hold the address to bind to
/// @param error     set when the address can't be bound or the RPC service
///                  can't be registered
/// @return the endpoint, or NULL on failure
struct peer_endpoint *
peer_open(struct instance *instance, GError **error)
{
	struct peer_endpoint *endpoint;
	int fd = open_udp_socket(&instance->settings->peer, error);

	if (fd < 0)
		return NULL;
	endpoint = g_new0(struct peer_endpoint, 1);
	endpoint->instance = instance;
	endpoint->self = hash_name(instance->settings->instance);
	endpoint->fd = fd;
	endpoint->peer_states =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	endpoint->transport =
	    svc_dg_create(fd, DATAGRAM_BYTES_MAX, DATAGRAM_BYTES_MAX);
	if (endpoint->transport == NULL ||
	    !svc_reg(endpoint->transport, GODWITVALE_PEER_PROGRAM,
		GODWITVALE_PEER_V1, on_rpc_call, NULL)) {
		g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_FAILED,
		    "can't register the RPC service");
		peer_close(endpoint);
		return NULL;
	}
	active_endpoint = endpoint;
	endpoint->fd_source = g_unix_fd_add(fd, G_IO_IN, on_readable, endpoint);
	return endpoint;
}

/// Closes the socket and frees the endpoint.
///
/// @param endpoint  endpoint to close, or NULL
void
peer_close(struct peer_endpoint *endpoint)
{
	if (endpoint == NULL)
		return;
	active_endpoint = NULL;
	if (endpoint->fd_source != 0)
		g_source_remove(endpoint->fd_source);
	if (endpoint->transport != NULL)
		svc_destroy(endpoint->transport);
	else
		close(endpoint->fd);
	g_hash_table_unref(endpoint->peer_states);
	g_free(endpoint);
}

/// Sends a message of the quorum module. Delivery is not guaranteed. While the
/// boot ID of the receiver isn't known, sends a heartbeat that asks for it in
/// place of the message.
///
/// @param endpoint  endpoint that sends
/// @param to        ID of the receiver
/// @param message   message to send
void
peer_send_quorum_message(struct peer_endpoint *endpoint, node_id to,
    const struct quorum_message *message)
{
	struct peer_state *state = ensure_peer_state(endpoint, to);
	u_quad_t voters[QUORUM_VOTERS_MAX];
	wire_record records[QUORUM_PAGE_RECORDS];
	wire_body body = {.type = WIRE_QUORUM};

	if (state->boot_id == 0) {
		send_heartbeat(endpoint, to, 0, 0);
		return;
	}
	peer_codec_quorum_to_wire(
	    &body.wire_body_u.quorum, message, voters, records);
	send_body(endpoint, to, state->boot_id, &body);
}

/// Sends heartbeats to a few random members when the next round is due.
///
/// @param endpoint  endpoint that sends
/// @param now       current time
void
peer_tick(struct peer_endpoint *endpoint, usec_t now)
{
	GPtrArray *members =
	    member_list_get_members(endpoint->instance->members);
	GRand *random = endpoint->instance->random;

	if (now < endpoint->next_heartbeat_at || members->len == 0)
		return;
	endpoint->next_heartbeat_at = now + HEARTBEAT_INTERVAL;
	for (int i = 0; i < HEARTBEAT_FANOUT; i++) {
		const struct member *member = g_ptr_array_index(
		    members, g_rand_int_range(random, 0, (gint32)members->len));

		if (member->id != endpoint->self)
			send_heartbeat(endpoint, member->id, 0, 0);
	}
}

/// Counts the members whose last valid echo of a challenge is recent. This
/// instance isn't counted.
///
/// @param endpoint         endpoint that keeps the states of the members
/// @param since            members verified before this time aren't counted
/// @param highest_version  raised to the highest bundle version that a counted
///                         member reported
/// @return number of members
unsigned
peer_count_verified(const struct peer_endpoint *endpoint, usec_t since,
    uint64_t *highest_version)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init(&iter, endpoint->peer_states);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct peer_state *state = value;

		if (state->verified_at == 0 || state->verified_at < since ||
		    member_list_find(
			endpoint->instance->members, *(node_id *)key) == NULL)
			continue;
		count++;
		*highest_version = MAX(*highest_version, state->bundle_version);
	}
	return count;
}

/// Returns the ID of this instance, a hash of its name.
///
/// @param endpoint  endpoint of this instance
/// @return the ID
node_id
peer_get_own_id(const struct peer_endpoint *endpoint)
{
	return endpoint->self;
}
