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
#define TIME_STEP (10 * USEC_PER_MSEC)
#define LOAD_SPAN (2 * USEC_PER_SEC)
#define ORDER_INTERVAL (100 * USEC_PER_MSEC)
#define DELIVERY_BOUND (2 * USEC_PER_SEC)
#define LEASE_TERM (3 * USEC_PER_SEC)

/// Simulated engine that accepts orders as real ones do.
struct fake_engine {
	bool checks_fence;
	uint64_t fence;
	uint64_t start_epoch;
	char loaded[16];
	char loading[16];
	usec_t loaded_at;
	unsigned n_accepted;
	unsigned n_stale; /// accepted after one with a higher fence
	unsigned n_refused;
};

/// Simulated engines and the rate limit of the weight store.
struct simulation {
	usec_t now;
	unsigned n_engines;
	struct fake_engine engines[ENGINES_MAX];
	unsigned max_loading_seen;
	unsigned n_probes;
	usec_t next_read_at;  /// reads before this are rate limited
	usec_t read_interval; /// least time between two served reads
	usec_t order_times[ENGINES_MAX * 2];
	unsigned n_orders;
};

static const struct model_plan_options default_options = {
    .lease_term = LEASE_TERM,
    .delivery_bound = DELIVERY_BOUND,
    .send_span = USEC_PER_SEC,
    .order_interval = ORDER_INTERVAL,
    .load_timeout = 60 * USEC_PER_SEC,
    .probe_valid_span = USEC_PER_SEC,
    .report_age_max = USEC_PER_SEC,
    .retry_delay = USEC_PER_SEC,
    .max_loading = 4,
    .loading_divisor = 4};

static void
copy_text(char text[16], const char *value)
{
	g_strlcpy(text, value, 16);
}

static struct model_plan *
new_plan(unsigned naive)
{
	struct model_plan_options options = default_options;

	options.naive = naive;
	return model_plan_new(&options);
}

static void
init_simulation(struct simulation *sim, unsigned n_engines, bool checks_fence)
{
	memset(sim, 0, sizeof(*sim));
	sim->n_engines = n_engines;
	for (unsigned i = 0; i < n_engines; i++) {
		sim->engines[i].checks_fence = checks_fence;
		sim->engines[i].start_epoch = 1;
		copy_text(sim->engines[i].loaded, "m/1");
	}
}

static void
set_bundle(struct model_plan *plan, const struct simulation *sim,
    uint64_t bundle_version, const char *version)
{
	struct model_plan_engine engines[ENGINES_MAX];

	for (unsigned i = 0; i < sim->n_engines; i++)
		engines[i] = (struct model_plan_engine){.id = i + 1,
		    .model = "m",
		    .version = version,
		    .checks_fence = sim->engines[i].checks_fence,
		    .in_service = true};
	model_plan_set_bundle(plan, bundle_version, engines, sim->n_engines);
}

/// Completes loads that are due, and passes the reports of all engines to a
/// plan.
static void
report_all(struct simulation *sim, struct model_plan *plan)
{
	unsigned loading = 0;

	for (unsigned i = 0; i < sim->n_engines; i++) {
		struct fake_engine *engine = &sim->engines[i];
		struct model_plan_report report = {.requested_at = sim->now,
		    .start_epoch = engine->start_epoch,
		    .fence = engine->fence};

		if (engine->loading[0] != '\0' &&
		    sim->now >= engine->loaded_at) {
			copy_text(engine->loaded, engine->loading);
			engine->loading[0] = '\0';
		}
		loading += engine->loading[0] != '\0';
		report.loaded = engine->loaded;
		model_plan_handle_report(plan, i + 1, &report);
	}
	sim->max_loading_seen = MAX(sim->max_loading_seen, loading);
}

/// Delivers an order to its engine.
static enum model_order_outcome
deliver_order(struct simulation *sim, const struct model_order *order)
{
	struct fake_engine *engine = &sim->engines[order->engine - 1];

	if (engine->checks_fence && order->fence < engine->fence) {
		engine->n_refused++;
		return MODEL_ORDER_OLD_FENCE;
	}
	engine->n_stale += order->fence < engine->fence;
	engine->fence = MAX(engine->fence, order->fence);
	engine->n_accepted++;
	g_snprintf(engine->loading, sizeof(engine->loading), "%s/%s",
	    order->model, order->version);
	engine->loaded_at = sim->now + LOAD_SPAN;
	if (sim->n_orders < G_N_ELEMENTS(sim->order_times))
		sim->order_times[sim->n_orders++] = sim->now;
	return MODEL_ORDER_ACCEPTED;
}

