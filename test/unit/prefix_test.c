/* Unit tests of the index of cached prefix blocks. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "godwitvale/core/prefix.h"

static const uint64_t prompt_blocks[] = {11, 12, 13, 14};

static double
estimate_match(struct prefix_index *prefix, usec_t now, uint32_t upstream)
{
	struct prefix_query query;

	prefix_find_blocks(prefix, prompt_blocks, 4, &query);
	return prefix_estimate_match(prefix, now, &query, upstream);
}

static unsigned
count_holders(struct prefix_index *prefix, uint64_t block)
{
	struct prefix_query query;
	uint32_t holders[PREFIX_HOLDERS_MAX];

	prefix_find_blocks(prefix, &block, 1, &query);
	return prefix_list_holders(prefix, 0, &query, 0, holders);
}

static void
store_all(struct prefix_index *prefix, uint32_t upstream, uint64_t sequence)
{
	for (int i = 0; i < 4; i++)
		prefix_handle_event(
		    prefix, 0, upstream, sequence + i, prompt_blocks[i], true);
}

static void
match_counts_only_leading_blocks(void **state)
{
	struct prefix_index *prefix = prefix_new(100);

	(void)state;
	store_all(prefix, 1, 1);
	prefix_handle_event(prefix, 0, 2, 1, prompt_blocks[1], true);
	assert_true(estimate_match(prefix, 1, 1) == 4);
	assert_true(estimate_match(prefix, 1, 2) == 0);
	assert_int_equal(count_holders(prefix, prompt_blocks[1]), 2);
	prefix_handle_event(prefix, 1, 1, 5, prompt_blocks[2], false);
	assert_true(estimate_match(prefix, 2, 1) == 2);
	prefix_free(prefix);
}

static void
late_and_repeated_events_are_ignored(void **state)
{
	struct prefix_index *prefix = prefix_new(100);

	(void)state;
	store_all(prefix, 1, 1);
	prefix_handle_event(prefix, 1, 1, 6, prompt_blocks[0], false);
	prefix_handle_event(prefix, 1, 1, 1, prompt_blocks[0], true);
	assert_true(estimate_match(prefix, 2, 1) == 0);
	prefix_handle_event(prefix, 1, 1, 7, prompt_blocks[0], true);
	prefix_handle_event(prefix, 1, 1, 6, prompt_blocks[0], false);
	assert_true(estimate_match(prefix, 2, 1) > 0.9);
	prefix_free(prefix);
}

static void
a_gap_halves_confidence_and_then_records_expire(void **state)
{
	struct prefix_index *prefix = prefix_new(100);

	(void)state;
	store_all(prefix, 1, 1);
	prefix_handle_event(prefix, 1, 1, 9, 99, true);
	assert_true(estimate_match(prefix, 2, 1) == 2);
	assert_true(estimate_match(prefix, 31 * USEC_PER_SEC, 1) == 0);
	prefix_handle_event(
	    prefix, 31 * USEC_PER_SEC, 1, 10, prompt_blocks[0], true);
	assert_true(estimate_match(prefix, 31 * USEC_PER_SEC, 1) == 1);
	prefix_free(prefix);
}

static void
assumed_blocks_expire(void **state)
{
	struct prefix_index *prefix = prefix_new(100);

	(void)state;
	prefix_assume_stored(prefix, 0, 1, prompt_blocks, 1);
	assert_true(estimate_match(prefix, 1, 1) == 1);
	assert_true(estimate_match(prefix, 21 * USEC_PER_SEC, 1) == 0);
	prefix_free(prefix);
}

static void
reset_voids_records_and_accepts_a_new_sequence(void **state)
{
	struct prefix_index *prefix = prefix_new(100);

	(void)state;
	store_all(prefix, 1, 100);
	prefix_reset_upstream(prefix, 1);
	assert_true(estimate_match(prefix, 1, 1) == 0);
	store_all(prefix, 1, 1);
	assert_true(estimate_match(prefix, 2, 1) == 4);
	prefix_free(prefix);
}

static void
number_of_blocks_is_bounded(void **state)
{
	struct prefix_index *prefix = prefix_new(100);
	unsigned n_held = 0;

	(void)state;
	for (uint64_t i = 1; i <= 1000; i++)
		prefix_handle_event(prefix, 0, 1, i, i, true);
	for (uint64_t i = 1; i <= 1000; i++)
		n_held += count_holders(prefix, i);
	assert_in_range(n_held, 50, 100);
	prefix_free(prefix);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(match_counts_only_leading_blocks),
	    cmocka_unit_test(late_and_repeated_events_are_ignored),
	    cmocka_unit_test(a_gap_halves_confidence_and_then_records_expire),
	    cmocka_unit_test(assumed_blocks_expire),
	    cmocka_unit_test(reset_voids_records_and_accepts_a_new_sequence),
	    cmocka_unit_test(number_of_blocks_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
