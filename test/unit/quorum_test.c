/*
 * Tests the claims, leases and version registers of the quorum module, and the
 * number of messages that each of them takes.
 */
#include "quorum_net.h"

static void
second_claim_is_denied_after_the_run(void **state)
{
	struct net *net = net_new_ready(2, 9);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	start_claim(net, 0, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->history[key].n_runs, 1);
	start_claim(net, 5, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->history[key].n_runs, 1);
	assert_int_equal(net->history[key].n_denied, 1);
	assert_int_equal(net->history[key].denial_verdict, VERDICT_RAN);
	net_free(net);
}

static void
run_concurrent_claims(struct net *net, unsigned key, unsigned n)
{
	for (unsigned i = 0; i < n; i++)
		start_claim(net, i, key);
	run_for(net, CLAIM_TIMEOUT * 2);
}

static void
split_votes_end_in_one_run(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct net *net = net_new_ready(seed, 9);

		for (unsigned i = 0; i < 10; i++) {
			unsigned key = add_key(net, QUORUM_ONCE);

			run_concurrent_claims(net, key, 2 + i % 4);
			assert_int_equal(net->history[key].n_runs, 1);
		}
		assert_int_equal(net->n_violations, 0);
		net_free(net);
	}
}

static void
minority_partition_denies_with_may_have_run(void **state)
{
	struct net *net = net_new_ready(3, 9);
	unsigned key = add_key(net, QUORUM_ONCE);

	(void)state;
	/* Partitions one zone from the two others, in which every shard has a
	 * majority of its voters. */
	for (unsigned i = 0; i < 9; i += 3)
		net->nodes[i].partition = 1;
	start_claim(net, 1, key);
	run_for(net, 20 * MSEC);
	assert_int_equal(net->history[key].n_runs, 1);
	start_claim(net, 0, key);
	run_for(net, CLAIM_TIMEOUT + 20 * MSEC);
	assert_int_equal(net->history[key].n_denied, 1);
	assert_int_equal(
	    net->history[key].denial_verdict, VERDICT_MAY_HAVE_RUN);
	assert_int_equal(net->history[key].n_runs, 1);
	net_free(net);
}

static void
pause_past_the_deadline_ends_the_lease(void **state)
{
	static const unsigned naive[] = {0, QUORUM_NAIVE_LATE_TIMER};

	(void)state;
	for (unsigned i = 0; i < 2; i++) {
		struct net *net = net_new_ready(4, 9);
		unsigned key = add_key(net, QUORUM_LEASE);
		quorum_ticket ticket;
		usec_t now;

		net->naive = naive[i];
		for (unsigned j = 0; j < 9 && naive[i] != 0; j++)
			start_node(net, j);
		run_until(net, net->now + WARM_UP_TIME);
		ticket = start_claim(net, 0, key);
		run_for(net, 30 * MSEC);
		now = local_time(&net->nodes[0], net->now);
		assert_true(quorum_may_act(net->nodes[0].quorum, now, ticket));
		net->nodes[0].paused_until = net->now + 10 * LEASE_TERM;
		run_for(net, 3 * LEASE_TERM);
		start_claim(net, 1, key);
		run_for(net, 100 * MSEC);
		assert_int_equal(net->history[key].n_granted, 2);
		assert_int_equal(net->n_violations > 0, naive[i] != 0);
		net_free(net);
	}
}

