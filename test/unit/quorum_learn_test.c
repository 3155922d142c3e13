/*
 * Tests how voters of the quorum module learn the state after view changes,
 * restarts and the loss of a majority.
 */
#include "quorum_net.h"

static void
new_fleet_waits_before_voting(void **state)
{
	struct net *net = net_new(1, 9, 0);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	run_until(net, RESEND_WINDOW);
	assert_false(all_nodes_ready(net));
	start_claim(net, 0, key);
	run_for(net, CLAIM_TIMEOUT * 2);
	assert_int_equal(net->history[key].n_denied, 1);
	assert_int_equal(
	    net->history[key].denial_verdict, VERDICT_MAY_HAVE_RUN);
	assert_int_equal(
	    net->history[key].denial_reason, QUORUM_REASON_NOT_READY);
	run_until(net, WARM_UP_TIME);
	assert_true(all_nodes_ready(net));
	net_free(net);
}

static void
restarted_voters_do_not_vote_without_state(void **state)
{
	static const unsigned naive[] = {0, QUORUM_NAIVE_BLANK_VOTES};

	(void)state;
	for (unsigned i = 0; i < 2; i++) {
		struct net *net = net_new(6, 5, naive[i]);
		unsigned n_keys_run_twice = 0;

		run_until(net, WARM_UP_TIME);
		net->outcomes_reported = false;
		for (unsigned j = 0; j < 10; j++) {
			unsigned key = add_key(net, QUORUM_ONCE);

			start_claim(net, 0, key);
			run_for(net, 50 * MSEC);
			assert_int_equal(net->history[key].n_runs, 1);
			for (unsigned k = 1; k < 4; k++)
				start_node(net, k);
			run_for(net, 200 * MSEC);
			start_claim(net, 4, key);
			run_for(net, CLAIM_TIMEOUT * 2);
			n_keys_run_twice += net->history[key].n_runs > 1;
			run_for(net, naive[i] != 0 ? 0 : WARM_UP_TIME);
		}
		assert_int_equal(n_keys_run_twice > 0, naive[i] != 0);
		net_free(net);
	}
}

static void
one_restarted_voter_learns_from_the_others(void **state)
{
	struct net *net = net_new_ready(7, 3);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	net->outcomes_reported = false;
	start_claim(net, 0, key);
	run_for(net, 20 * MSEC);
	start_node(net, 1);
	run_for(net, 100 * MSEC);
	assert_false(is_node_ready(net, 1));
	run_for(net, 900 * MSEC);
	assert_true(is_node_ready(net, 1));
	start_node(net, 2);
	run_for(net, 1000 * MSEC);
	start_claim(net, 1, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->history[key].n_runs, 1);
	assert_int_equal(
	    net->history[key].denial_verdict, VERDICT_MAY_HAVE_RUN);
	net_free(net);
}

static void
disjoint_views_do_not_run_a_request_twice(void **state)
{
	static const unsigned naive[] = {0, QUORUM_NAIVE_NO_SEAL};

	(void)state;
	for (unsigned i = 0; i < 2; i++) {
		struct net *net = net_new(8, 10, naive[i]);
		unsigned key = add_key(net, QUORUM_ONCE);

		list_only_nodes(net, 0, 5);
		run_until(net, WARM_UP_TIME);
		net->outcomes_reported = false;
		if (naive[i] != 0) {
			list_only_nodes(net, 0, 4);
			run_for(net, 1000 * MSEC);
		}
		start_claim(net, 0, key);
		run_for(net, 50 * MSEC);
		assert_int_equal(net->history[key].n_runs, 1);
		list_only_nodes(net, 5, 5);
		run_for(net, 1000 * MSEC);
		start_claim(net, 7, key);
		run_for(net, CLAIM_TIMEOUT * 2);
		assert_int_equal(net->history[key].n_runs > 1, naive[i] != 0);
		if (naive[i] == 0) {
			assert_true(is_node_ready(net, 7));
			assert_int_equal(net->history[key].denial_reason,
			    QUORUM_REASON_HELD);
		}
		net_free(net);
	}
}

