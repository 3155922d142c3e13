/* Unit tests of the quorum part: one failure at a time. */
#include "quorum_net.h"

static void
fresh_fleet_waits_before_it_votes(void **state)
{
	struct net *net = net_new(1, 9, 0);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	net_run(net, RESEND_WINDOW);
	assert_false(all_ready(net));
	claim(net, 0, key);
	run_for(net, CLAIM_TIMEOUT * 2);
	assert_int_equal(net->seen[key].denied, 1);
	assert_int_equal(net->seen[key].verdict, VERDICT_MAY_HAVE_RUN);
	assert_int_equal(net->seen[key].reason, QUORUM_REASON_NOT_READY);
	net_run(net, WARM);
	assert_true(all_ready(net));
	net_free(net);
}

static void
second_arrival_is_told_of_the_run(void **state)
{
	struct net *net = warm_net(2, 9);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	claim(net, 0, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->seen[key].runs, 1);
	claim(net, 5, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->seen[key].runs, 1);
	assert_int_equal(net->seen[key].denied, 1);
	assert_int_equal(net->seen[key].verdict, VERDICT_RAN);
	net_free(net);
}

static void
run_acts_at_one_time(struct net *net, unsigned key, unsigned n)
{
	for (unsigned i = 0; i < n; i++)
		claim(net, i, key);
	run_for(net, CLAIM_TIMEOUT * 2);
}

static void
split_votes_resolve(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct net *net = warm_net(seed, 9);

		for (unsigned i = 0; i < 10; i++) {
			unsigned key = add_key(net, QUORUM_ONCE);

			run_acts_at_one_time(net, key, 2 + i % 4);
			assert_int_equal(net->seen[key].runs, 1);
		}
		assert_int_equal(net->violations, 0);
		net_free(net);
	}
}

static void
minority_side_refuses_and_says_may_have_run(void **state)
{
	struct net *net = warm_net(3, 9);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	/* One zone is cut off; every shard has most voters elsewhere. */
	for (unsigned i = 0; i < 9; i += 3)
		net->nodes[i].group = 1;
	claim(net, 1, key);
	run_for(net, 20 * MSEC);
	assert_int_equal(net->seen[key].runs, 1);
	claim(net, 0, key);
	run_for(net, CLAIM_TIMEOUT + 20 * MSEC);
	assert_int_equal(net->seen[key].denied, 1);
	assert_int_equal(net->seen[key].verdict, VERDICT_MAY_HAVE_RUN);
	assert_int_equal(net->seen[key].runs, 1);
	net_free(net);
}

static void
pause_past_the_deadline_stops_the_act(void **state)
{
	static const unsigned naive[] = {0, QUORUM_NAIVE_LATE_TIMER};

	(void)state;
	for (unsigned i = 0; i < 2; i++) {
		struct net *net = warm_net(4, 9);
		unsigned key = add_key(net, QUORUM_LEASE);
		quorum_ticket ticket;
		usec_t now;

		net->naive = naive[i];
		for (unsigned j = 0; j < 9 && naive[i] != 0; j++)
			start_node(net, j);
		net_run(net, net->now + WARM);
		ticket = claim(net, 0, key);
		run_for(net, 30 * MSEC);
		now = local_time(&net->nodes[0], net->now);
		assert_true(quorum_may_act(net->nodes[0].quorum, now, ticket));
		net->nodes[0].paused_until = net->now + 10 * LEASE_TERM;
		run_for(net, 3 * LEASE_TERM);
		claim(net, 1, key);
		run_for(net, 100 * MSEC);
		assert_int_equal(net->seen[key].granted, 2);
		assert_int_equal(net->violations > 0, naive[i] != 0);
		net_free(net);
	}
}

