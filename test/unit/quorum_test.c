/* Unit tests of the quorum part: claims, leases, versions and their cost. */
#include "quorum_net.h"

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
voters_wait_for_a_slower_clock(void **state)
{
	struct net *net = net_new(22, 5, 0);
	unsigned key = add_key(net, QUORUM_LEASE);

	(void)state;
	net->lease_term = 4000 * MSEC;
	for (unsigned i = 0; i < 5; i++)
		net->nodes[i].clock_ppm =
		    i == 0 ? -CLOCK_DRIFT_PPM / 2 : CLOCK_DRIFT_PPM / 2;
	net_run(net, WARM);
	claim(net, 0, key);
	run_for(net, 20 * MSEC);
	assert_int_equal(net->seen[key].granted, 1);
	net->nodes[0].group = 1;
	run_for(net, 3900 * MSEC);
	for (unsigned i = 0; i < 25; i++) {
		claim(net, 1, key);
		run_for(net, 8 * MSEC);
	}
	assert_true(net->seen[key].granted > 1);
	assert_int_equal(net->violations, 0);
	net_free(net);
}

static void
late_votes_do_not_count(void **state)
{
	(void)state;
	for (enum quorum_key_kind kind = QUORUM_ONCE; kind <= QUORUM_LEASE;
	     kind++) {
		struct net *net = warm_net(20, 9);
		unsigned key = add_key(net, kind);

		claim(net, 0, key);
		net->nodes[0].paused_until = net->now + CLAIM_TIMEOUT + MSEC;
		run_for(net, CLAIM_TIMEOUT * 2);
		assert_int_equal(net->seen[key].granted, 0);
		assert_int_equal(net->seen[key].denied, 1);
		/* Another claim may be granted before this answer is read. */
		assert_int_equal(net->seen[key].verdict, VERDICT_MAY_HAVE_RUN);
		/* The key is free again. */
		claim(net, 1, key);
		run_for(net, 50 * MSEC);
		assert_int_equal(net->seen[key].granted, 1);
		net_free(net);
	}
}

static void
late_renewal_does_not_revive_a_lease(void **state)
{
	struct net *net = warm_net(21, 9);
	unsigned key = add_key(net, QUORUM_LEASE);
	quorum_ticket ticket;

	(void)state;
	net->lease_term = 300 * MSEC;
	ticket = claim(net, 0, key);
	run_for(net, 152 * MSEC);
	/* The renewal is out until 350 ms, the lease ends at 300 ms. */
	net->nodes[0].paused_until = net->now + 170 * MSEC;
	run_for(net, 200 * MSEC);
	assert_true(net->nodes[0].lost_lease);
	assert_false(quorum_may_act(net->nodes[0].quorum,
	    local_time(&net->nodes[0], net->now), ticket));
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
	quorum_release_claim(
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

/// Counts messages for one use of a new key, from the question to the end.
static double
cost_of(struct net *net, enum quorum_key_kind kind)
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
			quorum_release_claim(
			    node->quorum, local_time(node, net->now), ticket);
			take_actions(net, index);
		}
		run_for(net, 100 * MSEC);
	}
	return (double)(net->n_messages - before) / 10;
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
	    cmocka_unit_test(second_arrival_is_told_of_the_run),
	    cmocka_unit_test(split_votes_resolve),
	    cmocka_unit_test(minority_side_refuses_and_says_may_have_run),
	    cmocka_unit_test(pause_past_the_deadline_stops_the_act),
	    cmocka_unit_test(lease_counts_from_the_question),
	    cmocka_unit_test(voters_wait_for_a_slower_clock),
	    cmocka_unit_test(late_votes_do_not_count),
	    cmocka_unit_test(late_renewal_does_not_revive_a_lease),
	    cmocka_unit_test(lease_moves_with_a_higher_fence),
	    cmocka_unit_test(version_is_the_highest_or_isolated),
	    cmocka_unit_test(claim_costs_are_flat_in_fleet_size),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
