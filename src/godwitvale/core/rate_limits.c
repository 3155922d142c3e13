/* Keeps the limits that upstreams name, and this instance's share of them. */
#include "godwitvale/core/rate_limits.h"

#include <glib.h>

#include "godwitvale/core/fleet_share.h"

/// Lowest rate that is applied, in requests a second of all instances. A lower
/// limit would never be found to have been lifted.
#define RATE_LIMIT_MIN 0.1
/// Highest rate that is applied, in requests a second of all instances.
#define RATE_LIMIT_MAX 1e6
/// A limit that differs from the known one by more than this factor is sent to
/// the other instances at once.
#define RATE_LIMIT_CHANGE_FACTOR 1.2
/// Number of instances that use an upstream in addition to one for each request
/// a second, as some of them may have no requests for it.
#define RATE_LIMIT_EXTRA_USERS 2
/// Part of a second's requests that the buckets of all instances may hold, if
/// there are fewer instances than requests a second.
#define RATE_LIMIT_BURST_SECONDS 0.5
/// Times that other instances report may be late by this much; see
/// rate_limits_merge().
#define RATE_LIMIT_TIME_TOLERANCE (500 * USEC_PER_MSEC)
/// How long other instances are told that an upstream has no limit any more.
#define RATE_LIMIT_LIFTED_TTL (10 * USEC_PER_SEC)
/// A statement on an upstream of which nothing is known is taken over only if
/// it isn't older than this. It is less than RATE_LIMIT_TTL, so that a limit
/// that was dropped here isn't learnt again from an instance that drops it
/// next.
#define RATE_LIMIT_NEWS_TTL (RATE_LIMIT_TTL / 2)
/// How long this instance's rank among the users of an upstream is kept.
#define RATE_LIMIT_RANK_TTL (200 * USEC_PER_MSEC)

struct rate_limits {
	GHashTable *limits; /// upstream -> struct limit *
	guint list_offset;  /// entry at which the next list begins
};

/// Limit of one upstream, or the statement that it has none any more.
struct limit {
	struct rate_limit_statement statement;
	struct fleet_share share;
	unsigned rank; /// of this instance among the users; 0: the first
	usec_t ranked_at;
};

/// Creates an empty table of limits.
///
/// @return the table; free with rate_limits_free()
struct rate_limits *
rate_limits_new(void)
{
	struct rate_limits *limits = g_new0(struct rate_limits, 1);

	limits->limits =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return limits;
}

/// Frees a table of limits.
///
/// @param limits  not NULL
void
rate_limits_free(struct rate_limits *limits)
{
	g_hash_table_unref(limits->limits);
	g_free(limits);
}

/// @return the limit of an upstream, or NULL
static struct limit *
find_limit(const struct rate_limits *limits, uint64_t upstream)
{
	return g_hash_table_lookup(limits->limits, &upstream);
}

/// @param limits  table to count
/// @return number of limits in force
unsigned
rate_limits_count(const struct rate_limits *limits)
{
	unsigned n = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, limits->limits);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((const struct limit *)value)->statement.rate >= 0;
	return n;
}

/// Checks whether two limits differ so much that all instances must know.
static bool
differs(double known, double rate)
{
	return rate > known * RATE_LIMIT_CHANGE_FACTOR ||
	    rate * RATE_LIMIT_CHANGE_FACTOR < known;
}

/// Takes over a statement that is newer than what is known.
static enum rate_limit_change
apply_statement(
    struct rate_limits *limits, const struct rate_limit_statement *statement)
{
	struct limit *limit = find_limit(limits, statement->upstream);
	double known = limit == NULL ? -1 : limit->statement.rate;

	if (limit == NULL && statement->rate < 0)
		return RATE_LIMIT_SAME;
	if (limit == NULL) {
		limit = g_new0(struct limit, 1);
		limit->statement = *statement;
		g_hash_table_insert(
		    limits->limits, &limit->statement.upstream, limit);
	}
	limit->statement = *statement;
	if (statement->rate < 0)
		return known < 0 ? RATE_LIMIT_SAME : RATE_LIMIT_LIFTED;
	limit->statement.rate =
	    CLAMP(statement->rate, RATE_LIMIT_MIN, RATE_LIMIT_MAX);
	return known < 0 || differs(known, limit->statement.rate)
	    ? RATE_LIMIT_NAMED
	    : RATE_LIMIT_SAME;
}

/// Adds what an upstream has said to this instance.
///
/// @param limits     table to update
/// @param statement  the statement; copied
/// @return whether other instances must learn of it at once
enum rate_limit_change
rate_limits_hear(
    struct rate_limits *limits, const struct rate_limit_statement *statement)
{
	return apply_statement(limits, statement);
}

