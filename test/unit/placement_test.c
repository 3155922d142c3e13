/* Unit tests of placement, with runs of the loads that it answers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/core/placement.h"

#define N_ENGINES 15
#define MEMORY 34424
#define SLOTS 24

static double
draw(void *context)
{
	return g_rand_double(context);
}

/// Engines with what all instances have placed there.
struct engines {
	struct place_candidate candidates[N_ENGINES];
	GRand *rand;
};

static struct engines
engines_new(guint32 seed)
{
	struct engines engines = {.rand = g_rand_new_with_seed(seed)};

	for (int i = 0; i < N_ENGINES; i++)
		engines.candidates[i] = (struct place_candidate){
		    .slots = SLOTS,
		    .memory_tokens = MEMORY,
		    .same_zone = i % 4 == 0,
		};
	return engines;
}

/// Places a generation and counts it.
static enum place_outcome
place(struct engines *engines, int32_t prompt, int32_t output, size_t *picked)
{
	const struct place_request request = {
	    .is_generation = true, .tokens = prompt + output, .prompt = prompt};
	enum place_outcome outcome = place_pick(&request, engines->candidates,
	    N_ENGINES, draw, engines->rand, picked);

	if (outcome == PLACE_FOUND) {
		engines->candidates[*picked].load.requests++;
		engines->candidates[*picked].load.tokens += prompt + output;
		engines->candidates[*picked].load.prompt += prompt;
	}
	return outcome;
}

/// A burst of prompts: each holds up all that runs beside it while it is
/// read, so no engine gets a second one while another has none.
static void
a_burst_of_prompts_is_spread(void **state)
{
	(void)state;
	for (guint32 seed = 1; seed <= 50; seed++) {
		struct engines engines = engines_new(seed);
		size_t picked = 0;

		/* Uneven work is under way, its prompts are read. */
		for (int i = 0; i < N_ENGINES; i++) {
			int n = g_rand_int_range(engines.rand, 2, 6);

			engines.candidates[i].load.requests = n;
			engines.candidates[i].load.tokens = 4000 * n;
		}
		for (int i = 0; i < N_ENGINES; i++)
			assert_int_equal(
			    place(&engines, 3000, 950, &picked), PLACE_FOUND);
		for (int i = 0; i < N_ENGINES; i++)
			assert_in_range(
			    engines.candidates[i].load.prompt, 0, 6000);
		g_rand_free(engines.rand);
	}
}

/// Generations of which nobody knows how long they get fill the engines:
/// none is given more than its memory holds once they have ended.
static void
memory_is_never_promised_twice(void **state)
{
	struct engines engines = engines_new(7);
	size_t picked = 0;
	int n = 0;

	(void)state;
	while (place(&engines, 3000, 950, &picked) == PLACE_FOUND)
		n++;
	assert_int_equal(n, N_ENGINES * (MEMORY / 3950));
	for (int i = 0; i < N_ENGINES; i++)
		assert_in_range(engines.candidates[i].load.tokens, 0, MEMORY);
	/* A small one still fits where a large one doesn't. */
	assert_int_equal(place(&engines, 300, 20, &picked), PLACE_FOUND);
	g_rand_free(engines.rand);
}

static void
nobody_and_no_room_are_told_apart(void **state)
{
	struct engines engines = engines_new(7);
	const struct place_request request = {.tokens = 1};
	size_t picked = 0;

	(void)state;
	assert_int_equal(place_pick(&request, engines.candidates, 0, draw,
			     engines.rand, &picked),
	    PLACE_NONE);
	for (int i = 0; i < N_ENGINES; i++)
		engines.candidates[i].excluded = true;
	assert_int_equal(place_pick(&request, engines.candidates, N_ENGINES,
			     draw, engines.rand, &picked),
	    PLACE_NONE);
	for (int i = 0; i < N_ENGINES; i++) {
		engines.candidates[i].excluded = false;
		engines.candidates[i].load.requests = 2 * SLOTS;
	}
	assert_int_equal(place_pick(&request, engines.candidates, N_ENGINES,
			     draw, engines.rand, &picked),
	    PLACE_FULL);
	g_rand_free(engines.rand);
}