static void
lease_counts_from_the_question(void **state)
{
	static const unsigned naive[] = {0, QUORUM_NAIVE_LEASE_FROM_ANSWER};

	(void)state;
	for (unsigned i = 0; i < 2; i++) {
		struct net *net = net_new(5, 5, naive[i]);
		unsigned key = add_key(net, QUORUM_LEASE);

		for (unsigned j = 0; j < 5; j++)
			net->nodes[j].clock_ppm = 0;
		net_run(net, WARM);
		net->delay_min = 30 * MSEC;
		net->delay_max = 35 * MSEC;
		claim(net, 0, key);
		/* The holder sleeps while it gets the votes of its second
		 * round, and is cut off then. */
		run_for(net, 85 * MSEC);
		net->nodes[0].paused_until = net->now + 100 * MSEC;
		run_for(net, 60 * MSEC);
		net->nodes[0].group = 1;
		run_for(net, 45 * MSEC);
		assert_int_equal(net->seen[key].granted, 1);
		net->delay_min = MSEC;
		net->delay_max = 2 * MSEC;
		for (unsigned j = 0; j < 60; j++) {
			claim(net, 1, key);
			run_for(net, 8 * MSEC);
		}
		assert_true(net->seen[key].granted > 1);
		assert_int_equal(net->violations > 0, naive[i] != 0);
		net_free(net);
	}
}

static void
restarted_voters_do_not_vote_blank(void **state)
{
	static const unsigned naive[] = {0, QUORUM_NAIVE_BLANK_VOTES};

	(void)state;
	for (unsigned i = 0; i < 2; i++) {
		struct net *net = net_new(6, 5, naive[i]);
		unsigned doubled = 0;

		net_run(net, WARM);
		net->finishes = false;
		for (unsigned j = 0; j < 10; j++) {
			unsigned key = add_key(net, QUORUM_ONCE);

			claim(net, 0, key);
			run_for(net, 50 * MSEC);
			assert_int_equal(net->seen[key].runs, 1);
			for (unsigned k = 1; k < 4; k++)
				start_node(net, k);
			run_for(net, 200 * MSEC);
			claim(net, 4, key);
			run_for(net, CLAIM_TIMEOUT * 2);
			doubled += net->seen[key].runs > 1;
			run_for(net, naive[i] != 0 ? 0 : WARM);
		}
		assert_int_equal(doubled > 0, naive[i] != 0);
		net_free(net);
	}
}

static void
one_restarted_voter_learns_from_the_others(void **state)
{
	struct net *net = warm_net(7, 3);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	net->finishes = false;
	claim(net, 0, key);
	run_for(net, 20 * MSEC);
	start_node(net, 1);
	run_for(net, 100 * MSEC);
	assert_false(is_ready(net, 1));
	run_for(net, 900 * MSEC);
	assert_true(is_ready(net, 1));
	start_node(net, 2);
	run_for(net, 1000 * MSEC);
	claim(net, 1, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->seen[key].runs, 1);
	assert_int_equal(net->seen[key].verdict, VERDICT_MAY_HAVE_RUN);
	net_free(net);
}

/// Lists the nodes from `first` on, `n` of them.
static void
list_only(struct net *net, unsigned first, unsigned n)
{
	for (unsigned i = 0; i < net->n_nodes; i++)
		net->nodes[i].listed = i >= first && i < first + n;
	publish(net);
}

static void
disjoint_views_do_not_double(void **state)
{
	static const unsigned naive[] = {0, QUORUM_NAIVE_NO_SEAL};

	(void)state;
	for (unsigned i = 0; i < 2; i++) {
		struct net *net = net_new(8, 10, naive[i]);
		unsigned key = add_key(net, QUORUM_ONCE);

		list_only(net, 0, 5);
		net_run(net, WARM);
		net->finishes = false;
		if (naive[i] != 0) {
			list_only(net, 0, 4);
			run_for(net, 1000 * MSEC);
		}
		claim(net, 0, key);
		run_for(net, 50 * MSEC);
		assert_int_equal(net->seen[key].runs, 1);
		list_only(net, 5, 5);
		run_for(net, 1000 * MSEC);
		claim(net, 7, key);
		run_for(net, CLAIM_TIMEOUT * 2);
		assert_int_equal(net->seen[key].runs > 1, naive[i] != 0);
		if (naive[i] == 0) {
			assert_true(is_ready(net, 7));
			assert_int_equal(
			    net->seen[key].reason, QUORUM_REASON_HELD);
		}
		net_free(net);
	}
}