static void
lease_term_counts_from_the_request(void **state)
{
	static const unsigned naive[] = {0, QUORUM_NAIVE_LEASE_FROM_ANSWER};

	(void)state;
	for (unsigned i = 0; i < 2; i++) {
		struct net *net = net_new(5, 5, naive[i]);
		unsigned key = add_key(net, QUORUM_LEASE);

		for (unsigned j = 0; j < 5; j++)
			net->nodes[j].clock_drift_ppm = 0;
		run_until(net, WARM_UP_TIME);
		net->delay_min = 30 * MSEC;
		net->delay_max = 35 * MSEC;
		start_claim(net, 0, key);
		/* The holder is paused while it receives the votes of its
		 * second round, which assigns the fencing number. Before it
		 * resumes, it is partitioned from the other instances. */
		run_for(net, 85 * MSEC);
		net->nodes[0].paused_until = net->now + 100 * MSEC;
		run_for(net, 60 * MSEC);
		net->nodes[0].partition = 1;
		run_for(net, 45 * MSEC);
		assert_int_equal(net->history[key].n_granted, 1);
		net->delay_min = MSEC;
		net->delay_max = 2 * MSEC;
		for (unsigned j = 0; j < 60; j++) {
			start_claim(net, 1, key);
			run_for(net, 8 * MSEC);
		}
		assert_true(net->history[key].n_granted > 1);
		assert_int_equal(net->n_violations > 0, naive[i] != 0);
		net_free(net);
	}
}

static void
voters_allow_for_a_slower_holder_clock(void **state)
{
	struct net *net = net_new(22, 5, 0);
	unsigned key = add_key(net, QUORUM_LEASE);

	(void)state;
	net->lease_term = 4000 * MSEC;
	for (unsigned i = 0; i < 5; i++)
		net->nodes[i].clock_drift_ppm =
		    i == 0 ? -CLOCK_DRIFT_PPM / 2 : CLOCK_DRIFT_PPM / 2;
	run_until(net, WARM_UP_TIME);
	start_claim(net, 0, key);
	run_for(net, 20 * MSEC);
	assert_int_equal(net->history[key].n_granted, 1);
	net->nodes[0].partition = 1;
	run_for(net, 3900 * MSEC);
	for (unsigned i = 0; i < 25; i++) {
		start_claim(net, 1, key);
		run_for(net, 8 * MSEC);
	}
	assert_true(net->history[key].n_granted > 1);
	assert_int_equal(net->n_violations, 0);
	net_free(net);
}

static void
late_votes_do_not_count(void **state)
{
	(void)state;
	for (enum quorum_key_kind kind = QUORUM_ONCE; kind <= QUORUM_LEASE;
	     kind++) {
		struct net *net = net_new_ready(20, 9);
		unsigned key = add_key(net, kind);

		start_claim(net, 0, key);
		net->nodes[0].paused_until = net->now + CLAIM_TIMEOUT + MSEC;
		run_for(net, CLAIM_TIMEOUT * 2);
		assert_int_equal(net->history[key].n_granted, 0);
		assert_int_equal(net->history[key].n_denied, 1);
		/* Another claim may be granted before the caller reads this
		 * denial, so that the request may have run. */
		assert_int_equal(
		    net->history[key].denial_verdict, VERDICT_MAY_HAVE_RUN);
		/* The denied claim does not block the key. */
		start_claim(net, 1, key);
		run_for(net, 50 * MSEC);
		assert_int_equal(net->history[key].n_granted, 1);
		net_free(net);
	}
}

static void
late_renewal_does_not_restore_an_expired_lease(void **state)
{
	struct net *net = net_new_ready(21, 9);
	unsigned key = add_key(net, QUORUM_LEASE);
	quorum_ticket ticket;

	(void)state;
	net->lease_term = 300 * MSEC;
	ticket = start_claim(net, 0, key);
	run_for(net, 152 * MSEC);
	/* Votes for the renewal that starts at 150 ms count until 350 ms, but
	 * the lease expires at 300 ms. */
	net->nodes[0].paused_until = net->now + 170 * MSEC;
	run_for(net, 200 * MSEC);
	assert_true(net->nodes[0].lost_lease);
	assert_false(quorum_may_act(net->nodes[0].quorum,
	    local_time(&net->nodes[0], net->now), ticket));
	net_free(net);
}

