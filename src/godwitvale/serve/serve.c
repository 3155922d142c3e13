/*
 * Runs the daemon: creates one entry instance and runs its main loop. On
 * SIGTERM or SIGINT the instance refuses new work and exits after the requests
 * in progress have ended.
 */
#include <glib-unix.h>
#include <sodium.h>

#include "godwitvale/caller/caller.h"
#include "godwitvale/caller/hangup.h"
#include "godwitvale/caller/listener.h"
#include "godwitvale/core/hash.h"
#include "godwitvale/http/pool.h"
#include "godwitvale/ops/cmd.h"
#include "godwitvale/ops/descriptors.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/peer/peer_http.h"
#include "godwitvale/registry/config_watch.h"
#include "godwitvale/registry/member_list.h"
#include "godwitvale/serve/actions.h"
#include "godwitvale/serve/operator.h"
#include "godwitvale/serve/request.h"
#include "godwitvale/serve/rollout.h"
#include "godwitvale/serve/slots.h"
#include "godwitvale/upstream/call.h"
#include "godwitvale/upstream/generation.h"
#include "godwitvale/upstream/join.h"
#include "godwitvale/upstream/model_orders.h"
#include "godwitvale/upstream/upstream.h"

/// Interval between the periodic checks of the modules.
#define TICK_INTERVAL (10 * USEC_PER_MSEC)
/// Interval between the periodic checks of the requests in progress.
#define REQUEST_TICK_INTERVAL (50 * USEC_PER_MSEC)
/// Maximum number of entries in the audit trail.
#define AUDIT_ENTRIES_MAX 4096
/// Maximum number of HTTP connections in total, and to one host.
#define CONNECTIONS_MAX 16384
#define CONNECTIONS_PER_HOST_MAX 1024
/// Idle HTTP connections are closed after this time, in seconds.
#define IDLE_CONNECTION_SECONDS 30
/// Minimum time between the signal and the exit, so that peers get the messages
/// of a leaving instance even if no request is in progress.
#define SHUTDOWN_LINGER (500 * USEC_PER_MSEC)
/// Number of retries that an organisation may accumulate for a burst.
#define RETRY_BURST 10
/// Interval between resends of the quorum module's messages.
#define RESEND_INTERVAL (100 * USEC_PER_MSEC)
/// Interval between reads of the version register of accepted bundles.
#define VERSION_READ_INTERVAL (800 * USEC_PER_MSEC)

/// Runs the periodic checks of the requests in progress: disconnected callers
/// and timeouts. Also frees expired answers kept for repeats.
///
/// @param instance  owner of the requests
/// @param now       current time
static void
tick_requests(struct instance *instance, usec_t now)
{
	for (guint i = 0; i < instance->requests->len; i++) {
		struct request *request =
		    g_ptr_array_index(instance->requests, i);

		if (request == NULL)
			continue;
		hangup_tick(request, now);
		if (request->join_holder != 0)
			join_poll_holder(request, now);
		else if (request->kind == REQUEST_GENERATION)
			generation_check_timeout(request, now);
		else
			call_check_timeout(request, now);
	}
	call_expire_responses(instance, now);
	pool_expire_idle(instance->pool, now);
}

/// Ends the main loop if this instance is shutting down, no request is in
/// progress and SHUTDOWN_LINGER has passed since the signal.
///
/// @param instance  owner of the main loop
/// @param now       current time
static void
finish_shutdown_when_idle(struct instance *instance, usec_t now)
{
	if (!instance->draining || now < instance->earliest_exit_at ||
	    request_count(instance) > 0)
		return;
	log_event(LOG_LEVEL_INFO, "left", "in_progress=0");
	g_main_loop_quit(instance->loop);
}

