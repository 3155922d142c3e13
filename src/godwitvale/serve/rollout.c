/*
 * Rolls out bundles: verifies bundles from the configuration service and from
 * peers, and applies each newer bundle to the other modules.
 */
#include "godwitvale/serve/rollout.h"

#include <string.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/registry/http_get.h"
#include "godwitvale/registry/member_list.h"
#include "godwitvale/upstream/upstream.h"

/// Timeout of a bundle fetch from a peer.
#define BUNDLE_FETCH_TIMEOUT (2 * USEC_PER_SEC)

/// Records in the audit trail which zones entered or left service. A zone that
/// the previous bundle does not list is recorded only if it is out of service.
///
/// @param instance  owner of the audit trail
/// @param previous  previous bundle, or NULL
/// @param bundle    bundle now in force
static void
audit_zone_changes(struct instance *instance, const struct bundle *previous,
    const struct bundle *bundle)
{
	for (guint i = 0; i < bundle->zones->len; i++) {
		const struct bundle_zone *zone =
		    g_ptr_array_index(bundle->zones, i);
		const struct bundle_zone *before = previous == NULL
		    ? NULL
		    : bundle_find_zone(previous, zone->name);

		if (before != NULL ? before->state == zone->state
				   : zone->state == BUNDLE_IN_SERVICE)
			continue;
		audit_add(instance->audit, AUDIT_ZONE, zone->name,
		    bundle->signed_by, bundle->version, "%s",
		    zone->state == BUNDLE_IN_SERVICE ? "in service"
						     : "out of service");
	}
}

/// Checks whether a bundle takes this instance or its zone out of service.
///
/// @param instance  instance whose name and zone are looked up
/// @param bundle    bundle to search
/// @return true if the instance or its zone is out of service
static bool
is_out_of_service(const struct instance *instance, const struct bundle *bundle)
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

/// Passes the routing policy of a bundle to the router.
///
/// @param instance  owner of the router
/// @param policy    routing policy of the bundle in force
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

/// Puts a bundle in force: applies it to the other modules, records the changes
/// in the audit trail and raises the version register.
///
/// @param instance  instance whose bundle is replaced
/// @param bundle    verified bundle, newer than the current one; the instance
///                  becomes its owner
/// @param text      signed text of the bundle; copied
/// @param len       length of the text in bytes
static void
activate_bundle(struct instance *instance, struct bundle *bundle,
    const char *text, size_t len)
{
	struct bundle *previous = instance->bundle;
	bool out_of_service = is_out_of_service(instance, bundle);

	instance->bundle = bundle;
	g_clear_pointer(&instance->bundle_text, g_bytes_unref);
	instance->bundle_text = g_bytes_new(text, len);
	apply_policy(instance, &bundle->policy);
	upstream_table_apply(instance->upstreams, bundle);
	audit_add(instance->audit, AUDIT_BUNDLE, "bundle", bundle->signed_by,
	    bundle->version, "in force");
	audit_zone_changes(instance, previous, bundle);
	if (out_of_service != instance->out_of_service)
		audit_add(instance->audit, AUDIT_INSTANCE,
		    instance->settings->instance, bundle->signed_by,
		    bundle->version, "%s",
		    out_of_service ? "out of service" : "in service");
	instance->out_of_service = out_of_service;
	metrics_set(METRIC_BUNDLE_VERSION, bundle->version);
	quorum_raise_version(instance->quorum, g_get_monotonic_time(),
	    &instance->bundle_key, bundle->version);
	if (previous != NULL)
		bundle_free(previous);
}

/// Handles the answer to a bundle fetch from a peer.
///
/// @param status  HTTP status, or 0 on failure
/// @param body    signed text of the bundle, or NULL on failure
/// @param data    the instance
static void
on_bundle_fetched(unsigned status, GBytes *body, gpointer data)
{
	struct instance *instance = data;
	gsize len = 0;
	const char *text;

	instance->bundle_fetch_pending = false;
	if (status != SOUP_STATUS_OK)
		return;
	text = g_bytes_get_data(body, &len);
	rollout_handle_bundle(instance, text, len, "peer");
}

