/* Unit tests of the changes that an instance passes on to the others. */
#include <arpa/inet.h>
#include <limits.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/fleet/fleet_codec.h"
#include "godwitvale/fleet/peers_state.h"
#include "platform/platform.h"

/// Number of deletions whose names alone fill more than one datagram.
#define N_DELETIONS 800
/// Length of each name, in characters.
#define NAME_LEN 76
/// Store revision before the first deletion.
#define FIRST_REVISION 10

/// Datagrams that aren't of the protocol: more than are read in a turn, and
/// fewer than the kernel's buffer holds.
#define N_STRANGE 200

static int receiver;
static struct peers peers;

/// Binds a UDP socket to a free port of 127.0.0.1.
static uint16_t
open_receiver(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof(address);

	receiver = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
	    bind(receiver, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(
	    getsockname(receiver, (struct sockaddr *)&address, &len), 0);
	return ntohs(address.sin_port);
}

static void
ignore_change(void *owner, enum directory_change change,
    const struct upstream_record *record)
{
	(void)owner;
	(void)change;
	(void)record;
}

static void
ignore_entry(void *owner, const struct upstream_entry *entry)
{
	(void)owner;
	(void)entry;
}

static const struct view_vtable view_vtable = {
    .entry_read = ignore_entry,
    .upstream_changed = ignore_change,
};

static int
setup(void **state)
{
	const struct view_options view_options = {
	    .vtable = &view_vtable, .site = platform_site()};
	struct hub_options hub_options = {
	    .name = "e1", .min_instances = UINT_MAX};

	(void)state;
	peers = (struct peers){.name = (char *)"e1", .zone = (char *)"z"};
	peers.options.port = open_receiver();
	peers.options.view = view_new(&view_options);
	peers.fd = socket(AF_INET, SOCK_DGRAM, 0);
	peers.membership = membership_new("e1", USEC_PER_SEC, NULL, NULL);
	hub_options.membership = peers.membership;
	peers.hub = hub_new(&hub_options);
	peers.addresses = address_book_new(0, 1);
	address_book_add_seed(peers.addresses, INADDR_LOOPBACK);
	return 0;
}

static int
teardown(void **state)
{
	(void)state;
	address_book_free(peers.addresses);
	hub_free(peers.hub);
	membership_free(peers.membership);
	view_free(peers.options.view);
	close(peers.fd);
	close(receiver);
	return 0;
}

/// Lists the deletions of upstreams with long names.
static GPtrArray *
list_deletions(void)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(site_item_free);

	for (unsigned i = 0; i < N_DELETIONS; i++) {
		struct site_item *item = g_new0(struct site_item, 1);

		item->kind = SITE_ITEM_UPSTREAM;
		item->name = g_strdup_printf("%0*u", NAME_LEN, i);
		item->revision = FIRST_REVISION + 1 + i;
		g_ptr_array_add(items, item);
	}
	return items;
}

/// Receives a datagram, whose changes must follow those before it.
///
/// @param after  store revision after the changes before; updated
/// @return number of changes
static unsigned
receive_changes(uint64_t *after)
{
	static char bytes[PEERS_BUFFER_BYTES];
	fleet_message message;
	struct fleet_trailer trailer;
	const fleet_news *news = &message.fleet_message_u.news;
	ssize_t len = recv(receiver, bytes, sizeof(bytes), 0);
	unsigned n_items;

	if (len <= 0)
		return 0;
	assert_true(
	    fleet_message_decode(bytes, (size_t)len, &message, &trailer));
	assert_int_equal(message.kind, FLEET_NEWS);
	assert_int_equal(news->after, *after);
	*after = news->as_of;
	n_items = news->items.items_len;
	fleet_message_clear(&message);
	return n_items;
}

static void
many_deletions_at_once_were_not_passed_on(void **state)
{
	GPtrArray *items = list_deletions();
	uint64_t after = FIRST_REVISION;
	unsigned n_received = 0;
	unsigned n;

	(void)state;
	peers_send_changes(
	    &peers, items, FIRST_REVISION, FIRST_REVISION + N_DELETIONS);
	while ((n = receive_changes(&after)) > 0)
		n_received += n;
	assert_int_equal(n_received, N_DELETIONS);
	assert_int_equal(after, FIRST_REVISION + N_DELETIONS);
	g_ptr_array_unref(items);
}

/// Creates the entry of an upstream with a state.
static struct site_item *
make_entry_in(uint64_t revision, unsigned sequence, const char *upstream_state)
{
	struct site_item *item = g_new0(struct site_item, 1);
	char *text = g_strdup_printf(
	    "{\"service\":\"lm\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
	    "\"version\":\"v2\",\"slots\":4,\"state\":\"%s\","
	    "\"cold_left_ms\":0,\"sequence\":%u}",
	    upstream_state, sequence);

	item->kind = SITE_ITEM_UPSTREAM;
	item->name = g_strdup("u1");
	item->revision = revision;
	item->value = g_bytes_new_take(text, strlen(text));
	return item;
}

