/* Unit tests of the choice of the hub, and of the addresses that are probed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/address_book.h"
#include "godwitvale/core/hash.h"
#include "godwitvale/core/hub_choice.h"

#define MS USEC_PER_MSEC
#define SECOND USEC_PER_SEC
#define ZONE 7
#define OTHER_ZONE 8
#define N_MEMBERS 47
#define N_ADDRESSES 100

static struct membership *membership;
static struct hub_choice choice;
static const struct hub_self self = {.name_hash = 1, .zone = ZONE};

static void
ignore_change(
    void *owner, enum member_change change, const struct member *member)
{
	(void)owner;
	(void)change;
	(void)member;
}

/// Lets members of a zone send heartbeats.
static void
hear(usec_t now, int first, int end, uint64_t zone, uint64_t link_mbps)
{
	for (int i = first; i < end; i++) {
		char name[16];
		const struct member_heartbeat heartbeat = {.name = name,
		    .ip = "10.0.0.1",
		    .incarnation = 1,
		    .interval = SECOND,
		    .features = MEMBER_FEATURES,
		    .zone = zone,
		    .link_mbps = link_mbps};

		g_snprintf(name, sizeof(name), "e%d", i);
		membership_handle_heartbeat(membership, now, &heartbeat);
	}
}

static int
setup(void **state)
{
	(void)state;
	membership = membership_new("self", 1200 * MS, ignore_change, NULL);
	choice = (struct hub_choice){0};
	return 0;
}

static int
teardown(void **state)
{
	(void)state;
	membership_free(membership);
	return 0;
}

static enum hub_change
update(usec_t now)
{
	return hub_choice_update(&choice, membership, &self, now);
}

static const struct member *
find_hub(void)
{
	return membership_find_by_hash(membership, choice.hub);
}

static void
hubs_with_fast_links_come_first(void **state)
{
	(void)state;
	hear(0, 0, 40, ZONE, 20);
	hear(0, 40, 43, ZONE, 200);
	hear(0, 43, N_MEMBERS, OTHER_ZONE, 1000);
	assert_int_equal(update(0), HUB_CHOSEN);
	assert_non_null(find_hub());
	assert_int_equal(find_hub()->link_mbps, 200);
	assert_int_equal(update(100 * MS), HUB_KEPT);
}

/// A silent hub isn't chosen again for some seconds; then it is.
static void
silent_hub_is_left(void **state)
{
	uint64_t first;

	(void)state;
	hear(0, 0, N_MEMBERS, ZONE, 0);
	update(0);
	first = choice.hub;
	hub_choice_note_heard(&choice, first, 500 * MS);
	assert_int_equal(update(1000 * MS), HUB_KEPT);
	assert_int_equal(update(1100 * MS), HUB_SILENT);
	assert_int_not_equal(choice.hub, first);
	hub_choice_note_heard(&choice, choice.hub, 6 * SECOND);
	hear(6 * SECOND, 0, N_MEMBERS, ZONE, 0);
	assert_int_equal(update(6 * SECOND), HUB_KEPT);
	assert_int_equal(update(6200 * MS), HUB_CHOSEN);
	assert_int_equal(choice.hub, first);
}

/// The hub is heard, but most of the fleet isn't heard through it.
static void
hub_that_reaches_few_is_left(void **state)
{
	uint64_t first;

	(void)state;
	hear(0, 0, N_MEMBERS, ZONE, 0);
	update(0);
	first = choice.hub;
	hear(3 * SECOND, 0, 10, ZONE, 0);
	hub_choice_note_heard(&choice, first, 3 * SECOND);
	assert_int_equal(update(3 * SECOND), HUB_KEPT);
	hub_choice_note_heard(&choice, first, 3100 * MS);
	assert_int_equal(update(3100 * MS), HUB_CUT_OFF);
	assert_int_not_equal(choice.hub, first);
	/* It may not have been the hub's fault: not again at once. */
	hub_choice_note_heard(&choice, choice.hub, 3500 * MS);
	assert_int_equal(update(3500 * MS), HUB_KEPT);
}

static void
hub_without_any_other_is_the_instance_itself(void **state)
{
	(void)state;
	hear(0, 0, N_MEMBERS, OTHER_ZONE, 0);
	update(0);
	assert_int_equal(choice.hub, self.name_hash);
	/* Subscribers make an instance its own hub. */
	hear(0, N_MEMBERS, 2 * N_MEMBERS, ZONE, 200);
	choice = (struct hub_choice){0};
	hub_choice_update(&choice, membership,
	    &(struct hub_self){
		.name_hash = 1, .zone = ZONE, .has_subscribers = true},
	    0);
	assert_int_equal(choice.hub, self.name_hash);
}

/// Random addresses differ from time to time; seeds and hubs are always probed.
static void
probes_are_random_seeds_and_hubs(void **state)
{
	struct address_book *book = address_book_new(1, 42);
	const struct address_probes random_only = {.n_random = 3};
	const struct address_probes seeds_and_hubs = {
	    .seeds = true, .hubs = true};
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	GArray *probed;

	(void)state;
	for (uint32_t i = 0; i <= N_ADDRESSES; i++)
		address_book_add(book, i, 60 * SECOND);
	address_book_add_seed(book, 200);
	assert_true(address_book_note_hub(book, 5, true));
	assert_false(address_book_note_hub(book, 5, true));
	for (int i = 0; i < 100; i++) {
		probed = address_book_list_probes(book, &random_only);
		assert_int_equal(probed->len, 3);
		for (guint j = 0; j < probed->len; j++)
			g_hash_table_add(seen,
			    GUINT_TO_POINTER(
				g_array_index(probed, uint32_t, j)));
		g_array_unref(probed);
	}
	assert_true(g_hash_table_size(seen) > N_ADDRESSES / 2);
	probed = address_book_list_probes(book, &seeds_and_hubs);
	assert_int_equal(probed->len, 2);
	g_array_unref(probed);
	address_book_expire(book, 61 * SECOND);
	probed = address_book_list(book);
	assert_int_equal(probed->len, 1);
	g_array_unref(probed);
	g_hash_table_unref(seen);
	address_book_free(book);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		hubs_with_fast_links_come_first, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		silent_hub_is_left, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		hub_that_reaches_few_is_left, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		hub_without_any_other_is_the_instance_itself, setup, teardown),
	    cmocka_unit_test(probes_are_random_seeds_and_hubs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
