/* Keeps the limits that upstreams name, and this instance's share of them. */
#include "godwitvale/core/rate_limits.h"

#include <glib.h>

#include "godwitvale/core/fleet_share.h"
#include "godwitvale/core/hash.h"
#include "godwitvale/core/paced_turns.h"

/// An upstream with a low limit that has had no request for this long gets one
/// of any instance, as a trial that shows whether it still has the limit. It is
/// more than a second, so that no four seconds have five of them.
#define RATE_LIMIT_TURN_INTERVAL (1020 * USEC_PER_MSEC)
/// Highest limit at which there are such requests. At a higher one, the
/// instances that use the upstream have permits often enough.
#define RATE_LIMIT_TURNS_MAX 5.0
/// Highest limit at which there are only such requests, and no shares.
#define RATE_LIMIT_TURNS_ONLY_MAX 1.0
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

/// Rank of this instance for a task, among all instances; 0: the first.
struct cached_rank {
	unsigned rank;
	uint64_t task;
	usec_t found_at; /// 0: never
};

/// Limit of one upstream, or the statement that it has none any more.
struct limit {
	struct rate_limit_statement statement;
	struct fleet_share share;
	struct cached_rank user_rank; /// among the users of the upstream
	struct paced_turns turns;
	struct cached_rank turn_rank; /// for the next turn
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

/// Checks whether any instance may send a request when none has sent one for a
/// while.
static bool
has_turns(const struct limit *limit)
{
	return limit->statement.rate >= 0 &&
	    limit->statement.rate <= RATE_LIMIT_TURNS_MAX;
}

/// Checks whether instances have shares of a limit.
static bool
has_shares(const struct limit *limit)
{
	return limit->statement.rate > RATE_LIMIT_TURNS_ONLY_MAX;
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
	limit->statement.rate = CLAMP(statement->rate, 0, RATE_LIMIT_MAX);
	if (known < 0)
		limit->turns.taken_at = statement->at;
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

/// Returns the part of the instances that can be seen from here. Others may use
/// the same upstream, so that this part takes only its part of the limit.
static double
find_visible_part(const struct membership *membership)
{
	return (double)membership_size(membership) /
	    membership_peak_size(membership);
}

/// Returns this instance's rank for a task.
static unsigned
find_rank(struct cached_rank *cached, usec_t now, uint64_t task,
    const struct membership *membership)
{
	if (cached->found_at != 0 && cached->task == task &&
	    now < cached->found_at + RATE_LIMIT_RANK_TTL)
		return cached->rank;
	cached->rank = membership_task_rank(membership, task);
	cached->task = task;
	cached->found_at = now;
	return cached->rank;
}

/// Returns when this instance may send a request that is nobody's share.
static usec_t
find_next_turn(
    struct limit *limit, usec_t now, const struct membership *membership)
{
	usec_t interval = (usec_t)((double)RATE_LIMIT_TURN_INTERVAL /
	    find_visible_part(membership));
	uint64_t task =
	    hash_pair(limit->statement.upstream, limit->turns.number);
	unsigned rank = find_rank(&limit->turn_rank, now, task, membership);

	return MAX(paced_turns_next(&limit->turns, now, interval, rank), now);
}

/// Returns when this instance may send a request of its share of a limit.
///
/// @return USEC_NEVER if this instance isn't one of the upstream's users
static usec_t
find_share_permit(
    struct limit *limit, usec_t now, const struct membership *membership)
{
	double rate = limit->statement.rate * find_visible_part(membership);
	double n_users = MIN((unsigned)rate + RATE_LIMIT_EXTRA_USERS,
	    membership_size(membership));

	if (find_rank(&limit->user_rank, now, limit->statement.upstream,
		membership) >= n_users)
		return USEC_NEVER;
	fleet_share_configure(&limit->share, now, rate / n_users,
	    MAX(RATE_LIMIT_BURST_SECONDS * rate / n_users, 1));
	if (fleet_share_has_permit(&limit->share, now))
		return now;
	return now +
	    (usec_t)((1 - limit->share.permits) / limit->share.rate *
		(double)USEC_PER_SEC) +
	    1;
}

/// Returns when this instance may send a request to an upstream.
///
/// @param limits      table to check
/// @param now         current time
/// @param upstream    hash of the upstream's id and incarnation
/// @param membership  instances that share the limit
/// @return the time and whose permit it is. The time is `now` if it may at
/// once,
///         or if there is no limit, and USEC_NEVER if other instances use up
///         the limit.
struct rate_limit_permit
rate_limits_next_permit(struct rate_limits *limits, usec_t now,
    uint64_t upstream, const struct membership *membership)
{
	struct rate_limit_permit permit = {.at = now};
	struct limit *limit;
	usec_t turn_at;

	if (!rate_limits_is_limited(limits, upstream))
		return permit;
	limit = find_limit(limits, upstream);
	permit.at = has_shares(limit)
	    ? find_share_permit(limit, now, membership)
	    : USEC_NEVER;
	if (permit.at == now || !has_turns(limit))
		return permit;
	turn_at = find_next_turn(limit, now, membership);
	if (turn_at < permit.at)
		permit = (struct rate_limit_permit){turn_at, true};
	return permit;
}

/// Takes a permit for a request to an upstream; does nothing if the upstream
/// has no limit.
///
/// @param limits    table to update
/// @param now       current time
/// @param upstream  hash of the upstream's id and incarnation
/// @param turn      filled in if all other instances must be told at once
/// @return whether they must be told
bool
rate_limits_take_permit(struct rate_limits *limits, usec_t now,
    uint64_t upstream, struct rate_limit_turn *turn)
{
	struct limit *limit = find_limit(limits, upstream);

	if (limit == NULL || limit->statement.rate < 0)
		return false;
	if (has_shares(limit))
		fleet_share_take_permit(&limit->share, now);
	if (!has_turns(limit))
		return false;
	*turn = (struct rate_limit_turn){
	    .upstream = upstream,
	    .number = paced_turns_take(&limit->turns, now),
	    .at = now,
	};
	return true;
}

/// Notes that another instance sends a request to an upstream with a low limit.
///
/// @param limits  table to update
/// @param turn    the request
void
rate_limits_hear_turn(
    struct rate_limits *limits, const struct rate_limit_turn *turn)
{
	struct limit *limit = find_limit(limits, turn->upstream);

	if (limit != NULL && has_turns(limit))
		paced_turns_hear(
		    &limit->turns, turn->at, turn->number, turn->sender);
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