/// Creates the entry of an upstream.
static struct site_item *
make_entry(uint64_t revision, unsigned sequence)
{
	return make_entry_in(revision, sequence, "ready");
}

/// The first reader's datagram with a new upstream is lost on the way to a
/// third instance, but reaches the second reader. That reader's own datagram
/// confirmed the revision without the upstream, so that the third instance
/// never heard of it (ORDER, DRAIN).
static void
a_change_that_came_from_the_other_reader_was_left_out(void **state)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(site_item_free);
	uint64_t after = FIRST_REVISION;

	(void)state;
	g_ptr_array_add(items, make_entry(FIRST_REVISION + 1, 1));
	view_apply_changes(peers.options.view, USEC_PER_SEC,
	    SITE_SCOPE_UPSTREAMS, items, FIRST_REVISION + 1);
	peers_send_changes(&peers, items, FIRST_REVISION, FIRST_REVISION + 1);
	assert_int_equal(receive_changes(&after), 1);
	g_ptr_array_unref(items);
}

/// Heartbeats of upstreams aren't sent, however they came to be known.
static void
heartbeats_are_not_passed_on(void **state)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(site_item_free);
	uint64_t after = FIRST_REVISION + 1;

	(void)state;
	g_ptr_array_add(items, make_entry(FIRST_REVISION + 1, 1));
	view_apply_changes(peers.options.view, USEC_PER_SEC,
	    SITE_SCOPE_UPSTREAMS, items, FIRST_REVISION + 1);
	g_ptr_array_set_size(items, 0);
	g_ptr_array_add(items, make_entry(FIRST_REVISION + 2, 2));
	peers_send_changes(
	    &peers, items, FIRST_REVISION + 1, FIRST_REVISION + 2);
	assert_int_equal(receive_changes(&after), 0);
	assert_int_equal(after, FIRST_REVISION + 2);
	g_ptr_array_unref(items);
}

/// A reader knows that an upstream drains, and one answer of the store has a
/// late "ready" and "draining" again. The second change, which is nothing new
/// to the reader, was left out, so that the others used the upstream (DRAIN).
static void
a_change_that_undoes_another_one_was_left_out(void **state)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(site_item_free);
	uint64_t after = FIRST_REVISION + 1;

	(void)state;
	g_ptr_array_add(
	    items, make_entry_in(FIRST_REVISION + 1, 1, "draining"));
	view_apply_changes(peers.options.view, USEC_PER_SEC,
	    SITE_SCOPE_UPSTREAMS, items, FIRST_REVISION + 1);
	g_ptr_array_set_size(items, 0);
	g_ptr_array_add(items, make_entry_in(FIRST_REVISION + 2, 2, "ready"));
	g_ptr_array_add(
	    items, make_entry_in(FIRST_REVISION + 3, 3, "draining"));
	peers_send_changes(
	    &peers, items, FIRST_REVISION + 1, FIRST_REVISION + 3);
	assert_int_equal(receive_changes(&after), 2);
	g_ptr_array_unref(items);
}

/// Sends datagrams that aren't of the protocol to the receiver.
static void
send_strange_datagrams(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(peers.options.port);
	for (unsigned i = 0; i < N_STRANGE; i++)
		assert_int_equal(
		    sendto(peers.fd, "x", 1, 0, (struct sockaddr *)&address,
			sizeof(address)),
		    1);
}

/// @return whether a datagram waits to be received
static bool
has_datagram(void)
{
	char byte;

	return recv(receiver, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

/// Guards against senders that keep the loop reading their datagrams, and
/// against evidence that is believed while some from before a stall wait.
static void
datagrams_leave_turns_to_other_sources(void **state)
{
	unsigned n_turns = 0;

	(void)state;
	peers.has_stalled = true;
	send_strange_datagrams();
	while (has_datagram()) {
		assert_true(peers.has_stalled);
		peers_on_readable(receiver, G_IO_IN, &peers);
		n_turns++;
	}
	peers_on_readable(receiver, G_IO_IN, &peers);
	assert_in_range(n_turns, 2, N_STRANGE);
	assert_false(peers.has_stalled);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		many_deletions_at_once_were_not_passed_on, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_change_that_came_from_the_other_reader_was_left_out, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		heartbeats_are_not_passed_on, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_change_that_undoes_another_one_was_left_out, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		datagrams_leave_turns_to_other_sources, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
