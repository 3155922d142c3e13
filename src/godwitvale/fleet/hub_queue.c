/* What an instance passes on as a hub: the queue, and the packs that it sends.
 */
#include "godwitvale/fleet/hub_state.h"

#include <string.h>

#include <arpa/inet.h>

#include "godwitvale/fleet/fleet_codec.h"

/// A hub that has sent its subscribers nothing for this long sends an empty
/// pack, which shows that it runs.
#define IDLE_SPAN (150 * USEC_PER_MSEC)
/// Maximum total size of the messages in one pack, in bytes, unless it is a
/// single one. It keeps the datagram to about the size of one Ethernet packet.
#define PACK_BYTES_MAX 1200
/// A new subscriber gets the last whole heartbeats of members that were heard
/// within this time.
#define RECENT_SPAN (1500 * USEC_PER_MSEC)
/// Size of the buffer for an encoded pack, in bytes.
#define PACK_BUFFER_BYTES (HUB_MESSAGE_BYTES_MAX + 256)

/// Pack that is filled with queued messages and sent when it is full.
struct pack_writer {
	struct hub *hub;
	fleet_hop hop;
	const GArray *receivers; /// uint32_t
	fleet_packed messages[FLEET_PACKED_MAX];
	u_int n_messages;
	size_t n_bytes; /// of the messages
};

/// Frees a queued message.
///
/// @param data  struct queued_message
void
hub_free_queued(void *data)
{
	struct queued_message *queued = data;

	g_bytes_unref(queued->bytes);
	g_free(queued);
}

/// Frees a kept heartbeat.
///
/// @param data  struct kept_heartbeat
void
hub_free_kept(void *data)
{
	struct kept_heartbeat *kept = data;

	g_bytes_unref(kept->bytes);
	g_free(kept);
}

/// Encodes a pack and sends it to some addresses.
///
/// @param hub          sends the pack
/// @param pack         not changed
/// @param receivers    addresses, in host byte order
/// @param n_receivers  number of addresses
void
hub_send_pack(struct hub *hub, const fleet_pack *pack,
    const uint32_t *receivers, size_t n_receivers)
{
	static char bytes[PACK_BUFFER_BYTES];
	const fleet_message message = {
	    .kind = FLEET_PACK, .fleet_message_u.pack = *pack};
	size_t len = fleet_message_encode(&message, bytes, sizeof(bytes));

	for (size_t i = 0; len > 0 && i < n_receivers; i++)
		hub->options.vtable->send(
		    hub->options.owner, receivers[i], bytes, len);
}

/// Sends the messages of a writer, if there are any, and empties it.
static void
send_written(struct pack_writer *writer)
{
	const fleet_pack pack = {
	    .sender = writer->hub->self.name_hash,
	    .ip = writer->hub->options.ip,
	    .hop = writer->hop,
	    .messages = {writer->n_messages, writer->messages},
	};

	if (writer->n_messages > 0)
		hub_send_pack(writer->hub, &pack,
		    (const uint32_t *)(void *)writer->receivers->data,
		    writer->receivers->len);
	writer->n_messages = 0;
	writer->n_bytes = 0;
}

/// Adds a message to a writer's pack; sends the pack before if it is full.
static void
write_message(struct pack_writer *writer, const struct queued_message *queued)
{
	gsize len;
	char *data = (char *)g_bytes_get_data(queued->bytes, &len);

	if (writer->n_messages == FLEET_PACKED_MAX ||
	    (writer->n_messages > 0 && writer->n_bytes + len > PACK_BYTES_MAX))
		send_written(writer);
	writer->messages[writer->n_messages++] =
	    (fleet_packed){queued->origin, {(u_int)len, data}};
	writer->n_bytes += len;
}

/// Lists the addresses of the subscribers.
static GArray *
list_subscribers(const struct hub *hub)
{
	GArray *addresses = g_array_new(false, false, sizeof(uint32_t));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, hub->subscribers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_array_append_val(
		    addresses, ((const struct subscriber *)value)->ip);
	return addresses;
}

/// @param member  member to query
/// @return its address in host byte order; 0 if it is invalid
uint32_t
hub_member_address(const struct member *member)
{
	struct in_addr address;

	return inet_pton(AF_INET, member->ip, &address) == 1
	    ? ntohl(address.s_addr)
	    : 0;
}

/// Lists the addresses of the other hubs.
static GArray *
list_other_hubs(const struct hub *hub)
{
	GArray *addresses = g_array_new(false, false, sizeof(uint32_t));
	GPtrArray *members = membership_list(hub->options.membership);

	for (guint i = 0; i < members->len; i++) {
		const struct member *member = members->pdata[i];
		uint32_t ip;

		if ((member->features & MEMBER_IS_HUB) == 0)
			continue;
		ip = hub_member_address(member);
		if (ip != 0)
			g_array_append_val(addresses, ip);
	}
	g_ptr_array_unref(members);
	return addresses;
}

/// Sends queued messages on.
///
/// @param hop        what the receivers are
/// @param receivers  their addresses
static void
pass_on(struct hub *hub, fleet_hop hop, const GArray *receivers)
{
	struct pack_writer writer = {
	    .hub = hub, .hop = hop, .receivers = receivers};

	if (receivers->len == 0)
		return;
	for (guint i = 0; i < hub->queue->len; i++) {
		const struct queued_message *queued = hub->queue->pdata[i];

		if (hop == FLEET_TO_SUBSCRIBER || !queued->from_hub)
			write_message(&writer, queued);
	}
	send_written(&writer);
}