static void
skipped_views_are_followed(void **state)
{
	struct net *net = warm_net(9, 15);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	net->finishes = false;
	list_only(net, 0, 5);
	run_for(net, 1500 * MSEC);
	/* Nodes 10 to 14 never hear of the second view. */
	for (unsigned i = 10; i < 15; i++)
		net->nodes[i].cut_from_list = true;
	list_only(net, 5, 5);
	run_for(net, 1500 * MSEC);
	claim(net, 5, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->seen[key].runs, 1);
	for (unsigned i = 10; i < 15; i++)
		net->nodes[i].cut_from_list = false;
	list_only(net, 10, 5);
	run_for(net, 1500 * MSEC);
	assert_true(is_ready(net, 10));
	claim(net, 10, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->seen[key].runs, 1);
	assert_int_equal(net->seen[key].reason, QUORUM_REASON_HELD);
	net_free(net);
}

static void
overtaken_views_are_forgotten_only_for_known_ones(void **state)
{
	struct net *net = net_new(17, 9, 0);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	list_only(net, 0, 3);
	net_run(net, WARM);
	list_only(net, 3, 3);
	run_for(net, 1500 * MSEC);
	net->finishes = false;
	claim(net, 3, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->seen[key].runs, 1);
	list_only(net, 6, 3);
	run_for(net, 1500 * MSEC);
	/* Nodes 0 and 1 hear of the third view's end, not of its voters. */
	net->nodes[0].cut_from_list = net->nodes[1].cut_from_list = true;
	list_only(net, 0, 2);
	net->nodes[6].listed = true;
	publish(net);
	run_for(net, 600 * MSEC);
	net->nodes[6].group = 1;
	stop_node(net, 2);
	net->nodes[0].cut_from_list = net->nodes[1].cut_from_list = false;
	run_for(net, 1500 * MSEC);
	claim(net, 0, key);
	run_for(net, CLAIM_TIMEOUT * 2);
	assert_int_equal(net->seen[key].runs, 1);
	assert_int_equal(net->seen[key].reason, QUORUM_REASON_HELD);
	net_free(net);
}

static void
lost_majority_is_waited_out(void **state)
{
	struct net *net = warm_net(10, 5);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	for (unsigned i = 0; i < 3; i++)
		start_node(net, i);
	run_for(net, RESEND_WINDOW);
	assert_false(is_ready(net, 0));
	claim(net, 4, key);
	run_for(net, CLAIM_TIMEOUT * 2);
	assert_int_equal(net->seen[key].runs, 0);
	run_for(net, 3000 * MSEC);
	assert_true(all_ready(net));
	net_free(net);
}

static void
young_blank_members_do_not_count_in_a_census(void **state)
{
	struct net *net = net_new(16, 10, 0);
	unsigned keys[8];

	(void)state;
	list_only(net, 0, 5);
	net_run(net, WARM);
	net->finishes = false;
	for (unsigned i = 0; i < G_N_ELEMENTS(keys); i++) {
		keys[i] = add_key(net, QUORUM_ONCE);
		claim(net, 0, keys[i]);
	}
	run_for(net, 50 * MSEC);
	for (unsigned i = 0; i < 5; i++)
		start_node(net, i);
	list_only(net, 0, 10);
	run_for(net, 2000 * MSEC);
	for (unsigned i = 0; i < G_N_ELEMENTS(keys); i++) {
		claim(net, 7, keys[i]);
		run_for(net, CLAIM_TIMEOUT * 3 / 2);
		assert_int_equal(net->seen[keys[i]].runs, 1);
	}
	net_free(net);
}

