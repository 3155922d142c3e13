/* Unit tests of the router. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>
#include <string.h>

#include "godwitvale/core/router.h"

#define ENGINE 1
#define ORDERS 2
#define WARM (3600 * USEC_PER_SEC)

/// One router, and the actions it gave out last.
struct fixture {
	struct router *router;
	GRand *random;
	usec_t now;
	struct router_action last[ROUTER_ACTION_COLD + 1];
	unsigned count[ROUTER_ACTION_COLD + 1];
};

static void
drain(struct fixture *f)
{
	struct router_action action;

	memset(f->count, 0, sizeof(f->count));
	while (router_next_action(f->router, &action)) {
		f->count[action.type]++;
		f->last[action.type] = action;
	}
}

static int
setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct router_options options = {.n_entries = 2,
	    .queue_limit = 50,
	    .ageing_span = 10 * USEC_PER_SEC,
	    .report_interval = USEC_PER_SEC,
	    .memory_reserve = 0.05,
	    .retry_ratio = 0.1,
	    .retry_burst = 3,
	    .use_slots = true};

	f->random = g_rand_new_with_seed(1);
	options.random = f->random;
	f->router = router_new(&options);
	f->now = 1;
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	router_free(f->router);
	g_rand_free(f->random);
	g_free(f);
	return 0;
}

static void
report(struct fixture *f, router_upstream upstream, uint64_t epoch,
    usec_t uptime, uint64_t used, uint32_t running)
{
	struct router_report said = {.asked_at = f->now,
	    .start_epoch = epoch,
	    .uptime = uptime,
	    .used_tokens = used,
	    .running = running};

	router_report_load(f->router, f->now, upstream, &said);
}

static router_upstream
add(struct fixture *f, enum upstream_kind kind, bool warm)
{
	struct router_upstream_options options = {.kind = kind,
	    .service = kind == UPSTREAM_ENGINE ? ENGINE : ORDERS,
	    .memory_tokens = 10000,
	    .max_running = 8,
	    .cold_limit = 2,
	    .warm_span = 10 * USEC_PER_SEC};
	router_upstream upstream =
	    router_add_upstream(f->router, f->now, &options);

	if (warm)
		report(f, upstream, 1, WARM, 0, 0);
	return upstream;
}

static router_request
submit(struct fixture *f, uint32_t service, uint32_t prompt)
{
	struct router_request_options options = {.organisation = 1,
	    .service = service,
	    .class_id = 1,
	    .weight = 1,
	    .prompt_tokens = prompt,
	    .start_deadline = f->now + 30 * USEC_PER_SEC,
	    .idempotent = service == ENGINE};
	router_request request = router_submit(f->router, f->now, &options);

	drain(f);
	return request;
}

static void
tick(struct fixture *f, usec_t span)
{
	f->now += span;
	router_tick(f->router, f->now);
	drain(f);
}

/// Lets the router learn that outputs are short.
static void
learn_short(struct fixture *f)
{
	for (int i = 0; i < 100; i++)
		router_finish(f->router, f->now, submit(f, ENGINE, 10),
		    ROUTER_END_DONE, 20);
	drain(f);
}

static void
sends_at_once_and_releases_the_handle(void **state)
{
	struct fixture *f = *state;
	router_upstream engine = add(f, UPSTREAM_ENGINE, true);
	router_request request = submit(f, ENGINE, 100);

	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
	assert_int_equal(f->last[ROUTER_ACTION_SEND].upstream, engine);
	assert_int_equal(f->last[ROUTER_ACTION_SEND].request, request);
	router_progress(f->router, f->now, request, 10);
	router_finish(f->router, f->now, request, ROUTER_END_DONE, 20);
	router_finish(f->router, f->now, request, ROUTER_END_DONE, 20);
	assert_false(router_retry(f->router, f->now, request, VERDICT_NOT_RUN));
	router_progress(f->router, f->now, request, 30);
	router_finish(f->router, f->now, 0, ROUTER_END_DONE, 20);
	assert_int_not_equal(submit(f, ENGINE, 100), request);
}

static void
keeps_to_the_memory_and_queues_the_rest(void **state)
{
	struct fixture *f = *state;
	router_request first;

	add(f, UPSTREAM_ENGINE, true);
	first = submit(f, ENGINE, 6000);
	submit(f, ENGINE, 6000);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
	router_finish(f->router, f->now, first, ROUTER_END_DONE, 20);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
}

static void
counts_what_others_hold_and_may_have_sent(void **state)
{
	struct fixture *f = *state;
	router_upstream full = add(f, UPSTREAM_ENGINE, true);
	router_upstream empty = add(f, UPSTREAM_ENGINE, true);

	learn_short(f);
	report(f, full, 1, WARM, 9800, 4);
	for (int i = 0; i < 3; i++) {
		submit(f, ENGINE, 500);
		assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
		assert_int_equal(f->last[ROUTER_ACTION_SEND].upstream, empty);
	}
}

static void
refuses_at_once(void **state)
{
	struct fixture *f = *state;
	router_upstream engine;
	unsigned refused = 0;

	submit(f, ENGINE, 100);
	assert_int_equal(
	    f->last[ROUTER_ACTION_REFUSE].refusal, ROUTER_REFUSE_NO_UPSTREAM);
	engine = add(f, UPSTREAM_ENGINE, true);
	submit(f, ENGINE, 10001);
	assert_int_equal(
	    f->last[ROUTER_ACTION_REFUSE].refusal, ROUTER_REFUSE_TOO_LARGE);
	assert_true(f->last[ROUTER_ACTION_REFUSE].retry_at > f->now);
	report(f, engine, 1, WARM, 9999, 4);
	for (int i = 0; i < 60; i++) {
		submit(f, ENGINE, 100);
		refused += f->count[ROUTER_ACTION_REFUSE];
	}
	assert_int_equal(refused, 10);
	assert_int_equal(
	    f->last[ROUTER_ACTION_REFUSE].refusal, ROUTER_REFUSE_QUEUE_FULL);
	tick(f, 3 * USEC_PER_SEC);
	submit(f, ENGINE, 100);
	tick(f, 3 * USEC_PER_SEC);
	assert_true(f->count[ROUTER_ACTION_REFUSE] > 0);
	assert_int_equal(
	    f->last[ROUTER_ACTION_REFUSE].refusal, ROUTER_REFUSE_DEADLINE);
	assert_true(
	    f->last[ROUTER_ACTION_REFUSE].retry_at > f->now + USEC_PER_SEC);
	for (int i = 0; i < 30; i++)
		tick(f, USEC_PER_SEC);
	tick(f, USEC_PER_SEC);
	assert_int_equal(f->count[ROUTER_ACTION_REFUSE], 0);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
}

static void
checks_again_at_the_moment_of_the_send(void **state)
{
	struct fixture *f = *state;
	struct router_request_options options = {.organisation = 1,
	    .service = ENGINE,
	    .weight = 1,
	    .prompt_tokens = 10};
	router_upstream first = add(f, UPSTREAM_ENGINE, true);
	router_upstream second;

	learn_short(f);
	router_submit(f->router, f->now, &options);
	router_set_in_service(f->router, f->now, first, false);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
	second = add(f, UPSTREAM_ENGINE, true);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
	assert_int_equal(f->last[ROUTER_ACTION_SEND].upstream, second);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT], 1);
	router_slot_denied(f->router, f->now, second,
	    f->last[ROUTER_ACTION_SLOT].slot, f->now);
	router_submit(f->router, f->now, &options);
	f->now++;
	report(f, second, 2, 0, 0, 0);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
	assert_int_equal(f->count[ROUTER_ACTION_COLD], 1);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT], 1);
	router_remove_upstream(f->router, f->now, first);
	router_remove_upstream(f->router, f->now, second);
	router_set_in_service(f->router, f->now, second, true);
	tick(f, USEC_PER_SEC);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
}

static void
cold_upstreams_need_slots(void **state)
{
	struct fixture *f = *state;
	router_upstream engine = add(f, UPSTREAM_ENGINE, false);
	router_request first = submit(f, ENGINE, 10);
	uint32_t slot = f->last[ROUTER_ACTION_SLOT].slot;
	uint32_t other;

	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT], 1);
	assert_in_range(slot, 0, 1);
	router_slot_denied(
	    f->router, f->now, engine, slot, f->now + USEC_PER_SEC);
	drain(f);
	other = f->last[ROUTER_ACTION_SLOT].slot;
	assert_int_equal(other, 1 - slot);
	router_slot_granted(f->router, f->now, engine, other);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
	assert_int_equal(f->last[ROUTER_ACTION_SEND].request, first);
	submit(f, ENGINE, 10);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT], 0);
	router_finish(f->router, f->now, first, ROUTER_END_DONE, 5);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT_DONE], 1);
	assert_int_equal(f->last[ROUTER_ACTION_SLOT_DONE].slot, other);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT], 1);
	report(f, engine, 1, WARM, 0, 0);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
	router_slot_granted(f->router, f->now, engine, other);
	router_slot_granted(f->router, f->now, engine, 77);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT_DONE], 2);
}

/// The holder of a slot may be gone while its request still runs there.
static void
a_slot_is_given_back_while_reports_show_the_cold_upstream_full(void **state)
{
	struct fixture *f = *state;
	router_upstream service = add(f, UPSTREAM_SERVICE, false);
	uint32_t slot;

	submit(f, ORDERS, 0);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT], 1);
	slot = f->last[ROUTER_ACTION_SLOT].slot;
	report(f, service, 1, 1, 20, 2);
	router_slot_granted(f->router, f->now, service, slot);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT_DONE], 1);
	f->now += USEC_PER_SEC;
	report(f, service, 1, USEC_PER_SEC, 0, 0);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT], 1);
	slot = f->last[ROUTER_ACTION_SLOT].slot;
	router_slot_granted(f->router, f->now, service, slot);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
}

/// An instance that stood still gives a request up in the step after its bytes
/// left: the run that they begin must not come on top of the slots.
static void
the_slot_of_a_failed_request_is_kept_while_its_run_may_last(void **state)
{
	struct fixture *f = *state;
	router_upstream engine = add(f, UPSTREAM_ENGINE, false);
	router_request request = submit(f, ENGINE, 10);
	uint32_t slot = f->last[ROUTER_ACTION_SLOT].slot;

	router_slot_granted(f->router, f->now, engine, slot);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
	router_finish(f->router, f->now, request, ROUTER_END_FAILED, 0);
	router_retry(f->router, f->now, request, VERDICT_MAY_HAVE_RUN);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT_DONE], 0);
	f->now += USEC_PER_SEC;
	report(f, engine, 1, USEC_PER_SEC, 0, 0);
	tick(f, 0);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT_DONE], 0);
	f->now += 2 * USEC_PER_SEC;
	report(f, engine, 1, 3 * USEC_PER_SEC, 0, 1);
	tick(f, 0);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT_DONE], 0);
	f->now += USEC_PER_SEC;
	report(f, engine, 1, 4 * USEC_PER_SEC, 0, 0);
	tick(f, 0);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT_DONE], 1);
	assert_int_equal(f->last[ROUTER_ACTION_SLOT_DONE].slot, slot);
}

/// What could not be sent leaves nothing running.
static void
the_slot_of_a_request_that_has_not_run_is_given_back_at_once(void **state)
{
	struct fixture *f = *state;
	router_upstream engine = add(f, UPSTREAM_ENGINE, false);
	router_request request = submit(f, ENGINE, 10);
	uint32_t slot = f->last[ROUTER_ACTION_SLOT].slot;

	router_slot_granted(f->router, f->now, engine, slot);
	drain(f);
	router_finish(f->router, f->now, request, ROUTER_END_FAILED, 0);
	router_retry(f->router, f->now, request, VERDICT_NOT_RUN);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT_DONE], 1);
	assert_int_equal(f->last[ROUTER_ACTION_SLOT_DONE].slot, slot);
}

static void
a_failure_makes_the_upstream_cold_until_a_newer_report(void **state)
{
	struct fixture *f = *state;
	router_upstream engine = add(f, UPSTREAM_ENGINE, true);
	router_request request = submit(f, ENGINE, 10);
	struct router_report old = {
	    .asked_at = f->now, .start_epoch = 1, .uptime = WARM};

	f->now += USEC_PER_SEC;
	router_finish(f->router, f->now, request, ROUTER_END_FAILED, 5);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_COLD], 1);
	assert_true(
	    router_retry(f->router, f->now, request, VERDICT_MAY_HAVE_RUN));
	tick(f, USEC_PER_SEC);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
	assert_int_equal(f->count[ROUTER_ACTION_SLOT], 1);
	router_report_load(f->router, f->now, engine, &old);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
	report(f, engine, 1, WARM, 0, 0);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
	assert_int_equal(f->last[ROUTER_ACTION_SEND].request, request);
}

/// What was never run has its time to start once; what may have run, anew.
static void
retries_do_not_outlast_patience(void **state)
{
	struct fixture *f = *state;
	router_request order, generation;

	add(f, UPSTREAM_SERVICE, true);
	add(f, UPSTREAM_ENGINE, true);
	order = submit(f, ORDERS, 0);
	generation = submit(f, ENGINE, 10);
	f->now += 600 * USEC_PER_SEC;
	router_finish(f->router, f->now, order, ROUTER_END_BUSY, 0);
	router_finish(f->router, f->now, generation, ROUTER_END_FAILED, 5);
	assert_false(router_retry(f->router, f->now, order, VERDICT_NOT_RUN));
	assert_true(
	    router_retry(f->router, f->now, generation, VERDICT_MAY_HAVE_RUN));
}

static void
retries_by_verdict_and_budget(void **state)
{
	struct fixture *f = *state;
	router_request request;
	int tries = 0;

	add(f, UPSTREAM_SERVICE, true);
	request = submit(f, ORDERS, 0);
	router_finish(f->router, f->now, request, ROUTER_END_BUSY, 0);
	assert_false(
	    router_retry(f->router, f->now, request, VERDICT_MAY_HAVE_RUN));
	assert_false(router_retry(f->router, f->now, request, VERDICT_NOT_RUN));
	request = submit(f, ORDERS, 0);
	do {
		router_finish(f->router, f->now, request, ROUTER_END_BUSY, 0);
		drain(f);
		assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
		if (!router_retry(f->router, f->now, request, VERDICT_NOT_RUN))
			break;
		tries++;
		tick(f, USEC_PER_SEC);
	} while (f->count[ROUTER_ACTION_SEND] == 1);
	assert_in_range(tries, 2, 3);
}

static void
cancelling_a_waiting_request_drops_it(void **state)
{
	struct fixture *f = *state;
	router_request waiting;
	router_request running;

	add(f, UPSTREAM_ENGINE, true);
	running = submit(f, ENGINE, 6000);
	waiting = submit(f, ENGINE, 6000);
	router_finish(f->router, f->now, waiting, ROUTER_END_CANCELLED, 0);
	router_finish(f->router, f->now, running, ROUTER_END_CANCELLED, 0);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
}

static void
a_subset_is_the_same_on_each_run_and_refills(void **state)
{
	struct fixture *f = *state;
	struct router_options options = {.random = f->random,
	    .n_entries = 1,
	    .subset = 2,
	    .self = 5,
	    .queue_limit = 50};
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	gpointer key;

	router_free(f->router);
	f->router = router_new(&options);
	for (int i = 0; i < 10; i++)
		add(f, UPSTREAM_ENGINE, true);
	learn_short(f);
	for (int i = 0; i < 6; i++) {
		submit(f, ENGINE, 10);
		g_hash_table_add(seen,
		    GUINT_TO_POINTER(f->last[ROUTER_ACTION_SEND].upstream));
	}
	assert_int_equal(g_hash_table_size(seen), 2);
	g_hash_table_iter_init(&iter, seen);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		router_set_in_service(
		    f->router, f->now, GPOINTER_TO_UINT(key), false);
	submit(f, ENGINE, 10);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
	assert_false(g_hash_table_contains(
	    seen, GUINT_TO_POINTER(f->last[ROUTER_ACTION_SEND].upstream)));
	g_hash_table_destroy(seen);
}

static void
fills_up_to_max_running(void **state)
{
	struct fixture *f = *state;
	unsigned sent = 0;

	add(f, UPSTREAM_ENGINE, true);
	learn_short(f);
	for (int i = 0; i < 9; i++) {
		submit(f, ENGINE, 10);
		sent += f->count[ROUTER_ACTION_SEND];
	}
	assert_int_equal(sent, 8);
}

/* An instance that is left with long generations only must not take those of
   other instances to be as long, or it would never send again. */
