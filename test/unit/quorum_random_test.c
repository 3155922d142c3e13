/*
 * Random schedules of the quorum part from a seed: messages lost, repeated
 * and late, partitions, pauses, restarts and view changes, all together.
 */
#include "quorum_net.h"

/// Schedules within which each broken variant must be caught.
#define NAIVE_SEEDS 300

/// What a random schedule does beside losing and delaying messages.
struct chaos {
	struct net *net;
	bool memory_kept; /// restarts only while all voters remember
	usec_t started_at[KEYS_MAX];
	uint64_t next_version;
	uint64_t floor; /// of the read that is out
	bool reading;
	unsigned version_key;
	unsigned n_runs;
};

static unsigned
random_node(struct net *net)
{
	return (unsigned)g_rand_int_range(net->random, 0, (gint32)net->n_nodes);
}

/// Changes the list. Where memory is to be kept there are always three
/// members to vote, as one alone may forget by restarting.
static void
disturb_list(struct chaos *chaos)
{
	struct net *net = chaos->net;
	struct node *node = &net->nodes[random_node(net)];
	unsigned n_voting = 0;

	switch (g_rand_int_range(net->random, 0, 4)) {
	case 0:
		node->listed = !node->listed;
		break;
	case 1:
		node->leaving = !node->leaving;
		break;
	case 2:
		node->cut_from_list = !node->cut_from_list;
		return;
	default:
		for (unsigned i = 0; i < net->n_nodes; i++) {
			net->nodes[i].listed =
			    g_rand_int_range(net->random, 0, 4) > 0;
			net->nodes[i].cut_from_list = false;
		}
		break;
	}
	for (unsigned i = 0; i < net->n_nodes; i++)
		n_voting += net->nodes[i].listed && !net->nodes[i].leaving;
	for (unsigned i = 0; chaos->memory_kept && n_voting < 3; i++) {
		n_voting += !net->nodes[i].listed || net->nodes[i].leaving;
		net->nodes[i].listed = true;
		net->nodes[i].leaving = false;
	}
	publish(net);
}

static void
disturb(struct chaos *chaos)
{
	struct net *net = chaos->net;
	unsigned index = random_node(net);

	switch (g_rand_int_range(net->random, 0, 8)) {
	case 0:
		net->nodes[index].group ^= 1;
		break;
	case 1:
		for (unsigned i = 0; i < net->n_nodes; i++)
			net->nodes[i].group = 0;
		break;
	case 2:
		/* Pauses hurt most at holders. */
		index = net->seen[g_rand_int_range(
				      net->random, 0, (gint32)net->n_keys)]
			    .holder;
		net->nodes[index].paused_until =
		    net->now + g_rand_int_range(net->random, 0, 1000000);
		break;
	case 3:
		if (chaos->memory_kept && !all_ready(net))
			break;
		start_node(net, index);
		break;
	case 4:
	case 5:
		disturb_list(chaos);
		break;
	case 6:
		if (chaos->memory_kept)
			break;
		quorum_leave(net->nodes[index].quorum,
		    local_time(&net->nodes[index], net->now));
		take_actions(net, index);
		break;
	default:
		break;
	}
}

static void
use_versions(struct chaos *chaos)
{
	struct net *net = chaos->net;
	unsigned index = random_node(net);

	if (chaos->reading && net->n_versions > 0) {
		if (chaos->memory_kept && net->version < chaos->floor)
			violate(net, "version fell", chaos->version_key);
		chaos->floor = MAX(chaos->floor, net->version);
	}
	if (chaos->reading && net->n_versions + net->n_isolated == 0)
		return;
	net->n_versions = net->n_isolated = 0;
	chaos->reading = true;
	raise_version(
	    net, random_node(net), chaos->version_key, ++chaos->next_version);
	net->version = 0;
	read_version(net, index, chaos->version_key);
}