static void
voters_learn_records_of_views_they_never_read(void **state)
{
	struct net *net = net_new_ready(9, 15);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	net->outcomes_reported = false;
	list_only_nodes(net, 0, 5);
	run_for(net, 1500 * MSEC);
	/* Nodes 10 to 14 never read the second view. */
	for (unsigned i = 10; i < 15; i++)
		net->nodes[i].list_unreachable = true;
	list_only_nodes(net, 5, 5);
	run_for(net, 1500 * MSEC);
	start_claim(net, 5, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->history[key].n_runs, 1);
	for (unsigned i = 10; i < 15; i++)
		net->nodes[i].list_unreachable = false;
	list_only_nodes(net, 10, 5);
	run_for(net, 1500 * MSEC);
	assert_true(is_node_ready(net, 10));
	start_claim(net, 10, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->history[key].n_runs, 1);
	assert_int_equal(net->history[key].denial_reason, QUORUM_REASON_HELD);
	/* Learnt records expire no earlier than the votes that they copy. */
	run_for(net, RESEND_WINDOW - 1700 * MSEC);
	start_claim(net, 11, key);
	run_for(net, CLAIM_TIMEOUT);
	assert_int_equal(net->history[key].n_runs, 1);
	net_free(net);
}

static void
pending_configs_are_pruned_only_for_a_known_active_one(void **state)
{
	struct net *net = net_new(17, 9, 0);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	list_only_nodes(net, 0, 3);
	run_until(net, WARM_UP_TIME);
	list_only_nodes(net, 3, 3);
	run_for(net, 1500 * MSEC);
	net->outcomes_reported = false;
	start_claim(net, 3, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->history[key].n_runs, 1);
	list_only_nodes(net, 6, 3);
	run_for(net, 1500 * MSEC);
	/* Nodes 0 and 1 never read the third view. Node 6 tells them that the
	 * third view was active, but not who its voters were. */
	net->nodes[0].list_unreachable = net->nodes[1].list_unreachable = true;
	list_only_nodes(net, 0, 2);
	net->nodes[6].listed = true;
	publish_view(net);
	run_for(net, 600 * MSEC);
	net->nodes[6].partition = 1;
	stop_node(net, 2);
	net->nodes[0].list_unreachable = net->nodes[1].list_unreachable = false;
	run_for(net, 1500 * MSEC);
	start_claim(net, 0, key);
	run_for(net, CLAIM_TIMEOUT * 2);
	assert_int_equal(net->history[key].n_runs, 1);
	assert_int_equal(net->history[key].denial_reason, QUORUM_REASON_HELD);
	net_free(net);
}

static void
restarted_majority_votes_only_after_old_votes_expire(void **state)
{
	struct net *net = net_new_ready(10, 5);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	for (unsigned i = 0; i < 3; i++)
		start_node(net, i);
	run_for(net, RESEND_WINDOW);
	assert_false(is_node_ready(net, 0));
	start_claim(net, 4, key);
	run_for(net, CLAIM_TIMEOUT * 2);
	assert_int_equal(net->history[key].n_runs, 0);
	run_for(net, 3000 * MSEC);
	assert_true(all_nodes_ready(net));
	net_free(net);
}

static void
recently_started_members_without_state_do_not_count(void **state)
{
	struct net *net = net_new(16, 10, 0);
	unsigned keys[8];

	(void)state;
	list_only_nodes(net, 0, 5);
	run_until(net, WARM_UP_TIME);
	net->outcomes_reported = false;
	for (unsigned i = 0; i < G_N_ELEMENTS(keys); i++) {
		keys[i] = add_key(net, QUORUM_ONCE);
		start_claim(net, 0, keys[i]);
	}
	run_for(net, 50 * MSEC);
	for (unsigned i = 0; i < 5; i++)
		start_node(net, i);
	list_only_nodes(net, 0, 10);
	run_for(net, 2000 * MSEC);
	for (unsigned i = 0; i < G_N_ELEMENTS(keys); i++) {
		start_claim(net, 7, keys[i]);
		run_for(net, CLAIM_TIMEOUT * 3 / 2);
		assert_int_equal(net->history[keys[i]].n_runs, 1);
	}
	net_free(net);
}