/// Runs the periodic checks of all modules.
///
/// @param data  the instance
/// @return G_SOURCE_CONTINUE
static gboolean
on_tick(gpointer data)
{
	struct instance *instance = data;
	usec_t now = g_get_monotonic_time();

	member_list_tick(instance->members, now);
	config_watch_tick(instance->config, now);
	peer_tick(instance->peer, now);
	rollout_tick(instance, now);
	upstream_poll_reports(instance->upstreams, now);
	quorum_tick(instance->quorum, now);
	router_tick(instance->router, now);
	actions_execute_pending(instance);
	if (now >= instance->next_request_tick_at) {
		instance->next_request_tick_at = now + REQUEST_TICK_INTERVAL;
		tick_requests(instance, now);
		actions_execute_pending(instance);
	}
	model_orders_tick(instance->model_orders, now);
	finish_shutdown_when_idle(instance, now);
	return G_SOURCE_CONTINUE;
}

/// Starts the shutdown: refuses new work and lets requests in progress finish.
/// Later signals have no effect.
///
/// @param data  the instance
/// @return G_SOURCE_CONTINUE
static gboolean
on_shutdown_signal(gpointer data)
{
	struct instance *instance = data;
	usec_t now = g_get_monotonic_time();

	if (instance->draining)
		return G_SOURCE_CONTINUE;
	instance->draining = true;
	instance->earliest_exit_at = now + SHUTDOWN_LINGER;
	log_event(LOG_LEVEL_INFO, "leaving", "in_progress=%u",
	    request_count(instance));
	audit_add(instance->audit, AUDIT_INSTANCE, instance->settings->instance,
	    "signal", 0, "leaving");
	listener_stop(instance->caller_listener);
	quorum_leave(instance->quorum, now);
	actions_execute_pending(instance);
	return G_SOURCE_CONTINUE;
}

/// Creates the router. The first bundle sets its policy settings.
///
/// @param instance  owner of the router
static void
create_router(struct instance *instance)
{
	struct router_options options = {
	    .policy = ROUTER_POLICY_MEMORY,
	    .random = instance->random,
	    .n_instances = 1,
	    .instance_id = hash_name(instance->settings->instance),
	    .report_interval = instance->settings->report_interval,
	    .retry_burst = RETRY_BURST,
	    .use_slots = true,
	};

	instance->router = router_new(&options);
}

/// Creates the quorum module, and initialises the bundle_freshness module,
/// which uses the version register of the quorum module.
///
/// @param instance  owner of both modules
static void
create_quorum(struct instance *instance)
{
	const struct settings *settings = instance->settings;
	struct quorum_options options = {
	    .self = hash_name(settings->instance),
	    .boot_id = instance->boot_id,
	    .random = instance->random,
	    .started_at = instance->started_at,
	    .claim_timeout = settings->claim_timeout,
	    .resend_window = settings->resend_window,
	    .list_lag = settings->list_lag,
	    .list_freshness = settings->list_freshness,
	    .resend_interval = RESEND_INTERVAL,
	};
	struct bundle_freshness_options freshness_options = {
	    .read_validity = settings->bundle_freshness,
	    .read_interval = VERSION_READ_INTERVAL,
	};

	instance->quorum = quorum_new(&options);
	bundle_freshness_init(&instance->bundle_freshness, &freshness_options);
	instance->bundle_key = quorum_key_make(QUORUM_VERSION, "bundle", "", 0);
}

/// Creates the modules that do not listen on an address.
///
/// @param instance  instance with its settings; all other fields are 0
static void
create_modules(struct instance *instance)
{
	instance->random = g_rand_new();
	instance->started_at = g_get_monotonic_time();
	while (instance->boot_id == 0)
		randombytes_buf(&instance->boot_id, sizeof(instance->boot_id));
	instance->loop = g_main_loop_new(NULL, FALSE);
	instance->audit =
	    audit_new(instance->settings->instance, AUDIT_ENTRIES_MAX);
	instance->requests = g_ptr_array_new();
	instance->kept_answers = call_response_cache_new();
	instance->slots = g_array_new(FALSE, FALSE, sizeof(struct slot));
	instance->session = soup_session_new_with_options("max-conns",
	    CONNECTIONS_MAX, "max-conns-per-host", CONNECTIONS_PER_HOST_MAX,
	    "idle-timeout", IDLE_CONNECTION_SECONDS, NULL);
	instance->pool = pool_new();
	create_router(instance);
	create_quorum(instance);
	instance->upstreams = upstream_table_new(instance);
	instance->members = member_list_new(instance);
	instance->config = config_watch_new(instance);
}

