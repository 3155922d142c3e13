/* Callbacks of the exchange of messages with other instances. */
#include "godwitvale/entry/entry_peers.h"

#include "godwitvale/entry/departures.h"
#include "godwitvale/entry/entry.h"
#include "godwitvale/entry/forwarding.h"
#include "godwitvale/entry/reach_monitor.h"
#include "godwitvale/entry/request_guard.h"
#include "godwitvale/entry/resumption.h"
#include "godwitvale/entry/stream_lookup.h"
#include "godwitvale/entry/segment_guard.h"
#include "godwitvale/ops/log.h"

/// Peers callback: checks whether this instance can reach the store.
static bool
can_reach_store(void *owner)
{
	const struct entry *entry = owner;

	return entry->store != NULL && store_is_reachable(entry->store);
}

/// Peers callback: another instance can reach the store, and no other instance
/// could before.
static void
on_store_reached_by_peer(void *owner)
{
	const struct entry *entry = owner;

	if (entry->store != NULL)
		store_shorten_backoff(entry->store);
}

/// Peers callback: the load from other instances has changed.
static void
on_loads_changed(void *owner)
{
	entry_schedule_placement(owner);
}

/// Peers callback: lists the services that this instance is cut off from.
static size_t
list_cut_off(void *owner, uint64_t *services, size_t max)
{
	const struct entry *entry = owner;

	return reachability_list_cut_off(
	    reach_monitor_reachability(entry->reach_monitor), services, max);
}

/// Peers callback: another instance says which services it is cut off from.
static void
on_reach_reported(
    void *owner, uint64_t member, const uint64_t *services, size_t n_services)
{
	const struct entry *entry = owner;

	reachability_set_member(
	    reach_monitor_reachability(entry->reach_monitor),
	    g_get_monotonic_time(), member, services, n_services);
}

/// Peers callback: lists the services that are brittle.
static size_t
list_brittle(void *owner, struct peers_brittle *brittle, size_t max)
{
	const struct entry *entry = owner;

	return entry->dispatch == NULL
	    ? 0
	    : dispatch_list_brittle(entry->dispatch, brittle, max);
}

/// Peers callback: another instance says that a service is brittle.
static void
on_brittle_reported(void *owner, const struct peers_brittle *brittle)
{
	const struct entry *entry = owner;

	if (entry->dispatch != NULL &&
	    dispatch_set_brittle(
		entry->dispatch, brittle->service, brittle->left))
		log_event(LOG_LEVEL_INFO, "service-brittle",
		    "service_hash=%016" G_GINT64_MODIFIER
		    "x left_ms=%" G_GINT64_FORMAT
		    " source=another-instance outcome=places-divided",
		    brittle->service, brittle->left / USEC_PER_MSEC);
}

/// Peers callback: another instance has fallen silent.
static void
on_member_silent(void *owner, const struct member *member)
{
	forwarding_handle_silent_member(owner, member);
}

/// Peers callback: another instance is heard for the first time.
static void
on_member_started(void *owner, const struct member *member)
{
	forwarding_handle_started_member(owner, member);
}

/// Peers callback: lists upstreams that refused connections of this instance.
/// If it is cut off, the upstreams are not at fault.
static size_t
list_unreachable(void *owner, uint64_t *upstreams, size_t max)
{
	const struct entry *entry = owner;
	uint64_t service;

	return entry->dispatch == NULL || list_cut_off(owner, &service, 1) > 0
	    ? 0
	    : dispatch_list_unreachable(entry->dispatch, upstreams, max);
}

/// Peers callback: an upstream refused a connection of another instance.
static void
on_unreachable_reported(void *owner, uint64_t upstream)
{
	const struct entry *entry = owner;

	if (entry->dispatch != NULL)
		dispatch_set_suspect(entry->dispatch, upstream);
}

