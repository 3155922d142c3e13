/* Messages between entry instances. */
#include "godwitvale/fleet/peers.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <sys/socket.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/fleet/catch_up.h"
#include "godwitvale/fleet/fleet_codec.h"
#include "godwitvale/http/address.h"
#include "godwitvale/ops/log.h"

/// Shortest interval of heartbeats, in milliseconds, and that at which what is
/// due is looked at.
#define PEERS_BEAT_MS 200
/// Interval of heartbeats for each instance of the fleet, in milliseconds: as
/// each goes to all, their number would grow with the square of the fleet.
#define PEERS_BEAT_INSTANCE_MS 5
/// Longest interval of heartbeats, in milliseconds.
#define PEERS_BEAT_LONGEST_MS 1000
/// Heartbeats name the live members, for those that know fewer, for this long
/// after one has come or gone, and otherwise each so many.
#define PEERS_NAMING_SPAN (5 * USEC_PER_SEC)
#define PEERS_NAMING_BEATS 5
/// Changed work is told this long after new work was placed, in milliseconds:
/// others that place work at the same time must not choose the same upstream.
#define PEERS_HURRY_MS 10
/// Shortest silence after which an instance counts as lost: several
/// heartbeats, so that a few lost datagrams tell nothing.
#define PEERS_LOST_SPAN (1200 * USEC_PER_MSEC)
/// Instances that were lost are still sent to for this long, so that both
/// sides of a cut find one another again.
#define PEERS_REMEMBER_SPAN (60 * USEC_PER_SEC)
/// Longest datagram, in bytes: it fits into one packet of an Ethernet.
#define PEERS_DATAGRAM_BYTES 1400
/// Longest datagram that is taken.
#define PEERS_RECEIVE_BYTES 65536
struct peers {
	struct peers_options options;
	char *name;
	char *ip;
	struct membership *membership;
	GHashTable *addresses; /// IPv4 number -> struct target
	uint64_t incarnation;
	int fd;
	guint source;
	guint timer;
	guint hurry;         /// changed work is to be told
	usec_t beat_at;      /// the next heartbeat
	usec_t naming_until; /// heartbeats name the members
	unsigned n_beats;
	bool leaving;
	struct catch_up *catch_up;
};

/// An address that heartbeats go to.
struct target {
	usec_t until;
	bool is_seed;
};

/// @return an IPv4 address as a number in host order, 0 when it is none
static uint32_t
number_of(const char *ip)
{
	struct in_addr address;

	return inet_pton(AF_INET, ip, &address) == 1 ? ntohl(address.s_addr)
						     : 0;
}

/// Adds an address to those that heartbeats go to.
static void
add_target(struct peers *peers, uint32_t number, usec_t until, bool is_seed)
{
	struct target *target;

	if (number == 0 || number == number_of(peers->ip))
		return;
	target =
	    g_hash_table_lookup(peers->addresses, GUINT_TO_POINTER(number));
	if (target == NULL) {
		target = g_new0(struct target, 1);
		g_hash_table_insert(
		    peers->addresses, GUINT_TO_POINTER(number), target);
	}
	target->until = MAX(target->until, until);
	target->is_seed = target->is_seed || is_seed;
}

/// Sends one datagram. A lost one is made up for by the next.
static void
send_to(struct peers *peers, uint32_t number, const char *bytes, size_t len)
{
	struct sockaddr_in address = {.sin_family = AF_INET};

	address.sin_addr.s_addr = htonl(number);
	address.sin_port = htons(peers->options.port);
	sendto(peers->fd, bytes, len, MSG_DONTWAIT | MSG_NOSIGNAL,
	    (struct sockaddr *)&address, sizeof(address));
}

/// Sends one datagram to every known address.
static void
send_to_all(struct peers *peers, const char *bytes, size_t len)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, peers->addresses);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		send_to(peers, GPOINTER_TO_UINT(key), bytes, len);
}

