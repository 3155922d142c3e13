/* Unit tests of the membership: joins, losses, choice of store readers. */
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
record_change(
    void *owner, enum member_change change, const struct member *member)
{
	static const char *const names[] = {
	    "", "joined", "restarted", "lost", "reached-store"};

	g_string_append_printf(owner, "%s:%s ", names[change], member->name);
}

static const struct member *
send_heartbeat(struct membership *membership, usec_t now, const char *name,
    uint64_t incarnation, bool store_reachable)
{
	const struct member_heartbeat heartbeat = {.name = name,
	    .ip = "10.0.0.1",
	    .incarnation = incarnation,
	    .config_revision = incarnation,
	    .store_reachable = store_reachable};

	return membership_handle_heartbeat(membership, now, &heartbeat);
}

static void
members_join_restart_and_are_lost(void **state)
{
	GString *changes = g_string_new(NULL);
	struct membership *membership =
	    membership_new("m", 1000 * MS, record_change, changes);

	(void)state;
	assert_null(send_heartbeat(membership, 0, "m", 1, true));
	assert_non_null(send_heartbeat(membership, 0, "a", 5, true));
	send_heartbeat(membership, 100 * MS, "b", 5, true);
	send_heartbeat(membership, 800 * MS, "a", 6, true);
	/* A late datagram, sent before the last restart. */
	assert_null(send_heartbeat(membership, 900 * MS, "a", 5, true));
	assert_int_equal(membership_size(membership), 3);
	membership_tick(membership, 1100 * MS);
	assert_string_equal(changes->str,
	    "joined:a reached-store:a joined:b restarted:a lost:b ");
	assert_int_equal(membership_size(membership), 2);
	/* The peak still counts b, which may run but be disconnected. */
	assert_int_equal(membership_peak_size(membership), 3);
	membership_forget_all(membership);
	assert_int_equal(membership_size(membership), 1);
	membership_free(membership);
	g_string_free(changes, TRUE);
}

/// After a time in which no member could reach the store, only the first member
/// that reaches it again is reported.
static void
first_member_to_reach_the_store_again_is_reported(void **state)
{
	GString *changes = g_string_new(NULL);
	struct membership *membership =
	    membership_new("m", 1000 * MS, record_change, changes);

	(void)state;
	send_heartbeat(membership, 0, "a", 1, true);
	send_heartbeat(membership, 0, "b", 1, true);
	send_heartbeat(membership, 100 * MS, "a", 1, false);
	send_heartbeat(membership, 100 * MS, "b", 1, false);
	g_string_truncate(changes, 0);
	send_heartbeat(membership, 200 * MS, "b", 1, true);
	send_heartbeat(membership, 300 * MS, "b", 1, true);
	send_heartbeat(membership, 300 * MS, "a", 1, true);
	assert_string_equal(changes->str, "reached-store:b ");
	membership_free(membership);
	g_string_free(changes, TRUE);
}

/// In a large fleet the interval between heartbeats is longer, so a member
/// counts as lost after six intervals if that is longer than the minimum time.
static void
member_with_a_long_heartbeat_interval_is_lost_later(void **state)
{
	GString *changes = g_string_new(NULL);
	struct membership *membership =
	    membership_new("m", 1000 * MS, record_change, changes);
	const struct member_heartbeat heartbeat = {.name = "a",
	    .ip = "10.0.0.1",
	    .incarnation = 1,
	    .interval = 400 * MS};

	(void)state;
	membership_handle_heartbeat(membership, 0, &heartbeat);
	membership_tick(membership, 2300 * MS);
	assert_non_null(membership_find(membership, "a"));
	membership_tick(membership, 2400 * MS);
	assert_null(membership_find(membership, "a"));
	membership_free(membership);
	g_string_free(changes, TRUE);
}

/// Two of the live instances that can reach the store read it on behalf of all
/// instances.
static void
readers_are_the_first_instances_by_name_that_reach_the_store(void **state)
{
	GString *changes = g_string_new(NULL);
	struct membership *membership =
	    membership_new("m", 1000 * MS, record_change, changes);

	(void)state;
	assert_true(membership_reader_rank(membership, true) >= 0);
	assert_int_equal(membership_reader_rank(membership, false), -1);
	send_heartbeat(membership, 0, "a", 1, true);
	assert_int_equal(membership_reader_rank(membership, true), 1);
	send_heartbeat(membership, 0, "b", 1, true);
	assert_int_equal(membership_reader_rank(membership, true), -1);
	send_heartbeat(membership, 0, "z", 1, true);
	assert_int_equal(membership_reader_rank(membership, true), -1);
	/* b can no longer reach the store. */
	send_heartbeat(membership, 500 * MS, "b", 1, false);
	assert_true(membership_reader_rank(membership, true) >= 0);
	send_heartbeat(membership, 600 * MS, "b", 1, true);
	assert_int_equal(membership_reader_rank(membership, true), -1);
	/* a and b stop sending heartbeats. */
	membership_tick(membership, 2000 * MS);
	assert_true(membership_reader_rank(membership, true) >= 0);
	membership_free(membership);
	g_string_free(changes, TRUE);
}

static void
member_with_the_newest_configuration_is_found(void **state)
{
	GString *changes = g_string_new(NULL);
	struct membership *membership =
	    membership_new("m", 1000 * MS, record_change, changes);

	(void)state;
	assert_null(membership_find_newest_config(membership));
	send_heartbeat(membership, 0, "a", 4, true);
	send_heartbeat(membership, 0, "b", 9, true);
	assert_string_equal(
	    membership_find_newest_config(membership)->name, "b");
	membership_free(membership);
	g_string_free(changes, TRUE);
}

/// Each instance has another rank for a task, and the first ones of many tasks
/// differ.
static void
instances_agree_on_the_ranks_for_a_task(void **state)
{
	static const char *const names[] = {"a", "b", "c"};
	struct membership *memberships[G_N_ELEMENTS(names)];
	unsigned owned[G_N_ELEMENTS(names)] = {0};
	unsigned changes[8] = {0};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		memberships[i] =
		    membership_new(names[i], 1000 * MS, record_change, changes);
		for (size_t j = 0; j < G_N_ELEMENTS(names); j++)
			send_heartbeat(memberships[i], 0, names[j], 1, true);
	}
	for (uint64_t task = 0; task < 300; task++) {
		unsigned ranks = 0;

		for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
			unsigned rank =
			    membership_task_rank(memberships[i], task);

			ranks |= 1u << rank;
			owned[i] += rank == 0;
		}
		assert_int_equal(ranks, 7);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		assert_in_range(owned[i], 50, 200);
		membership_free(memberships[i]);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(members_join_restart_and_are_lost),
	    cmocka_unit_test(first_member_to_reach_the_store_again_is_reported),
	    cmocka_unit_test(
		member_with_a_long_heartbeat_interval_is_lost_later),
	    cmocka_unit_test(
		readers_are_the_first_instances_by_name_that_reach_the_store),
	    cmocka_unit_test(member_with_the_newest_configuration_is_found),
	    cmocka_unit_test(instances_agree_on_the_ranks_for_a_task),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
