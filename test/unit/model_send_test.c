/*
 * Tests that model orders are sent only while the lease and the bundle allow,
 * over a real connection.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/upstream/model_orders.h"
#include "godwitvale/upstream/model_send.h"
#include "godwitvale/upstream/upstream.h"

#define LEASE_TERM (2 * USEC_PER_SEC)
/// Long enough that no timeout of this length passes during a test.
#define LONG_SPAN (60 * USEC_PER_SEC)

/// An instance with only the parts that an order needs, and an engine.
struct fixture {
	struct settings settings;
	struct instance instance;
	struct model_orders orders;
	struct bundle bundle;
	SoupServer *server;
	unsigned n_received; /// number of orders that the engine received
	char last_probe[64]; /// path and Range header of the last probe
	unsigned status;     /// of the engine's responses
	struct bundle_upstream upstream;
	struct model_order order;
};

static void
on_order(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct fixture *fixture = data;

	(void)server;
	(void)path;
	(void)query;
	fixture->n_received++;
	soup_server_message_set_status(message, fixture->status, NULL);
}

static void
on_weights(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct fixture *fixture = data;
	const char *range = soup_message_headers_get_one(
	    soup_server_message_get_request_headers(message), "Range");

	(void)server;
	(void)query;
	g_snprintf(fixture->last_probe, sizeof(fixture->last_probe), "%s %s",
	    path, range == NULL ? "whole" : range);
	soup_message_headers_replace(
	    soup_server_message_get_response_headers(message), "Retry-After",
	    "7");
	soup_server_message_set_status(message, 429, NULL);
}

/// Acquires the lease. The instance is the only member, so that its own vote
/// grants the lease.
static void
acquire_lease(struct fixture *fixture)
{
	struct instance *instance = &fixture->instance;
	node_id self = hash_name("e1");
	struct view_member member = {.id = self};
	struct view view = {.revision = 1, .members = &member, .n_members = 1};
	struct quorum_claim_options options = {
	    .lease_term = LEASE_TERM, .fenced = true};
	struct quorum_options quorum = {.self = self,
	    .boot_id = 1,
	    .random = instance->random,
	    .claim_timeout = USEC_PER_SEC,
	    .resend_window = LEASE_TERM,
	    .list_lag = USEC_PER_SEC,
	    .list_freshness = 10 * USEC_PER_SEC,
	    .resend_interval = USEC_PER_SEC};
	struct quorum_action action = {0};
	usec_t now = g_get_monotonic_time();

	quorum.started_at = now - LONG_SPAN;
	instance->quorum = quorum_new(&quorum);
	for (usec_t at = quorum.started_at; at <= now; at += USEC_PER_SEC) {
		view.requested_at = at;
		quorum_set_view(instance->quorum, at, &view);
		quorum_tick(instance->quorum, at);
	}
	assert_true(quorum_is_ready(instance->quorum, now));
	fixture->orders.ticket = quorum_start_claim(
	    instance->quorum, now, &fixture->orders.key, &options);
	while (action.type != QUORUM_ACTION_GRANTED)
		assert_true(quorum_next_action(instance->quorum, &action));
	fixture->orders.fence = action.value;
	model_plan_start_lease(
	    fixture->orders.plan, now, action.value, action.deadline);
}

static void
start_engine(struct fixture *fixture)
{
	struct instance *instance = &fixture->instance;
	GSList *uris;

	fixture->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(
	    fixture->server, "/orders", on_order, fixture, NULL);
	soup_server_add_handler(
	    fixture->server, "/weights", on_weights, fixture, NULL);
	assert_true(soup_server_listen_local(
	    fixture->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	uris = soup_server_get_uris(fixture->server);
	fixture->upstream = (struct bundle_upstream){.name = "g1",
	    .ip = "127.0.0.1",
	    .port = (uint16_t)g_uri_get_port(uris->data),
	    .zone = "z",
	    .serves = "m",
	    .engine = true,
	    .memory_tokens = 1000,
	    .max_running = 1,
	    .cold_limit = 1};
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	fixture->bundle = (struct bundle){.version = 1,
	    .signed_by = "operator",
	    .zones = g_ptr_array_new(),
	    .upstreams = g_ptr_array_new()};
	g_ptr_array_add(fixture->bundle.upstreams, &fixture->upstream);
	instance->bundle = &fixture->bundle;
	instance->upstreams = upstream_table_new(instance);
	upstream_table_apply(instance->upstreams, &fixture->bundle);
}

static void
set_plan_bundle(struct fixture *fixture, uint64_t version)
{
	struct upstream *upstream =
	    g_ptr_array_index(upstream_list(fixture->instance.upstreams), 0);
	struct model_plan_engine engine = {.id = upstream->handle,
	    .checks_fence = true,
	    .in_service = true,
	    .model = "m",
	    .version = "2"};

	model_plan_set_bundle(fixture->orders.plan, version, &engine, 1);
}

/// Lets the plan decide an order for the engine.
static void
decide_order(struct fixture *fixture)
{
	struct upstream *upstream =
	    g_ptr_array_index(upstream_list(fixture->instance.upstreams), 0);
	usec_t now = g_get_monotonic_time();
	struct model_plan_report report = {
	    .requested_at = now, .start_epoch = 1, .loaded = "m/1"};
	struct model_plan *plan = fixture->orders.plan;

	set_plan_bundle(fixture, 1);
	model_plan_handle_report(plan, upstream->handle, &report);
	assert_int_equal(model_plan_next_action(plan, now, &fixture->order),
	    MODEL_PLAN_PROBE);
	model_plan_finish_probe(plan, now, MODEL_PROBE_SERVED, 0);
	assert_int_equal(model_plan_next_action(plan, now, &fixture->order),
	    MODEL_PLAN_ORDER);
}

static int
setup(void **state)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct instance *instance = &fixture->instance;
	struct model_plan_options plan = {.lease_term = LEASE_TERM,
	    .send_span = LEASE_TERM,
	    .load_timeout = LONG_SPAN,
	    .probe_valid_span = LONG_SPAN,
	    .report_age_max = LONG_SPAN,
	    .max_loading = 1,
	    .loading_divisor = 1};
	struct router_options router = {.n_instances = 1, .use_slots = true};

	fixture->status = SOUP_STATUS_OK;
	fixture->settings.instance = "e1";
	instance->settings = &fixture->settings;
	instance->random = g_rand_new_with_seed(1);
	instance->audit = audit_new("e1", 16);
	instance->session = soup_session_new();
	router.random = instance->random;
	router.report_interval = USEC_PER_SEC;
	instance->router = router_new(&router);
	instance->bundle_freshness.version = 1;
	instance->bundle_freshness.valid_until = USEC_NEVER;
	fixture->orders.instance = instance;
	fixture->orders.plan = model_plan_new(&plan);
	fixture->orders.key =
	    quorum_key_make(QUORUM_LEASE, "model-orders", "", 0);
	start_engine(fixture);
	acquire_lease(fixture);
	decide_order(fixture);
	*state = fixture;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *fixture = *state;
	struct instance *instance = &fixture->instance;

	soup_session_abort(instance->session);
	while (g_main_context_iteration(NULL, FALSE))
		continue;
	upstream_table_free(instance->upstreams);
	router_free(instance->router);
	quorum_free(instance->quorum);
	model_plan_free(fixture->orders.plan);
	audit_free(instance->audit);
	g_rand_free(instance->random);
	g_object_unref(instance->session);
	g_object_unref(fixture->server);
	g_ptr_array_unref(fixture->bundle.zones);
	g_ptr_array_unref(fixture->bundle.upstreams);
	g_free(fixture);
	return 0;
}

static bool
is_order_open(const struct fixture *fixture)
{
	usec_t until = 0;

	return model_plan_get_open_order(fixture->orders.plan,
		   g_get_monotonic_time(), fixture->order.engine,
		   &until) != NULL;
}

static unsigned
count_audit_entries(const struct fixture *fixture)
{
	GString *text = audit_to_json(fixture->instance.audit);
	char **parts = g_strsplit(text->str, "load-model m/2 fence=", -1);
	unsigned n = g_strv_length(parts) - 1;

	g_strfreev(parts);
	g_string_free(text, TRUE);
	return n;
}

/// Runs the main loop until the engine received the order or the order is no
/// longer open.
static void
run_until_sent(struct fixture *fixture)
{
	while (fixture->n_received == 0 && is_order_open(fixture))
		g_main_context_iteration(NULL, TRUE);
	while (g_main_context_iteration(NULL, FALSE))
		continue;
}

static void
order_is_sent_once_under_lease(void **state)
{
	struct fixture *fixture = *state;

	model_send_order(&fixture->orders, &fixture->order);
	run_until_sent(fixture);
	assert_int_equal(fixture->n_received, 1);
	assert_int_equal(fixture->orders.n_sent, 1);
	assert_int_equal(count_audit_entries(fixture), 1);
	assert_true(is_order_open(fixture));
}

/// The process is paused between the decision of an order and the send, until
/// the lease has expired. The order must not be sent.
static void
order_is_not_sent_after_lease_expiry(void **state)
{
	struct fixture *fixture = *state;

	model_send_order(&fixture->orders, &fixture->order);
	g_usleep((gulong)(LEASE_TERM + USEC_PER_MSEC));
	run_until_sent(fixture);
	assert_int_equal(fixture->n_received, 0);
	assert_int_equal(fixture->orders.n_sent, 0);
	assert_int_equal(count_audit_entries(fixture), 0);
	assert_false(is_order_open(fixture));
}

/// An order must not be sent if, after it was passed to the HTTP session, the
/// instance starts to drain, its bundle is no longer fresh, the lease is
/// released, or the bundle changes.
static void
order_is_not_sent_once_no_longer_allowed(void **state)
{
	struct fixture *fixture = *state;
	struct instance *instance = &fixture->instance;

	for (int reason = 0; reason < 4; reason++) {
		model_send_order(&fixture->orders, &fixture->order);
		if (reason == 0)
			instance->draining = true;
		else if (reason == 1)
			instance->bundle_freshness.valid_until = 0;
		else if (reason == 2)
			quorum_release_claim(instance->quorum,
			    g_get_monotonic_time(), fixture->orders.ticket);
		else
			set_plan_bundle(fixture, 2);
		run_until_sent(fixture);
		assert_int_equal(fixture->n_received, 0);
		assert_int_equal(fixture->orders.n_sent, 0);
		instance->draining = false;
		instance->bundle_freshness.valid_until = USEC_NEVER;
		if (reason == 2) {
			quorum_free(instance->quorum);
			acquire_lease(fixture);
		}
		if (reason < 3)
			decide_order(fixture);
	}
}

static void
old_fence_refusal_is_counted_and_audited(void **state)
{
	struct fixture *fixture = *state;

	fixture->status = SOUP_STATUS_CONFLICT;
	model_send_order(&fixture->orders, &fixture->order);
	while (is_order_open(fixture))
		g_main_context_iteration(NULL, TRUE);
	assert_int_equal(fixture->n_received, 1);
	assert_int_equal(fixture->orders.n_old_fence, 1);
	assert_true(fixture->orders.fence_is_old);
	assert_int_equal(count_audit_entries(fixture), 2);
}

static void
on_unqueued(SoupSession *session, SoupMessage *message, gpointer data)
{
	bool *unqueued = data;

	(void)session;
	(void)message;
	*unqueued = true;
}

/// A probe requests one byte only. A weight store that responds 429 isn't
/// probed again before its Retry-After time.
static void
rate_limited_store_is_not_probed_early(void **state)
{
	struct fixture *fixture = *state;
	struct model_plan *plan = fixture->orders.plan;
	struct model_order order;
	bool unqueued = false;
	usec_t now;

	g_signal_connect(fixture->instance.session, "request-unqueued",
	    G_CALLBACK(on_unqueued), &unqueued);
	model_plan_finish_order(plan, g_get_monotonic_time(), &fixture->order,
	    MODEL_ORDER_NOT_SENT);
	now = g_get_monotonic_time();
	assert_int_equal(
	    model_plan_next_action(plan, now, &order), MODEL_PLAN_PROBE);
	fixture->settings.weights.ip = "127.0.0.1";
	fixture->settings.weights.port = fixture->upstream.port;
	model_send_probe(&fixture->orders, &order);
	while (!unqueued)
		g_main_context_iteration(NULL, TRUE);
	assert_string_equal(fixture->last_probe, "/weights/m/2 bytes=0-0");
	model_plan_extend_lease(plan, now + LONG_SPAN);
	assert_int_equal(
	    model_plan_next_action(plan, now + 7 * USEC_PER_SEC - 1, &order),
	    MODEL_PLAN_NONE);
	assert_int_equal(
	    model_plan_next_action(plan, now + LONG_SPAN / 2, &order),
	    MODEL_PLAN_PROBE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		order_is_sent_once_under_lease, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		order_is_not_sent_after_lease_expiry, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		order_is_not_sent_once_no_longer_allowed, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		old_fence_refusal_is_counted_and_audited, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		rate_limited_store_is_not_probed_early, setup, teardown),
	};

	if (!log_open("model_send_test", LOG_LEVEL_ERROR))
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
