/* Keeps account of the engine memory that organisations hold. */
#include "godwitvale/entry/share_monitor.h"

#include "godwitvale/core/hash.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/ops/log.h"

/// Maximum number of changes that are logged in one tick.
#define SHARE_MONITOR_CHANGES_MAX 8
/// Clients without an organisation count as one.
#define SHARE_MONITOR_NO_ORGANISATION "-"

/// @param request  request whose organisation is known
/// @return hash of the organisation's name
uint64_t
share_monitor_organisation_key(const struct entry_request *request)
{
	return hash_name(request->organisation == NULL
		? SHARE_MONITOR_NO_ORGANISATION
		: request->organisation->name);
}

/// Checks whether a request counts in its organisation's share.
static bool
is_counted(const struct entry_request *request)
{
	return request->entry->shares != NULL && request->route->is_generation;
}

/// Adds to the tokens that a request's organisation holds. Called wherever the
/// request's load at an upstream changes.
///
/// @param request  request whose service is known
/// @param tokens   negative when load is removed
void
share_monitor_charge(const struct entry_request *request, int32_t tokens)
{
	if (tokens != 0 && is_counted(request))
		organisation_shares_charge(request->entry->shares,
		    hash_name(request->service),
		    share_monitor_organisation_key(request), tokens);
}

/// Notes that a request has begun to wait for capacity.
///
/// @param request  request whose service is known
void
share_monitor_begin_wait(const struct entry_request *request)
{
	if (is_counted(request))
		organisation_shares_begin_wait(request->entry->shares,
		    hash_name(request->service),
		    share_monitor_organisation_key(request));
}

/// Notes that a request doesn't wait any more.
///
/// @param request  request that has waited
void
share_monitor_end_wait(const struct entry_request *request)
{
	if (is_counted(request))
		organisation_shares_end_wait(request->entry->shares,
		    g_get_monotonic_time(), hash_name(request->service),
		    share_monitor_organisation_key(request));
}

/// @param request  request whose service is known
/// @return share of an engine that its organisation must leave free for others;
///         0: it isn't limited
double
share_monitor_headroom(const struct entry_request *request)
{
	if (!is_counted(request))
		return 0;
	return organisation_shares_headroom(request->entry->shares,
	    g_get_monotonic_time(), hash_name(request->service),
	    share_monitor_organisation_key(request));
}

/// Sums up the engines of a service.
static struct organisation_shares_load
measure_load(const struct entry *entry, const struct service *service)
{
	const GPtrArray *records = directory_get_service_records(
	    view_directory(entry->view), service->name);
	struct organisation_shares_load load = {
	    .service = hash_name(service->name),
	    .n_instances = membership_size(peers_membership(entry->peers)),
	};
	int64_t slots = 0;
	int64_t requests = 0;
	int64_t tokens = 0;

	for (guint i = 0; records != NULL && i < records->len; i++) {
		const struct upstream_record *record = records->pdata[i];
		struct load held = loads_get_total(entry->loads, record->key);

		load.used += held.tokens;
		if (record->entry.state != UPSTREAM_READY ||
		    view_is_zone_evacuated(entry->view, record->entry.zone))
			continue;
		load.capacity += service->engine.memory_tokens;
		tokens += held.tokens;
		slots += MAX(record->entry.slots, 1);
		requests += held.requests;
	}
	if (load.capacity > 0)
		load.utilisation = MAX((double)tokens / (double)load.capacity,
		    (double)requests / (double)slots);
	return load;
}

/// Sets what is known of the engines of all services.
static void
measure_loads(struct entry *entry, usec_t now)
{
	const struct deployment *deployment = view_deployment(entry->view);
	GHashTableIter iter;
	void *value;

	if (deployment == NULL)
		return;
	g_hash_table_iter_init(&iter, deployment->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct service *service = value;
		struct organisation_shares_load load;

		/* The shares act only where places are reserved. */
		if (!service->has_engine ||
		    service->engine.memory_tokens == 0 ||
		    service->engine.reservation_ttl == 0)
			continue;
		load = measure_load(entry, service);
		organisation_shares_set_load(entry->shares, now, &load);
	}
}

/// Finds the name of an organisation in the configuration.
///
/// @param entry  instance with the configuration
/// @param key    hash of the name
/// @return the name; "-" if the organisation isn't known
const char *
share_monitor_find_organisation(const struct entry *entry, uint64_t key)
{
	const struct deployment *deployment = view_deployment(entry->view);

	for (guint i = 0;
	     deployment != NULL && i < deployment->organisations->len; i++) {
		const struct organisation *organisation =
		    deployment->organisations->pdata[i];

		if (hash_name(organisation->name) == key)
			return organisation->name;
	}
	return SHARE_MONITOR_NO_ORGANISATION;
}

/// Finds the name of a service in the configuration.
///
/// @param entry  instance with the configuration
/// @param key    hash of the name
/// @return the name; "-" if the service isn't known
const char *
share_monitor_find_service(const struct entry *entry, uint64_t key)
{
	const struct deployment *deployment = view_deployment(entry->view);
	GHashTableIter iter;
	void *name;

	if (deployment == NULL)
		return "-";
	g_hash_table_iter_init(&iter, deployment->services);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		if (hash_name(name) == key)
			return name;
	return "-";
}

/// Logs and counts that an organisation has become limited, or is no longer.
static void
log_change(const struct entry *entry, const struct organisation_state *change)
{
	const char *organisation =
	    share_monitor_find_organisation(entry, change->organisation);

	series_add(&entry_metric_organisation_limits, organisation,
	    change->is_limited ? "limited" : "released", 1);
	log_event(LOG_LEVEL_INFO,
	    change->is_limited ? "organisation-limited"
			       : "organisation-released",
	    "organisation=%s organisation_hash=%016" G_GINT64_MODIFIER
	    "x service=%s share_tokens=%" G_GINT64_FORMAT
	    " held_tokens=%" G_GINT64_FORMAT " headroom=%.2f source=%s",
	    organisation, change->organisation,
	    share_monitor_find_service(entry, change->service), change->share,
	    change->held, change->headroom,
	    change->is_estimate ? "estimate" : "reports");
}

/// Computes the shares, logs changes, and reports what organisations hold by
/// this instance. Called often.
///
/// @param entry  instance with its shares
/// @param now    current time
void
share_monitor_tick(struct entry *entry, usec_t now)
{
	struct organisation_state changes[SHARE_MONITOR_CHANGES_MAX];
	size_t n;

	if (entry->shares == NULL)
		return;
	measure_loads(entry, now);
	n = organisation_shares_tick(
	    entry->shares, now, changes, SHARE_MONITOR_CHANGES_MAX);
	for (size_t i = 0; i < n; i++)
		log_change(entry, &changes[i]);
	if (organisation_shares_is_due(entry->shares, now))
		peers_broadcast(entry->peers, PEERS_SHARES);
}
