/*
 * Replays the messages of a fleet of up to 370 instances under virtual time:
 * what each sends, when all know all, and what happens when hubs are lost.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/address_book.h"
#include "godwitvale/core/hash.h"
#include "godwitvale/fleet/fleet_codec.h"
#include "godwitvale/fleet/hub.h"

#define MS USEC_PER_MSEC
#define SECOND USEC_PER_SEC
/// Step of the virtual clock.
#define STEP (5 * MS)
/// Delay of a datagram.
#define LINK_DELAY (1 * MS)
#define NODES_MAX 370
#define ZONES 6
/// Interval of the heartbeats, as in fleets of 200 instances and more.
#define HEARTBEAT (1 * SECOND)
#define FIRST_IP 0x0a000001

struct fleet;

/// One instance.
struct node {
	struct fleet *fleet;
	char name[16];
	uint32_t ip;
	struct membership *membership;
	struct address_book *addresses;
	struct hub *hub;
	usec_t next_heartbeat_at;
	usec_t flush_at;      /// 0: not needed
	usec_t changed_until; /// all heartbeats are whole until then
	unsigned n_heartbeats;
	bool down;
	bool frozen; /// it runs nothing, and datagrams wait
	int zone;
	uint64_t sent;    /// datagrams
	uint64_t bytes;   /// sent
	uint64_t wakeups; /// steps in which something was received
	usec_t woken_at;
	unsigned delivered; /// messages on work
	GQueue waiting;     /// struct datagram *
	bool has_stalled;
};

/// A datagram on its way.
struct datagram {
	usec_t arrives_at;
	int to;
	int from;
	size_t len;
	char bytes[];
};

struct fleet {
	struct node nodes[NODES_MAX];
	int n;
	usec_t now;
	GQueue wire;  /// struct datagram *
	int cut_zone; /// zone that is cut off from the others; -1: none
	GRand *rand;
};

static bool
is_reachable(const struct fleet *fleet, int from, int to)
{
	bool is_cut = fleet->cut_zone >= 0 &&
	    (fleet->nodes[from].zone == fleet->cut_zone) !=
		(fleet->nodes[to].zone == fleet->cut_zone);

	return !is_cut && !fleet->nodes[to].down;
}

static void
send_datagram(void *owner, uint32_t ip, const char *bytes, size_t len)
{
	struct node *node = owner;
	struct fleet *fleet = node->fleet;
	int from = (int)(node - fleet->nodes);
	int to = (int)(ip - FIRST_IP);
	struct datagram *datagram;

	node->sent++;
	node->bytes += len;
	if (to == from || !is_reachable(fleet, from, to))
		return;
	datagram = g_malloc(sizeof(*datagram) + len);
	*datagram = (struct datagram){fleet->now + LINK_DELAY, to, from, len};
	memcpy(datagram->bytes, bytes, len);
	g_queue_push_tail(&fleet->wire, datagram);
}

/// Encodes a whole heartbeat of a node.
static size_t
encode_heartbeat(const struct node *node, char *bytes, size_t size)
{
	const struct fleet_trailer trailer = {
	    .features =
		MEMBER_FEATURES | (hub_is_hub(node->hub) ? MEMBER_IS_HUB : 0),
	    .zone = (uint64_t)node->zone + 1,
	};
	struct in_addr address = {htonl(node->ip)};
	char ip[INET_ADDRSTRLEN];
	u_int known[FLEET_KNOWN];
	fleet_message message = {.kind = FLEET_BEAT};
	u_int n_known = (u_int)hub_list_addresses(node->hub, known);
	size_t len;

	inet_ntop(AF_INET, &address, ip, sizeof(ip));
	message.fleet_message_u.beat = (fleet_beat){
	    .name = (char *)node->name,
	    .ip = ip,
	    .incarnation = 1,
	    .interval_ms = HEARTBEAT / MS,
	    .known = {n_known, known},
	};
	len = fleet_message_encode(&message, bytes, size);
	return fleet_trailer_append(&trailer, bytes, len, size);
}

/// Sends a datagram to some addresses, and frees their list.
static void
send_datagram_to(
    struct node *node, GArray *addresses, const char *bytes, size_t len)
{
	for (guint i = 0; i < addresses->len; i++)
		send_datagram(
		    node, g_array_index(addresses, uint32_t, i), bytes, len);
	g_array_unref(addresses);
}

static void
send_to_all_directly(struct node *node, const char *bytes, size_t len)
{
	send_datagram_to(node, address_book_list(node->addresses), bytes, len);
}

static void
announce(void *owner, bool is_hub)
{
	struct node *node = owner;
	char bytes[1024];
	size_t len = encode_heartbeat(node, bytes, sizeof(bytes));

	(void)is_hub;
	send_to_all_directly(node, bytes, len);
}

/// Adds an address. A hub greets a hub that it didn't know.
static void
learn_address(struct node *node, uint32_t ip, bool is_hub)
{
	char bytes[1024];

	address_book_add(node->addresses, ip, node->fleet->now + 60 * SECOND);
	if (address_book_note_hub(node->addresses, ip, is_hub) &&
	    hub_is_hub(node->hub)) {
		send_datagram(node, ip, bytes,
		    encode_heartbeat(node, bytes, sizeof(bytes)));
		hub_greet(node->hub, node->fleet->now, ip);
	}
}

/// Adds the addresses that a heartbeat names. Those that a hub names are hubs.
static void
learn_addresses(struct node *node, const fleet_beat *beat,
    const struct fleet_trailer *trailer)
{
	bool is_hub = (trailer->features & MEMBER_IS_HUB) != 0;
	struct in_addr address;

	inet_pton(AF_INET, beat->ip, &address);
	learn_address(node, ntohl(address.s_addr), is_hub);
	for (u_int i = 0; i < beat->known.known_len; i++)
		if (is_hub)
			learn_address(node, beat->known.known_val[i], true);
		else
			address_book_add(node->addresses,
			    beat->known.known_val[i],
			    node->fleet->now + 60 * SECOND);
}

static void
deliver(void *owner, const char *bytes, size_t len)
{
	struct node *node = owner;
	struct fleet_trailer trailer;
	fleet_message message;
	const fleet_beat *beat = &message.fleet_message_u.beat;

	assert_true(fleet_message_decode(bytes, len, &message, &trailer));
	if (message.kind == FLEET_BEAT) {
		const struct member_heartbeat heartbeat = {
		    .name = beat->name,
		    .ip = beat->ip,
		    .incarnation = beat->incarnation,
		    .interval = beat->interval_ms * MS,
		    .features = trailer.features,
		    .zone = trailer.zone,
		};

		membership_handle_heartbeat(
		    node->membership, node->fleet->now, &heartbeat);
		learn_addresses(node, beat, &trailer);
	} else if (message.kind == FLEET_ALIVE) {
		membership_handle_alive(node->membership, node->fleet->now,
		    message.fleet_message_u.alive.sender,
		    message.fleet_message_u.alive.incarnation);
	} else if (message.kind == FLEET_PACK) {
		hub_receive(node->hub, node->fleet->now,
		    &message.fleet_message_u.pack, node->has_stalled);
	} else if (message.kind == FLEET_WORK) {
		node->delivered++;
	}
	fleet_message_clear(&message);
}

static void
need_flush(void *owner)
{
	struct node *node = owner;

	node->flush_at = node->fleet->now + HUB_GATHER_SPAN;
}

static void
ignore_hub(void *owner, enum hub_change reason, const char *name)
{
	(void)owner;
	(void)reason;
	(void)name;
}

static void
note_change(void *owner, enum member_change change, const struct member *member)
{
	struct node *node = owner;

	(void)change;
	(void)member;
	node->changed_until = node->fleet->now + 5 * SECOND;
}

static const struct hub_vtable hub_vtable = {
    .send = send_datagram,
    .deliver = deliver,
    .flush_needed = need_flush,
    .role_changed = announce,
    .hub_changed = ignore_hub,
};

/// Lets a node hear another one, as a seed's heartbeat would.
static void
introduce(struct node *node, const struct node *other)
{
	char bytes[1024];
	size_t len = encode_heartbeat(other, bytes, sizeof(bytes));

	deliver(node, bytes, len);
}

static void
open_node(struct fleet *fleet, int i)
{
	struct node *node = &fleet->nodes[i];
	struct hub_options options = {
	    .vtable = &hub_vtable,
	    .owner = node,
	    .name = node->name,
	    .zone = (uint64_t)(i % ZONES) + 1,
	    .ip = FIRST_IP + (uint32_t)i,
	    .min_instances = 40,
	};

	node->fleet = fleet;
	node->zone = i % ZONES;
	node->ip = FIRST_IP + (uint32_t)i;
	g_snprintf(node->name, sizeof(node->name), "edge-%d", i);
	node->membership =
	    membership_new(node->name, 1200 * MS, note_change, node);
	node->addresses = address_book_new(node->ip, (guint32)i);
	options.membership = node->membership;
	node->hub = hub_new(&options);
	node->next_heartbeat_at =
	    fleet->now + g_rand_int_range(fleet->rand, 0, 300) * MS;
	g_queue_init(&node->waiting);
}

/// Seed of the instances' own choices; an argument of the program.
static guint32 seed_of_choices = 1;

/// Creates a fleet in which each instance has heard the first three.
static struct fleet *
fleet_new(int n)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->n = n;
	fleet->now = 1000 * SECOND;
	fleet->cut_zone = -1;
	fleet->rand = g_rand_new_with_seed(7);
	g_random_set_seed(seed_of_choices);
	g_queue_init(&fleet->wire);
	for (int i = 0; i < n; i++)
		open_node(fleet, i);
	for (int i = 0; i < n; i++)
		for (int seed = 0; seed < 3; seed++) {
			introduce(&fleet->nodes[i], &fleet->nodes[seed]);
			introduce(&fleet->nodes[seed], &fleet->nodes[i]);
		}
	return fleet;
}

static void
fleet_free(struct fleet *fleet)
{
	for (int i = 0; i < fleet->n; i++) {
		hub_free(fleet->nodes[i].hub);
		membership_free(fleet->nodes[i].membership);
		address_book_free(fleet->nodes[i].addresses);
		g_queue_clear_full(&fleet->nodes[i].waiting, g_free);
	}
	g_queue_clear_full(&fleet->wire, g_free);
	g_rand_free(fleet->rand);
	g_free(fleet);
}

/// Tells all through hubs only that a node runs.
static void
publish_alive(struct node *node)
{
	char bytes[64];
	const fleet_message message = {.kind = FLEET_ALIVE,
	    .fleet_message_u.alive = {hash_name(node->name), 1}};
	size_t len = fleet_message_encode(&message, bytes, sizeof(bytes));

	hub_publish(node->hub, node->fleet->now, HUB_ONE_COPY, bytes, len);
}

/// Sends a heartbeat as the peers do: through hubs, and directly to three
/// members; directly to all in a small fleet.
static void
send_heartbeat(struct node *node)
{
	usec_t now = node->fleet->now;
	char bytes[1024];
	size_t len = encode_heartbeat(node, bytes, sizeof(bytes));
	const struct address_probes probes = {
	    .n_random = 3, .hubs = hub_is_hub(node->hub)};

	/* As the peers: by the number of members, and at most a second. */
	node->next_heartbeat_at = now +
	    CLAMP(membership_size(node->membership) * 5 * MS, 200 * MS,
		HEARTBEAT);
	if (!hub_is_active(node->hub)) {
		send_to_all_directly(node, bytes, len);
		return;
	}
	hub_subscribe(node->hub, now);
	if (now < node->changed_until || ++node->n_heartbeats % 10 == 0)
		hub_publish(node->hub, now, HUB_ONE_COPY, bytes, len);
	else
		publish_alive(node);
	send_datagram_to(node,
	    address_book_list_probes(node->addresses, &probes), bytes, len);
}