/// Lists the addresses of live members, for instances that know fewer.
static size_t
list_known(struct peers *peers, u_int *known)
{
	GPtrArray *members = membership_list(peers->membership);
	size_t n = 0;
	guint first = members->len > FLEET_KNOWN
	    ? (guint)g_random_int_range(0, (gint32)members->len)
	    : 0;

	for (guint i = 0; i < members->len && n < FLEET_KNOWN; i++) {
		const struct member *member =
		    members->pdata[(first + i) % members->len];

		known[n++] = number_of(member->ip);
	}
	g_ptr_array_unref(members);
	return n;
}

/// Fills in loads as they go over the wire.
static void
write_loads(const struct load_entry *loads, size_t n_loads, fleet_load *wire)
{
	for (size_t i = 0; i < n_loads; i++)
		wire[i] =
		    (fleet_load){loads[i].upstream, loads[i].load.requests,
			loads[i].load.tokens, loads[i].load.prompt_tokens};
}

/// @return the interval of heartbeats, in milliseconds
static unsigned
beat_interval(const struct peers *peers)
{
	return CLAMP(
	    PEERS_BEAT_INSTANCE_MS * membership_size(peers->membership),
	    PEERS_BEAT_MS, PEERS_BEAT_LONGEST_MS);
}

/// Whether the heartbeat that is due names the members.
static bool
is_naming(const struct peers *peers, usec_t now)
{
	return now < peers->naming_until ||
	    peers->n_beats % PEERS_NAMING_BEATS == 0;
}

/// Sends a heartbeat.
static void
send_beat(struct peers *peers)
{
	usec_t now = g_get_monotonic_time();
	const struct peers_options *options = &peers->options;
	struct load_entry loads[FLEET_LOADS];
	fleet_load wire[FLEET_LOADS];
	u_int known[FLEET_KNOWN];
	uint64_t gone[FLEET_GONE];
	char bytes[PEERS_RECEIVE_BYTES];
	fleet_message message = {.kind = FLEET_BEAT};
	fleet_beat *beat = &message.fleet_message_u.beat;
	size_t n_loads = loads_list_own(options->loads, loads, FLEET_LOADS);
	size_t len;

	write_loads(loads, n_loads, wire);
	*beat = (fleet_beat){
	    .name = peers->name,
	    .ip = peers->ip,
	    .incarnation = peers->incarnation,
	    .interval_ms = beat_interval(peers),
	    .directory_revision =
		view_revision(options->view, SITE_SCOPE_UPSTREAMS),
	    .config_revision = view_config_revision(options->view),
	    .reads_store = options->vtable->reads_store(options->owner),
	    .leaving = peers->leaving,
	    .loads = {.loads_len = (u_int)n_loads, .loads_val = wire},
	    .known = {.known_val = known},
	};
	if (is_naming(peers, now))
		beat->known.known_len = (u_int)list_known(peers, known);
	peers->n_beats++;
	peers->beat_at = now + beat->interval_ms * USEC_PER_MSEC;
	beat->gone.gone_len =
	    (u_int)options->vtable->list_gone(options->owner, gone, FLEET_GONE);
	beat->gone.gone_val = gone;
	len = fleet_encode(&message, bytes, sizeof(bytes));
	if (len > 0)
		send_to_all(peers, bytes, len);
}

/// Sends the work that has changed since it was last told.
static void
send_work(struct peers *peers)
{
	struct load_entry loads[FLEET_LOADS];
	fleet_load wire[FLEET_LOADS];
	char bytes[PEERS_RECEIVE_BYTES];
	fleet_message message = {.kind = FLEET_WORK};
	fleet_work *work = &message.fleet_message_u.work;
	size_t n_loads =
	    loads_list_changed(peers->options.loads, loads, FLEET_LOADS);
	size_t len;

	if (n_loads == 0)
		return;
	write_loads(loads, n_loads, wire);
	*work = (fleet_work){
	    .name = peers->name,
	    .incarnation = peers->incarnation,
	    .loads = {.loads_len = (u_int)n_loads, .loads_val = wire},
	};
	len = fleet_encode(&message, bytes, sizeof(bytes));
	if (len > 0)
		send_to_all(peers, bytes, len);
}