/// Passes on what has been gathered.
///
/// @param hub  exchange to flush
/// @param now  current time
void
hub_flush(struct hub *hub, usec_t now)
{
	GArray *subscribers = list_subscribers(hub);
	GArray *hubs = list_other_hubs(hub);

	pass_on(hub, FLEET_TO_SUBSCRIBER, subscribers);
	pass_on(hub, FLEET_BETWEEN_HUBS, hubs);
	if (hub->queue->len > 0)
		hub->last_sent_at = now;
	hub->flush_scheduled = false;
	g_ptr_array_set_size(hub->queue, 0);
	g_array_unref(subscribers);
	g_array_unref(hubs);
}

/// Checks whether an encoded message is a whole heartbeat.
static bool
is_heartbeat(const char *bytes, size_t len)
{
	uint32_t kind;

	if (len < sizeof(kind))
		return false;
	memcpy(&kind, bytes, sizeof(kind));
	return ntohl(kind) == FLEET_BEAT;
}

/// Keeps a whole heartbeat for instances that subscribe later.
static void
keep_heartbeat(struct hub *hub, const struct queued_message *queued)
{
	struct kept_heartbeat *kept = g_new(struct kept_heartbeat, 1);

	*kept = (struct kept_heartbeat){
	    g_bytes_ref(queued->bytes), queued->from_hub};
	g_hash_table_replace(hub->heartbeats,
	    g_memdup2(&queued->origin, sizeof(queued->origin)), kept);
}

/// Checks whether an instance has been heard recently. This instance has.
static bool
is_recent(const struct hub *hub, usec_t now, uint64_t name_hash)
{
	const struct member *member;

	if (name_hash == hub->self.name_hash)
		return true;
	member = membership_find_by_hash(hub->options.membership, name_hash);
	return member != NULL && now < member->last_heartbeat_at + RECENT_SPAN;
}

/// Sends the kept heartbeats of running instances to one address.
///
/// @param hub  sends the heartbeats
/// @param now  current time
/// @param hop  FLEET_BETWEEN_HUBS: only those that other hubs don't pass on
/// @param ip   the address, in host byte order
void
hub_send_kept(struct hub *hub, usec_t now, fleet_hop hop, uint32_t ip)
{
	GArray *receivers = g_array_new(false, false, sizeof(uint32_t));
	struct pack_writer writer = {
	    .hub = hub, .hop = hop, .receivers = receivers};
	GHashTableIter iter;
	void *key;
	void *value;

	g_array_append_val(receivers, ip);
	g_hash_table_iter_init(&iter, hub->heartbeats);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct kept_heartbeat *kept = value;
		const struct queued_message message = {
		    *(const uint64_t *)key, kept->bytes, kept->from_hub};

		if (!is_recent(hub, now, message.origin))
			g_hash_table_iter_remove(&iter);
		else if (hop == FLEET_TO_SUBSCRIBER || !kept->from_hub)
			write_message(&writer, &message);
	}
	send_written(&writer);
	g_array_unref(receivers);
}

/// Sends a hub that has just become known the heartbeats that this one passes
/// on. They may have been sent before that.
///
/// @param hub  sends nothing if it isn't a hub
/// @param now  current time
/// @param ip   address of the other hub, in host byte order
void
hub_greet(struct hub *hub, usec_t now, uint32_t ip)
{
	if (hub_is_hub(hub))
		hub_send_kept(hub, now, FLEET_BETWEEN_HUBS, ip);
}

/// Queues a message that this instance passes on as a hub.
///
/// @param hub       sends it with its next flush
/// @param origin    hash of the name of the instance that published it
/// @param bytes     the message; copied
/// @param len       its length in bytes
/// @param from_hub  another hub has passed it on
void
hub_queue_message(struct hub *hub, uint64_t origin, const char *bytes,
    size_t len, bool from_hub)
{
	struct queued_message *queued = g_new(struct queued_message, 1);

	*queued =
	    (struct queued_message){origin, g_bytes_new(bytes, len), from_hub};
	g_ptr_array_add(hub->queue, queued);
	if (is_heartbeat(bytes, len))
		keep_heartbeat(hub, queued);
	if (hub->flush_scheduled)
		return;
	hub->flush_scheduled = true;
	hub->options.vtable->flush_needed(hub->options.owner);
}

/// Sends the subscribers an empty pack if they got nothing for a while.
///
/// @param hub  sends nothing if it has no subscribers
/// @param now  current time
void
hub_send_idle_pack(struct hub *hub, usec_t now)
{
	const fleet_pack empty = {
	    .sender = hub->self.name_hash,
	    .ip = hub->options.ip,
	    .hop = FLEET_TO_SUBSCRIBER,
	};
	GArray *receivers;

	if (!hub->self.has_subscribers || now < hub->last_sent_at + IDLE_SPAN)
		return;
	receivers = list_subscribers(hub);
	hub_send_pack(hub, &empty, (const uint32_t *)(void *)receivers->data,
	    receivers->len);
	hub->last_sent_at = now;
	g_array_unref(receivers);
}