static void
silent_listed_majority_is_not_waited_out(void **state)
{
	struct net *net = warm_net(11, 6);

	(void)state;
	/* Three of five are cut off with the fifth's knowledge; a new one. */
	list_only(net, 0, 5);
	run_for(net, 1500 * MSEC);
	for (unsigned i = 0; i < 3; i++)
		net->nodes[i].group = 1;
	list_only(net, 0, 6);
	run_for(net, WARM * 3);
	for (unsigned i = 3; i < 6; i++)
		assert_false(is_ready(net, i));
	for (unsigned i = 0; i < 3; i++)
		net->nodes[i].group = 0;
	run_for(net, 2000 * MSEC);
	assert_true(all_ready(net));
	net_free(net);
}

static void
lease_moves_with_a_higher_fence(void **state)
{
	struct net *net = warm_net(12, 9);
	unsigned key = add_key(net, QUORUM_LEASE);
	quorum_ticket ticket = claim(net, 0, key);

	(void)state;
	run_for(net, 5 * LEASE_TERM);
	assert_true(quorum_may_act(net->nodes[0].quorum,
	    local_time(&net->nodes[0], net->now), ticket));
	assert_int_equal(net->seen[key].number, 1);
	claim(net, 1, key);
	run_for(net, CLAIM_TIMEOUT);
	assert_int_equal(net->seen[key].denied, 1);
	quorum_release(
	    net->nodes[0].quorum, local_time(&net->nodes[0], net->now), ticket);
	take_actions(net, 0);
	run_for(net, 20 * MSEC);
	claim(net, 1, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->seen[key].holder, 1);
	assert_true(net->seen[key].number > 1);
	/* The holder is cut off: it gives up before another one gets it. */
	net->nodes[1].group = 1;
	run_for(net, 2 * LEASE_TERM);
	assert_true(net->nodes[1].lost_lease);
	claim(net, 2, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->seen[key].holder, 2);
	assert_int_equal(net->violations, 0);
	net_free(net);
}

static void
version_is_the_highest_or_isolated(void **state)
{
	struct net *net = warm_net(13, 9);
	unsigned key = add_key(net, QUORUM_VERSION);

	(void)state;
	raise_version(net, 0, key, 7);
	raise_version(net, 1, key, 5);
	run_for(net, 50 * MSEC);
	list_only(net, 2, 7);
	run_for(net, 1500 * MSEC);
	read_version(net, 4, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->n_versions, 1);
	assert_int_equal(net->version, 7);
	net->nodes[4].group = 1;
	read_version(net, 4, key);
	run_for(net, CLAIM_TIMEOUT + 10 * MSEC);
	assert_int_equal(net->n_isolated, 1);
	net_free(net);
}

static void
leaving_voters_hand_over(void **state)
{
	struct net *net = warm_net(14, 5);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	net->finishes = false;
	claim(net, 0, key);
	run_for(net, 20 * MSEC);
	for (unsigned i = 0; i < 2; i++) {
		struct node *node = &net->nodes[i];

		quorum_leave(node->quorum, local_time(node, net->now));
		take_actions(net, i);
		node->leaving = true;
	}
	assert_true(net->n_by_type[QUORUM_HANDOVER] >= 4);
	publish(net);
	run_for(net, 1500 * MSEC);
	for (unsigned i = 0; i < 2; i++) {
		stop_node(net, i);
		net->nodes[i].listed = false;
	}
	publish(net);
	run_for(net, 1500 * MSEC);
	assert_true(all_ready(net));
	claim(net, 3, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->seen[key].runs, 1);
	assert_int_equal(net->seen[key].reason, QUORUM_REASON_HELD);
	net_free(net);
}