static void
probe_store(struct simulation *sim, struct model_plan *plan)
{
	sim->n_probes++;
	if (sim->now < sim->next_read_at) {
		model_plan_finish_probe(plan, sim->now,
		    MODEL_PROBE_RATE_LIMITED, sim->next_read_at);
		return;
	}
	sim->next_read_at = sim->now + sim->read_interval;
	model_plan_finish_probe(plan, sim->now, MODEL_PROBE_SERVED, 0);
}

/// Runs a lease holder until a time. When `held_order` is given, the run stops
/// at the first order, which is stored there and not delivered.
///
/// @return whether an order was stored
static bool
run_until(struct simulation *sim, struct model_plan *plan, usec_t end,
    struct model_order *held_order)
{
	struct model_order order = {0};

	for (; sim->now < end; sim->now += TIME_STEP) {
		report_all(sim, plan);
		model_plan_extend_lease(plan, sim->now + LEASE_TERM);
		switch (model_plan_next_action(plan, sim->now, &order)) {
		case MODEL_PLAN_PROBE:
			probe_store(sim, plan);
			break;
		case MODEL_PLAN_ORDER:
			if (held_order != NULL) {
				*held_order = order;
				return true;
			}
			assert_true(
			    model_plan_can_send(plan, sim->now, &order));
			model_plan_finish_order(
			    plan, sim->now, &order, deliver_order(sim, &order));
			break;
		case MODEL_PLAN_NONE:
			break;
		}
	}
	return false;
}

static void
orders_each_engine_once_and_keeps_serving_floor(void **state)
{
	for (int naive = 0; naive < 2; naive++) {
		struct model_plan *plan =
		    new_plan(naive ? MODEL_PLAN_NAIVE_NO_SERVING_FLOOR : 0);
		struct simulation sim;

		(void)state;
		init_simulation(&sim, 8, true);
		set_bundle(plan, &sim, 1, "2");
		run_until(&sim, plan, USEC_PER_SEC, NULL);
		assert_int_equal(sim.n_orders, 0);
		model_plan_start_lease(plan, sim.now, 1, sim.now + LEASE_TERM);
		run_until(&sim, plan, 30 * USEC_PER_SEC, NULL);
		for (unsigned i = 0; i < 8; i++) {
			assert_int_equal(sim.engines[i].n_accepted, 1);
			assert_string_equal(sim.engines[i].loaded, "m/2");
		}
		assert_true(model_plan_is_complete(plan, sim.now));
		assert_int_equal(sim.max_loading_seen, naive ? 4 : 2);
		model_plan_free(plan);
	}
}

static void
at_least_one_engine_of_a_model_loads(void **state)
{
	struct model_plan *plan = new_plan(0);
	struct simulation sim;

	(void)state;
	init_simulation(&sim, 2, true);
	set_bundle(plan, &sim, 1, "2");
	model_plan_start_lease(plan, 0, 1, LEASE_TERM);
	run_until(&sim, plan, 20 * USEC_PER_SEC, NULL);
	assert_int_equal(sim.max_loading_seen, 1);
	assert_int_equal(sim.engines[0].n_accepted, 1);
	assert_int_equal(sim.engines[1].n_accepted, 1);
	model_plan_free(plan);
}

/// An engine without its model's weights can load at no loss of capacity.
static void
orders_engines_that_cannot_serve_first(void **state)
{
	struct model_plan *plan = new_plan(0);
	struct simulation sim;
	struct model_order order = {0};
	usec_t until = 0;

	(void)state;
	init_simulation(&sim, 4, true);
	copy_text(sim.engines[2].loaded, "mm/1");
	sim.engines[3].loaded[0] = '\0';
	set_bundle(plan, &sim, 1, "2");
	assert_true(model_plan_can_serve(plan, 0, 3));
	report_all(&sim, plan);
	assert_true(model_plan_can_serve(plan, 0, 1));
	assert_false(model_plan_can_serve(plan, 0, 3));
	assert_false(model_plan_can_serve(plan, 0, 4));
	sim.now = TIME_STEP;
	model_plan_start_lease(plan, sim.now, 1, LEASE_TERM);
	assert_true(run_until(&sim, plan, USEC_PER_SEC, &order));
	assert_int_equal(order.engine, 3);
	assert_string_equal(
	    model_plan_get_open_order(plan, sim.now, 3, &until), "m/2");
	model_plan_finish_order(plan, sim.now, &order, MODEL_ORDER_ACCEPTED);
	assert_true(run_until(&sim, plan, 2 * USEC_PER_SEC, &order));
	assert_int_equal(order.engine, 4);
	model_plan_free(plan);
}