/// Fetches the bundle from a random member of the membership list. Does nothing
/// if the list is empty or the random member is this instance.
///
/// @param instance  owner of the membership list
static void
fetch_from_random_peer(struct instance *instance)
{
	GPtrArray *members = member_list_get_members(instance->members);
	const struct member *member;

	if (members->len == 0)
		return;
	member = g_ptr_array_index(members,
	    g_rand_int_range(instance->random, 0, (gint32)members->len));
	rollout_fetch_from_peer(instance, member->id);
}

/// Checks that voters keep the records of calls for as long as callers may
/// repeat the calls.
///
/// @param instance  its setting timing.resend_window_ms is the upper limit
/// @param bundle    bundle whose services are checked
/// @param error     set if the resend window of a service is too long
/// @return false if the resend window of a service is too long
static bool
check_resend_windows(const struct instance *instance,
    const struct bundle *bundle, GError **error)
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

/// Handles a signed bundle from any source: verifies the bundle, and puts it in
/// force if it is valid and newer than the current one.
///
/// @param instance  instance that received the bundle
/// @param text      signed text of the bundle
/// @param len       length of the text in bytes
/// @param source    name of the source for the log
/// @return true if the bundle was put in force
bool
rollout_handle_bundle(
    struct instance *instance, const char *text, size_t len, const char *source)
{
	GError *error = NULL;
	struct bundle *bundle =
	    bundle_verify(text, len, instance->settings->bundle_key, &error);

	if (bundle != NULL && !check_resend_windows(instance, bundle, &error))
		g_clear_pointer(&bundle, bundle_free);
	if (bundle == NULL) {
		metrics_add(METRIC_BUNDLE_REJECTED, 1);
		log_event(LOG_LEVEL_WARN, "bundle_rejected",
		    "from=%s error=\"%s\"", source, error->message);
		g_error_free(error);
		return false;
	}
	if (!bundle_freshness_advance_version(
		&instance->bundle_freshness, bundle->version)) {
		if (bundle->version < instance->bundle->version)
			log_event(LOG_LEVEL_INFO, "bundle_older",
			    "from=%s version=%" G_GUINT64_FORMAT, source,
			    bundle->version);
		bundle_free(bundle);
		return false;
	}
	activate_bundle(instance, bundle, text, len);
	return true;
}

/// Starts to fetch the bundle of a peer. Does nothing if a fetch is running,
/// the peer is not on the membership list, or the peer is this instance.
///
/// @param instance  instance that fetches the bundle
/// @param peer      member to fetch from
void
rollout_fetch_from_peer(struct instance *instance, node_id peer)
{
	const struct member *member = member_list_find(instance->members, peer);
	struct settings_address address;

	if (member == NULL || instance->bundle_fetch_pending ||
	    peer == peer_get_own_id(instance->peer))
		return;
	instance->bundle_fetch_pending = true;
	address.ip = member->ip;
	address.port = member->peer_port;
	http_get_start(instance, &address, "/peer/bundle", BUNDLE_FETCH_TIMEOUT,
	    on_bundle_fetched, instance);
}

/// Passes the versions of peers' bundles to the bundle_freshness module, and
/// reads the version register when the bundle_freshness module requests a read.
///
/// @param instance  owner of the bundle_freshness module
/// @param now       current time
void
rollout_tick(struct instance *instance, usec_t now)
{
	usec_t since = now - instance->settings->bundle_freshness;
	uint64_t highest_version = 0;
	unsigned n_listed = member_list_get_members(instance->members)->len;
	unsigned n_answered =
	    peer_count_verified(instance->peer, since, &highest_version);

	n_answered += member_list_find(instance->members,
			  peer_get_own_id(instance->peer)) != NULL;
	bundle_freshness_handle_peer_versions(&instance->bundle_freshness, now,
	    n_listed, n_answered, highest_version);
	if (bundle_freshness_tick(&instance->bundle_freshness, now) ==
	    BUNDLE_FRESHNESS_READ_REGISTER)
		quorum_read_version(
		    instance->quorum, now, &instance->bundle_key);
}

/// Handles a successful read of the version register; fetches a newer bundle
/// from a random peer if one has been accepted.
///
/// @param instance  instance that read the register
/// @param version   highest accepted version of the bundle
void
rollout_handle_version_read(struct instance *instance, uint64_t version)
{
	if (bundle_freshness_handle_read(&instance->bundle_freshness,
		version) == BUNDLE_FRESHNESS_FETCH_BUNDLE)
		fetch_from_random_peer(instance);
}