/// Reads loads as they came over the wire.
static void
read_loads(const fleet_load *wire, u_int n_loads, struct load_entry *loads)
{
	for (u_int i = 0; i < n_loads; i++)
		loads[i] = (struct load_entry){wire[i].upstream,
		    {wire[i].requests, wire[i].tokens, wire[i].prompt}};
}

/// Takes the changed work of another instance.
static void
take_work(struct peers *peers, const fleet_work *work)
{
	const struct peers_options *options = &peers->options;
	const struct member *member =
	    membership_find(peers->membership, work->name);
	struct load_entry loads[FLEET_LOADS];

	if (member == NULL || member->incarnation != work->incarnation)
		return;
	read_loads(work->loads.loads_val, work->loads.loads_len, loads);
	loads_merge_peer(
	    options->loads, member->name_hash, loads, work->loads.loads_len);
	options->vtable->loads_changed(options->owner);
}

/// Takes a heartbeat.
static void
take_beat(struct peers *peers, const fleet_beat *beat)
{
	const struct peers_options *options = &peers->options;
	usec_t now = g_get_monotonic_time();
	const struct member_heartbeat heard = {
	    .name = beat->name,
	    .ip = beat->ip,
	    .incarnation = beat->incarnation,
	    .directory_revision = beat->directory_revision,
	    .config_revision = beat->config_revision,
	    .interval = beat->interval_ms * USEC_PER_MSEC,
	    .store_reachable = beat->reads_store,
	    .leaving = beat->leaving,
	};
	const struct member *member =
	    membership_handle_heartbeat(peers->membership, now, &heard);
	struct load_entry loads[FLEET_LOADS];

	if (member == NULL)
		return;
	add_target(
	    peers, number_of(beat->ip), now + PEERS_REMEMBER_SPAN, false);
	for (u_int i = 0; i < beat->known.known_len; i++)
		add_target(peers, beat->known.known_val[i],
		    now + PEERS_REMEMBER_SPAN, false);
	read_loads(beat->loads.loads_val, beat->loads.loads_len, loads);
	loads_set_peer(
	    options->loads, member->name_hash, loads, beat->loads.loads_len);
	for (u_int i = 0; i < beat->gone.gone_len; i++)
		options->vtable->heard_gone(
		    options->owner, beat->gone.gone_val[i]);
	options->vtable->loads_changed(options->owner);
}

/// Takes news of the upstreams, if nothing is missing before them.
static void
take_news(struct peers *peers, const fleet_news *news)
{
	struct view *view = peers->options.view;
	GPtrArray *items;

	if (strcmp(news->name, peers->name) == 0 ||
	    view_revision(view, SITE_SCOPE_UPSTREAMS) == 0 ||
	    news->after > view_revision(view, SITE_SCOPE_UPSTREAMS))
		return;
	items =
	    fleet_items_to_site(news->items.items_val, news->items.items_len);
	view_take_changes(view, g_get_monotonic_time(), SITE_SCOPE_UPSTREAMS,
	    items, news->as_of);
	g_ptr_array_unref(items);
}

/// Takes a message by its kind.
static void
take_message(struct peers *peers, const fleet_message *message)
{
	switch (message->kind) {
	case FLEET_BEAT:
		take_beat(peers, &message->fleet_message_u.beat);
		break;
	case FLEET_NEWS:
		take_news(peers, &message->fleet_message_u.news);
		break;
	case FLEET_WORK:
		take_work(peers, &message->fleet_message_u.work);
		break;
	}
}