/// Counts messages for one use of a new key, from the question to the end.
static double
cost_of(struct net *net, enum quorum_kind kind)
{
	uint64_t before = net->n_messages;

	for (unsigned i = 0; i < 10; i++) {
		unsigned key = add_key(net, kind);
		unsigned index = i * 7 % net->n_nodes;
		struct node *node = &net->nodes[index];
		quorum_ticket ticket;

		if (kind == QUORUM_VERSION) {
			raise_version(net, index, key, 1);
		} else {
			ticket = claim(net, index, key);
			run_for(net, 20 * MSEC);
			assert_int_equal(net->seen[key].granted, 1);
			quorum_release(
			    node->quorum, local_time(node, net->now), ticket);
			take_actions(net, index);
		}
		run_for(net, 100 * MSEC);
	}
	return (double)(net->n_messages - before) / 10;
}

static void
view_change_is_short(void **state)
{
	static const unsigned sizes[] = {9, 30};

	(void)state;
	print_message(
	    "one leaves: instances  ms not all ready  messages each\n");
	for (unsigned i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct net *net = net_new(18, sizes[i], 0);
		unsigned n_unready = 0;
		uint64_t before;

		net->n_shards = 64;
		for (unsigned j = 0; j < sizes[i]; j++)
			start_node(net, j);
		net_run(net, WARM * 2);
		assert_true(all_ready(net));
		stop_node(net, sizes[i] - 1);
		before = net->n_messages;
		list_only(net, 0, sizes[i] - 1);
		for (unsigned j = 0; j < 2000; j++) {
			run_for(net, MSEC);
			n_unready += !all_ready(net);
		}
		assert_true(all_ready(net));
		print_message("%21u %16u %14.1f\n", sizes[i], n_unready,
		    (double)(net->n_messages - before) / sizes[i]);
		assert_true(n_unready < 1000);
		net_free(net);
	}
}

static void
claim_costs_are_flat_in_fleet_size(void **state)
{
	static const unsigned sizes[] = {3, 9, 30, 100, 370};

	(void)state;
	print_message("messages: instances  once  fenced lease  version\n");
	for (unsigned i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct net *net =
		    net_new(15, sizes[i], QUORUM_NAIVE_BLANK_VOTES);
		double once, lease, version;

		net->n_shards = 64;
		for (unsigned j = 0; j < sizes[i]; j++)
			start_node(net, j);
		run_for(net, 400 * MSEC);
		once = cost_of(net, QUORUM_ONCE);
		version = cost_of(net, QUORUM_VERSION);
		lease = cost_of(net, QUORUM_LEASE);
		print_message("%19u %5.1f %13.1f %8.1f\n", sizes[i], once,
		    lease, version);
		assert_true(once <= 20 && lease <= 30 && version <= 10);
		net_free(net);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(fresh_fleet_waits_before_it_votes),
	    cmocka_unit_test(second_arrival_is_told_of_the_run),
	    cmocka_unit_test(split_votes_resolve),
	    cmocka_unit_test(minority_side_refuses_and_says_may_have_run),
	    cmocka_unit_test(pause_past_the_deadline_stops_the_act),
	    cmocka_unit_test(lease_counts_from_the_question),
	    cmocka_unit_test(restarted_voters_do_not_vote_blank),
	    cmocka_unit_test(one_restarted_voter_learns_from_the_others),
	    cmocka_unit_test(disjoint_views_do_not_double),
	    cmocka_unit_test(skipped_views_are_followed),
	    cmocka_unit_test(overtaken_views_are_forgotten_only_for_known_ones),
	    cmocka_unit_test(lost_majority_is_waited_out),
	    cmocka_unit_test(young_blank_members_do_not_count_in_a_census),
	    cmocka_unit_test(silent_listed_majority_is_not_waited_out),
	    cmocka_unit_test(lease_moves_with_a_higher_fence),
	    cmocka_unit_test(version_is_the_highest_or_isolated),
	    cmocka_unit_test(leaving_voters_hand_over),
	    cmocka_unit_test(view_change_is_short),
	    cmocka_unit_test(claim_costs_are_flat_in_fleet_size),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
