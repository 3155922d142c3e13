/* Unit tests of the router: admission, placement, slots, retries, turns. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>
#include <string.h>

#include "godwitvale/core/router.h"

#define ENGINE_SERVICE 1
#define ORDER_SERVICE 2
#define WARM_UPTIME (3600 * USEC_PER_SEC)

/// A router, and the counts and the last of the actions taken from it by type.
struct fixture {
	struct router *router;
	GRand *random;
	usec_t now;
	struct router_action last[ROUTER_ACTION_REPORT_COLD + 1];
	unsigned count[ROUTER_ACTION_REPORT_COLD + 1];
};

static void
take_actions(struct fixture *f)
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
	struct router_options options = {.n_instances = 2,
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
report_load(struct fixture *f, router_upstream upstream, uint64_t epoch,
    usec_t uptime, uint64_t used, uint32_t running)
{
	struct router_load_report load_report = {.requested_at = f->now,
	    .start_epoch = epoch,
	    .uptime = uptime,
	    .used_tokens = used,
	    .running = running};

	router_report_load(f->router, f->now, upstream, &load_report);
}

static router_upstream
add_upstream(struct fixture *f, enum upstream_kind kind, bool warm)
{
	struct router_upstream_options options = {.kind = kind,
	    .service = kind == UPSTREAM_ENGINE ? ENGINE_SERVICE : ORDER_SERVICE,
	    .memory_tokens = 10000,
	    .max_running = 8,
	    .cold_limit = 2,
	    .warm_span = 10 * USEC_PER_SEC};
	router_upstream upstream =
	    router_add_upstream(f->router, f->now, &options);

	if (warm)
		report_load(f, upstream, 1, WARM_UPTIME, 0, 0);
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
	    .idempotent = service == ENGINE_SERVICE};
	router_request request = router_submit(f->router, f->now, &options);

	take_actions(f);
	return request;
}

static void
tick(struct fixture *f, usec_t span)
{
	f->now += span;
	router_tick(f->router, f->now);
	take_actions(f);
}

/// Teaches the router's estimates that outputs are short.
static void
train_short_outputs(struct fixture *f)
{
	for (int i = 0; i < 100; i++)
		router_finish(f->router, f->now, submit(f, ENGINE_SERVICE, 10),
		    ROUTER_OUTCOME_DONE, 20);
	take_actions(f);
}

static void
sends_immediately_and_releases_the_handle(void **state)
{
	struct fixture *f = *state;
	router_upstream engine = add_upstream(f, UPSTREAM_ENGINE, true);
	router_request request = submit(f, ENGINE_SERVICE, 100);

	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
	assert_int_equal(f->last[ROUTER_ACTION_SEND].upstream, engine);
	assert_int_equal(f->last[ROUTER_ACTION_SEND].request, request);
	router_report_progress(f->router, f->now, request, 10);
	router_finish(f->router, f->now, request, ROUTER_OUTCOME_DONE, 20);
	router_finish(f->router, f->now, request, ROUTER_OUTCOME_DONE, 20);
	assert_false(router_retry(f->router, f->now, request, VERDICT_NOT_RUN));
	router_report_progress(f->router, f->now, request, 30);
	router_finish(f->router, f->now, 0, ROUTER_OUTCOME_DONE, 20);
	assert_int_not_equal(submit(f, ENGINE_SERVICE, 100), request);
}

static void
queues_requests_that_exceed_the_memory(void **state)
{
	struct fixture *f = *state;
	router_request first;

	add_upstream(f, UPSTREAM_ENGINE, true);
	first = submit(f, ENGINE_SERVICE, 6000);
	submit(f, ENGINE_SERVICE, 6000);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
	router_finish(f->router, f->now, first, ROUTER_OUTCOME_DONE, 20);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
}

static void
accounts_for_requests_of_other_instances(void **state)
{
	struct fixture *f = *state;
	router_upstream full = add_upstream(f, UPSTREAM_ENGINE, true);
	router_upstream empty = add_upstream(f, UPSTREAM_ENGINE, true);

	train_short_outputs(f);
	report_load(f, full, 1, WARM_UPTIME, 9800, 4);
	for (int i = 0; i < 3; i++) {
		submit(f, ENGINE_SERVICE, 500);
		assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
		assert_int_equal(f->last[ROUTER_ACTION_SEND].upstream, empty);
	}
}

static void
refuses_requests_that_cannot_start(void **state)
{
	struct fixture *f = *state;
	router_upstream engine;
	unsigned refused = 0;

	submit(f, ENGINE_SERVICE, 100);
	assert_int_equal(
	    f->last[ROUTER_ACTION_REFUSE].refusal, ROUTER_REFUSE_NO_UPSTREAM);
	engine = add_upstream(f, UPSTREAM_ENGINE, true);
	submit(f, ENGINE_SERVICE, 10001);
	assert_int_equal(
	    f->last[ROUTER_ACTION_REFUSE].refusal, ROUTER_REFUSE_TOO_LARGE);
	assert_true(f->last[ROUTER_ACTION_REFUSE].retry_at > f->now);
	report_load(f, engine, 1, WARM_UPTIME, 9999, 4);
	for (int i = 0; i < 60; i++) {
		submit(f, ENGINE_SERVICE, 100);
		refused += f->count[ROUTER_ACTION_REFUSE];
	}
	assert_int_equal(refused, 10);
	assert_int_equal(
	    f->last[ROUTER_ACTION_REFUSE].refusal, ROUTER_REFUSE_QUEUE_FULL);
	tick(f, 3 * USEC_PER_SEC);
	submit(f, ENGINE_SERVICE, 100);
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
revalidates_a_send_when_it_is_taken_out(void **state)
{
	struct fixture *f = *state;
	struct router_request_options options = {.organisation = 1,
	    .service = ENGINE_SERVICE,
	    .weight = 1,
	    .prompt_tokens = 10};
	router_upstream first = add_upstream(f, UPSTREAM_ENGINE, true);
	router_upstream second;

	train_short_outputs(f);
	router_submit(f->router, f->now, &options);
	router_set_in_service(f->router, f->now, first, false);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
	second = add_upstream(f, UPSTREAM_ENGINE, true);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
	assert_int_equal(f->last[ROUTER_ACTION_SEND].upstream, second);
	assert_int_equal(f->count[ROUTER_ACTION_ACQUIRE_SLOT], 1);
	router_handle_slot_denial(f->router, f->now, second,
	    f->last[ROUTER_ACTION_ACQUIRE_SLOT].slot, f->now);
	router_submit(f->router, f->now, &options);
	f->now++;
	report_load(f, second, 2, 0, 0, 0);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
	assert_int_equal(f->count[ROUTER_ACTION_REPORT_COLD], 1);
	assert_int_equal(f->count[ROUTER_ACTION_ACQUIRE_SLOT], 1);
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
	router_upstream engine = add_upstream(f, UPSTREAM_ENGINE, false);
	router_request first = submit(f, ENGINE_SERVICE, 10);
	uint32_t slot = f->last[ROUTER_ACTION_ACQUIRE_SLOT].slot;
	uint32_t other;

	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
	assert_int_equal(f->count[ROUTER_ACTION_ACQUIRE_SLOT], 1);
	assert_in_range(slot, 0, 1);
	router_handle_slot_denial(
	    f->router, f->now, engine, slot, f->now + USEC_PER_SEC);
	take_actions(f);
	other = f->last[ROUTER_ACTION_ACQUIRE_SLOT].slot;
	assert_int_equal(other, 1 - slot);
	router_handle_slot_grant(f->router, f->now, engine, other);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
	assert_int_equal(f->last[ROUTER_ACTION_SEND].request, first);
	submit(f, ENGINE_SERVICE, 10);
	assert_int_equal(f->count[ROUTER_ACTION_ACQUIRE_SLOT], 0);
	router_finish(f->router, f->now, first, ROUTER_OUTCOME_DONE, 5);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_RELEASE_SLOT], 1);
	assert_int_equal(f->last[ROUTER_ACTION_RELEASE_SLOT].slot, other);
	assert_int_equal(f->count[ROUTER_ACTION_ACQUIRE_SLOT], 1);
	report_load(f, engine, 1, WARM_UPTIME, 0, 0);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
	router_handle_slot_grant(f->router, f->now, engine, other);
	router_handle_slot_grant(f->router, f->now, engine, 77);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_RELEASE_SLOT], 2);
}

/// The holder of a slot may have failed while its request is still running.
static void
releases_a_slot_while_reports_show_a_full_cold_upstream(void **state)
{
	struct fixture *f = *state;
	router_upstream service = add_upstream(f, UPSTREAM_SERVICE, false);
	uint32_t slot;

	submit(f, ORDER_SERVICE, 0);
	assert_int_equal(f->count[ROUTER_ACTION_ACQUIRE_SLOT], 1);
	slot = f->last[ROUTER_ACTION_ACQUIRE_SLOT].slot;
	report_load(f, service, 1, 1, 20, 2);
	router_handle_slot_grant(f->router, f->now, service, slot);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
	assert_int_equal(f->count[ROUTER_ACTION_RELEASE_SLOT], 1);
	f->now += USEC_PER_SEC;
	report_load(f, service, 1, USEC_PER_SEC, 0, 0);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_ACQUIRE_SLOT], 1);
	slot = f->last[ROUTER_ACTION_ACQUIRE_SLOT].slot;
	router_handle_slot_grant(f->router, f->now, service, slot);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
}

/// After a pause an instance may give up on a request whose bytes it has just
/// sent. The run that they start must not be in addition to the slots.
static void
retains_the_slot_of_a_failed_request_while_it_may_run(void **state)
{
	struct fixture *f = *state;
	router_upstream engine = add_upstream(f, UPSTREAM_ENGINE, false);
	router_request request = submit(f, ENGINE_SERVICE, 10);
	uint32_t slot = f->last[ROUTER_ACTION_ACQUIRE_SLOT].slot;

	router_handle_slot_grant(f->router, f->now, engine, slot);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
	router_finish(f->router, f->now, request, ROUTER_OUTCOME_FAILED, 0);
	router_retry(f->router, f->now, request, VERDICT_MAY_HAVE_RUN);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_RELEASE_SLOT], 0);
	f->now += USEC_PER_SEC;
	report_load(f, engine, 1, USEC_PER_SEC, 0, 0);
	tick(f, 0);
	assert_int_equal(f->count[ROUTER_ACTION_RELEASE_SLOT], 0);
	f->now += 2 * USEC_PER_SEC;
	report_load(f, engine, 1, 3 * USEC_PER_SEC, 0, 1);
	tick(f, 0);
	assert_int_equal(f->count[ROUTER_ACTION_RELEASE_SLOT], 0);
	f->now += USEC_PER_SEC;
	report_load(f, engine, 1, 4 * USEC_PER_SEC, 0, 0);
	tick(f, 0);
	assert_int_equal(f->count[ROUTER_ACTION_RELEASE_SLOT], 1);
	assert_int_equal(f->last[ROUTER_ACTION_RELEASE_SLOT].slot, slot);
}

/// A request that could not be sent is not running at the upstream.
static void
releases_the_slot_of_a_request_that_has_not_run(void **state)
{
	struct fixture *f = *state;
	router_upstream engine = add_upstream(f, UPSTREAM_ENGINE, false);
	router_request request = submit(f, ENGINE_SERVICE, 10);
	uint32_t slot = f->last[ROUTER_ACTION_ACQUIRE_SLOT].slot;

	router_handle_slot_grant(f->router, f->now, engine, slot);
	take_actions(f);
	router_finish(f->router, f->now, request, ROUTER_OUTCOME_FAILED, 0);
	router_retry(f->router, f->now, request, VERDICT_NOT_RUN);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_RELEASE_SLOT], 1);
	assert_int_equal(f->last[ROUTER_ACTION_RELEASE_SLOT].slot, slot);
}

static void
a_failure_marks_the_upstream_cold_until_a_newer_report(void **state)
{
	struct fixture *f = *state;
	router_upstream engine = add_upstream(f, UPSTREAM_ENGINE, true);
	router_request request = submit(f, ENGINE_SERVICE, 10);
	struct router_load_report old = {
	    .requested_at = f->now, .start_epoch = 1, .uptime = WARM_UPTIME};

	f->now += USEC_PER_SEC;
	router_finish(f->router, f->now, request, ROUTER_OUTCOME_FAILED, 5);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_REPORT_COLD], 1);
	assert_true(
	    router_retry(f->router, f->now, request, VERDICT_MAY_HAVE_RUN));
	tick(f, USEC_PER_SEC);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
	assert_int_equal(f->count[ROUTER_ACTION_ACQUIRE_SLOT], 1);
	router_report_load(f->router, f->now, engine, &old);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
	report_load(f, engine, 1, WARM_UPTIME, 0, 0);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
	assert_int_equal(f->last[ROUTER_ACTION_SEND].request, request);
}

/// A request that was not run keeps its start deadline; for one that may have
/// run, the time to the deadline starts again.
static void
retries_respect_the_start_deadline(void **state)
{
	struct fixture *f = *state;
	router_request order, generation;

	add_upstream(f, UPSTREAM_SERVICE, true);
	add_upstream(f, UPSTREAM_ENGINE, true);
	order = submit(f, ORDER_SERVICE, 0);
	generation = submit(f, ENGINE_SERVICE, 10);
	f->now += 600 * USEC_PER_SEC;
	router_finish(f->router, f->now, order, ROUTER_OUTCOME_BUSY, 0);
	router_finish(f->router, f->now, generation, ROUTER_OUTCOME_FAILED, 5);
	assert_false(router_retry(f->router, f->now, order, VERDICT_NOT_RUN));
	assert_true(
	    router_retry(f->router, f->now, generation, VERDICT_MAY_HAVE_RUN));
}

static void
limits_retries_by_verdict_and_budget(void **state)
{
	struct fixture *f = *state;
	router_request request;
	int tries = 0;

	add_upstream(f, UPSTREAM_SERVICE, true);
	request = submit(f, ORDER_SERVICE, 0);
	router_finish(f->router, f->now, request, ROUTER_OUTCOME_BUSY, 0);
	assert_false(
	    router_retry(f->router, f->now, request, VERDICT_MAY_HAVE_RUN));
	assert_false(router_retry(f->router, f->now, request, VERDICT_NOT_RUN));
	request = submit(f, ORDER_SERVICE, 0);
	do {
		router_finish(
		    f->router, f->now, request, ROUTER_OUTCOME_BUSY, 0);
		take_actions(f);
		assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
		if (!router_retry(f->router, f->now, request, VERDICT_NOT_RUN))
			break;
		tries++;
		tick(f, USEC_PER_SEC);
	} while (f->count[ROUTER_ACTION_SEND] == 1);
	assert_in_range(tries, 2, 3);
}

static void
cancelling_removes_a_waiting_request(void **state)
{
	struct fixture *f = *state;
	router_request waiting;
	router_request running;

	add_upstream(f, UPSTREAM_ENGINE, true);
	running = submit(f, ENGINE_SERVICE, 6000);
	waiting = submit(f, ENGINE_SERVICE, 6000);
	router_finish(f->router, f->now, waiting, ROUTER_OUTCOME_CANCELLED, 0);
	router_finish(f->router, f->now, running, ROUTER_OUTCOME_CANCELLED, 0);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 0);
}

static void
a_subset_is_stable_and_replaces_lost_upstreams(void **state)
{
	struct fixture *f = *state;
	struct router_options options = {.random = f->random,
	    .n_instances = 1,
	    .subset = 2,
	    .instance_id = 5,
	    .queue_limit = 50};
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	gpointer key;

	router_free(f->router);
	f->router = router_new(&options);
	for (int i = 0; i < 10; i++)
		add_upstream(f, UPSTREAM_ENGINE, true);
	train_short_outputs(f);
	for (int i = 0; i < 6; i++) {
		submit(f, ENGINE_SERVICE, 10);
		g_hash_table_add(seen,
		    GUINT_TO_POINTER(f->last[ROUTER_ACTION_SEND].upstream));
	}
	assert_int_equal(g_hash_table_size(seen), 2);
	g_hash_table_iter_init(&iter, seen);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		router_set_in_service(
		    f->router, f->now, GPOINTER_TO_UINT(key), false);
	submit(f, ENGINE_SERVICE, 10);
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

	add_upstream(f, UPSTREAM_ENGINE, true);
	train_short_outputs(f);
	for (int i = 0; i < 9; i++) {
		submit(f, ENGINE_SERVICE, 10);
		sent += f->count[ROUTER_ACTION_SEND];
	}
	assert_int_equal(sent, 8);
}

/* An instance whose remaining generations are all long must not assume that
   those of other instances are as long, or it would never send again. */