static void
store_rate_limit_spaces_orders(void **state)
{
	static const struct {
		usec_t read_interval;
		usec_t min_interval;
	} cases[] = {{0, ORDER_INTERVAL}, {3 * USEC_PER_SEC, 3 * USEC_PER_SEC}};

	(void)state;
	for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
		struct model_plan *plan =
		    new_plan(MODEL_PLAN_NAIVE_NO_SERVING_FLOOR);
		struct simulation sim;

		init_simulation(&sim, 4, true);
		sim.read_interval = cases[c].read_interval;
		set_bundle(plan, &sim, 1, "2");
		model_plan_start_lease(plan, 0, 1, LEASE_TERM);
		run_until(&sim, plan, 30 * USEC_PER_SEC, NULL);
		assert_int_equal(sim.n_orders, 4);
		for (unsigned i = 1; i < sim.n_orders; i++)
			assert_true(
			    sim.order_times[i] - sim.order_times[i - 1] >=
			    cases[c].min_interval);
		// A rate limited read isn't repeated before the retry time.
		assert_true(sim.n_probes <= 2 * sim.n_orders);
		model_plan_free(plan);
	}
}

static void
newer_bundle_stops_older_orders(void **state)
{
	struct model_plan *plan = new_plan(0);
	struct simulation sim;
	struct model_order order = {0};

	(void)state;
	init_simulation(&sim, 1, true);
	set_bundle(plan, &sim, 1, "2");
	model_plan_start_lease(plan, 0, 1, LEASE_TERM);
	assert_true(run_until(&sim, plan, USEC_PER_SEC, &order));
	assert_true(model_plan_can_send(plan, sim.now, &order));
	assert_false(model_plan_can_send(plan, order.send_before, &order));
	set_bundle(plan, &sim, 2, "3");
	assert_false(model_plan_can_send(plan, sim.now, &order));
	model_plan_finish_order(plan, sim.now, &order, MODEL_ORDER_NOT_SENT);
	set_bundle(plan, &sim, 1, "2");
	run_until(&sim, plan, 10 * USEC_PER_SEC, NULL);
	assert_int_equal(sim.engines[0].n_accepted, 1);
	assert_string_equal(sim.engines[0].loaded, "m/3");
	model_plan_free(plan);
}

/// Without an answer, the order may have been accepted, so it stays open. A
/// refusal closes it.
static void
outcome_decides_whether_order_stays_open(void **state)
{
	static const struct {
		enum model_order_outcome outcome;
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
		struct simulation sim;
		struct model_order order = {0};

		init_simulation(&sim, 1, true);
		set_bundle(plan, &sim, 1, "2");
		model_plan_start_lease(plan, 0, 1, LEASE_TERM);
		assert_true(run_until(&sim, plan, USEC_PER_SEC, &order));
		model_plan_finish_order(
		    plan, sim.now, &order, cases[i].outcome);
		sim.now += TIME_STEP;
		sim.engines[0].start_epoch += cases[i].restart;
		assert_int_equal(
		    run_until(&sim, plan, 50 * USEC_PER_SEC, &order),
		    cases[i].again);
		// An order that stays open is given up at load_timeout.
		assert_true(cases[i].again ||
		    run_until(&sim, plan, 70 * USEC_PER_SEC, &order));
		model_plan_free(plan);
	}
}

/// No order goes to engines without a recent report or out of service, or
/// after the lease has expired.
static void
no_order_without_report_service_or_lease(void **state)
{
	struct model_plan *plan = new_plan(0);
	struct simulation sim;
	struct model_order order = {0};
	struct model_plan_engine out_of_service = {
	    .id = 1, .model = "m", .version = "2", .checks_fence = true};

	(void)state;
	init_simulation(&sim, 1, true);
	set_bundle(plan, &sim, 1, "2");
	model_plan_start_lease(plan, 0, 1, 2 * LEASE_TERM);
	assert_int_equal(
	    model_plan_next_action(plan, 0, &order), MODEL_PLAN_NONE);
	report_all(&sim, plan);
	assert_int_equal(model_plan_next_action(
			     plan, default_options.report_age_max + 1, &order),
	    MODEL_PLAN_NONE);
	assert_int_equal(model_plan_next_action(plan, 2 * LEASE_TERM, &order),
	    MODEL_PLAN_NONE);
	assert_int_equal(
	    model_plan_next_action(plan, 1, &order), MODEL_PLAN_PROBE);
	model_plan_finish_probe(plan, 1, MODEL_PROBE_SERVED, 0);
	model_plan_set_bundle(plan, 2, &out_of_service, 1);
	assert_int_equal(
	    model_plan_next_action(plan, 2, &order), MODEL_PLAN_NONE);
	model_plan_end_lease(plan);
	set_bundle(plan, &sim, 3, "2");
	assert_int_equal(
	    model_plan_next_action(plan, 3, &order), MODEL_PLAN_NONE);
	model_plan_free(plan);
}

