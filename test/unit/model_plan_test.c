/* Unit tests of the plan of model orders. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <glib.h>

#include "godwitvale/core/model_plan.h"

#define ENGINES_MAX 16
#define STEP (10 * USEC_PER_MSEC)
#define LOAD_SPAN (2 * USEC_PER_SEC)
#define INTERVAL (100 * USEC_PER_MSEC)
#define PAUSE_BOUND (2 * USEC_PER_SEC)
#define TERM (3 * USEC_PER_SEC)

/// An engine that takes orders, as the interface describes it.
struct fake {
	bool checks_fence;
	uint64_t fence;
	uint64_t epoch;
	char loaded[16];
	char loading[16];
	usec_t loaded_at;
	unsigned accepted;
	unsigned stale; /// accepted after one with a higher number
	unsigned refused;
};

/// The engines, and the weight store's allowance.
struct world {
	usec_t now;
	unsigned n_engines;
	struct fake engines[ENGINES_MAX];
	unsigned most_loading;
	unsigned probes;
	usec_t store_free_at; /// reads before this are limited
	usec_t store_gap;     /// between two reads that are served
	usec_t ordered_at[ENGINES_MAX * 2];
	unsigned n_ordered;
};

static const struct model_plan_options plain = {.lease_term = TERM,
    .pause_bound = PAUSE_BOUND,
    .leave_span = USEC_PER_SEC,
    .order_interval = INTERVAL,
    .load_timeout = 60 * USEC_PER_SEC,
    .permit_span = USEC_PER_SEC,
    .report_age_max = USEC_PER_SEC,
    .retry_span = USEC_PER_SEC,
    .max_loading = 4,
    .floor_share = 4};

static void
set_text(char text[16], const char *value)
{
	g_strlcpy(text, value, 16);
}

static struct model_plan *
new_plan(unsigned naive)
{
	struct model_plan_options options = plain;

	options.naive = naive;
	return model_plan_new(&options);
}

static void
set_world(struct world *world, unsigned n_engines, bool checks_fence)
{
	memset(world, 0, sizeof(*world));
	world->n_engines = n_engines;
	for (unsigned i = 0; i < n_engines; i++) {
		world->engines[i].checks_fence = checks_fence;
		world->engines[i].epoch = 1;
		set_text(world->engines[i].loaded, "m/1");
	}
}

static void
set_bundle(struct model_plan *plan, const struct world *world, uint64_t number,
    const char *version)
{
	struct model_plan_engine engines[ENGINES_MAX];

	for (unsigned i = 0; i < world->n_engines; i++)
		engines[i] = (struct model_plan_engine){.id = i + 1,
		    .model = "m",
		    .version = version,
		    .checks_fence = world->engines[i].checks_fence,
		    .in_service = true};
	model_plan_set_bundle(plan, number, engines, world->n_engines);
}

/// Lets loads end, and gives all reports to a plan.
static void
report_all(struct world *world, struct model_plan *plan)
{
	unsigned loading = 0;

	for (unsigned i = 0; i < world->n_engines; i++) {
		struct fake *engine = &world->engines[i];
		struct model_plan_report report = {.asked_at = world->now,
		    .start_epoch = engine->epoch,
		    .fence = engine->fence};

		if (engine->loading[0] != '\0' &&
		    world->now >= engine->loaded_at) {
			set_text(engine->loaded, engine->loading);
			engine->loading[0] = '\0';
		}
		loading += engine->loading[0] != '\0';
		report.loaded = engine->loaded;
		model_plan_report(plan, i + 1, &report);
	}
	world->most_loading = MAX(world->most_loading, loading);
}

/// An order arrives at its engine.
static enum model_order_end
arrive(struct world *world, const struct model_order *order)
{
	struct fake *engine = &world->engines[order->engine - 1];

	if (engine->checks_fence && order->fence < engine->fence) {
		engine->refused++;
		return MODEL_ORDER_OLD_FENCE;
	}
	engine->stale += order->fence < engine->fence;
	engine->fence = MAX(engine->fence, order->fence);
	engine->accepted++;
	g_snprintf(engine->loading, sizeof(engine->loading), "%s/%s",
	    order->model, order->version);
	engine->loaded_at = world->now + LOAD_SPAN;
	if (world->n_ordered < G_N_ELEMENTS(world->ordered_at))
		world->ordered_at[world->n_ordered++] = world->now;
	return MODEL_ORDER_ACCEPTED;
}

static void
probe(struct world *world, struct model_plan *plan)
{
	world->probes++;
	if (world->now < world->store_free_at) {
		model_plan_probed(plan, world->now, MODEL_PROBE_LIMITED,
		    world->store_free_at);
		return;
	}
	world->store_free_at = world->now + world->store_gap;
	model_plan_probed(plan, world->now, MODEL_PROBE_SERVED, 0);
}

/// Runs a holder until a time; an order stops it when `held_order` is given.
static bool
run_until(struct world *world, struct model_plan *plan, usec_t end,
    struct model_order *held_order)
{
	struct model_order order = {0};

	for (; world->now < end; world->now += STEP) {
		report_all(world, plan);
		model_plan_renewed(plan, world->now + TERM);
		switch (model_plan_next(plan, world->now, &order)) {
		case MODEL_PLAN_PROBE:
			probe(world, plan);
			break;
		case MODEL_PLAN_ORDER:
			if (held_order != NULL) {
				*held_order = order;
				return true;
			}
			assert_true(
			    model_plan_may_leave(plan, world->now, &order));
			model_plan_ended(
			    plan, world->now, &order, arrive(world, &order));
			break;
		case MODEL_PLAN_NONE:
			break;
		}
	}
	return false;
}

static void
orders_each_engine_once_above_the_floor(void **state)
{
	for (int naive = 0; naive < 2; naive++) {
		struct model_plan *plan =
		    new_plan(naive ? MODEL_PLAN_NAIVE_NO_FLOOR : 0);
		struct world world;

		(void)state;
		set_world(&world, 8, true);
		set_bundle(plan, &world, 1, "2");
		run_until(&world, plan, USEC_PER_SEC, NULL);
		assert_int_equal(world.n_ordered, 0);
		model_plan_granted(plan, world.now, 1, world.now + TERM);
		run_until(&world, plan, 30 * USEC_PER_SEC, NULL);
		for (unsigned i = 0; i < 8; i++) {
			assert_int_equal(world.engines[i].accepted, 1);
			assert_string_equal(world.engines[i].loaded, "m/2");
		}
		assert_true(model_plan_settled(plan, world.now));
		assert_int_equal(world.most_loading, naive ? 4 : 2);
		model_plan_free(plan);
	}
}

static void
at_least_one_engine_of_a_model_loads(void **state)
{
	struct model_plan *plan = new_plan(0);
	struct world world;

	(void)state;
	set_world(&world, 2, true);
	set_bundle(plan, &world, 1, "2");
	model_plan_granted(plan, 0, 1, TERM);
	run_until(&world, plan, 20 * USEC_PER_SEC, NULL);
	assert_int_equal(world.most_loading, 1);
	assert_int_equal(world.engines[0].accepted, 1);
	assert_int_equal(world.engines[1].accepted, 1);
	model_plan_free(plan);
}

/// An engine with another model's weights costs no service when it loads.
static void
engines_that_cannot_serve_go_first(void **state)
{
	struct model_plan *plan = new_plan(0);
	struct world world;
	struct model_order order = {0};
	usec_t until = 0;

	(void)state;
	set_world(&world, 4, true);
	set_text(world.engines[2].loaded, "mm/1");
	world.engines[3].loaded[0] = '\0';
	set_bundle(plan, &world, 1, "2");
	assert_true(model_plan_serves(plan, 0, 3));
	report_all(&world, plan);
	assert_true(model_plan_serves(plan, 0, 1));
	assert_false(model_plan_serves(plan, 0, 3));
	assert_false(model_plan_serves(plan, 0, 4));
	world.now = STEP;
	model_plan_granted(plan, world.now, 1, TERM);
	assert_true(run_until(&world, plan, USEC_PER_SEC, &order));
	assert_int_equal(order.engine, 3);
	assert_string_equal(
	    model_plan_loading(plan, world.now, 3, &until), "m/2");
	model_plan_ended(plan, world.now, &order, MODEL_ORDER_ACCEPTED);
	assert_true(run_until(&world, plan, 2 * USEC_PER_SEC, &order));
	assert_int_equal(order.engine, 4);
	model_plan_free(plan);
}

static void
orders_are_spaced_by_the_store(void **state)
{
	static const struct {
		usec_t gap;
		usec_t least;
	} cases[] = {{0, INTERVAL}, {3 * USEC_PER_SEC, 3 * USEC_PER_SEC}};

	(void)state;
	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct model_plan *plan = new_plan(MODEL_PLAN_NAIVE_NO_FLOOR);
		struct world world;

		set_world(&world, 4, true);
		world.store_gap = cases[c].gap;
		set_bundle(plan, &world, 1, "2");
		model_plan_granted(plan, 0, 1, TERM);
		run_until(&world, plan, 30 * USEC_PER_SEC, NULL);
		assert_int_equal(world.n_ordered, 4);
		for (unsigned i = 1; i < world.n_ordered; i++)
			assert_true(
			    world.ordered_at[i] - world.ordered_at[i - 1] >=
			    cases[c].least);
		// A limited read is not repeated before the store's time.
		assert_true(world.probes <= 2 * world.n_ordered);
		model_plan_free(plan);
	}
}

static void
a_newer_bundle_stops_older_orders(void **state)
{
	struct model_plan *plan = new_plan(0);
	struct world world;
	struct model_order order = {0};

	(void)state;
	set_world(&world, 1, true);
	set_bundle(plan, &world, 1, "2");
	model_plan_granted(plan, 0, 1, TERM);
	assert_true(run_until(&world, plan, USEC_PER_SEC, &order));
	assert_true(model_plan_may_leave(plan, world.now, &order));
	assert_false(model_plan_may_leave(plan, order.leave_before, &order));
	set_bundle(plan, &world, 2, "3");
	assert_false(model_plan_may_leave(plan, world.now, &order));
	model_plan_ended(plan, world.now, &order, MODEL_ORDER_NOT_SENT);
	set_bundle(plan, &world, 1, "2");
	run_until(&world, plan, 10 * USEC_PER_SEC, NULL);
	assert_int_equal(world.engines[0].accepted, 1);
	assert_string_equal(world.engines[0].loaded, "m/3");
	model_plan_free(plan);
}

/// No answer may mean accepted: the order stays open. Refusals close it.
static void
ends_of_orders(void **state)
{
	static const struct {
		enum model_order_end end;
		bool restart;
		bool again;
	} cases[] = {{MODEL_ORDER_ACCEPTED, false, false},
	    {MODEL_ORDER_UNKNOWN, false, false},
	    {MODEL_ORDER_UNKNOWN, true, true},
	    {MODEL_ORDER_REFUSED, false, true},
	    {MODEL_ORDER_NOT_SENT, false, true}};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct model_plan *plan = new_plan(0);
		struct world world;
		struct model_order order = {0};

		set_world(&world, 1, true);
		set_bundle(plan, &world, 1, "2");
		model_plan_granted(plan, 0, 1, TERM);
		assert_true(run_until(&world, plan, USEC_PER_SEC, &order));
		model_plan_ended(plan, world.now, &order, cases[i].end);
		world.now += STEP;
		world.engines[0].epoch += cases[i].restart;
		assert_int_equal(
		    run_until(&world, plan, 50 * USEC_PER_SEC, &order),
		    cases[i].again);
		// Given up at load_timeout.
		assert_true(cases[i].again ||
		    run_until(&world, plan, 70 * USEC_PER_SEC, &order));
		model_plan_free(plan);
	}
}

/// Silent engines, engines out of service and lapsed leases: no order.
static void
no_order_without_report_service_or_lease(void **state)
{
	struct model_plan *plan = new_plan(0);
	struct world world;
	struct model_order order = {0};
	struct model_plan_engine out = {
	    .id = 1, .model = "m", .version = "2", .checks_fence = true};

	(void)state;
	set_world(&world, 1, true);
	set_bundle(plan, &world, 1, "2");
	model_plan_granted(plan, 0, 1, 2 * TERM);
	assert_int_equal(model_plan_next(plan, 0, &order), MODEL_PLAN_NONE);
	report_all(&world, plan);
	assert_int_equal(
	    model_plan_next(plan, plain.report_age_max + 1, &order),
	    MODEL_PLAN_NONE);
	assert_int_equal(
	    model_plan_next(plan, 2 * TERM, &order), MODEL_PLAN_NONE);
	assert_int_equal(model_plan_next(plan, 1, &order), MODEL_PLAN_PROBE);
	model_plan_probed(plan, 1, MODEL_PROBE_SERVED, 0);
	model_plan_set_bundle(plan, 2, &out, 1);
	assert_int_equal(model_plan_next(plan, 2, &order), MODEL_PLAN_NONE);
	model_plan_lost(plan);
	set_bundle(plan, &world, 3, "2");
	assert_int_equal(model_plan_next(plan, 3, &order), MODEL_PLAN_NONE);
	model_plan_free(plan);
}

/// Word of the former holder's open order keeps the next one from repeating
/// it.
static void
a_new_holder_does_not_repeat_what_it_was_told(void **state)
{
	struct model_plan *plan = new_plan(0);
	struct world world;

	(void)state;
	set_world(&world, 1, true);
	set_bundle(plan, &world, 1, "2");
	report_all(&world, plan);
	model_plan_told(plan, 0, 1, "m/2", 60 * USEC_PER_SEC);
	assert_false(model_plan_serves(plan, 0, 1));
	model_plan_told(plan, 0, 1, NULL, 0);
	assert_true(model_plan_serves(plan, 0, 1));
	model_plan_told(plan, 0, 1, "m/2", 60 * USEC_PER_SEC);
	set_text(world.engines[0].loading, "m/2");
	world.engines[0].loaded_at = 20 * USEC_PER_SEC;
	world.engines[0].fence = 4;
	world.now = STEP;
	model_plan_granted(plan, world.now, 5, TERM);
	run_until(&world, plan, 30 * USEC_PER_SEC, NULL);
	assert_int_equal(world.engines[0].accepted, 0);
	assert_string_equal(world.engines[0].loaded, "m/2");
	assert_true(model_plan_serves(plan, world.now, 1));
	assert_int_equal(model_plan_fence_floor(plan), 4);
	model_plan_free(plan);
}

/// One holder is paused for long right before it sends; another takes over
/// and orders a newer version; then the first wakes up.
static void
paused_before_sending(unsigned naive, bool checks_fence, struct world *world)
{
	struct model_plan *first = new_plan(naive);
	struct model_plan *second = new_plan(naive);
	struct model_order order = {0};

	set_world(world, 1, checks_fence);
	set_bundle(first, world, 1, "2");
	set_bundle(second, world, 1, "2");
	model_plan_granted(first, 0, 1, TERM);
	assert_true(run_until(world, first, 10 * USEC_PER_SEC, &order));
	world->now += TERM + STEP;
	set_bundle(second, world, 2, "3");
	model_plan_granted(second, world->now, 2, world->now + TERM);
	run_until(world, second, world->now + 20 * USEC_PER_SEC, NULL);
	assert_string_equal(world->engines[0].loaded, "m/3");
	if (model_plan_may_leave(first, world->now, &order))
		arrive(world, &order);
	run_until(world, second, world->now + 20 * USEC_PER_SEC, NULL);
	assert_string_equal(world->engines[0].loaded, "m/3");
	model_plan_free(first);
	model_plan_free(second);
}

static void
a_paused_holder_sends_nothing(void **state)
{
	struct world world;

	(void)state;
	for (int checks = 0; checks < 2; checks++) {
		paused_before_sending(0, checks, &world);
		assert_int_equal(world.engines[0].accepted, 1);
		assert_int_equal(world.engines[0].stale, 0);
		assert_int_equal(world.engines[0].refused, 0);
	}
	// Without the check: the engine that checks refuses it, the other one
	// takes it, and has to be ordered once more.
	paused_before_sending(MODEL_PLAN_NAIVE_NO_SEND_CHECK, true, &world);
	assert_int_equal(world.engines[0].refused, 1);
	assert_int_equal(world.engines[0].accepted, 1);
	paused_before_sending(MODEL_PLAN_NAIVE_NO_SEND_CHECK, false, &world);
	assert_int_equal(world.engines[0].stale, 1);
	assert_int_equal(world.engines[0].accepted, 3);
}

/// One holder's order passes the check in the last moment of its lease and
/// is late on the way; another holder has taken over meanwhile.
static void
late_on_the_way(unsigned naive, usec_t delay, struct world *world)
{
	struct model_plan *first = new_plan(naive);
	struct model_plan *second = new_plan(naive);
	struct model_order order = {0};

	set_world(world, 1, false);
	set_bundle(first, world, 1, "2");
	set_bundle(second, world, 1, "2");
	model_plan_granted(first, 0, 1, TERM);
	assert_true(run_until(world, first, 10 * USEC_PER_SEC, &order));
	world->now = order.leave_before - 1;
	assert_true(model_plan_may_leave(first, world->now, &order));
	world->now += TERM;
	model_plan_granted(second, world->now, 2, world->now + TERM);
	run_until(world, second, world->now + delay, NULL);
	arrive(world, &order);
	run_until(world, second, world->now + 20 * USEC_PER_SEC, NULL);
	assert_string_equal(world->engines[0].loaded, "m/2");
	model_plan_free(first);
	model_plan_free(second);
}

static void
a_new_holder_waits_out_the_former(void **state)
{
	struct world world;

	(void)state;
	late_on_the_way(0, PAUSE_BOUND, &world);
	assert_int_equal(world.engines[0].accepted, 1);
	assert_int_equal(world.engines[0].stale, 0);
	late_on_the_way(MODEL_PLAN_NAIVE_NO_WAIT_OUT, PAUSE_BOUND, &world);
	assert_int_equal(world.engines[0].accepted, 2);
	assert_int_equal(world.engines[0].stale, 1);
	// Beyond the bound the engine is ordered twice; it ends well.
	late_on_the_way(0, 2 * (TERM + PAUSE_BOUND), &world);
	assert_int_equal(world.engines[0].stale, 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(orders_each_engine_once_above_the_floor),
	    cmocka_unit_test(at_least_one_engine_of_a_model_loads),
	    cmocka_unit_test(engines_that_cannot_serve_go_first),
	    cmocka_unit_test(orders_are_spaced_by_the_store),
	    cmocka_unit_test(a_newer_bundle_stops_older_orders),
	    cmocka_unit_test(ends_of_orders),
	    cmocka_unit_test(no_order_without_report_service_or_lease),
	    cmocka_unit_test(a_new_holder_does_not_repeat_what_it_was_told),
	    cmocka_unit_test(a_paused_holder_sends_nothing),
	    cmocka_unit_test(a_new_holder_waits_out_the_former),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