static void
unreachable_listed_majority_blocks_readiness(void **state)
{
	struct net *net = net_new_ready(11, 6);

	(void)state;
	/* Three of five voters become unreachable but stay listed, and a sixth
	 * instance joins. Those three may hold the only records of a grant. */
	list_only_nodes(net, 0, 5);
	run_for(net, 1500 * MSEC);
	for (unsigned i = 0; i < 3; i++)
		net->nodes[i].partition = 1;
	list_only_nodes(net, 0, 6);
	run_for(net, WARM_UP_TIME * 3);
	for (unsigned i = 3; i < 6; i++)
		assert_false(is_node_ready(net, i));
	for (unsigned i = 0; i < 3; i++)
		net->nodes[i].partition = 0;
	run_for(net, 2000 * MSEC);
	assert_true(all_nodes_ready(net));
	net_free(net);
}

static void
old_view_stops_voting_before_new_view_starts(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 5; seed++) {
		struct net *net = net_new(seed, 10, 0);

		list_only_nodes(net, 0, 5);
		run_until(net, WARM_UP_TIME);
		/* The old voters do not read the new view, while the new voters
		 * do. The loop below takes 288 ms, which is less than the
		 * LIST_LAG of 300 ms by which a list may be late. */
		net->list_lag_max = 0;
		for (unsigned i = 0; i < 5; i++)
			net->nodes[i].list_unreachable = true;
		list_only_nodes(net, 5, 5);
		for (unsigned i = 0; i < 36; i++) {
			unsigned key = add_key(net, QUORUM_ONCE);

			start_claim(net, i % 5, key);
			start_claim(net, 5 + i % 5, key);
			run_for(net, 8 * MSEC);
		}
		assert_int_equal(net->n_violations, 0);
		net_free(net);
	}
}

static void
superseded_view_does_not_become_ready(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 5; seed++) {
		struct net *net = net_new(seed, 9, 0);

		list_only_nodes(net, 0, 3);
		run_until(net, WARM_UP_TIME);
		net->list_lag_max = 0;
		for (unsigned i = 0; i < 6; i++)
			net->nodes[i].list_unreachable = i < 3;
		/* The partition keeps the second view's voters from requesting
		 * the state before the third view's voters do. */
		for (unsigned i = 3; i < 6; i++)
			net->nodes[i].partition = 1;
		list_only_nodes(net, 3, 3);
		run_for(net, POLL_INTERVAL + 10 * MSEC);
		for (unsigned i = 3; i < 6; i++)
			net->nodes[i].list_unreachable = true;
		list_only_nodes(net, 6, 3);
		run_for(net, POLL_INTERVAL + 20 * MSEC);
		for (unsigned i = 3; i < 6; i++)
			net->nodes[i].partition = 0;
		for (unsigned i = 0; i < 28; i++) {
			unsigned key = add_key(net, QUORUM_ONCE);

			start_claim(net, 3, key);
			start_claim(net, 6, key);
			run_for(net, 10 * MSEC);
			assert_int_equal(net->history[key].n_runs, 1);
		}
		assert_int_equal(net->n_violations, 0);
		net_free(net);
	}
}