static void
does_not_judge_others_by_its_own_leftovers(void **state)
{
	struct fixture *f = *state;
	router_upstream leftover = add(f, UPSTREAM_ENGINE, true);
	router_upstream other = add(f, UPSTREAM_ENGINE, true);
	router_request request;

	learn_short(f);
	request = submit(f, ENGINE, 10);
	if (f->last[ROUTER_ACTION_SEND].upstream != leftover)
		leftover = other;
	router_progress(f->router, f->now, request, 3000);
	for (int i = 0; i < 10; i++) {
		tick(f, USEC_PER_SEC);
		report(f, leftover, 1, WARM + f->now, 4000, 4);
		report(f, other, 1, WARM + f->now, 4000, 4);
	}
	submit(f, ENGINE, 10);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
}

static void
leaves_a_silent_upstream_alone_while_others_report(void **state)
{
	struct fixture *f = *state;
	router_upstream silent = add(f, UPSTREAM_SERVICE, true);
	router_upstream other = add(f, UPSTREAM_SERVICE, true);

	router_upstream_silent(f->router, f->now, silent);
	drain(f);
	for (int i = 0; i < 20; i++) {
		submit(f, ORDERS, 0);
		assert_int_equal(f->count[ROUTER_ACTION_SLOT], 0);
		if (f->count[ROUTER_ACTION_SEND] == 1)
			assert_int_equal(
			    f->last[ROUTER_ACTION_SEND].upstream, other);
	}
	router_upstream_silent(f->router, f->now, other);
	drain(f);
	tick(f, USEC_PER_SEC);
	assert_true(f->count[ROUTER_ACTION_SLOT] > 0);
}

