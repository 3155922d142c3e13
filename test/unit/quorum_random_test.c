/*
 * Tests the quorum module under random schedules. Each seed combines lost,
 * repeated and late messages with partitions, pauses, restarts and changes of
 * the membership list.
 */
#include "quorum_net.h"

/// Number of schedules within which each deliberately broken variant must
/// violate a guarantee.
#define NAIVE_SEEDS_MAX 300

/// State of a random schedule, which uses keys and injects faults.
struct random_schedule {
	struct net *net;
	bool votes_preserved; /// nodes restart only while all nodes are ready
	usec_t key_added_at[KEYS_MAX];
	uint64_t last_raised_version;
	uint64_t min_version_read; /// the next read must not return less
	bool read_started;         /// at least one read was started
	unsigned version_key;      /// index of the version register's key
	unsigned n_runs;
};

static unsigned
random_node_index(struct net *net)
{
	return (unsigned)g_rand_int_range(net->random, 0, (gint32)net->n_nodes);
}

/// Changes the membership list, or one node's access to it. If votes must be
/// preserved, keeps at least three voting members listed, because a single
/// voter loses its votes when it restarts.
static void
inject_list_fault(struct random_schedule *schedule)
{
	struct net *net = schedule->net;
	struct node *node = &net->nodes[random_node_index(net)];
	unsigned n_voting = 0;

	switch (g_rand_int_range(net->random, 0, 4)) {
	case 0:
		node->listed = !node->listed;
		break;
	case 1:
		node->leaving = !node->leaving;
		break;
	case 2:
		node->list_unreachable = !node->list_unreachable;
		return;
	default:
		for (unsigned i = 0; i < net->n_nodes; i++) {
			net->nodes[i].listed =
			    g_rand_int_range(net->random, 0, 4) > 0;
			net->nodes[i].list_unreachable = false;
		}
		break;
	}
	for (unsigned i = 0; i < net->n_nodes; i++)
		n_voting += net->nodes[i].listed && !net->nodes[i].leaving;
	for (unsigned i = 0; schedule->votes_preserved && n_voting < 3; i++) {
		n_voting += !net->nodes[i].listed || net->nodes[i].leaving;
		net->nodes[i].listed = true;
		net->nodes[i].leaving = false;
	}
	publish_view(net);
}

static void
inject_fault(struct random_schedule *schedule)
{
	struct net *net = schedule->net;
	unsigned index = random_node_index(net);

	switch (g_rand_int_range(net->random, 0, 8)) {
	case 0:
		net->nodes[index].partition ^= 1;
		break;
	case 1:
		for (unsigned i = 0; i < net->n_nodes; i++)
			net->nodes[i].partition = 0;
		break;
	case 2:
		/* Pauses are most likely to break a guarantee at a holder. */
		index = net->history[g_rand_int_range(
					 net->random, 0, (gint32)net->n_keys)]
			    .last_holder;
		net->nodes[index].paused_until =
		    net->now + g_rand_int_range(net->random, 0, 1000000);
		break;
	case 3:
		if (schedule->votes_preserved && !all_nodes_ready(net))
			break;
		start_node(net, index);
		break;
	case 4:
	case 5:
		inject_list_fault(schedule);
		break;
	case 6:
		if (schedule->votes_preserved)
			break;
		quorum_leave(net->nodes[index].quorum,
		    local_time(&net->nodes[index], net->now));
		handle_actions(net, index);
		break;
	default:
		break;
	}
}

static void
exercise_version_register(struct random_schedule *schedule)
{
	struct net *net = schedule->net;
	unsigned index = random_node_index(net);

	if (schedule->read_started && net->n_version_reads > 0) {
		if (schedule->votes_preserved &&
		    net->last_version_read < schedule->min_version_read)
			record_violation(
			    net, "version decreased", schedule->version_key);
		schedule->min_version_read =
		    MAX(schedule->min_version_read, net->last_version_read);
	}
	if (schedule->read_started &&
	    net->n_version_reads + net->n_failed_reads == 0)
		return;
	net->n_version_reads = net->n_failed_reads = 0;
	schedule->read_started = true;
	raise_version(net, random_node_index(net), schedule->version_key,
	    ++schedule->last_raised_version);
	net->last_version_read = 0;
	read_version(net, index, schedule->version_key);
}

