/*
 * The daemon: builds one entry instance, runs its loop, and on a signal
 * leaves without cutting a request.
 */
#include <glib-unix.h>
#include <sodium.h>

#include "godwitvale/caller/caller.h"
#include "godwitvale/caller/hangup.h"
#include "godwitvale/caller/listener.h"
#include "godwitvale/core/hash.h"
#include "godwitvale/ops/cmd.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/peer/peer_http.h"
#include "godwitvale/registry/config.h"
#include "godwitvale/registry/members.h"
#include "godwitvale/serve/rollout.h"
#include "godwitvale/serve/drive.h"
#include "godwitvale/serve/operator.h"
#include "godwitvale/serve/request.h"
#include "godwitvale/serve/slots.h"
#include "godwitvale/upstream/call.h"
#include "godwitvale/upstream/generation.h"
#include "godwitvale/upstream/join.h"
#include "godwitvale/upstream/model_orders.h"
#include "godwitvale/upstream/upstream.h"

/// The parts are looked at this often.
#define TICK_INTERVAL (10 * USEC_PER_MSEC)
/// Requests are looked at for silence this often.
#define REQUEST_TICK_INTERVAL (50 * USEC_PER_MSEC)
/// Entries of the audit trail that are kept.
#define AUDIT_KEEP 4096
/// Connections to all upstreams and to each.
#define CONNECTIONS_MAX 16384
#define CONNECTIONS_PER_HOST_MAX 1024
/// Idle connections are closed after this many seconds.
#define IDLE_CONNECTION_SECONDS 30
/// A leaving instance stays this long for its peers, requests or not.
#define LEAVE_LINGER (500 * USEC_PER_MSEC)
/// Retries that an organisation may save up.
#define RETRY_BURST 10
#define RESEND_INTERVAL (100 * USEC_PER_MSEC)
/// The register of the accepted version is read this often.
#define VERSION_READ_INTERVAL (800 * USEC_PER_MSEC)

/// Looks after the requests in progress.
///
/// @param instance  the instance
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
			join_tick(request, now);
		else if (request->kind == REQUEST_GENERATION)
			generation_tick(request, now);
		else
			call_tick(request, now);
	}
	call_forget_answers(instance, now);
}

/// Ends the loop once a leaving instance has nothing left to do.
///
/// @param instance  the instance
/// @param now       current time
static void
tick_leaving(struct instance *instance, usec_t now)
{
	if (!instance->draining || now < instance->leave_after ||
	    request_count(instance) > 0)
		return;
	log_event(LOG_LEVEL_INFO, "left", "in_progress=0");
	g_main_loop_quit(instance->loop);
}

/// Looks after all parts.
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
	drive_instance(instance);
	if (now >= instance->requests_due) {
		instance->requests_due = now + REQUEST_TICK_INTERVAL;
		tick_requests(instance, now);
		drive_instance(instance);
	}
	model_orders_tick(instance->model_orders, now);
	tick_leaving(instance, now);
	return G_SOURCE_CONTINUE;
}

/// Begins to leave: no new work, everything under way is finished.
///
/// @param data  the instance
/// @return G_SOURCE_CONTINUE
static gboolean
on_signal(gpointer data)
{
	struct instance *instance = data;
	usec_t now = g_get_monotonic_time();

	if (instance->draining)
		return G_SOURCE_CONTINUE;
	instance->draining = true;
	instance->leave_after = now + LEAVE_LINGER;
	log_event(LOG_LEVEL_INFO, "leaving", "in_progress=%u",
	    request_count(instance));
	audit_add(instance->audit, AUDIT_INSTANCE, instance->settings->instance,
	    "signal", 0, "leaving");
	listener_stop(instance->caller_listener);
	quorum_leave(instance->quorum, now);
	drive_instance(instance);
	return G_SOURCE_CONTINUE;
}

/// Makes the router; its weights come with the first bundle.
///
/// @param instance  the instance
static void
open_router(struct instance *instance)
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

