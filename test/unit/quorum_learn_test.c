/* Unit tests of the quorum part: view changes, restarts and lost memory. */
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
	/* What was learnt lasts as long as what was voted. */
	run_for(net, RESEND_WINDOW - 1700 * MSEC);
	claim(net, 11, key);
	run_for(net, CLAIM_TIMEOUT);
	assert_int_equal(net->seen[key].runs, 1);
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
old_views_stop_before_new_ones_vote(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 5; seed++) {
		struct net *net = net_new(seed, 10, 0);

		list_only(net, 0, 5);
		net_run(net, WARM);
		/* The old view's voters read of the change later, within the
		 * list's lag, than the new ones. */
		net->list_lag = 0;
		for (unsigned i = 0; i < 5; i++)
			net->nodes[i].cut_from_list = true;
		list_only(net, 5, 5);
		for (unsigned i = 0; i < 36; i++) {
			unsigned key = add_key(net, QUORUM_ONCE);

			claim(net, i % 5, key);
			claim(net, 5 + i % 5, key);
			run_for(net, 8 * MSEC);
		}
		assert_int_equal(net->violations, 0);
		net_free(net);
	}
}

static void
overtaken_view_does_not_become_ready(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 5; seed++) {
		struct net *net = net_new(seed, 9, 0);

		list_only(net, 0, 3);
		net_run(net, WARM);
		net->list_lag = 0;
		for (unsigned i = 0; i < 6; i++)
			net->nodes[i].cut_from_list = i < 3;
		/* The second view's voters can't ask before the third one's. */
		for (unsigned i = 3; i < 6; i++)
			net->nodes[i].group = 1;
		list_only(net, 3, 3);
		run_for(net, POLL_INTERVAL + 10 * MSEC);
		for (unsigned i = 3; i < 6; i++)
			net->nodes[i].cut_from_list = true;
		list_only(net, 6, 3);
		run_for(net, POLL_INTERVAL + 20 * MSEC);
		for (unsigned i = 3; i < 6; i++)
			net->nodes[i].group = 0;
		for (unsigned i = 0; i < 28; i++) {
			unsigned key = add_key(net, QUORUM_ONCE);

			claim(net, 3, key);
			claim(net, 6, key);
			run_for(net, 10 * MSEC);
			assert_int_equal(net->seen[key].runs, 1);
		}
		assert_int_equal(net->violations, 0);
		net_free(net);
	}
}

static void
stale_island_stops_before_it_is_waited_out(void **state)
{
	struct net *net = net_new(19, 10, 0);
	unsigned n_runs = 0;

	(void)state;
	list_only(net, 0, 5);
	net_run(net, WARM);
	for (unsigned i = 0; i < 3; i++) {
		net->nodes[i].group = 1;
		net->nodes[i].cut_from_list = true;
	}
	list_only(net, 3, 7);
	for (unsigned i = 0; i < KEYS_MAX; i++) {
		unsigned key = add_key(net, QUORUM_ONCE);

		claim(net, 0, key);
		run_for(net, 50 * MSEC);
		claim(net, 5, key);
		run_for(net, 100 * MSEC);
		n_runs += net->seen[key].runs;
	}
	/* The rest of the fleet works again, once the time has passed. */
	assert_true(net->seen[KEYS_MAX - 1].runs == 1);
	assert_true(n_runs < KEYS_MAX);
	assert_int_equal(net->violations, 0);
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

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(fresh_fleet_waits_before_it_votes),
	    cmocka_unit_test(restarted_voters_do_not_vote_blank),
	    cmocka_unit_test(one_restarted_voter_learns_from_the_others),
	    cmocka_unit_test(disjoint_views_do_not_double),
	    cmocka_unit_test(skipped_views_are_followed),
	    cmocka_unit_test(overtaken_views_are_forgotten_only_for_known_ones),
	    cmocka_unit_test(lost_majority_is_waited_out),
	    cmocka_unit_test(young_blank_members_do_not_count_in_a_census),
	    cmocka_unit_test(silent_listed_majority_is_not_waited_out),
	    cmocka_unit_test(old_views_stop_before_new_ones_vote),
	    cmocka_unit_test(overtaken_view_does_not_become_ready),
	    cmocka_unit_test(stale_island_stops_before_it_is_waited_out),
	    cmocka_unit_test(leaving_voters_hand_over),
	    cmocka_unit_test(view_change_is_short),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