/// Publishes a message on work.
static void
publish_work(struct node *node)
{
	char bytes[256];
	fleet_load loads[] = {{7, 1, 2000, 300}, {9, 0, 0, 0}};
	const fleet_message message = {.kind = FLEET_WORK,
	    .fleet_message_u.work = {
		.name = node->name, .incarnation = 1, .loads = {2, loads}}};
	size_t len = fleet_message_encode(&message, bytes, sizeof(bytes));

	if (hub_is_active(node->hub))
		hub_publish(
		    node->hub, node->fleet->now, HUB_ONE_COPY, bytes, len);
	else
		send_to_all_directly(node, bytes, len);
}

/// Hands over a datagram, or lets it wait at a frozen node.
static void
receive(struct fleet *fleet, struct datagram *datagram)
{
	struct node *node = &fleet->nodes[datagram->to];

	if (node->down) {
		g_free(datagram);
		return;
	}
	if (node->frozen) {
		g_queue_push_tail(&node->waiting, datagram);
		return;
	}
	if (node->woken_at != fleet->now) {
		node->wakeups++;
		node->woken_at = fleet->now;
	}
	deliver(node, datagram->bytes, datagram->len);
	g_free(datagram);
}

/// Lets a frozen node run again; it reads what has waited.
static void
thaw(struct node *node)
{
	struct datagram *datagram;

	node->frozen = false;
	node->has_stalled = true;
	while ((datagram = g_queue_pop_head(&node->waiting)) != NULL) {
		deliver(node, datagram->bytes, datagram->len);
		g_free(datagram);
	}
	node->has_stalled = false;
}