/// Makes the quorum part, and the authority part that reads it.
///
/// @param instance  the instance
static void
open_quorum(struct instance *instance)
{
	const struct settings *settings = instance->settings;
	struct quorum_options options = {
	    .self = hash_name(settings->instance),
	    .boot_id = instance->boot,
	    .random = instance->random,
	    .started_at = instance->started_at,
	    .claim_timeout = settings->claim_timeout,
	    .resend_window = settings->resend_window,
	    .list_lag = settings->list_lag,
	    .list_freshness = settings->list_freshness,
	    .resend_interval = RESEND_INTERVAL,
	};
	struct authority_options authority = {
	    .freshness = settings->bundle_freshness,
	    .read_interval = VERSION_READ_INTERVAL,
	};

	instance->quorum = quorum_new(&options);
	authority_init(&instance->authority, &authority);
	instance->bundle_key = quorum_key_make(QUORUM_VERSION, "bundle", "", 0);
}

/// Builds the parts that need no address.
///
/// @param instance  the instance
static void
open_parts(struct instance *instance)
{
	instance->random = g_rand_new();
	instance->started_at = g_get_monotonic_time();
	while (instance->boot == 0)
		randombytes_buf(&instance->boot, sizeof(instance->boot));
	instance->loop = g_main_loop_new(NULL, FALSE);
	instance->audit = audit_new(instance->settings->instance, AUDIT_KEEP);
	instance->requests = g_ptr_array_new();
	instance->answers = call_answers_new();
	instance->slots = g_array_new(FALSE, FALSE, sizeof(struct slot));
	instance->session = soup_session_new_with_options("max-conns",
	    CONNECTIONS_MAX, "max-conns-per-host", CONNECTIONS_PER_HOST_MAX,
	    "idle-timeout", IDLE_CONNECTION_SECONDS, NULL);
	open_router(instance);
	open_quorum(instance);
	instance->upstreams = upstream_table_new(instance);
	instance->members = member_list_new(instance);
	instance->config = config_watch_new(instance);
}

/// Opens the addresses.
///
/// @param instance  the instance
/// @return false when one can't be opened
static bool
open_addresses(struct instance *instance)
{
	GError *error = NULL;

	instance->peer = peer_open(instance, &error);
	if (instance->peer != NULL && peer_http_open(instance, &error) &&
	    operator_open(instance, &error) && caller_open(instance, &error))
		return true;
	log_event(
	    LOG_LEVEL_ERROR, "cannot_listen", "error=\"%s\"", error->message);
	g_error_free(error);
	return false;
}

/// Releases an instance's parts.
///
/// @param instance  the instance
static void
close_parts(struct instance *instance)
{
	soup_session_abort(instance->session);
	while (g_main_context_iteration(NULL, FALSE))
		continue;
	listener_free(instance->caller_listener);
	listener_free(instance->operator_listener);
	listener_free(instance->peer_listener);
	peer_close(instance->peer);
	config_watch_free(instance->config);
	member_list_free(instance->members);
	model_orders_free(instance->model_orders);
	upstream_table_free(instance->upstreams);
	quorum_free(instance->quorum);
	router_free(instance->router);
	g_object_unref(instance->session);
	g_array_unref(instance->slots);
	g_hash_table_unref(instance->answers);
	g_ptr_array_unref(instance->requests);
	audit_free(instance->audit);
	g_clear_pointer(&instance->bundle_text, g_bytes_unref);
	if (instance->bundle != NULL)
		bundle_free(instance->bundle);
	g_main_loop_unref(instance->loop);
	g_rand_free(instance->random);
}

/// Runs an entry instance until it has left.
///
/// @param settings  checked settings
/// @return an exit status of enum cmd_status
int
serve_run(const struct settings *settings)
{
	struct instance instance = {.settings = settings};
	int status = CMD_UNAVAILABLE;

	if (sodium_init() < 0 ||
	    !log_open(settings->instance, (enum log_level)settings->log_level))
		return CMD_INTERNAL;
	open_parts(&instance);
	if (open_addresses(&instance)) {
		instance.model_orders = model_orders_new(&instance);
		guint tick = g_timeout_add(
		    TICK_INTERVAL / USEC_PER_MSEC, on_tick, &instance);
		guint term = g_unix_signal_add(SIGTERM, on_signal, &instance);
		guint stop = g_unix_signal_add(SIGINT, on_signal, &instance);

		log_event(LOG_LEVEL_INFO, "serving", "caller=%s:%u",
		    settings->caller.ip, settings->caller.port);
		g_main_loop_run(instance.loop);
		g_source_remove(tick);
		g_source_remove(term);
		g_source_remove(stop);
		status = CMD_OK;
	}
	close_parts(&instance);
	log_close();
	return status;
}
