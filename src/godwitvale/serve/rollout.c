/*
 * The bundle in force: takes bundles from the configuration service and from
 * peers, and tells all parts when one comes in force.
 */
#include "godwitvale/serve/rollout.h"

#include <string.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/registry/ask.h"
#include "godwitvale/registry/members.h"
#include "godwitvale/upstream/upstream.h"

/// A fetch of a bundle from a peer is given up after this.
#define FETCH_TIMEOUT (2 * USEC_PER_SEC)

/// Notes in the audit trail which zones and instances changed state.
///
/// @param instance  the instance
/// @param old       the bundle before, or NULL
/// @param bundle    the bundle now in force
static void
audit_states(struct instance *instance, const struct bundle *old,
    const struct bundle *bundle)
{
	for (guint i = 0; i < bundle->zones->len; i++) {
		const struct bundle_zone *zone =
		    g_ptr_array_index(bundle->zones, i);
		const struct bundle_zone *before =
		    old == NULL ? NULL : bundle_find_zone(old, zone->name);

		if (before != NULL ? before->state == zone->state
				   : zone->state == BUNDLE_IN_SERVICE)
			continue;
		audit_add(instance->audit, AUDIT_ZONE, zone->name,
		    bundle->signed_by, bundle->version, "%s",
		    zone->state == BUNDLE_IN_SERVICE ? "in service"
						     : "out of service");
	}
}

/// Works out whether operators have taken this instance out.
///
/// @param instance  the instance
/// @param bundle    the bundle
/// @return true when it, or its zone, is out
static bool
is_taken_out(const struct instance *instance, const struct bundle *bundle)
{
	const struct bundle_zone *zone =
	    bundle_find_zone(bundle, instance->settings->zone);

	if (zone != NULL && zone->state == BUNDLE_OUT_OF_SERVICE)
		return true;
	for (guint i = 0; i < bundle->instances->len; i++) {
		const struct bundle_instance *entry =
		    g_ptr_array_index(bundle->instances, i);

		if (strcmp(entry->name, instance->settings->instance) == 0)
			return entry->state == BUNDLE_OUT_OF_SERVICE;
	}
	return false;
}

/// Hands the bundle's policy to the router.
///
/// @param instance  the instance
/// @param policy    the policy
static void
apply_policy(struct instance *instance, const struct bundle_policy *policy)
{
	struct router_weights weights = {
	    .queue_limit = policy->queue_limit,
	    .ageing_span = policy->ageing_span,
	    .memory_reserve = policy->memory_reserve,
	    .stall_weight = policy->stall_weight,
	    .zone_weight = policy->zone_weight,
	    .prefix_weight = policy->prefix_weight,
	    .retry_ratio = policy->retry_ratio,
	    .subset = policy->subset,
	};

	router_set_weights(instance->router, &weights);
}

/// Puts a bundle in force.
///
/// @param instance  the instance
/// @param bundle    a bundle newer than the present one; taken over
/// @param text      its signed form
/// @param len       number of bytes
static void
install(struct instance *instance, struct bundle *bundle, const char *text,
    size_t len)
{
	struct bundle *old = instance->bundle;
	bool taken_out = is_taken_out(instance, bundle);

	instance->bundle = bundle;
	g_clear_pointer(&instance->bundle_text, g_bytes_unref);
	instance->bundle_text = g_bytes_new(text, len);
	apply_policy(instance, &bundle->policy);
	upstream_table_apply(instance->upstreams, bundle);
	audit_add(instance->audit, AUDIT_BUNDLE, "bundle", bundle->signed_by,
	    bundle->version, "in force");
	audit_states(instance, old, bundle);
	if (taken_out != instance->taken_out)
		audit_add(instance->audit, AUDIT_INSTANCE,
		    instance->settings->instance, bundle->signed_by,
		    bundle->version, "%s",
		    taken_out ? "out of service" : "in service");
	instance->taken_out = taken_out;
	metrics_set(METRIC_BUNDLE_VERSION, bundle->version);
	quorum_raise_version(instance->quorum, g_get_monotonic_time(),
	    &instance->bundle_key, bundle->version);
	if (old != NULL)
		bundle_free(old);
}

