/* Unit tests of the sums of work at each upstream. */
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
	struct load total = loads_total(loads, upstream);

	assert_int_equal(total.requests, requests);
	assert_int_equal(total.tokens, tokens);
	assert_int_equal(total.prompt, prompt);
}

static void
own_and_peers_add_up(void **state)
{
	struct loads *loads = loads_new();
	const struct load_entry told[] = {{1, {2, 200, 20}}, {2, {1, 100, 10}}};
	const struct load_entry later[] = {{2, {3, 300, 30}}};

	(void)state;
	loads_add(loads, 1, &(struct load){1, 1000, 500});
	loads_set_peer(loads, 77, told, G_N_ELEMENTS(told));
	assert_total(loads, 1, 3, 1200, 520);
	assert_int_equal(loads_own(loads, 1).requests, 1);
	/* What a peer tells replaces what it told before. */
	loads_set_peer(loads, 77, later, G_N_ELEMENTS(later));
	assert_total(loads, 1, 1, 1000, 500);
	assert_total(loads, 2, 3, 300, 30);
	loads_drop_peer(loads, 77);
	assert_total(loads, 2, 0, 0, 0);
	loads_free(loads);
}

/// Between heartbeats only what has changed is told, also that it has ended.
static void
changed_work_is_told_once(void **state)
{
	struct loads *loads = loads_new();
	struct load_entry entries[4];

	(void)state;
	loads_add(loads, 1, &(struct load){1, 10, 5});
	loads_add(loads, 2, &(struct load){1, 10, 5});
	assert_int_equal(loads_list_own(loads, entries, 4), 2);
	assert_int_equal(loads_list_changed(loads, entries, 4), 0);
	loads_add(loads, 2, &(struct load){1, 20, 7});
	assert_int_equal(loads_list_changed(loads, entries, 4), 1);
	assert_int_equal(entries[0].upstream, 2);
	assert_int_equal(entries[0].load.tokens, 30);
	assert_int_equal(loads_list_changed(loads, entries, 4), 0);
	loads_add(loads, 1, &(struct load){-1, -10, -5});
	assert_int_equal(loads_list_changed(loads, entries, 4), 1);
	assert_int_equal(entries[0].load.requests, 0);
	assert_int_equal(loads_list_own(loads, entries, 4), 1);
	loads_free(loads);
}

static void
a_peers_changed_work_replaces_what_it_told_of_the_same_upstream(void **state)
{
	struct loads *loads = loads_new();
	const struct load_entry told[] = {{1, {2, 200, 20}}, {2, {1, 100, 10}}};
	const struct load_entry later[] = {{2, {3, 300, 30}}, {3, {1, 1, 1}}};
	const struct load_entry ended[] = {{2, {0, 0, 0}}};

	(void)state;
	loads_set_peer(loads, 77, told, G_N_ELEMENTS(told));
	loads_merge_peer(loads, 77, later, G_N_ELEMENTS(later));
	assert_total(loads, 1, 2, 200, 20);
	assert_total(loads, 2, 3, 300, 30);
	assert_total(loads, 3, 1, 1, 1);
	loads_merge_peer(loads, 77, ended, G_N_ELEMENTS(ended));
	assert_total(loads, 2, 0, 0, 0);
	loads_merge_peer(loads, 78, later, G_N_ELEMENTS(later));
	assert_total(loads, 2, 3, 300, 30);
	loads_drop_peer(loads, 77);
	assert_total(loads, 1, 0, 0, 0);
	loads_free(loads);
}

static void
what_has_ended_is_not_told(void **state)
{
	struct loads *loads = loads_new();
	struct load_entry entries[4];

	(void)state;
	loads_add(loads, 1, &(struct load){1, 10, 5});
	loads_add(loads, 2, &(struct load){1, 10, 5});
	loads_add(loads, 1, &(struct load){-1, -10, -5});
	assert_int_equal(loads_list_own(loads, entries, 4), 1);
	assert_int_equal(entries[0].upstream, 2);
	loads_add(loads, 3, &(struct load){1, 0, 0});
	assert_int_equal(loads_list_own(loads, entries, 1), 1);
	loads_free(loads);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(own_and_peers_add_up),
	    cmocka_unit_test(changed_work_is_told_once),
	    cmocka_unit_test(
		a_peers_changed_work_replaces_what_it_told_of_the_same_upstream),
	    cmocka_unit_test(what_has_ended_is_not_told),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
