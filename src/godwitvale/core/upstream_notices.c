/* Keeps the departures and pauses that upstreams have announced. */
#include "godwitvale/core/upstream_notices.h"

#include <glib.h>

/// How long a departure is remembered. An upstream is gone some seconds after
/// it has begun to leave.
#define DEPARTURE_TTL (10 * 60 * USEC_PER_SEC)
/// How long other instances are told of a departure.
#define DEPARTURE_NEWS_TTL (30 * USEC_PER_SEC)

struct upstream_notices {
	GHashTable *notices; /// upstream -> struct notice *
};

/// Notices of one incarnation of an upstream.
struct notice {
	uint64_t upstream;
	usec_t leaving_at; /// when it said that it leaves; 0: it didn't
	bool is_news;      /// other instances are told that it leaves
	usec_t paused_until;
};

/// Creates an empty table of notices.
///
/// @return the table; free with upstream_notices_free()
struct upstream_notices *
upstream_notices_new(void)
{
	struct upstream_notices *notices = g_new0(struct upstream_notices, 1);

	notices->notices =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return notices;
}

/// Frees a table of notices.
///
/// @param notices  not NULL
void
upstream_notices_free(struct upstream_notices *notices)
{
	g_hash_table_unref(notices->notices);
	g_free(notices);
}

/// @return the notices of an upstream, or NULL
static struct notice *
find_notice(const struct upstream_notices *notices, uint64_t upstream)
{
	if (g_hash_table_size(notices->notices) == 0)
		return NULL;
	return g_hash_table_lookup(notices->notices, &upstream);
}

/// Returns the notices of an upstream; creates them if there are none.
static struct notice *
ensure_notice(struct upstream_notices *notices, uint64_t upstream)
{
	struct notice *notice = find_notice(notices, upstream);

	if (notice != NULL)
		return notice;
	notice = g_new0(struct notice, 1);
	notice->upstream = upstream;
	g_hash_table_insert(notices->notices, &notice->upstream, notice);
	return notice;
}

/// Records that an upstream leaves, as it or another instance has said.
///
/// @param notices   table to update
/// @param upstream  hash of the upstream's id and incarnation
/// @param at        time of the upstream's answer
/// @param is_news   whether other instances are to be told; not if the store
/// has
///                  told them
/// @return false if this was known
bool
upstream_notices_set_leaving(struct upstream_notices *notices,
    uint64_t upstream, usec_t at, bool is_news)
{
	struct notice *notice = ensure_notice(notices, upstream);

	if (notice->leaving_at != 0)
		return false;
	notice->leaving_at = at;
	notice->is_news = is_news;
	return true;
}

/// @param notices   table to search
/// @param upstream  hash of the upstream's id and incarnation
/// @return whether the upstream has said that it leaves
bool
upstream_notices_is_leaving(
    const struct upstream_notices *notices, uint64_t upstream)
{
	const struct notice *notice = find_notice(notices, upstream);

	return notice != NULL && notice->leaving_at != 0;
}

/// @param notices   table to search
/// @param upstream  hash of the upstream's id and incarnation
/// @return when the upstream has said that it leaves; 0: it hasn't
usec_t
upstream_notices_leaving_since(
    const struct upstream_notices *notices, uint64_t upstream)
{
	const struct notice *notice = find_notice(notices, upstream);

	return notice == NULL ? 0 : notice->leaving_at;
}

/// Records that an upstream wants nothing from this instance for a while. A
/// pause that is in force is never shortened.
///
/// @param notices   table to update
/// @param now       current time
/// @param upstream  hash of the upstream's id and incarnation
/// @param span      length of the pause, at most UPSTREAM_PAUSE_MAX of it is
///                  kept
void
upstream_notices_set_pause(struct upstream_notices *notices, usec_t now,
    uint64_t upstream, usec_t span)
{
	struct notice *notice = ensure_notice(notices, upstream);
	usec_t until = now + CLAMP(span, 0, UPSTREAM_PAUSE_MAX);

	notice->paused_until = MAX(notice->paused_until, until);
}

/// @param notices   table to search
/// @param upstream  hash of the upstream's id and incarnation
/// @return end of the upstream's pause; 0 if it has asked for none
usec_t
upstream_notices_paused_until(
    const struct upstream_notices *notices, uint64_t upstream)
{
	const struct notice *notice = find_notice(notices, upstream);

	return notice == NULL ? 0 : notice->paused_until;
}

/// @param notices  table to count
/// @param now      current time
/// @return number of upstreams that want a pause
unsigned
upstream_notices_count_paused(
    const struct upstream_notices *notices, usec_t now)
{
	unsigned n = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, notices->notices);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += now < ((const struct notice *)value)->paused_until;
	return n;
}

/// Forgets old notices.
///
/// @param notices  table to check
/// @param now      current time
void
upstream_notices_tick(struct upstream_notices *notices, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, notices->notices);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct notice *notice = value;
		bool leaves = notice->leaving_at != 0 &&
		    now < notice->leaving_at + DEPARTURE_TTL;

		if (!leaves && now >= notice->paused_until)
			g_hash_table_iter_remove(&iter);
	}
}

/// Lists the upstreams that have begun to leave lately, as far as this is news
/// for other instances.
///
/// @param notices     table to list
/// @param now         current time
/// @param departures  filled in
/// @param max         number of elements in `departures`
/// @return number of elements filled in
size_t
upstream_notices_list_departures(const struct upstream_notices *notices,
    usec_t now, struct upstream_departure *departures, size_t max)
{
	size_t n = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, notices->notices);
	while (n < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct notice *notice = value;

		if (notice->leaving_at != 0 && notice->is_news &&
		    now < notice->leaving_at + DEPARTURE_NEWS_TTL)
			departures[n++] = (struct upstream_departure){
			    notice->upstream, notice->leaving_at};
	}
	return n;
}