/// A new holder that knows of the former holder's open order doesn't repeat
/// it.
static void
new_holder_does_not_repeat_open_order(void **state)
{
	struct model_plan *plan = new_plan(0);
	struct simulation sim;

	(void)state;
	init_simulation(&sim, 1, true);
	set_bundle(plan, &sim, 1, "2");
	report_all(&sim, plan);
	model_plan_handle_peer_order(plan, 0, 1, "m/2", 60 * USEC_PER_SEC);
	assert_false(model_plan_can_serve(plan, 0, 1));
	model_plan_handle_peer_order(plan, 0, 1, NULL, 0);
	assert_true(model_plan_can_serve(plan, 0, 1));
	model_plan_handle_peer_order(plan, 0, 1, "m/2", 60 * USEC_PER_SEC);
	copy_text(sim.engines[0].loading, "m/2");
	sim.engines[0].loaded_at = 20 * USEC_PER_SEC;
	sim.engines[0].fence = 4;
	sim.now = TIME_STEP;
	model_plan_start_lease(plan, sim.now, 5, LEASE_TERM);
	run_until(&sim, plan, 30 * USEC_PER_SEC, NULL);
	assert_int_equal(sim.engines[0].n_accepted, 0);
	assert_string_equal(sim.engines[0].loaded, "m/2");
	assert_true(model_plan_can_serve(plan, sim.now, 1));
	assert_int_equal(model_plan_get_highest_fence(plan), 4);
	model_plan_free(plan);
}

/// The first holder is paused right before it sends an order. A second holder
/// takes over and orders a newer version, and then the first one resumes.
static void
run_paused_holder(unsigned naive, bool checks_fence, struct simulation *sim)
{
	struct model_plan *first = new_plan(naive);
	struct model_plan *second = new_plan(naive);
	struct model_order order = {0};

	init_simulation(sim, 1, checks_fence);
	set_bundle(first, sim, 1, "2");
	set_bundle(second, sim, 1, "2");
	model_plan_start_lease(first, 0, 1, LEASE_TERM);
	assert_true(run_until(sim, first, 10 * USEC_PER_SEC, &order));
	sim->now += LEASE_TERM + TIME_STEP;
	set_bundle(second, sim, 2, "3");
	model_plan_start_lease(second, sim->now, 2, sim->now + LEASE_TERM);
	run_until(sim, second, sim->now + 20 * USEC_PER_SEC, NULL);
	assert_string_equal(sim->engines[0].loaded, "m/3");
	if (model_plan_can_send(first, sim->now, &order))
		deliver_order(sim, &order);
	run_until(sim, second, sim->now + 20 * USEC_PER_SEC, NULL);
	assert_string_equal(sim->engines[0].loaded, "m/3");
	model_plan_free(first);
	model_plan_free(second);
}

/// A holder is paused while an engine loads what it has ordered. Another one
/// orders a newer version meanwhile. The first one holds the lease again: its
/// old order doesn't block new ones.
static void
order_from_before_a_pause_blocks_nothing(void **state)
{
	struct simulation sim;
	struct model_plan *first = new_plan(0);
	struct model_plan *second = new_plan(0);
	struct model_order order = {0};

	(void)state;
	init_simulation(&sim, 2, true);
	set_bundle(first, &sim, 1, "2");
	set_bundle(second, &sim, 2, "3");
	model_plan_start_lease(first, 0, 1, LEASE_TERM);
	assert_true(run_until(&sim, first, 10 * USEC_PER_SEC, &order));
	model_plan_finish_order(
	    first, sim.now, &order, deliver_order(&sim, &order));
	sim.now += LEASE_TERM + TIME_STEP;
	model_plan_start_lease(second, sim.now, 2, sim.now + LEASE_TERM);
	run_until(&sim, second, sim.now + 30 * USEC_PER_SEC, NULL);
	assert_string_equal(sim.engines[0].loaded, "m/3");
	assert_string_equal(sim.engines[1].loaded, "m/3");
	set_bundle(first, &sim, 3, "4");
	model_plan_start_lease(first, sim.now, 3, sim.now + LEASE_TERM);
	run_until(&sim, first, sim.now + 30 * USEC_PER_SEC, NULL);
	assert_string_equal(sim.engines[0].loaded, "m/4");
	assert_string_equal(sim.engines[1].loaded, "m/4");
	model_plan_free(first);
	model_plan_free(second);
}

