/* Unit tests of the other instances: joining, losing, who reads for all. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/membership.h"

#define MS USEC_PER_MSEC

static void
on_change(void *owner, enum member_change change, const struct member *member)
{
	static const char *const names[] = {
	    "", "joined", "restarted", "lost", "reads"};

	g_string_append_printf(owner, "%s:%s ", names[change], member->name);
}

static const struct member *
beat(struct membership *membership, usec_t now, const char *name,
    uint64_t incarnation, bool reads_store)
{
	const struct member_beat beat = {.name = name,
	    .ip = "10.0.0.1",
	    .incarnation = incarnation,
	    .config_revision = incarnation,
	    .reads_store = reads_store};

	return membership_heard(membership, now, &beat);
}

static void
members_come_restart_and_go(void **state)
{
	GString *story = g_string_new(NULL);
	struct membership *membership =
	    membership_new("m", 1000 * MS, on_change, story);

	(void)state;
	assert_null(beat(membership, 0, "m", 1, true));
	assert_non_null(beat(membership, 0, "a", 5, true));
	beat(membership, 100 * MS, "b", 5, true);
	beat(membership, 800 * MS, "a", 6, true);
	/* A datagram of an earlier life, late. */
	assert_null(beat(membership, 900 * MS, "a", 5, true));
	assert_int_equal(membership_size(membership), 3);
	membership_tick(membership, 1100 * MS);
	assert_string_equal(
	    story->str, "joined:a reads:a joined:b restarted:a lost:b ");
	assert_int_equal(membership_size(membership), 2);
	/* Shares are reckoned with those that may only be cut off. */
	assert_int_equal(membership_peak(membership), 3);
	membership_forget_all(membership);
	assert_int_equal(membership_size(membership), 1);
	membership_free(membership);
	g_string_free(story, TRUE);
}

/// The store is away for all, and answers one of them first.
static void
the_first_that_reaches_the_store_again_is_told(void **state)
{
	GString *story = g_string_new(NULL);
	struct membership *membership =
	    membership_new("m", 1000 * MS, on_change, story);

	(void)state;
	beat(membership, 0, "a", 1, true);
	beat(membership, 0, "b", 1, true);
	beat(membership, 100 * MS, "a", 1, false);
	beat(membership, 100 * MS, "b", 1, false);
	g_string_truncate(story, 0);
	beat(membership, 200 * MS, "b", 1, true);
	beat(membership, 300 * MS, "b", 1, true);
	beat(membership, 300 * MS, "a", 1, true);
	assert_string_equal(story->str, "reads:b ");
	membership_free(membership);
	g_string_free(story, TRUE);
}

/// In a large fleet heartbeats are rarer, and silence lasts longer.
static void
a_member_that_beats_seldom_is_lost_later(void **state)
{
	GString *story = g_string_new(NULL);
	struct membership *membership =
	    membership_new("m", 1000 * MS, on_change, story);
	const struct member_beat seldom = {.name = "a",
	    .ip = "10.0.0.1",
	    .incarnation = 1,
	    .interval = 400 * MS};

	(void)state;
	membership_heard(membership, 0, &seldom);
	membership_tick(membership, 2300 * MS);
	assert_non_null(membership_find(membership, "a"));
	membership_tick(membership, 2400 * MS);
	assert_null(membership_find(membership, "a"));
	membership_free(membership);
	g_string_free(story, TRUE);
}

/// Two of all live instances that reach the store read it for the others.
static void
readers_are_the_first_that_reach_the_store(void **state)
{
	GString *story = g_string_new(NULL);
	struct membership *membership =
	    membership_new("m", 1000 * MS, on_change, story);

	(void)state;
	assert_true(membership_reader_rank(membership, true) >= 0);
	assert_int_equal(membership_reader_rank(membership, false), -1);
	beat(membership, 0, "a", 1, true);
	assert_int_equal(membership_reader_rank(membership, true), 1);
	beat(membership, 0, "b", 1, true);
	assert_int_equal(membership_reader_rank(membership, true), -1);
	beat(membership, 0, "z", 1, true);
	assert_int_equal(membership_reader_rank(membership, true), -1);
	/* One of them is turned away by the store. */
	beat(membership, 500 * MS, "b", 1, false);
	assert_true(membership_reader_rank(membership, true) >= 0);
	beat(membership, 600 * MS, "b", 1, true);
	assert_int_equal(membership_reader_rank(membership, true), -1);
	/* Both fall silent. */
	membership_tick(membership, 2000 * MS);
	assert_true(membership_reader_rank(membership, true) >= 0);
	membership_free(membership);
	g_string_free(story, TRUE);
}

static void
the_newest_configuration_is_known(void **state)
{
	GString *story = g_string_new(NULL);
	struct membership *membership =
	    membership_new("m", 1000 * MS, on_change, story);

	(void)state;
	assert_null(membership_newest_config(membership));
	beat(membership, 0, "a", 4, true);
	beat(membership, 0, "b", 9, true);
	assert_string_equal(membership_newest_config(membership)->name, "b");
	membership_free(membership);
	g_string_free(story, TRUE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(members_come_restart_and_go),
	    cmocka_unit_test(the_first_that_reaches_the_store_again_is_told),
	    cmocka_unit_test(a_member_that_beats_seldom_is_lost_later),
	    cmocka_unit_test(readers_are_the_first_that_reach_the_store),
	    cmocka_unit_test(the_newest_configuration_is_known),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