static void
partition_with_a_stale_list_stops_voting_in_time(void **state)
{
	struct net *net = net_new(19, 10, 0);
	unsigned n_runs = 0;

	(void)state;
	list_only_nodes(net, 0, 5);
	run_until(net, WARM_UP_TIME);
	for (unsigned i = 0; i < 3; i++) {
		net->nodes[i].partition = 1;
		net->nodes[i].list_unreachable = true;
	}
	list_only_nodes(net, 3, 7);
	for (unsigned i = 0; i < KEYS_MAX; i++) {
		unsigned key = add_key(net, QUORUM_ONCE);

		start_claim(net, 0, key);
		run_for(net, 50 * MSEC);
		start_claim(net, 5, key);
		run_for(net, 100 * MSEC);
		n_runs += net->history[key].n_runs;
	}
	/* The listed instances grant claims again after all votes of the
	 * delisted voters have expired. */
	assert_true(net->history[KEYS_MAX - 1].n_runs == 1);
	assert_true(n_runs < KEYS_MAX);
	assert_int_equal(net->n_violations, 0);
	net_free(net);
}

static void
leaving_voters_hand_over_records(void **state)
{
	struct net *net = net_new_ready(14, 5);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	net->outcomes_reported = false;
	start_claim(net, 0, key);
	run_for(net, 20 * MSEC);
	for (unsigned i = 0; i < 2; i++) {
		struct node *node = &net->nodes[i];

		quorum_leave(node->quorum, local_time(node, net->now));
		handle_actions(net, i);
		node->leaving = true;
	}
	assert_true(net->n_messages_by_type[QUORUM_HANDOVER] >= 4);
	publish_view(net);
	run_for(net, 1500 * MSEC);
	for (unsigned i = 0; i < 2; i++) {
		stop_node(net, i);
		net->nodes[i].listed = false;
	}
	publish_view(net);
	run_for(net, 1500 * MSEC);
	assert_true(all_nodes_ready(net));
	start_claim(net, 3, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->history[key].n_runs, 1);
	assert_int_equal(net->history[key].denial_reason, QUORUM_REASON_HELD);
	net_free(net);
}

static void
view_change_is_short(void **state)
{
	static const unsigned sizes[] = {9, 30};

	(void)state;
	print_message("one delisted: instances  ms not all ready  messages per "
		      "instance\n");
	for (unsigned i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct net *net = net_new(18, sizes[i], 0);
		unsigned n_unready_ms = 0;
		uint64_t n_messages_before;

		net->n_shards = 64;
		for (unsigned j = 0; j < sizes[i]; j++)
			start_node(net, j);
		run_until(net, WARM_UP_TIME * 2);
		assert_true(all_nodes_ready(net));
		stop_node(net, sizes[i] - 1);
		n_messages_before = net->n_messages;
		list_only_nodes(net, 0, sizes[i] - 1);
		for (unsigned j = 0; j < 2000; j++) {
			run_for(net, MSEC);
			n_unready_ms += !all_nodes_ready(net);
		}
		assert_true(all_nodes_ready(net));
		print_message("%23u %17u %22.1f\n", sizes[i], n_unready_ms,
		    (double)(net->n_messages - n_messages_before) / sizes[i]);
		assert_true(n_unready_ms < 1000);
		net_free(net);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(new_fleet_waits_before_voting),
	    cmocka_unit_test(restarted_voters_do_not_vote_without_state),
	    cmocka_unit_test(one_restarted_voter_learns_from_the_others),
	    cmocka_unit_test(disjoint_views_do_not_run_a_request_twice),
	    cmocka_unit_test(voters_learn_records_of_views_they_never_read),
	    cmocka_unit_test(
		pending_configs_are_pruned_only_for_a_known_active_one),
	    cmocka_unit_test(
		restarted_majority_votes_only_after_old_votes_expire),
	    cmocka_unit_test(
		recently_started_members_without_state_do_not_count),
	    cmocka_unit_test(unreachable_listed_majority_blocks_readiness),
	    cmocka_unit_test(old_view_stops_voting_before_new_view_starts),
	    cmocka_unit_test(superseded_view_does_not_become_ready),
	    cmocka_unit_test(partition_with_a_stale_list_stops_voting_in_time),
	    cmocka_unit_test(leaving_voters_hand_over_records),
	    cmocka_unit_test(view_change_is_short),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