/* All instances see the same room in the same report; by their index they
   agree on who may use it: here there is room for four of eight. */
static void
takes_turns_at_scarce_room(void **state)
{
	struct fixture *f = *state;
	unsigned sent = 0;

	for (unsigned index = 0; index < 8; index++) {
		struct router_options options = {
		    .random = f->random, .n_entries = 8};
		router_upstream engine;

		router_free(f->router);
		f->router = router_new(&options);
		router_set_index(f->router, index);
		f->now = USEC_PER_SEC;
		engine = add(f, UPSTREAM_ENGINE, true);
		learn_short(f);
		tick(f, 2 * USEC_PER_SEC);
		report(f, engine, 1, WARM + 2 * USEC_PER_SEC, 4500, 4);
		submit(f, ENGINE, 200);
		sent += f->count[ROUTER_ACTION_SEND];
	}
	assert_int_equal(sent, 4);
}

/* A report taken before our requests reached the engine shows none of them,
   also when it was asked for after that. */
static void
a_lagging_report_is_no_restart(void **state)
{
	struct fixture *f = *state;
	router_upstream engine = add(f, UPSTREAM_ENGINE, true);

	learn_short(f);
	f->now += USEC_PER_SEC;
	for (int i = 0; i < 5; i++) {
		router_request request = submit(f, ENGINE, 10);

		router_progress(f->router, f->now, request, 1);
	}
	f->now += USEC_PER_SEC / 10;
	report(f, engine, 1, WARM + USEC_PER_SEC / 2, 0, 0);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_COLD], 0);
	f->now += USEC_PER_SEC;
	report(f, engine, 1, WARM + 2 * USEC_PER_SEC, 0, 0);
	drain(f);
	assert_int_equal(f->count[ROUTER_ACTION_COLD], 1);
}