static void
run_node(struct node *node, bool is_tick)
{
	usec_t now = node->fleet->now;

	if (node->down || node->frozen)
		return;
	if (node->flush_at != 0 && now >= node->flush_at) {
		node->flush_at = 0;
		hub_flush(node->hub, now);
	}
	if (is_tick) {
		membership_tick(node->membership, now);
		hub_tick(node->hub, now);
	}
	if (now >= node->next_heartbeat_at)
		send_heartbeat(node);
}

/// Runs the fleet. `work_per_s` messages on work are published at random nodes.
static void
run(struct fleet *fleet, usec_t span, int work_per_s)
{
	usec_t until = fleet->now + span;

	for (; fleet->now < until; fleet->now += STEP) {
		struct datagram *datagram;
		usec_t phase = fleet->now / STEP;

		while ((datagram = g_queue_peek_head(&fleet->wire)) != NULL &&
		    datagram->arrives_at <= fleet->now)
			receive(fleet, g_queue_pop_head(&fleet->wire));
		for (int i = 0; i < fleet->n; i++)
			run_node(&fleet->nodes[i],
			    (phase + i) % (HUB_TICK_INTERVAL / STEP) == 0);
		for (int i = 0; i < work_per_s; i++)
			if (g_rand_int_range(
				fleet->rand, 0, (gint32)(SECOND / STEP)) == 0)
				publish_work(&fleet->nodes[g_rand_int_range(
				    fleet->rand, 0, fleet->n)]);
	}
}