static void
use_keys(struct chaos *chaos)
{
	struct net *net = chaos->net;
	unsigned key;

	if (g_rand_int_range(net->random, 0, 3) == 0 &&
	    net->n_keys < KEYS_MAX) {
		key = add_key(
		    net, net->n_keys % 4 == 0 ? QUORUM_LEASE : QUORUM_ONCE);
		chaos->started_at[key] = net->now;
	}
	key = (unsigned)g_rand_int_range(
	    net->random, MAX(0, (gint32)net->n_keys - 6), (gint32)net->n_keys);
	if (net->keys[key].kind == QUORUM_VERSION ||
	    (net->keys[key].kind == QUORUM_ONCE &&
		net->now > chaos->started_at[key] + RESEND_WINDOW - 10 * MSEC))
		return;
	for (int i = g_rand_int_range(net->random, 1, 4); i > 0; i--)
		claim(net, random_node(net), key);
	if (net->keys[key].kind == QUORUM_LEASE &&
	    g_rand_int_range(net->random, 0, 2) == 0) {
		struct node *node = &net->nodes[net->seen[key].holder];

		quorum_release_claim(node->quorum, local_time(node, net->now),
		    net->seen[key].ticket);
		take_actions(net, net->seen[key].holder);
	}
}

static unsigned
run_chaos(uint32_t seed, unsigned naive, unsigned *n_runs)
{
	struct net *net = net_new(seed, 3 + seed % 8, naive);
	struct chaos chaos = {.net = net, .memory_kept = seed % 2 == 0};
	gint32 calm = 1 + (gint32)(seed / 2 % 4);
	unsigned violations;

	chaos.version_key = add_key(net, QUORUM_VERSION);
	net->act_late = seed % 3 != 0;
	net->some_fail = true;
	net->check_fence = chaos.memory_kept;
	net_run(net, WARM);
	net->loss = seed % 5 * 0.03;
	net->repeat = seed % 4 * 0.05;
	net->delay_max = (1 + seed % 3 * 30) * MSEC;
	for (unsigned step = 0; step < 200; step++) {
		run_for(net, g_rand_int_range(net->random, 0, 200000));
		use_keys(&chaos);
		use_versions(&chaos);
		if (g_rand_int_range(net->random, 0, calm) == 0)
			disturb(&chaos);
	}
	run_for(net, 2000 * MSEC);
	for (unsigned i = 0; i < net->n_keys; i++)
		*n_runs += net->seen[i].runs;
	violations = net->violations;
	if (violations > 0 && naive == 0)
		print_message("seed %u: %u violations\n", seed, violations);
	net_free(net);
	return violations;
}

static void
random_schedules_keep_all_promises(void **state)
{
	const char *from = g_getenv("QUORUM_TEST_FROM");
	const char *count = g_getenv("QUORUM_TEST_SEEDS");
	uint32_t first = from == NULL ? 1 : (uint32_t)atoi(from);
	uint32_t n = count == NULL ? 300 : (uint32_t)atoi(count);
	unsigned n_runs = 0, violations = 0;

	(void)state;
	for (uint32_t seed = first; seed < first + n; seed++)
		violations += run_chaos(seed, 0, &n_runs);
	print_message("random schedules: %u seeds, %u runs\n", n, n_runs);
	assert_int_equal(violations, 0);
	assert_true(n_runs >= n);
}

static void
random_schedules_catch_naive_variants(void **state)
{
	static const unsigned naive[] = {QUORUM_NAIVE_LOCAL, QUORUM_NAIVE_OWNER,
	    QUORUM_NAIVE_NO_SEAL, QUORUM_NAIVE_BLANK_VOTES,
	    QUORUM_NAIVE_LATE_TIMER};

	(void)state;
	for (unsigned i = 0; i < G_N_ELEMENTS(naive); i++) {
		unsigned violations = 0, n_runs = 0;
		uint32_t seed = 0;

		while (violations == 0 && seed < NAIVE_SEEDS)
			violations = run_chaos(++seed, naive[i], &n_runs);
		print_message("naive %#x: seed %u breaks it\n", naive[i], seed);
		assert_true(violations > 0);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(random_schedules_keep_all_promises),
	    cmocka_unit_test(random_schedules_catch_naive_variants),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