static void
paused_holder_sends_nothing(void **state)
{
	struct simulation sim;

	(void)state;
	for (int checks = 0; checks < 2; checks++) {
		run_paused_holder(0, checks, &sim);
		assert_int_equal(sim.engines[0].n_accepted, 1);
		assert_int_equal(sim.engines[0].n_stale, 0);
		assert_int_equal(sim.engines[0].n_refused, 0);
	}
	// Without the check before sending, an engine that checks the fence
	// refuses the order. Another engine accepts it, and the second holder
	// has to order the newer version again.
	run_paused_holder(MODEL_PLAN_NAIVE_NO_SEND_CHECK, true, &sim);
	assert_int_equal(sim.engines[0].n_refused, 1);
	assert_int_equal(sim.engines[0].n_accepted, 1);
	run_paused_holder(MODEL_PLAN_NAIVE_NO_SEND_CHECK, false, &sim);
	assert_int_equal(sim.engines[0].n_stale, 1);
	assert_int_equal(sim.engines[0].n_accepted, 3);
}

/// An order passes the check right before its send deadline and arrives late,
/// after another holder has taken over.
static void
run_delayed_order(unsigned naive, usec_t delay, struct simulation *sim)
{
	struct model_plan *first = new_plan(naive);
	struct model_plan *second = new_plan(naive);
	struct model_order order = {0};

	init_simulation(sim, 1, false);
	set_bundle(first, sim, 1, "2");
	set_bundle(second, sim, 1, "2");
	model_plan_start_lease(first, 0, 1, LEASE_TERM);
	assert_true(run_until(sim, first, 10 * USEC_PER_SEC, &order));
	sim->now = order.send_before - 1;
	assert_true(model_plan_can_send(first, sim->now, &order));
	sim->now += LEASE_TERM;
	model_plan_start_lease(second, sim->now, 2, sim->now + LEASE_TERM);
	run_until(sim, second, sim->now + delay, NULL);
	deliver_order(sim, &order);
	run_until(sim, second, sim->now + 20 * USEC_PER_SEC, NULL);
	assert_string_equal(sim->engines[0].loaded, "m/2");
	model_plan_free(first);
	model_plan_free(second);
}

static void
new_holder_waits_for_former_orders(void **state)
{
	struct simulation sim;

	(void)state;
	run_delayed_order(0, DELIVERY_BOUND, &sim);
	assert_int_equal(sim.engines[0].n_accepted, 1);
	assert_int_equal(sim.engines[0].n_stale, 0);
	run_delayed_order(
	    MODEL_PLAN_NAIVE_NO_HANDOVER_WAIT, DELIVERY_BOUND, &sim);
	assert_int_equal(sim.engines[0].n_accepted, 2);
	assert_int_equal(sim.engines[0].n_stale, 1);
	// When the delay exceeds the bound, the engine gets two orders, and
	// still ends up with the right weights.
	run_delayed_order(0, 2 * (LEASE_TERM + DELIVERY_BOUND), &sim);
	assert_int_equal(sim.engines[0].n_stale, 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(orders_each_engine_once_and_keeps_serving_floor),
	    cmocka_unit_test(at_least_one_engine_of_a_model_loads),
	    cmocka_unit_test(orders_engines_that_cannot_serve_first),
	    cmocka_unit_test(store_rate_limit_spaces_orders),
	    cmocka_unit_test(newer_bundle_stops_older_orders),
	    cmocka_unit_test(outcome_decides_whether_order_stays_open),
	    cmocka_unit_test(no_order_without_report_service_or_lease),
	    cmocka_unit_test(new_holder_does_not_repeat_open_order),
	    cmocka_unit_test(order_from_before_a_pause_blocks_nothing),
	    cmocka_unit_test(paused_holder_sends_nothing),
	    cmocka_unit_test(new_holder_waits_for_former_orders),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