/// Takes the answer to a fetch from a peer.
///
/// @param status  HTTP status, 0 on failure
/// @param body    the signed bundle, or NULL
/// @param data    the instance
static void
on_fetched(unsigned status, GBytes *body, gpointer data)
{
	struct instance *instance = data;
	gsize len = 0;
	const char *text;

	instance->fetch_pending = false;
	if (status != SOUP_STATUS_OK)
		return;
	text = g_bytes_get_data(body, &len);
	rollout_offer(instance, text, len, "peer");
}

/// Fetches the bundle from any listed peer.
///
/// @param instance  the instance
static void
fetch_from_any(struct instance *instance)
{
	GPtrArray *members = member_list_all(instance->members);
	const struct member *member;

	if (members->len == 0)
		return;
	member = g_ptr_array_index(members,
	    g_rand_int_range(instance->random, 0, (gint32)members->len));
	rollout_fetch_from(instance, member->id);
}

/// Checks that the voters remember calls for as long as callers repeat them.
///
/// @param instance  the instance
/// @param bundle    the bundle
/// @param error     set where a service's window is longer
/// @return false where one is
static bool
check_windows(const struct instance *instance, const struct bundle *bundle,
    GError **error)
{
	for (guint i = 0; i < bundle->services->len; i++) {
		const struct bundle_service *service =
		    g_ptr_array_index(bundle->services, i);

		if (service->idempotent ||
		    service->resend_window <= instance->settings->resend_window)
			continue;
		g_set_error(error, BUNDLE_ERROR, BUNDLE_ERROR_INCONSISTENT,
		    "service %s: resend_window_ms exceeds the setting "
		    "timing.resend_window_ms",
		    service->name);
		return false;
	}
	return true;
}

/// Offers a signed bundle from any source; it is taken when it is genuine,
/// whole and newer.
///
/// @param instance  the instance
/// @param text      the signed bundle
/// @param len       number of bytes
/// @param from      the source, for the log
/// @return true when it came in force
bool
rollout_offer(
    struct instance *instance, const char *text, size_t len, const char *from)
{
	GError *error = NULL;
	struct bundle *bundle =
	    bundle_verify(text, len, instance->settings->bundle_key, &error);

	if (bundle != NULL && !check_windows(instance, bundle, &error))
		g_clear_pointer(&bundle, bundle_free);
	if (bundle == NULL) {
		metrics_add(METRIC_BUNDLE_REJECTED, 1);
		log_event(LOG_LEVEL_WARN, "bundle_rejected",
		    "from=%s error=\"%s\"", from, error->message);
		g_error_free(error);
		return false;
	}
	if (!authority_accept_bundle(&instance->authority, bundle->version)) {
		if (bundle->version < instance->bundle->version)
			log_event(LOG_LEVEL_INFO, "bundle_older",
			    "from=%s version=%" G_GUINT64_FORMAT, from,
			    bundle->version);
		bundle_free(bundle);
		return false;
	}
	install(instance, bundle, text, len);
	return true;
}

/// Fetches the bundle of a peer.
///
/// @param instance  the instance
/// @param peer      the peer
void
rollout_fetch_from(struct instance *instance, node_id peer)
{
	const struct member *member = member_list_find(instance->members, peer);
	struct settings_address address;

	if (member == NULL || instance->fetch_pending ||
	    peer == peer_self(instance->peer))
		return;
	instance->fetch_pending = true;
	address.ip = member->ip;
	address.port = member->peer_port;
	ask_get(instance, &address, "/peer/bundle", FETCH_TIMEOUT, on_fetched,
	    instance);
}

/// Reads the register when that is due, and hears the peers.
///
/// @param instance  the instance
/// @param now       current time
void
rollout_tick(struct instance *instance, usec_t now)
{
	usec_t since = now - instance->settings->bundle_freshness;
	uint64_t highest = 0;
	unsigned listed = member_list_all(instance->members)->len;
	unsigned answered =
	    peer_answered_since(instance->peer, since, &highest);

	answered += member_list_find(
			instance->members, peer_self(instance->peer)) != NULL;
	authority_handle_peer_versions(
	    &instance->authority, now, listed, answered, highest);
	if (authority_tick(&instance->authority, now) ==
	    AUTHORITY_READ_REGISTER)
		quorum_read_version(
		    instance->quorum, now, &instance->bundle_key);
}

/// Takes the register's value.
///
/// @param instance  the instance
/// @param version   the highest accepted version
void
rollout_take_version(struct instance *instance, uint64_t version)
{
	if (authority_handle_read(&instance->authority, version) ==
	    AUTHORITY_FETCH_BUNDLE)
		fetch_from_any(instance);
}