/// Nine instances look for targets for the generations of one leaving engine
/// at the same moment, with the same view.
static void
moves_of_one_moment_are_spread(void **state)
{
	const struct place_request request = {
	    .is_generation = true, .tokens = 4000, .is_move = true};
	unsigned most = 0;

	(void)state;
	for (guint32 seed = 1; seed <= 50; seed++) {
		struct engines engines = engines_new(seed);
		unsigned n[N_ENGINES] = {0};

		for (int i = 0; i < 9; i++) {
			size_t picked = 0;

			assert_int_equal(
			    place_pick(&request, engines.candidates, N_ENGINES,
				draw, engines.rand, &picked),
			    PLACE_FOUND);
			assert_true(engines.candidates[picked].same_zone);
			n[picked]++;
			most = MAX(most, n[picked]);
		}
		g_rand_free(engines.rand);
	}
	/* Four engines of the zone: never all nine on one. */
	assert_in_range(most, 3, 8);
}

/// Places a long run of requests among many engines, each by an instance that
/// doesn't know of the last few.
///
/// @return how many found three or more prompts before them
static int
crowded(size_t sample)
{
	enum { N_MANY = 60, N_REQUESTS = 4000, LAG = 4, READ = 25, RUN = 240 };
	struct place_candidate now[N_MANY];
	GRand *rand = g_rand_new_with_seed(5);
	size_t order[N_REQUESTS];
	int n_crowded = 0;

	for (int i = 0; i < N_MANY; i++)
		now[i] = (struct place_candidate){
		    .slots = SLOTS, .memory_tokens = MEMORY};
	for (int i = 0; i < N_REQUESTS; i++) {
		struct place_request request = {.is_generation = true,
		    .tokens = 3900,
		    .prompt = 3000,
		    .sample = sample};
		struct place_candidate seen[N_MANY];
		int other = g_rand_int_range(rand, 0, N_MANY);

		memcpy(seen, now, sizeof(seen));
		for (int j = MAX(i - LAG, 0); j < i; j++) {
			seen[order[j]].load.prompt -= 3000;
			seen[order[j]].load.tokens -= 3900;
		}
		assert_int_equal(
		    place_pick(&request, seen, N_MANY, draw, rand, &order[i]),
		    PLACE_FOUND);
		n_crowded += now[order[i]].load.prompt >= 3 * 3000;
		now[order[i]].load.prompt += 3000;
		now[order[i]].load.tokens += 3900;
		if (i >= READ)
			now[order[i - READ]].load.prompt -= 3000;
		if (i >= RUN)
			now[order[i - RUN]].load.tokens -= 3900;
		/* Lengths differ: engines fill unevenly. */
		if (i % 7 == 0) {
			now[other].load.tokens += 3900;
			other = g_rand_int_range(rand, 0, N_MANY);
			if (now[other].load.tokens >= 3900)
				now[other].load.tokens -= 3900;
		}
	}
	g_rand_free(rand);
	return n_crowded;
}

/// Three prompts before one's own are 1.2 s: with its own reading the target
/// of 1.8 s is missed. With all engines compared one request in three finds
/// them; it must be less than one in a hundred.
static void
many_instances_with_an_old_view_make_no_herd(void **state)
{
	(void)state;
	assert_true(crowded(0) > 400);
	assert_in_range(crowded(place_sample(60, 87)), 0, 40);
}

static void
plain_requests_go_where_least_is_under_way(void **state)
{
	struct place_candidate candidates[] = {
	    {.slots = 6, .load.requests = 3, .same_zone = true},
	    {.slots = 6, .load.requests = 1},
	    {.slots = 6, .load.requests = 0, .excluded = true},
	    {.slots = 6, .load.requests = 1, .penalty = 0.3},
	};
	const struct place_request request = {0};
	GRand *rand = g_rand_new_with_seed(1);
	size_t picked = 0;

	(void)state;
	for (int i = 0; i < 100; i++) {
		assert_int_equal(
		    place_pick(&request, candidates, G_N_ELEMENTS(candidates),
			draw, rand, &picked),
		    PLACE_FOUND);
		assert_int_equal(picked, 1);
	}
	g_rand_free(rand);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_burst_of_prompts_is_spread),
	    cmocka_unit_test(memory_is_never_promised_twice),
	    cmocka_unit_test(nobody_and_no_room_are_told_apart),
	    cmocka_unit_test(moves_of_one_moment_are_spread),
	    cmocka_unit_test(many_instances_with_an_old_view_make_no_herd),
	    cmocka_unit_test(plain_requests_go_where_least_is_under_way),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