/// Peers callback: an upstream has told another instance of a limit, or that it
/// has none any more.
static void
on_limit_reported(void *owner, enum rate_limit_change change,
    const struct rate_limit_statement *statement)
{
	struct entry *entry = owner;

	if (entry->dispatch == NULL)
		return;
	dispatch_log_limit_change(
	    entry->dispatch, change, statement, "another-instance");
	if (change == RATE_LIMIT_LIFTED)
		entry_schedule_placement(entry);
}

/// Peers callback: another instance has heard that an upstream leaves.
static void
on_departure_reported(void *owner, uint64_t upstream, usec_t at)
{
	struct entry *entry = owner;
	const struct upstream_record *record = entry->dispatch == NULL
	    ? NULL
	    : dispatch_find_incarnation(entry->dispatch, upstream);
	bool is_news = record == NULL || record->entry.state == UPSTREAM_READY;

	if (upstream_notices_set_leaving(
		entry->notices, upstream, at, is_news) &&
	    is_news && record != NULL)
		departures_begin(entry, record->entry.id, record->entry.address,
		    "another-instance");
}

/// Peers callback: another instance has data of a later era of the store.
static void
on_later_era_reported(void *owner, uint64_t era)
{
	const struct entry *entry = owner;

	if (entry->store != NULL)
		store_note_era(entry->store, era);
}

/// Peers callback: there are changes of the operator that the readers of the
/// store can't pass on.
static void
on_operator_changed(void *owner)
{
	const struct entry *entry = owner;

	if (entry->store != NULL)
		store_read_operator(entry->store);
}

/// Peers callback: fills in what is known of the versions of a service.
static void
testify(
    void *owner, uint64_t service, usec_t span, struct version_witness *witness)
{
	const struct entry *entry = owner;

	stream_lookups_testify(entry->stream_lookups, service, span, witness);
}

/// Peers callback: another instance was asked for a stream and has answered.
static void
on_stream_answered(void *owner, uint64_t stream, uint64_t instance,
    const struct version_witness *witness)
{
	const struct entry *entry = owner;

	stream_lookups_on_answer(
	    entry->stream_lookups, stream, instance, witness);
}

static const struct peers_vtable peers_vtable = {
    .is_store_reachable = can_reach_store,
    .peer_reached_store = on_store_reached_by_peer,
    .loads_changed = on_loads_changed,
    .list_cut_off = list_cut_off,
    .reach_reported = on_reach_reported,
    .list_brittle = list_brittle,
    .brittle_reported = on_brittle_reported,
    .member_silent = on_member_silent,
    .member_started = on_member_started,
    .list_unreachable = list_unreachable,
    .unreachable_reported = on_unreachable_reported,
    .limit_reported = on_limit_reported,
    .departure_reported = on_departure_reported,
    .later_era_reported = on_later_era_reported,
    .operator_changed = on_operator_changed,
    .testify = testify,
    .stream_answered = on_stream_answered,
};

/// Starts the exchange of messages with the other instances.
///
/// @param entry  its peers are set
/// @param error  set if the address can't be used
/// @return false with error set on failure
bool
entry_peers_open(struct entry *entry, GError **error)
{
	const struct entry_settings *settings = entry->settings;
	const struct peers_options options = {
	    .vtable = &peers_vtable,
	    .owner = entry,
	    .name = settings->instance,
	    .zone = settings->zone,
	    .ip = settings->control.ip,
	    .port = settings->peer_port,
	    .control_port = settings->control.port,
	    .seeds = settings->seeds,
	    .link_mbps = (uint64_t)settings->link_mbps,
	    .hub_min_instances = settings->hub_min_instances,
	    .view = entry->view,
	    .loads = entry->loads,
	    .pace = entry->pace,
	    .quarantine = segment_guard_quarantine(entry->guard),
	    .suspects = request_guard_suspects(entry->request_guard),
	    .rate_limits = entry->rate_limits,
	    .notices = entry->notices,
	    .outcomes = entry->outcomes,
	    .shares = entry->shares,
	    .stream_versions = resumption_versions(entry->resumption),
	    .pool = entry->pool,
	};

	entry->peers = peers_new(&options, error);
	return entry->peers != NULL;
}