/// @return the number of running nodes that know exactly the running ones
static int
count_right_views(const struct fleet *fleet)
{
	unsigned n_up = 0;
	int n_right = 0;

	for (int i = 0; i < fleet->n; i++)
		n_up += !fleet->nodes[i].down;
	for (int i = 0; i < fleet->n; i++)
		n_right += !fleet->nodes[i].down &&
		    membership_size(fleet->nodes[i].membership) == n_up;
	return n_right;
}

/// Runs the fleet until all views are right.
///
/// @return the time that it took; `limit` if they are not by then
static usec_t
run_until_right(struct fleet *fleet, int n_up, usec_t limit)
{
	usec_t started_at = fleet->now;

	while (
	    fleet->now < started_at + limit && count_right_views(fleet) != n_up)
		run(fleet, 50 * MS, 0);
	return fleet->now - started_at;
}

static int
count_hubs(const struct fleet *fleet)
{
	int n = 0;

	for (int i = 0; i < fleet->n; i++)
		n += !fleet->nodes[i].down && hub_is_hub(fleet->nodes[i].hub);
	return n;
}

/// Finds a running node that others use as their hub.
static struct node *
find_hub(struct fleet *fleet)
{
	for (int i = 0; i < fleet->n; i++)
		if (!fleet->nodes[i].down &&
		    hub_count_subscribers(fleet->nodes[i].hub) > 0)
			return &fleet->nodes[i];
	fail_msg("no hub has subscribers");
	return NULL;
}

/// Datagrams, bytes and wake-ups of an instance a second.
struct rates {
	double sent;
	double bytes;
	double wakeups;
	double most_sent; /// by one instance
};

static struct rates
measure(struct fleet *fleet, usec_t span, int work_per_s)
{
	struct rates rates = {0};
	double seconds = (double)span / SECOND;

	for (int i = 0; i < fleet->n; i++) {
		fleet->nodes[i].sent = 0;
		fleet->nodes[i].bytes = 0;
		fleet->nodes[i].wakeups = 0;
	}
	run(fleet, span, work_per_s);
	for (int i = 0; i < fleet->n; i++) {
		const struct node *node = &fleet->nodes[i];

		rates.sent += (double)node->sent / fleet->n / seconds;
		rates.bytes += (double)node->bytes / fleet->n / seconds;
		rates.wakeups += (double)node->wakeups / fleet->n / seconds;
		rates.most_sent =
		    MAX(rates.most_sent, (double)node->sent / seconds);
	}
	return rates;
}

