/* Exchange of messages through hubs. hub_queue.c passes them on. */
#include "godwitvale/core/hash.h"
#include "godwitvale/fleet/hub_state.h"

/// Time for which a hub serves a subscriber after its last subscription.
#define SUBSCRIPTION_SPAN (3 * USEC_PER_SEC)

/// Creates the exchange of this instance.
///
/// @param options  copied; what the fields point to must outlive the result,
///                 except for the name
/// @return the exchange; free with hub_free()
struct hub *
hub_new(const struct hub_options *options)
{
	struct hub *hub = g_new0(struct hub, 1);

	hub->options = *options;
	hub->options.name = g_strdup(options->name);
	hub->self = (struct hub_self){
	    .name_hash = hash_name(options->name),
	    .zone = options->zone,
	    .link_mbps = options->link_mbps,
	};
	hub->subscribers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	hub->queue = g_ptr_array_new_with_free_func(hub_free_queued);
	hub->heartbeats = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, hub_free_kept);
	return hub;
}

/// Frees the exchange. What it gathered is not sent.
///
/// @param hub  not NULL
void
hub_free(struct hub *hub)
{
	g_hash_table_unref(hub->subscribers);
	g_ptr_array_unref(hub->queue);
	g_hash_table_unref(hub->heartbeats);
	g_free((char *)hub->options.name);
	g_free(hub);
}

/// Checks whether any other instance is a hub.
static bool
knows_hub(const struct hub *hub)
{
	GPtrArray *members = membership_list(hub->options.membership);
	bool is_known = false;

	for (guint i = 0; i < members->len && !is_known; i++) {
		const struct member *member = members->pdata[i];

		is_known = (member->features & MEMBER_IS_HUB) != 0;
	}
	g_ptr_array_unref(members);
	return is_known;
}

/// Checks whether messages to all instances go through hubs. An instance that
/// knows few members, but a hub, has probably just started in a large fleet.
///
/// @param hub  exchange to query
/// @return whether hub_publish() reaches all instances that know hubs
bool
hub_is_active(const struct hub *hub)
{
	return membership_size(hub->options.membership) >=
	    hub->options.min_instances ||
	    (!hub->is_dissolved && knows_hub(hub));
}

/// @param hub  exchange to query
/// @return number of instances that have subscribed here
unsigned
hub_count_subscribers(const struct hub *hub)
{
	return g_hash_table_size(hub->subscribers);
}

/// @param hub  exchange to query
/// @return whether this instance serves as a hub, of itself at least
bool
hub_is_hub(const struct hub *hub)
{
	return !hub->is_dissolved &&
	    (hub_count_subscribers(hub) > 0 ||
		(hub_is_active(hub) && hub->choice.hub == hub->self.name_hash));
}

/// Notes that this instance is shutting down: it doesn't become a hub any more.
///
/// @param hub  exchange to update
void
hub_set_leaving(struct hub *hub)
{
	hub->self.leaving = true;
}

/// Tells the owner if this instance has become a hub, or is none any more.
static void
report_role(struct hub *hub)
{
	bool is_hub = hub_is_hub(hub);

	if (is_hub == hub->was_hub)
		return;
	hub->was_hub = is_hub;
	hub->options.vtable->role_changed(hub->options.owner, is_hub);
}

/// Lists the addresses that a heartbeat names: those of hubs if this instance
/// is one, so that all hubs find each other; else those of any live members.
/// The list starts at a random one when there are more than fit.
///
/// @param hub        exchange to query
/// @param addresses  filled in; room for FLEET_KNOWN addresses, in host byte
///                   order
/// @return number of addresses
size_t
hub_list_addresses(const struct hub *hub, u_int *addresses)
{
	uint64_t wanted = hub_is_hub(hub) ? MEMBER_IS_HUB : 0;
	GPtrArray *members = membership_list(hub->options.membership);
	guint first = members->len > 0
	    ? (guint)g_random_int_range(0, (gint32)members->len)
	    : 0;
	size_t n = 0;

	for (guint i = 0; i < members->len && n < FLEET_KNOWN; i++) {
		const struct member *member =
		    members->pdata[(first + i) % members->len];

		if ((member->features & wanted) == wanted)
			addresses[n++] = hub_member_address(member);
	}
	g_ptr_array_unref(members);
	return n;
}