static void
does_not_extrapolate_from_its_own_long_generations(void **state)
{
	struct fixture *f = *state;
	router_upstream long_running = add_upstream(f, UPSTREAM_ENGINE, true);
	router_upstream other = add_upstream(f, UPSTREAM_ENGINE, true);
	router_request request;

	train_short_outputs(f);
	request = submit(f, ENGINE_SERVICE, 10);
	if (f->last[ROUTER_ACTION_SEND].upstream != long_running)
		long_running = other;
	router_report_progress(f->router, f->now, request, 3000);
	for (int i = 0; i < 10; i++) {
		tick(f, USEC_PER_SEC);
		report_load(f, long_running, 1, WARM_UPTIME + f->now, 4000, 4);
		report_load(f, other, 1, WARM_UPTIME + f->now, 4000, 4);
	}
	submit(f, ENGINE_SERVICE, 10);
	assert_int_equal(f->count[ROUTER_ACTION_SEND], 1);
}

static void
requests_no_slot_of_a_silent_upstream_while_others_report(void **state)
{
	struct fixture *f = *state;
	router_upstream silent = add_upstream(f, UPSTREAM_SERVICE, true);
	router_upstream other = add_upstream(f, UPSTREAM_SERVICE, true);

	router_mark_unresponsive(f->router, f->now, silent);
	take_actions(f);
	for (int i = 0; i < 20; i++) {
		submit(f, ORDER_SERVICE, 0);
		assert_int_equal(f->count[ROUTER_ACTION_ACQUIRE_SLOT], 0);
		if (f->count[ROUTER_ACTION_SEND] == 1)
			assert_int_equal(
			    f->last[ROUTER_ACTION_SEND].upstream, other);
	}
	router_mark_unresponsive(f->router, f->now, other);
	take_actions(f);
	tick(f, USEC_PER_SEC);
	assert_true(f->count[ROUTER_ACTION_ACQUIRE_SLOT] > 0);
}