/// Loop callback: datagrams have come.
static gboolean
on_readable(gint fd, GIOCondition condition, gpointer data)
{
	struct peers *peers = data;
	static char bytes[PEERS_RECEIVE_BYTES];
	fleet_message message;
	ssize_t len;

	(void)condition;
	while ((len = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) >= 0) {
		if (!fleet_decode(bytes, (size_t)len, &message)) {
			log_event(LOG_LEVEL_WARN, "peer-message-unreadable",
			    "bytes=%zd outcome=dropped", len);
			continue;
		}
		take_message(peers, &message);
		fleet_clear(&message);
	}
	return G_SOURCE_CONTINUE;
}

/// Sends one part of the news.
static void
send_part(struct peers *peers, GArray *part, uint64_t after, uint64_t as_of)
{
	char bytes[PEERS_RECEIVE_BYTES];
	fleet_message message = {.kind = FLEET_NEWS};
	fleet_news *news = &message.fleet_message_u.news;
	size_t len;

	*news = (fleet_news){
	    .name = peers->name,
	    .incarnation = peers->incarnation,
	    .after = after,
	    .as_of = as_of,
	    .items = {.items_len = part->len,
		.items_val = (fleet_item *)(void *)part->data},
	};
	len = fleet_encode(&message, bytes, sizeof(bytes));
	if (len > 0)
		send_to_all(peers, bytes, len);
}

/// Loop callback: new work was placed.
static gboolean
on_hurry(gpointer data)
{
	struct peers *peers = data;

	peers->hurry = 0;
	send_work(peers);
	return G_SOURCE_REMOVE;
}

/// Has the others told soon of this instance's work.
///
/// @param peers  the peers
void
peers_hurry(struct peers *peers)
{
	if (peers->hurry == 0)
		peers->hurry = g_timeout_add(PEERS_HURRY_MS, on_hurry, peers);
}

/// Sends what was read of the upstreams' changes to all instances, in
/// datagrams that follow one another.
///
/// @param peers  the peers
/// @param items  struct site_item *, in the order of their revisions
/// @param after  the store's revision before them
/// @param as_of  the store's revision after them
void
peers_send_news(
    struct peers *peers, GPtrArray *items, uint64_t after, uint64_t as_of)
{
	GArray *part = g_array_new(false, false, sizeof(fleet_item));
	size_t bytes = 0;

	for (guint i = 0; i < items->len; i++) {
		const struct site_item *item = items->pdata[i];
		fleet_item wire;

		if (!view_is_news(peers->options.view, item))
			continue;
		wire = fleet_item_from(item);
		if (part->len > 0 &&
		    bytes + wire.value.value_len > PEERS_DATAGRAM_BYTES) {
			uint64_t upto =
			    g_array_index(part, fleet_item, part->len - 1)
				.revision;

			send_part(peers, part, after, upto);
			after = upto;
			g_array_set_size(part, 0);
			bytes = 0;
		}
		g_array_append_val(part, wire);
		bytes += wire.value.value_len;
	}
	send_part(peers, part, after, as_of);
	g_array_unref(part);
}

/// Forgets addresses that nobody has named for long.
static void
forget_targets(struct peers *peers, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, peers->addresses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct target *target = value;

		if (!target->is_seed && now >= target->until)
			g_hash_table_iter_remove(&iter);
	}
}

/// Loop callback: a heartbeat is due.
static gboolean
on_beat(gpointer data)
{
	struct peers *peers = data;
	usec_t now = g_get_monotonic_time();

	membership_tick(peers->membership, now);
	forget_targets(peers, now);
	if (now >= peers->beat_at)
		send_beat(peers);
	catch_up_tick(peers->catch_up, now);
	return G_SOURCE_CONTINUE;
}