/// Finds a hub that isn't this instance's own, at random.
static const struct member *
find_second_hub(const struct hub *hub)
{
	GPtrArray *members = membership_list(hub->options.membership);
	const struct member *found = NULL;
	guint n_hubs = 0;

	for (guint i = 0; i < members->len; i++) {
		const struct member *member = members->pdata[i];

		if ((member->features & MEMBER_IS_HUB) == 0 ||
		    member->name_hash == hub->choice.hub)
			continue;
		n_hubs++;
		if (g_random_int_range(0, (gint32)n_hubs) == 0)
			found = member;
	}
	g_ptr_array_unref(members);
	return found;
}

/// Sends a message, or a subscription without one, to a hub.
static void
send_to_hub(struct hub *hub, const struct member *receiver, usec_t subscription,
    const char *bytes, size_t len)
{
	fleet_packed packed = {
	    hub->self.name_hash, {(u_int)len, (char *)bytes}};
	const fleet_pack pack = {
	    .sender = hub->self.name_hash,
	    .ip = hub->options.ip,
	    .hop = FLEET_TO_HUB,
	    .subscribe_ms = (u_int)(subscription / USEC_PER_MSEC),
	    .messages = {len > 0, &packed},
	};
	uint32_t ip = hub_member_address(receiver);

	if (ip != 0)
		hub_send_pack(hub, &pack, &ip, 1);
}

/// @return the chosen hub; NULL if it is this instance, or isn't a member
static const struct member *
find_own_hub(const struct hub *hub)
{
	return membership_find_by_hash(
	    hub->options.membership, hub->choice.hub);
}

/// @param hub  exchange to query
/// @return name of the hub that this instance uses, which may be its own; "" if
///         messages don't go through hubs
const char *
hub_own_hub_name(const struct hub *hub)
{
	const struct member *member = find_own_hub(hub);

	if (hub->choice.hub == 0 || !hub_is_active(hub))
		return "";
	return member == NULL ? hub->options.name : member->name;
}

/// Sends a message to all instances that know hubs.
///
/// @param hub     active exchange
/// @param now     current time
/// @param copies  number of hubs that pass it on
/// @param bytes   encoded fleet_message
/// @param len     its length, at most HUB_MESSAGE_BYTES_MAX
void
hub_publish(struct hub *hub, usec_t now, enum hub_copies copies,
    const char *bytes, size_t len)
{
	const struct member *receiver;

	if (hub->choice.hub == 0)
		hub_tick(hub, now);
	receiver = find_own_hub(hub);
	if (receiver == NULL)
		hub_queue_message(hub, hub->self.name_hash, bytes, len, false);
	else
		send_to_hub(hub, receiver, 0, bytes, len);
	if (copies == HUB_ONE_COPY)
		return;
	receiver = find_second_hub(hub);
	if (receiver != NULL)
		send_to_hub(hub, receiver, 0, bytes, len);
}

/// Subscribes to the own hub, or renews the subscription.
///
/// @param hub  active exchange
/// @param now  current time
void
hub_subscribe(struct hub *hub, usec_t now)
{
	const struct member *receiver;

	if (hub->choice.hub == 0)
		hub_tick(hub, now);
	receiver = find_own_hub(hub);
	if (receiver != NULL)
		send_to_hub(hub, receiver, SUBSCRIPTION_SPAN, NULL, 0);
}