static void
next_lease_holder_gets_a_higher_fencing_number(void **state)
{
	struct net *net = net_new_ready(12, 9);
	unsigned key = add_key(net, QUORUM_LEASE);
	quorum_ticket ticket = start_claim(net, 0, key);

	(void)state;
	run_for(net, 5 * LEASE_TERM);
	assert_true(quorum_may_act(net->nodes[0].quorum,
	    local_time(&net->nodes[0], net->now), ticket));
	assert_int_equal(net->history[key].highest_fence, 1);
	start_claim(net, 1, key);
	run_for(net, CLAIM_TIMEOUT);
	assert_int_equal(net->history[key].n_denied, 1);
	quorum_release_claim(
	    net->nodes[0].quorum, local_time(&net->nodes[0], net->now), ticket);
	handle_actions(net, 0);
	run_for(net, 20 * MSEC);
	start_claim(net, 1, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->history[key].last_holder, 1);
	assert_true(net->history[key].highest_fence > 1);
	/* The holder is partitioned from the other instances, and loses the
	 * lease before another instance is granted it. */
	net->nodes[1].partition = 1;
	run_for(net, 2 * LEASE_TERM);
	assert_true(net->nodes[1].lost_lease);
	start_claim(net, 2, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->history[key].last_holder, 2);
	assert_int_equal(net->n_violations, 0);
	net_free(net);
}

static void
version_read_returns_the_highest_or_fails(void **state)
{
	struct net *net = net_new_ready(13, 9);
	unsigned key = add_key(net, QUORUM_VERSION);

	(void)state;
	raise_version(net, 0, key, 7);
	raise_version(net, 1, key, 5);
	run_for(net, 50 * MSEC);
	list_only_nodes(net, 2, 7);
	run_for(net, 1500 * MSEC);
	read_version(net, 4, key);
	run_for(net, 50 * MSEC);
	assert_int_equal(net->n_version_reads, 1);
	assert_int_equal(net->last_version_read, 7);
	net->nodes[4].partition = 1;
	read_version(net, 4, key);
	run_for(net, CLAIM_TIMEOUT + 10 * MSEC);
	assert_int_equal(net->n_failed_reads, 1);
	net_free(net);
}

/// Counts the messages that one use of a new key takes, from the first request
/// to the release.
///
/// @param net   fleet that is ready to vote
/// @param kind  kind of the keys to use
/// @return messages per use, as the mean of 10 keys
static double
count_messages_per_operation(struct net *net, enum quorum_key_kind kind)
{
	uint64_t n_messages_before = net->n_messages;

	for (unsigned i = 0; i < 10; i++) {
		unsigned key = add_key(net, kind);
		unsigned index = i * 7 % net->n_nodes;
		struct node *node = &net->nodes[index];
		quorum_ticket ticket;

		if (kind == QUORUM_VERSION) {
			raise_version(net, index, key, 1);
		} else {
			ticket = start_claim(net, index, key);
			run_for(net, 20 * MSEC);
			assert_int_equal(net->history[key].n_granted, 1);
			quorum_release_claim(
			    node->quorum, local_time(node, net->now), ticket);
			handle_actions(net, index);
		}
		run_for(net, 100 * MSEC);
	}
	return (double)(net->n_messages - n_messages_before) / 10;
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
		once = count_messages_per_operation(net, QUORUM_ONCE);
		version = count_messages_per_operation(net, QUORUM_VERSION);
		lease = count_messages_per_operation(net, QUORUM_LEASE);
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
	    cmocka_unit_test(second_claim_is_denied_after_the_run),
	    cmocka_unit_test(split_votes_end_in_one_run),
	    cmocka_unit_test(minority_partition_denies_with_may_have_run),
	    cmocka_unit_test(pause_past_the_deadline_ends_the_lease),
	    cmocka_unit_test(lease_term_counts_from_the_request),
	    cmocka_unit_test(voters_allow_for_a_slower_holder_clock),
	    cmocka_unit_test(late_votes_do_not_count),
	    cmocka_unit_test(late_renewal_does_not_restore_an_expired_lease),
	    cmocka_unit_test(next_lease_holder_gets_a_higher_fencing_number),
	    cmocka_unit_test(version_read_returns_the_highest_or_fails),
	    cmocka_unit_test(claim_costs_are_flat_in_fleet_size),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