/* With subsets fewer instances send to each upstream, and each may send more.
 */
static void
a_subset_raises_the_share_of_each_upstream(void **state)
{
	struct fixture *f = *state;
	struct router_options options = {
	    .random = f->random, .n_entries = 8, .subset = 2};
	unsigned sent = 0;

	router_free(f->router);
	f->router = router_new(&options);
	for (int i = 0; i < 8; i++)
		add(f, UPSTREAM_SERVICE, true);
	for (int i = 0; i < 20; i++) {
		submit(f, ORDERS, 0);
		sent += f->count[ROUTER_ACTION_SEND];
	}
	assert_int_equal(sent, 16);
}

#define ROUTER_TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    ROUTER_TEST(sends_at_once_and_releases_the_handle),
	    ROUTER_TEST(keeps_to_the_memory_and_queues_the_rest),
	    ROUTER_TEST(counts_what_others_hold_and_may_have_sent),
	    ROUTER_TEST(refuses_at_once),
	    ROUTER_TEST(checks_again_at_the_moment_of_the_send),
	    ROUTER_TEST(cold_upstreams_need_slots),
	    ROUTER_TEST(
		the_slot_of_a_failed_request_is_kept_while_its_run_may_last),
	    ROUTER_TEST(
		the_slot_of_a_request_that_has_not_run_is_given_back_at_once),
	    ROUTER_TEST(
		a_slot_is_given_back_while_reports_show_the_cold_upstream_full),
	    ROUTER_TEST(a_failure_makes_the_upstream_cold_until_a_newer_report),
	    ROUTER_TEST(retries_do_not_outlast_patience),
	    ROUTER_TEST(retries_by_verdict_and_budget),
	    ROUTER_TEST(cancelling_a_waiting_request_drops_it),
	    ROUTER_TEST(fills_up_to_max_running),
	    ROUTER_TEST(does_not_judge_others_by_its_own_leftovers),
	    ROUTER_TEST(leaves_a_silent_upstream_alone_while_others_report),
	    ROUTER_TEST(takes_turns_at_scarce_room),
	    ROUTER_TEST(a_lagging_report_is_no_restart),
	    ROUTER_TEST(a_subset_raises_the_share_of_each_upstream),
	    ROUTER_TEST(a_subset_is_the_same_on_each_run_and_refills),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