/* All instances see the same capacity in a report, and their indexes decide
   which of them may use it: here the capacity suffices for four of eight. */
static void
instances_take_turns_when_capacity_is_scarce(void **state)
{
	struct fixture *f = *state;
	unsigned sent = 0;

	for (unsigned index = 0; index < 8; index++) {
		struct router_options options = {
		    .random = f->random, .n_instances = 8};
		router_upstream engine;

		router_free(f->router);
		f->router = router_new(&options);
		router_set_instance_index(f->router, index);
		f->now = USEC_PER_SEC;
		engine = add_upstream(f, UPSTREAM_ENGINE, true);
		train_short_outputs(f);
		tick(f, 2 * USEC_PER_SEC);
		report_load(
		    f, engine, 1, WARM_UPTIME + 2 * USEC_PER_SEC, 4500, 4);
		submit(f, ENGINE_SERVICE, 200);
		sent += f->count[ROUTER_ACTION_SEND];
	}
	assert_int_equal(sent, 4);
}

/* A report sampled before our requests reached the engine includes none of
   them, even if it was requested after they were sent. */
static void
a_delayed_report_is_not_taken_for_a_restart(void **state)
{
	struct fixture *f = *state;
	router_upstream engine = add_upstream(f, UPSTREAM_ENGINE, true);

	train_short_outputs(f);
	f->now += USEC_PER_SEC;
	for (int i = 0; i < 5; i++) {
		router_request request = submit(f, ENGINE_SERVICE, 10);

		router_report_progress(f->router, f->now, request, 1);
	}
	f->now += USEC_PER_SEC / 10;
	report_load(f, engine, 1, WARM_UPTIME + USEC_PER_SEC / 2, 0, 0);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_REPORT_COLD], 0);
	f->now += USEC_PER_SEC;
	report_load(f, engine, 1, WARM_UPTIME + 2 * USEC_PER_SEC, 0, 0);
	take_actions(f);
	assert_int_equal(f->count[ROUTER_ACTION_REPORT_COLD], 1);
}