/// Adds what an upstream has said to another instance. It is ignored unless it
/// is newer than what is known by more than RATE_LIMIT_TIME_TOLERANCE, so that
/// a statement that instances pass on to each other doesn't become newer.
///
/// @param limits     table to update
/// @param now        current time
/// @param statement  the statement; copied
/// @return how it changes what is known
enum rate_limit_change
rate_limits_merge(struct rate_limits *limits, usec_t now,
    const struct rate_limit_statement *statement)
{
	const struct limit *limit = find_limit(limits, statement->upstream);

	if (limit == NULL && now > statement->at + RATE_LIMIT_NEWS_TTL)
		return RATE_LIMIT_SAME;
	if (limit != NULL &&
	    statement->at <= limit->statement.at + RATE_LIMIT_TIME_TOLERANCE)
		return RATE_LIMIT_SAME;
	return apply_statement(limits, statement);
}

/// @param limits    table to search
/// @param upstream  hash of the upstream's id and incarnation
/// @return whether a limit of the upstream is in force
bool
rate_limits_is_limited(const struct rate_limits *limits, uint64_t upstream)
{
	const struct limit *limit;

	if (g_hash_table_size(limits->limits) == 0)
		return false;
	limit = find_limit(limits, upstream);
	return limit != NULL && limit->statement.rate >= 0;
}

/// Sets this instance's share of a limit.
///
/// If some instances can't be seen from here, others on their side may use the
/// same upstream; this side takes only its part of the limit then.
///
/// @return false if this instance isn't one of the upstream's users
static bool
configure_share(
    struct limit *limit, usec_t now, const struct membership *membership)
{
	unsigned n_instances = membership_size(membership);
	double visible_part =
	    (double)n_instances / membership_peak_size(membership);
	double rate = limit->statement.rate * visible_part;
	double n_users =
	    MIN((unsigned)rate + RATE_LIMIT_EXTRA_USERS, n_instances);

	if (limit->ranked_at == 0 ||
	    now >= limit->ranked_at + RATE_LIMIT_RANK_TTL) {
		limit->rank =
		    membership_task_rank(membership, limit->statement.upstream);
		limit->ranked_at = now;
	}
	if (limit->rank >= n_users)
		return false;
	fleet_share_configure(&limit->share, now, rate / n_users,
	    MAX(RATE_LIMIT_BURST_SECONDS * rate / n_users, 1));
	return true;
}

/// Returns when this instance may send a request to an upstream.
///
/// @param limits      table to check
/// @param now         current time
/// @param upstream    hash of the upstream's id and incarnation
/// @param membership  instances that share the limit
/// @return `now` if it may at once, or if there is no limit; USEC_NEVER if
/// other
///         instances use up the limit
usec_t
rate_limits_next_permit(struct rate_limits *limits, usec_t now,
    uint64_t upstream, const struct membership *membership)
{
	struct limit *limit;

	if (!rate_limits_is_limited(limits, upstream))
		return now;
	limit = find_limit(limits, upstream);
	if (!configure_share(limit, now, membership))
		return USEC_NEVER;
	if (fleet_share_has_permit(&limit->share, now))
		return now;
	return now +
	    (usec_t)((1 - limit->share.permits) / limit->share.rate *
		(double)USEC_PER_SEC) +
	    1;
}

/// Takes a permit for a request to an upstream; does nothing if the upstream
/// has no limit.
///
/// @param limits    table to update
/// @param now       current time
/// @param upstream  hash of the upstream's id and incarnation
void
rate_limits_take_permit(
    struct rate_limits *limits, usec_t now, uint64_t upstream)
{
	struct limit *limit = find_limit(limits, upstream);

	if (limit != NULL && limit->statement.rate >= 0)
		fleet_share_take_permit(&limit->share, now);
}

/// Forgets an upstream that is gone.
///
/// @param limits    table to update
/// @param upstream  hash of the upstream's id and incarnation
void
rate_limits_forget(struct rate_limits *limits, uint64_t upstream)
{
	g_hash_table_remove(limits->limits, &upstream);
}

/// Drops the limits that nobody has confirmed, and old statements that there is
/// no limit.
///
/// @param limits  table to check
/// @param now     current time
void
rate_limits_tick(struct rate_limits *limits, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, limits->limits);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct limit *limit = value;
		usec_t ttl = limit->statement.rate < 0 ? RATE_LIMIT_LIFTED_TTL
						       : RATE_LIMIT_TTL;

		if (now >= limit->statement.at + ttl)
			g_hash_table_iter_remove(&iter);
	}
}

/// Lists what is known, for other instances. If there are more than `max`
/// upstreams, each call lists others.
///
/// @param limits      table to list
/// @param statements  filled in
/// @param max         number of elements in `statements`
/// @return number of elements filled in
size_t
rate_limits_list(struct rate_limits *limits,
    struct rate_limit_statement *statements, size_t max)
{
	guint n_limits = g_hash_table_size(limits->limits);
	guint i = 0;
	size_t n = 0;
	GHashTableIter iter;
	void *value;

	if (n_limits <= max)
		limits->list_offset = 0;
	g_hash_table_iter_init(&iter, limits->limits);
	while (n < max && g_hash_table_iter_next(&iter, NULL, &value))
		if (i++ >= limits->list_offset)
			statements[n++] =
			    ((const struct limit *)value)->statement;
	limits->list_offset += (guint)n;
	if (limits->list_offset >= n_limits)
		limits->list_offset = 0;
	return n;
}
