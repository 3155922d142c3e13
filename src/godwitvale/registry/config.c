/*
 * Reads of the configuration service. A few instances wait on a watch; the
 * others get bundles from their peers and read seldom, so that the service's
 * rate suffices at any size of the fleet.
 */
#include "godwitvale/registry/config.h"

#include "godwitvale/core/hash.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/registry/ask.h"
#include "godwitvale/registry/members.h"
#include "godwitvale/serve/rollout.h"
#include "godwitvale/serve/actions.h"

/// Instances that wait on a watch at a time.
#define WATCHERS 3
/// How long a watch waits at the service.
#define WATCH_WAIT (2 * USEC_PER_SEC)
/// A read that takes longer than its wait and this is given up.
#define READ_TIMEOUT (2 * USEC_PER_SEC)
/// The others read this often, on average.
#define IDLE_INTERVAL (30 * USEC_PER_SEC)
/// Pause after a first failure, and the longest one.
#define BACKOFF_MIN (200 * USEC_PER_MSEC)
#define BACKOFF_MAX (5 * USEC_PER_SEC)

struct config_watch {
	struct instance *instance;
	bool pending;
	bool was_watcher;  /// at the tick before
	unsigned failures; /// in a row
	usec_t read_due;
};

/// Tells whether this instance is one of those that wait on a watch.
///
/// @param watch  the watch
/// @return true when it ranks among the first by rendezvous hash
static bool
is_watcher(const struct config_watch *watch)
{
	GPtrArray *members = member_list_all(watch->instance->members);
	uint64_t scope = hash_name("config-watch");
	uint64_t own = hash_pair(peer_self(watch->instance->peer), scope);
	unsigned ahead = 0;

	for (guint i = 0; i < members->len; i++) {
		const struct member *member = g_ptr_array_index(members, i);

		ahead += !member->leaving && hash_pair(member->id, scope) < own;
	}
	return ahead < WATCHERS;
}

/// Spreads a span at random from half of it to one and a half.
///
/// @param watch  the watch
/// @param span   the span
/// @return the spread span
static usec_t
jitter(struct config_watch *watch, usec_t span)
{
	return span / 2 +
	    g_rand_int_range(watch->instance->random, 0, (gint32)span);
}

/// Takes the end of a read.
///
/// @param status  HTTP status, 0 on failure
/// @param body    the signed bundle, or NULL
/// @param data    the watch
static void
on_answer(unsigned status, GBytes *body, gpointer data)
{
	struct config_watch *watch = data;
	usec_t now = g_get_monotonic_time();
	gsize len = 0;
	const char *text;

	watch->pending = false;
	if (status == SOUP_STATUS_OK || status == SOUP_STATUS_NOT_MODIFIED) {
		watch->failures = 0;
		watch->read_due = is_watcher(watch)
		    ? now
		    : now + jitter(watch, IDLE_INTERVAL);
	} else {
		usec_t pause = BACKOFF_MIN << MIN(watch->failures, 10);

		watch->failures++;
		watch->read_due = now + jitter(watch, MIN(pause, BACKOFF_MAX));
	}
	if (status == SOUP_STATUS_OK) {
		text = g_bytes_get_data(body, &len);
		if (!rollout_handle_bundle(
			watch->instance, text, len, "config"))
			watch->read_due = now + jitter(watch, USEC_PER_SEC);
	}
	actions_execute_pending(watch->instance);
}

/// Makes a watch.
///
/// @param instance  the instance
/// @return the watch
struct config_watch *
config_watch_new(struct instance *instance)
{
	struct config_watch *watch = g_new0(struct config_watch, 1);

	watch->instance = instance;
	return watch;
}

/// Releases a watch.
///
/// @param watch  the watch
void
config_watch_free(struct config_watch *watch)
{
	g_free(watch);
}

/// Reads when that is due.
///
/// @param watch  the watch
/// @param now    current time
void
config_watch_tick(struct config_watch *watch, usec_t now)
{
	struct instance *instance = watch->instance;
	uint64_t version =
	    instance->bundle == NULL ? 0 : instance->bundle->version;
	bool wait = is_watcher(watch);
	char *path;

	/* One that becomes a watcher reads at once. */
	if (wait && !watch->was_watcher && watch->failures == 0)
		watch->read_due = now;
	watch->was_watcher = wait;
	if (watch->pending || now < watch->read_due)
		return;
	watch->pending = true;
	metrics_add(METRIC_CONFIG_READS, 1);
	path = g_strdup_printf("/config/bundle?after=%" G_GUINT64_FORMAT
			       "&wait_ms=%d",
	    version, wait ? (int)(WATCH_WAIT / USEC_PER_MSEC) : 0);
	ask_get(instance, &instance->settings->config, path,
	    READ_TIMEOUT + (wait ? WATCH_WAIT : 0), on_answer, watch);
	g_free(path);
}