/* With subsets, fewer instances send to each upstream, so each may send more.
 */
static void
a_subset_raises_the_share_of_each_upstream(void **state)
{
	struct fixture *f = *state;
	struct router_options options = {
	    .random = f->random, .n_instances = 8, .subset = 2};
	unsigned sent = 0;

	router_free(f->router);
	f->router = router_new(&options);
	for (int i = 0; i < 8; i++)
		add_upstream(f, UPSTREAM_SERVICE, true);
	for (int i = 0; i < 20; i++) {
		submit(f, ORDER_SERVICE, 0);
		sent += f->count[ROUTER_ACTION_SEND];
	}
	assert_int_equal(sent, 16);
}

#define ROUTER_TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    ROUTER_TEST(sends_immediately_and_releases_the_handle),
	    ROUTER_TEST(queues_requests_that_exceed_the_memory),
	    ROUTER_TEST(accounts_for_requests_of_other_instances),
	    ROUTER_TEST(refuses_requests_that_cannot_start),
	    ROUTER_TEST(revalidates_a_send_when_it_is_taken_out),
	    ROUTER_TEST(cold_upstreams_need_slots),
	    ROUTER_TEST(retains_the_slot_of_a_failed_request_while_it_may_run),
	    ROUTER_TEST(releases_the_slot_of_a_request_that_has_not_run),
	    ROUTER_TEST(
		releases_a_slot_while_reports_show_a_full_cold_upstream),
	    ROUTER_TEST(a_failure_marks_the_upstream_cold_until_a_newer_report),
	    ROUTER_TEST(retries_respect_the_start_deadline),
	    ROUTER_TEST(limits_retries_by_verdict_and_budget),
	    ROUTER_TEST(cancelling_removes_a_waiting_request),
	    ROUTER_TEST(fills_up_to_max_running),
	    ROUTER_TEST(does_not_extrapolate_from_its_own_long_generations),
	    ROUTER_TEST(
		requests_no_slot_of_a_silent_upstream_while_others_report),
	    ROUTER_TEST(instances_take_turns_when_capacity_is_scarce),
	    ROUTER_TEST(a_delayed_report_is_not_taken_for_a_restart),
	    ROUTER_TEST(a_subset_raises_the_share_of_each_upstream),
	    ROUTER_TEST(a_subset_is_stable_and_replaces_lost_upstreams),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