/// The datagrams of an instance don't grow with the fleet.
static void
datagrams_stay_level(void **state)
{
	static const int sizes[] = {9, 30, 100, 300, 370};
	struct rates at_30 = {0};
	struct rates at_370 = {0};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet *fleet = fleet_new(sizes[i]);
		usec_t known_after =
		    run_until_right(fleet, sizes[i], 10 * SECOND);
		struct rates quiet;
		struct rates busy;

		run(fleet, 6 * SECOND, 0);
		quiet = measure(fleet, 3 * SECOND, 0);
		busy = measure(fleet, 3 * SECOND, 400);
		print_message("%d instances: all known after %d ms, %d hubs; "
			      "sent, bytes, wake-ups a second: "
			      "quiet %.0f %.0f %.0f, busy %.0f %.0f %.0f; "
			      "most sent by one: %.0f\n",
		    sizes[i], (int)(known_after / MS), count_hubs(fleet),
		    quiet.sent, quiet.bytes, quiet.wakeups, busy.sent,
		    busy.bytes, busy.wakeups, busy.most_sent);
		assert_int_equal(count_right_views(fleet), sizes[i]);
		assert_true(known_after <= 2 * SECOND);
		if (sizes[i] == 30)
			at_30 = busy;
		at_370 = busy;
		fleet_free(fleet);
	}
	assert_true(at_370.sent <= 1.5 * at_30.sent);
	assert_true(at_370.wakeups <= 1.5 * at_30.wakeups);
}

/// A hub dies: its subscribers move on, and nobody else counts as lost.
static void
subscribers_leave_a_dead_hub(void **state)
{
	struct fleet *fleet = fleet_new(300);
	int sender = 5;

	(void)state;
	run_until_right(fleet, 300, 5 * SECOND);
	run(fleet, 5 * SECOND, 0);
	for (int round = 1; round <= 2; round++) {
		find_hub(fleet)->down = true;
		run(fleet, 2 * SECOND, 0);
		for (int i = 0; i < fleet->n; i++)
			fleet->nodes[i].delivered = 0;
		while (fleet->nodes[sender].down)
			sender++;
		publish_work(&fleet->nodes[sender]);
		run(fleet, 200 * MS, 0);
		for (int i = 0; i < fleet->n; i++)
			if (i != sender && !fleet->nodes[i].down)
				assert_true(fleet->nodes[i].delivered > 0);
		run(fleet, 6 * SECOND, 0);
		assert_int_equal(count_right_views(fleet), 300 - round);
	}
	fleet_free(fleet);
}

/// A hub stands still for some seconds, and passes nothing old on afterwards.
static void
frozen_hub_passes_on_nothing_old(void **state)
{
	struct fleet *fleet = fleet_new(100);
	struct node *hub;

	(void)state;
	run_until_right(fleet, 100, 5 * SECOND);
	run(fleet, 5 * SECOND, 0);
	hub = find_hub(fleet);
	hub->frozen = true;
	for (int i = 0; i < fleet->n; i++)
		if (&fleet->nodes[i] != hub)
			publish_work(&fleet->nodes[i]);
	run(fleet, 4 * SECOND, 0);
	for (int i = 0; i < fleet->n; i++)
		fleet->nodes[i].delivered = 0;
	thaw(hub);
	run(fleet, 1 * SECOND, 0);
	for (int i = 0; i < fleet->n; i++)
		if (&fleet->nodes[i] != hub)
			assert_int_equal(fleet->nodes[i].delivered, 0);
	assert_int_equal(
	    run_until_right(fleet, 100, 3 * SECOND) < 3 * SECOND, true);
	fleet_free(fleet);
}

/// A zone is cut off from the others and comes back.
static void
zones_find_each_other_after_a_cut(void **state)
{
	struct fleet *fleet = fleet_new(300);
	usec_t healed_after;

	(void)state;
	run_until_right(fleet, 300, 5 * SECOND);
	run(fleet, 5 * SECOND, 0);
	fleet->cut_zone = 2;
	run(fleet, 8 * SECOND, 0);
	for (int i = 0; i < fleet->n; i++)
		assert_int_equal(membership_size(fleet->nodes[i].membership),
		    i % ZONES == 2 ? 50 : 250);
	fleet->cut_zone = -1;
	healed_after = run_until_right(fleet, 300, 10 * SECOND);
	print_message("healed after %d ms\n", (int)(healed_after / MS));
	assert_true(healed_after < 5 * SECOND);
	fleet_free(fleet);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(datagrams_stay_level),
	    cmocka_unit_test(subscribers_leave_a_dead_hub),
	    cmocka_unit_test(frozen_hub_passes_on_nothing_old),
	    cmocka_unit_test(zones_find_each_other_after_a_cut),
	};

	if (argc > 1)
		seed_of_choices = (guint32)strtoul(argv[1], NULL, 10);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
