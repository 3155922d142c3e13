/*
 * Reads new bundles from the configuration service. A few instances, the
 * watchers, use long polls. The other instances get bundles from their peers
 * and read the service rarely, so that its rate limit suffices for any number
 * of instances.
 */
#include "godwitvale/registry/config_watch.h"

#include "godwitvale/core/hash.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/registry/http_get.h"
#include "godwitvale/registry/member_list.h"
#include "godwitvale/serve/rollout.h"
#include "godwitvale/serve/actions.h"

/// Number of instances that are watchers at a time.
#define WATCHER_COUNT 3
/// Maximum time that the service holds a long poll open.
#define LONG_POLL_WAIT (2 * USEC_PER_SEC)
/// Timeout of a read, added to LONG_POLL_WAIT for a long poll.
#define READ_TIMEOUT (2 * USEC_PER_SEC)
/// Mean time between two reads of an instance that isn't a watcher.
#define POLL_INTERVAL (30 * USEC_PER_SEC)
/// Backoff after the first failed read, and its maximum, before jitter.
#define BACKOFF_MIN (200 * USEC_PER_MSEC)
#define BACKOFF_MAX (5 * USEC_PER_SEC)

/// Reader of the configuration service.
struct config_watch {
	struct instance *instance;
	bool read_pending; /// a request is in progress
	bool was_watcher;  /// result of is_watcher() at the last tick
	unsigned consecutive_failures; /// failed reads in a row
	usec_t next_read_at; /// time from which the next read may start
};

/// Checks whether this instance is a watcher: fewer than WATCHER_COUNT members
/// have a lower rendezvous hash. Members that are leaving aren't counted.
///
/// @param watch  watch of this instance
/// @return true when this instance is a watcher
static bool
is_watcher(const struct config_watch *watch)
{
	GPtrArray *members = member_list_get_members(watch->instance->members);
	uint64_t scope = hash_name("config-watch");
	uint64_t own_hash =
	    hash_pair(peer_get_own_id(watch->instance->peer), scope);
	unsigned n_ahead = 0;

	for (guint i = 0; i < members->len; i++) {
		const struct member *member = g_ptr_array_index(members, i);

		n_ahead +=
		    !member->leaving && hash_pair(member->id, scope) < own_hash;
	}
	return n_ahead < WATCHER_COUNT;
}

/// Scales a delay by a random factor from 0.5 to 1.5.
///
/// @param watch  watch whose instance has the random number generator
/// @param delay  delay in microseconds, at most INT32_MAX
/// @return the scaled delay in microseconds
static usec_t
add_jitter(struct config_watch *watch, usec_t delay)
{
	return delay / 2 +
	    g_rand_int_range(watch->instance->random, 0, (gint32)delay);
}

/// Handles the end of a read: schedules the next read and offers the bundle
/// that was read for installation.
///
/// @param status  HTTP status, 0 on failure
/// @param body    signed bundle, or NULL
/// @param data    the watch
static void
on_response(unsigned status, GBytes *body, gpointer data)
{
	struct config_watch *watch = data;
	usec_t now = g_get_monotonic_time();
	gsize len = 0;
	const char *text;

	watch->read_pending = false;
	if (status == SOUP_STATUS_OK || status == SOUP_STATUS_NOT_MODIFIED) {
		watch->consecutive_failures = 0;
		watch->next_read_at = is_watcher(watch)
		    ? now
		    : now + add_jitter(watch, POLL_INTERVAL);
	} else {
		usec_t backoff = BACKOFF_MIN
		    << MIN(watch->consecutive_failures, 10);

		watch->consecutive_failures++;
		watch->next_read_at =
		    now + add_jitter(watch, MIN(backoff, BACKOFF_MAX));
	}
	if (status == SOUP_STATUS_OK) {
		text = g_bytes_get_data(body, &len);
		if (!rollout_handle_bundle(
			watch->instance, text, len, "config"))
			watch->next_read_at =
			    now + add_jitter(watch, USEC_PER_SEC);
	}
	actions_execute_pending(watch->instance);
}

/// Creates a watch, which starts to read at its first tick.
///
/// @param instance  instance that gets the bundles
/// @return the watch
struct config_watch *
config_watch_new(struct instance *instance)
{
	struct config_watch *watch = g_new0(struct config_watch, 1);

	watch->instance = instance;
	return watch;
}

/// Frees a watch. No read may be in progress.
///
/// @param watch  watch to free
void
config_watch_free(struct config_watch *watch)
{
	g_free(watch);
}

/// Starts a read when the next one is due and none is in progress.
///
/// @param watch  watch of this instance
/// @param now    current time
void
config_watch_tick(struct config_watch *watch, usec_t now)
{
	struct instance *instance = watch->instance;
	uint64_t version =
	    instance->bundle == NULL ? 0 : instance->bundle->version;
	bool is_watching = is_watcher(watch);
	char *path;

	/* An instance that becomes a watcher reads at once. */
	if (is_watching && !watch->was_watcher &&
	    watch->consecutive_failures == 0)
		watch->next_read_at = now;
	watch->was_watcher = is_watching;
	if (watch->read_pending || now < watch->next_read_at)
		return;
	watch->read_pending = true;
	metrics_add(METRIC_CONFIG_READS, 1);
	path = g_strdup_printf("/config/bundle?after=%" G_GUINT64_FORMAT
			       "&wait_ms=%d",
	    version, is_watching ? (int)(LONG_POLL_WAIT / USEC_PER_MSEC) : 0);
	http_get_start(instance, &instance->settings->config, path,
	    READ_TIMEOUT + (is_watching ? LONG_POLL_WAIT : 0), on_response,
	    watch);
	g_free(path);
}
