/* Unit tests of the work in flight at each upstream. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/loads.h"

static void
assert_total(const struct loads *loads, uint64_t upstream, int32_t requests,
    int32_t tokens, int32_t prompt)
{
	struct load total = loads_get_total(loads, upstream);

	assert_int_equal(total.requests, requests);
	assert_int_equal(total.tokens, tokens);
	assert_int_equal(total.prompt_tokens, prompt);
}

static void
total_includes_own_and_peer_work(void **state)
{
	struct loads *loads = loads_new();
	const struct load_entry reported[] = {
	    {1, {2, 200, 20}}, {2, {1, 100, 10}}};
	const struct load_entry later[] = {{2, {3, 300, 30}}};

	(void)state;
	loads_add_own(loads, 1, &(struct load){1, 1000, 500});
	loads_set_peer(loads, 77, reported, G_N_ELEMENTS(reported));
	assert_total(loads, 1, 3, 1200, 520);
	assert_int_equal(loads_get_own(loads, 1).requests, 1);
	/* A peer's new report replaces its previous one. */
	loads_set_peer(loads, 77, later, G_N_ELEMENTS(later));
	assert_total(loads, 1, 1, 1000, 500);
	assert_total(loads, 2, 3, 300, 30);
	loads_remove_peer(loads, 77);
	assert_total(loads, 2, 0, 0, 0);
	loads_free(loads);
}

/// Between heartbeats, instances report only what has changed, including that
/// the work at an upstream has ended.
static void
a_change_is_listed_once(void **state)
{
	struct loads *loads = loads_new();
	struct load_entry entries[4];

	(void)state;
	loads_add_own(loads, 1, &(struct load){1, 10, 5});
	loads_add_own(loads, 2, &(struct load){1, 10, 5});
	assert_int_equal(loads_list_own(loads, entries, 4), 2);
	assert_int_equal(loads_list_changed(loads, entries, 4), 0);
	loads_add_own(loads, 2, &(struct load){1, 20, 7});
	assert_int_equal(loads_list_changed(loads, entries, 4), 1);
	assert_int_equal(entries[0].upstream, 2);
	assert_int_equal(entries[0].load.tokens, 30);
	assert_int_equal(loads_list_changed(loads, entries, 4), 0);
	loads_add_own(loads, 1, &(struct load){-1, -10, -5});
	assert_int_equal(loads_list_changed(loads, entries, 4), 1);
	assert_int_equal(entries[0].load.requests, 0);
	assert_int_equal(loads_list_own(loads, entries, 4), 1);
	loads_free(loads);
}

static void
merging_replaces_only_the_listed_upstreams(void **state)
{
	struct loads *loads = loads_new();
	const struct load_entry reported[] = {
	    {1, {2, 200, 20}}, {2, {1, 100, 10}}};
	const struct load_entry later[] = {{2, {3, 300, 30}}, {3, {1, 1, 1}}};
	const struct load_entry ended[] = {{2, {0, 0, 0}}};

	(void)state;
	loads_set_peer(loads, 77, reported, G_N_ELEMENTS(reported));
	loads_merge_peer(loads, 77, later, G_N_ELEMENTS(later));
	assert_total(loads, 1, 2, 200, 20);
	assert_total(loads, 2, 3, 300, 30);
	assert_total(loads, 3, 1, 1, 1);
	loads_merge_peer(loads, 77, ended, G_N_ELEMENTS(ended));
	assert_total(loads, 2, 0, 0, 0);
	loads_merge_peer(loads, 78, later, G_N_ELEMENTS(later));
	assert_total(loads, 2, 3, 300, 30);
	loads_remove_peer(loads, 77);
	assert_total(loads, 1, 0, 0, 0);
	loads_free(loads);
}

static void
ended_work_is_not_listed(void **state)
{
	struct loads *loads = loads_new();
	struct load_entry entries[4];

	(void)state;
	loads_add_own(loads, 1, &(struct load){1, 10, 5});
	loads_add_own(loads, 2, &(struct load){1, 10, 5});
	loads_add_own(loads, 1, &(struct load){-1, -10, -5});
	assert_int_equal(loads_list_own(loads, entries, 4), 1);
	assert_int_equal(entries[0].upstream, 2);
	loads_add_own(loads, 3, &(struct load){1, 0, 0});
	assert_int_equal(loads_list_own(loads, entries, 1), 1);
	loads_free(loads);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(total_includes_own_and_peer_work),
	    cmocka_unit_test(a_change_is_listed_once),
	    cmocka_unit_test(merging_replaces_only_the_listed_upstreams),
	    cmocka_unit_test(ended_work_is_not_listed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