/// Creates the account of what clients use. Their connections leave descriptors
/// for those to upstreams and to the platform.
static void
create_client_limits(struct instance *instance)
{
	const struct settings *settings = instance->settings;

	instance->client_connections =
	    client_limits_derive_connections(descriptors_max(), G_MAXUINT);
	instance->client_limits = client_limits_new();
	client_limits_set_bound(instance->client_limits,
	    client_limits_derive_bound(
		settings->memory_mb, 0, settings->max_request_bytes));
}

/// Opens the listeners for peers, operators and callers, and logs an error on
/// failure.
///
/// @param instance  owner of the listeners
/// @return false if listening on one of the addresses fails
static bool
open_listeners(struct instance *instance)
{
	GError *error = NULL;

	create_client_limits(instance);
	instance->peer = peer_open(instance, &error);
	if (instance->peer != NULL && peer_http_open(instance, &error) &&
	    operator_open(instance, &error) && caller_open(instance, &error))
		return true;
	log_event(
	    LOG_LEVEL_ERROR, "cannot_listen", "error=\"%s\"", error->message);
	g_error_free(error);
	return false;
}

/// Cancels the HTTP exchanges with upstreams, then closes the listeners and
/// frees all modules.
///
/// @param instance  instance whose main loop has ended or was not started
static void
free_modules(struct instance *instance)
{
	soup_session_abort(instance->session);
	call_cancel_all(instance);
	while (g_main_context_iteration(NULL, FALSE))
		continue;
	listener_free(instance->caller_listener);
	listener_free(instance->operator_listener);
	listener_free(instance->peer_listener);
	client_limits_free(instance->client_limits);
	peer_close(instance->peer);
	config_watch_free(instance->config);
	member_list_free(instance->members);
	model_orders_free(instance->model_orders);
	upstream_table_free(instance->upstreams);
	quorum_free(instance->quorum);
	router_free(instance->router);
	g_object_unref(instance->session);
	pool_free(instance->pool);
	g_array_unref(instance->slots);
	g_hash_table_unref(instance->kept_answers);
	g_ptr_array_unref(instance->requests);
	audit_free(instance->audit);
	g_clear_pointer(&instance->bundle_text, g_bytes_unref);
	if (instance->bundle != NULL)
		bundle_free(instance->bundle);
	g_main_loop_unref(instance->loop);
	g_rand_free(instance->random);
}

/// Runs an entry instance until it has shut down.
///
/// @param settings  valid settings; must outlive the call
/// @return exit status from enum cmd_status
int
serve_run(const struct settings *settings)
{
	struct instance instance = {.settings = settings};
	int status = CMD_UNAVAILABLE;

	if (sodium_init() < 0 ||
	    !log_open(settings->instance, (enum log_level)settings->log_level))
		return CMD_INTERNAL;
	create_modules(&instance);
	if (open_listeners(&instance)) {
		instance.model_orders = model_orders_new(&instance);
		guint tick_source = g_timeout_add(
		    TICK_INTERVAL / USEC_PER_MSEC, on_tick, &instance);
		guint sigterm_source =
		    g_unix_signal_add(SIGTERM, on_shutdown_signal, &instance);
		guint sigint_source =
		    g_unix_signal_add(SIGINT, on_shutdown_signal, &instance);

		log_event(LOG_LEVEL_INFO, "serving", "caller=%s:%u",
		    settings->caller.ip, settings->caller.port);
		g_main_loop_run(instance.loop);
		g_source_remove(tick_source);
		g_source_remove(sigterm_source);
		g_source_remove(sigint_source);
		status = CMD_OK;
	}
	free_modules(&instance);
	log_close();
	return status;
}