/// Membership callback: an instance has come or gone.
static void
on_member(void *owner, enum member_change change, const struct member *member)
{
	static const char *const names[] = {
	    [MEMBER_JOINED] = "peer-joined",
	    [MEMBER_RESTARTED] = "peer-restarted",
	    [MEMBER_LOST] = "peer-lost",
	    [MEMBER_REACHED_STORE] = "peer-reads-store",
	};
	struct peers *peers = owner;

	if (change != MEMBER_REACHED_STORE)
		peers->naming_until =
		    g_get_monotonic_time() + PEERS_NAMING_SPAN;
	log_event(LOG_LEVEL_INFO, names[change],
	    "peer=%s silent_ms=%" G_GINT64_FORMAT, member->name,
	    member->last_heartbeat_at == 0
		? 0
		: (g_get_monotonic_time() - member->last_heartbeat_at) /
		    USEC_PER_MSEC);
	if (change == MEMBER_REACHED_STORE)
		peers->options.vtable->store_heard(peers->options.owner);
	if (change == MEMBER_RESTARTED || change == MEMBER_LOST)
		loads_remove_peer(peers->options.loads, member->name_hash);
}

/// Opens the socket.
static bool
open_socket(struct peers *peers, GError **error)
{
	struct sockaddr_in address = {.sin_family = AF_INET};

	peers->fd =
	    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	address.sin_addr.s_addr = htonl(number_of(peers->ip));
	address.sin_port = htons(peers->options.port);
	if (peers->fd >= 0 &&
	    bind(peers->fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return true;
	g_set_error(error, G_IO_ERROR, g_io_error_from_errno(errno),
	    "UDP %s:%u: %s", peers->ip, peers->options.port, g_strerror(errno));
	return false;
}

/// Starts to talk to other instances.
///
/// @param options  copied
/// @param error    set when the address can't be bound
/// @return the peers, or NULL
struct peers *
peers_new(const struct peers_options *options, GError **error)
{
	struct peers *peers = g_new0(struct peers, 1);

	peers->options = *options;
	peers->name = g_strdup(options->name);
	peers->ip = g_strdup(options->ip);
	peers->incarnation = (uint64_t)g_get_real_time();
	peers->addresses = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	peers->membership =
	    membership_new(peers->name, PEERS_LOST_SPAN, on_member, peers);
	peers->catch_up = catch_up_new(options->view, options->pool,
	    peers->membership, options->control_port);
	if (!open_socket(peers, error)) {
		peers_free(peers);
		return NULL;
	}
	peers_set_seeds(peers, options->seeds);
	peers->source = g_unix_fd_add(peers->fd, G_IO_IN, on_readable, peers);
	peers->timer = g_timeout_add(PEERS_BEAT_MS, on_beat, peers);
	send_beat(peers);
	return peers;
}

/// Stops.
///
/// @param peers  the peers
void
peers_free(struct peers *peers)
{
	if (peers->source != 0)
		g_source_remove(peers->source);
	if (peers->timer != 0)
		g_source_remove(peers->timer);
	if (peers->hurry != 0)
		g_source_remove(peers->hurry);
	g_clear_pointer(&peers->catch_up, catch_up_free);
	if (peers->fd >= 0)
		close(peers->fd);
	membership_free(peers->membership);
	g_hash_table_unref(peers->addresses);
	g_free(peers->name);
	g_free(peers->ip);
	g_free(peers);
}

/// Sets the instances that are asked first. Those known so far stay known.
///
/// @param peers  the peers
/// @param seeds  IP:PORT,...
void
peers_set_seeds(struct peers *peers, const char *seeds)
{
	char **words = g_strsplit(seeds, ",", -1);

	for (char **word = words; *word != NULL; word++) {
		struct address address;

		if (address_parse(g_strstrip(*word), &address))
			add_target(peers, number_of(address.ip), 0, true);
	}
	g_strfreev(words);
}

/// Tells the others that this instance leaves.
///
/// @param peers  the peers
void
peers_set_leaving(struct peers *peers)
{
	peers->leaving = true;
	send_beat(peers);
}

/// Forgets what the others have told: this process stood still.
///
/// @param peers  the peers
void
peers_distrust(struct peers *peers)
{
	membership_forget_all(peers->membership);
}

/// @param peers  the peers
/// @return the other instances
struct membership *
peers_membership(const struct peers *peers)
{
	return peers->membership;
}
