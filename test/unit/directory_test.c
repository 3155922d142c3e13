/* Unit tests of the directory of upstreams: outages, births, late entries. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/directory.h"

#define SEC USEC_PER_SEC

static void
on_change(void *owner, enum directory_change change,
    const struct upstream_record *record)
{
	static const char *const names[] = {
	    [DIRECTORY_ADDED] = "added",
	    [DIRECTORY_REBORN] = "reborn",
	    [DIRECTORY_DRAINING] = "draining",
	    [DIRECTORY_READY] = "ready",
	    [DIRECTORY_REMOVED] = "removed",
	    [DIRECTORY_HELD] = "held",
	    [DIRECTORY_COLD] = "cold",
	};

	g_string_append_printf(
	    owner, "%s:%s ", names[change], record->entry.id);
}

static GString *story;
static struct directory *directory;

static int
setup(void **state)
{
	(void)state;
	story = g_string_new(NULL);
	directory = directory_new(on_change, story);
	return 0;
}

static int
teardown(void **state)
{
	(void)state;
	directory_free(directory);
	g_string_free(story, TRUE);
	return 0;
}

/// Puts an entry.
static void
put_at(usec_t now, const char *id, const char *address,
    enum upstream_state upstream_state, uint64_t incarnation, uint64_t revision)
{
	struct upstream_entry entry = {
	    .id = (char *)id,
	    .service = (char *)"lm",
	    .address = (char *)address,
	    .zone = (char *)"a",
	    .state = upstream_state,
	    .slots = 4,
	    .incarnation = incarnation,
	};

	directory_put(directory, now, &entry, revision);
}

/// Puts an entry of an upstream with an address of its own.
static void
put(usec_t now, const char *id, enum upstream_state upstream_state,
    uint64_t incarnation, uint64_t revision)
{
	char address[32];

	g_snprintf(address, sizeof(address), "10.0.0.1:%s", id + 1);
	put_at(now, id, address, upstream_state, incarnation, revision);
}

/// Checks what was told since the last check.
static void
assert_told(const char *expected)
{
	assert_string_equal(story->str, expected);
	g_string_truncate(story, 0);
}

static void
in_calm_what_is_deleted_is_gone_at_once(void **state)
{
	(void)state;
	put(1 * SEC, "u1", UPSTREAM_READY, 1, 10);
	put(2 * SEC, "u1", UPSTREAM_DRAINING, 1, 11);
	directory_delete(directory, 3 * SEC, "u1", 12);
	assert_told("added:u1 draining:u1 removed:u1 ");
	assert_null(directory_find(directory, "u1"));
	/* An older entry, on a slower way, doesn't bring it back. */
	put(4 * SEC, "u1", UPSTREAM_READY, 1, 11);
	assert_told("");
	put(5 * SEC, "u1", UPSTREAM_READY, 2, 13);
	assert_told("added:u1 ");
}

/// Leases run out while the store is away: all entries seem to vanish at once
/// on its return, and are back within two seconds if their upstreams live.
static void
what_lapses_during_an_outage_is_kept_until_it_had_time(void **state)
{
	(void)state;
	put(1 * SEC, "u1", UPSTREAM_READY, 1, 10);
	put(1 * SEC, "u2", UPSTREAM_READY, 1, 11);
	put(1 * SEC, "u3", UPSTREAM_DRAINING, 1, 12);
	assert_told("added:u1 added:u2 added:u3 ");
	directory_store_lost(directory);
	directory_store_back(directory, 20 * SEC);
	directory_delete(directory, 20 * SEC, "u1", 20);
	directory_delete(directory, 20 * SEC, "u2", 21);
	directory_delete(directory, 20 * SEC, "u3", 22);
	assert_told("held:u1 held:u2 removed:u3 ");
	put(21 * SEC, "u1", UPSTREAM_READY, 1, 23);
	directory_tick(directory, 22 * SEC - 1);
	assert_told("");
	directory_tick(directory, 22 * SEC);
	assert_told("removed:u2 ");
	assert_non_null(directory_find(directory, "u1"));
	/* Afterwards it is calm again. */
	directory_delete(directory, 23 * SEC, "u1", 30);
	assert_told("removed:u1 ");
}

static void
a_whole_list_names_what_is_there(void **state)
{
	(void)state;
	put(1 * SEC, "u1", UPSTREAM_READY, 1, 10);
	put(1 * SEC, "u2", UPSTREAM_READY, 1, 11);
	put(1 * SEC, "u3", UPSTREAM_READY, 1, 50);
	assert_told("added:u1 added:u2 added:u3 ");
	directory_replace_begin(directory);
	put(2 * SEC, "u1", UPSTREAM_READY, 1, 10);
	put(2 * SEC, "u4", UPSTREAM_READY, 1, 20);
	/* u3 is newer than the list. */
	directory_replace_end(directory, 2 * SEC, 40);
	assert_told("added:u4 removed:u2 ");
	assert_int_equal(directory_size(directory), 3);
}

/// The same id after another start, or at another address, is another
/// upstream: what was known of it is void.
static void
a_reborn_upstream_is_another_one(void **state)
{
	uint32_t handle;

	(void)state;
	put(1 * SEC, "u1", UPSTREAM_READY, 1, 10);
	handle = directory_find(directory, "u1")->handle;
	put(2 * SEC, "u1", UPSTREAM_READY, 2, 11);
	assert_told("added:u1 reborn:u1 removed:u1 added:u1 ");
	assert_null(directory_get(directory, handle));
}

static void
an_unreadable_entry_names_nobody(void **state)
{
	(void)state;
	put(1 * SEC, "u1", UPSTREAM_READY, 1, 10);
	put(1 * SEC, "u2", UPSTREAM_READY, 1, 11);
	directory_unreadable(directory, 2 * SEC, "u1", 12);
	assert_told("added:u1 added:u2 removed:u1 ");
	assert_non_null(directory_find(directory, "u2"));
}

/// Addresses of upstreams that vanished are used again by others, before the
/// entries of the former have lapsed.
static void
an_address_belongs_to_the_last_that_announced_it(void **state)
{
	(void)state;
	put_at(1 * SEC, "u1", "10.0.0.1:9", UPSTREAM_READY, 1, 10);
	put_at(2 * SEC, "u2", "10.0.0.1:9", UPSTREAM_READY, 1, 11);
	assert_told("added:u1 removed:u1 added:u2 ");
	/* A late heartbeat of the former doesn't bring it back. */
	put_at(2 * SEC, "u1", "10.0.0.1:9", UPSTREAM_READY, 1, 10);
	assert_told("");
	assert_null(directory_find(directory, "u1"));
}

static void
services_are_told_apart(void **state)
{
	(void)state;
	put(1 * SEC, "u1", UPSTREAM_READY, 1, 10);
	assert_int_equal(directory_of_service(directory, "lm")->len, 1);
	assert_null(directory_of_service(directory, "shop"));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		in_calm_what_is_deleted_is_gone_at_once, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		what_lapses_during_an_outage_is_kept_until_it_had_time, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		a_whole_list_names_what_is_there, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_reborn_upstream_is_another_one, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		an_unreadable_entry_names_nobody, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		an_address_belongs_to_the_last_that_announced_it, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		services_are_told_apart, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