static void
exercise_claims(struct random_schedule *schedule)
{
	struct net *net = schedule->net;
	unsigned key;

	if (g_rand_int_range(net->random, 0, 3) == 0 &&
	    net->n_keys < KEYS_MAX) {
		key = add_key(
		    net, net->n_keys % 4 == 0 ? QUORUM_LEASE : QUORUM_ONCE);
		schedule->key_added_at[key] = net->now;
	}
	key = (unsigned)g_rand_int_range(
	    net->random, MAX(0, (gint32)net->n_keys - 6), (gint32)net->n_keys);
	if (net->keys[key].kind == QUORUM_VERSION ||
	    (net->keys[key].kind == QUORUM_ONCE &&
		net->now >
		    schedule->key_added_at[key] + RESEND_WINDOW - 10 * MSEC))
		return;
	for (int i = g_rand_int_range(net->random, 1, 4); i > 0; i--)
		start_claim(net, random_node_index(net), key);
	if (net->keys[key].kind == QUORUM_LEASE &&
	    g_rand_int_range(net->random, 0, 2) == 0) {
		struct node *node = &net->nodes[net->history[key].last_holder];

		quorum_release_claim(node->quorum, local_time(node, net->now),
		    net->history[key].last_ticket);
		handle_actions(net, net->history[key].last_holder);
	}
}

static unsigned
run_random_schedule(uint32_t seed, unsigned naive, unsigned *n_runs)
{
	struct net *net = net_new(seed, 3 + seed % 8, naive);
	struct random_schedule schedule = {
	    .net = net, .votes_preserved = seed % 2 == 0};
	gint32 steps_per_fault = 1 + (gint32)(seed / 2 % 4);
	unsigned violations;

	schedule.version_key = add_key(net, QUORUM_VERSION);
	net->runs_delayed = seed % 3 != 0;
	net->some_runs_fail = true;
	net->check_fences = schedule.votes_preserved;
	run_until(net, WARM_UP_TIME);
	net->loss_probability = seed % 5 * 0.03;
	net->repeat_probability = seed % 4 * 0.05;
	net->delay_max = (1 + seed % 3 * 30) * MSEC;
	for (unsigned step = 0; step < 200; step++) {
		run_for(net, g_rand_int_range(net->random, 0, 200000));
		exercise_claims(&schedule);
		exercise_version_register(&schedule);
		if (g_rand_int_range(net->random, 0, steps_per_fault) == 0)
			inject_fault(&schedule);
	}
	run_for(net, 2000 * MSEC);
	for (unsigned i = 0; i < net->n_keys; i++)
		*n_runs += net->history[i].n_runs;
	violations = net->n_violations;
	if (violations > 0 && naive == 0)
		print_message("seed %u: %u violations\n", seed, violations);
	net_free(net);
	return violations;
}

static void
random_schedules_keep_all_guarantees(void **state)
{
	const char *first_seed_text = g_getenv("QUORUM_TEST_FROM");
	const char *n_seeds_text = g_getenv("QUORUM_TEST_SEEDS");
	uint32_t first_seed =
	    first_seed_text == NULL ? 1 : (uint32_t)atoi(first_seed_text);
	uint32_t n_seeds =
	    n_seeds_text == NULL ? 300 : (uint32_t)atoi(n_seeds_text);
	unsigned n_runs = 0, violations = 0;

	(void)state;
	for (uint32_t seed = first_seed; seed < first_seed + n_seeds; seed++)
		violations += run_random_schedule(seed, 0, &n_runs);
	print_message("random schedules: %u seeds, %u runs\n", n_seeds, n_runs);
	assert_int_equal(violations, 0);
	assert_true(n_runs >= n_seeds);
}

static void
random_schedules_detect_broken_variants(void **state)
{
	static const unsigned naive[] = {QUORUM_NAIVE_LOCAL, QUORUM_NAIVE_OWNER,
	    QUORUM_NAIVE_NO_SEAL, QUORUM_NAIVE_BLANK_VOTES,
	    QUORUM_NAIVE_LATE_TIMER};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(naive); i++) {
		unsigned violations = 0, n_runs = 0;
		uint32_t seed = 0;

		while (violations == 0 && seed < NAIVE_SEEDS_MAX)
			violations =
			    run_random_schedule(++seed, naive[i], &n_runs);
		print_message("naive %#x: %u violations at seed %u\n", naive[i],
		    violations, seed);
		assert_true(violations > 0);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(random_schedules_keep_all_guarantees),
	    cmocka_unit_test(random_schedules_detect_broken_variants),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