/// Adds a subscriber, or renews its subscription. A new one gets an empty pack
/// and the heartbeats of all instances at once.
static void
add_subscriber(struct hub *hub, usec_t now, const fleet_pack *pack)
{
	const fleet_pack empty = {
	    .sender = hub->self.name_hash,
	    .ip = hub->options.ip,
	    .hop = FLEET_TO_SUBSCRIBER,
	};
	uint64_t name_hash = pack->sender;
	struct subscriber *subscriber =
	    g_hash_table_lookup(hub->subscribers, &name_hash);

	if (subscriber == NULL) {
		subscriber = g_new0(struct subscriber, 1);
		g_hash_table_insert(hub->subscribers,
		    g_memdup2(&name_hash, sizeof(name_hash)), subscriber);
		hub_send_pack(hub, &empty, &(uint32_t){pack->ip}, 1);
		hub_send_kept(hub, now, FLEET_TO_SUBSCRIBER, pack->ip);
	}
	subscriber->ip = pack->ip;
	subscriber->expires_at =
	    now + MIN(pack->subscribe_ms * USEC_PER_MSEC, SUBSCRIPTION_SPAN);
	hub->self.has_subscribers = true;
	report_role(hub);
}

/// Applies the messages of a pack, and queues them if they are to be passed on.
static void
take_messages(struct hub *hub, const fleet_pack *pack, bool pass)
{
	for (u_int i = 0; i < pack->messages.messages_len; i++) {
		const fleet_packed *packed = &pack->messages.messages_val[i];
		const char *bytes = packed->message.message_val;
		size_t len = packed->message.message_len;

		if (packed->origin != hub->self.name_hash)
			hub->options.vtable->deliver(
			    hub->options.owner, bytes, len);
		if (pass)
			hub_queue_message(hub, packed->origin, bytes, len,
			    pack->hop == FLEET_BETWEEN_HUBS);
	}
}

/// Handles a pack.
///
/// @param hub          exchange that has received it
/// @param now          current time
/// @param pack         not changed
/// @param has_stalled  this process has stood still, and the pack may have
///                     waited: its messages are too old to be passed on
void
hub_receive(
    struct hub *hub, usec_t now, const fleet_pack *pack, bool has_stalled)
{
	if (pack->hop == FLEET_TO_SUBSCRIBER)
		hub_choice_note_heard(&hub->choice, pack->sender, now);
	if (pack->hop == FLEET_TO_HUB && pack->subscribe_ms > 0)
		add_subscriber(hub, now, pack);
	take_messages(
	    hub, pack, pack->hop != FLEET_TO_SUBSCRIBER && !has_stalled);
}

/// Removes subscribers that have not renewed their subscription.
static void
expire_subscribers(struct hub *hub, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, hub->subscribers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (now >= ((const struct subscriber *)value)->expires_at)
			g_hash_table_iter_remove(&iter);
	hub->self.has_subscribers = hub_count_subscribers(hub) > 0;
}

/// Chooses the hub anew, and subscribes to it if it has changed.
static void
update_choice(struct hub *hub, usec_t now)
{
	enum hub_change change = hub_choice_update(
	    &hub->choice, hub->options.membership, &hub->self, now);
	const struct member *chosen;

	if (change == HUB_KEPT)
		return;
	chosen = find_own_hub(hub);
	hub->options.vtable->hub_changed(hub->options.owner, change,
	    chosen == NULL ? hub->options.name : chosen->name);
	hub_subscribe(hub, now);
}

/// Notes since when the fleet has been small.
static void
note_size(struct hub *hub, usec_t now)
{
	if (membership_size(hub->options.membership) >=
	    hub->options.min_instances)
		hub->small_since = 0;
	else if (hub->small_since == 0)
		hub->small_since = now;
	hub->is_dissolved =
	    hub->small_since != 0 && now >= hub->small_since + HUB_SMALL_SPAN;
}

/// Performs periodic work.
///
/// @param hub  exchange to update
/// @param now  current time
void
hub_tick(struct hub *hub, usec_t now)
{
	expire_subscribers(hub, now);
	note_size(hub, now);
	if (hub_is_active(hub))
		update_choice(hub, now);
	hub_send_idle_pack(hub, now);
	report_role(hub);
}
