/*
 * How full an engine's memory will be: what it reported, what was sent since,
 * and how the running generations are expected to grow and end.
 */
#include "godwitvale/core/router_state.h"

#include <math.h>

#include "godwitvale/core/hash.h"

const uint32_t router_horizons[ROUTER_HORIZONS] = {
    0, 64, 256, 1024, 4096, 16384};

/// A start is judged by the reports of this window and the last one, so that
/// the drift between two clocks does not add up.
#define START_WINDOW (30 * USEC_PER_SEC)
/// No report is taken to be older than this when it is asked for.
#define SAMPLE_AGE_MAX (3 * USEC_PER_SEC)
/// Plain calls of one instance, as a multiple of its even share, at upstreams
/// that were full and that had room.
#define CALL_SHARES_FULL 2
#define CALL_SHARES_FREE 4
/// From the first to the second pressure, turns are taken more and more.
#define CONTENTION_FROM 0.6
#define CONTENTION_TO 0.9
/// Multiples of the fixed reserve for a request that has just come, and for
/// one that has waited this long.
#define RESERVE_FRESH 1.6
#define RESERVE_AGED 0.4
#define AGED_SPAN (20.0 * USEC_PER_SEC)
/// What a reported plain call of another instance counts.
#define STALE_CALL_SHARE 0.1

/// Gives the share of requests like this one that run on at a horizon.
///
/// @param request  the request
/// @param ahead    tokens ahead
/// @return probability
static double
runs_on(const struct request *request, uint32_t ahead)
{
	uint32_t limit = request->options.max_tokens;

	if (limit != 0 && request->so_far + ahead >= limit && ahead != 0)
		return 0;
	return estimate_survival(request->series, request->so_far, ahead);
}

/// Works out the expected memory of a request at each horizon.
///
/// @param request  the request
/// @param memory   filled in, in tokens
void
router_profile_request(
    const struct request *request, struct memory_profile *memory)
{
	double now =
	    (double)request->options.prompt_tokens + request->so_far + 1;

	for (int i = 0; i < ROUTER_HORIZONS; i++) {
		uint32_t ahead = router_horizons[i];
		double whole = now + ahead;
		double on = runs_on(request, ahead);

		memory->at[i] = whole * on;
		memory->variance[i] = whole * whole * on * (1 - on);
	}
}

/// Adds one profile to another.
///
/// @param sum     changed
/// @param memory  added
/// @param sign    1, or -1 to take it away
void
router_add_profile(struct memory_profile *sum,
    const struct memory_profile *memory, double sign)
{
	for (int i = 0; i < ROUTER_HORIZONS; i++) {
		sum->at[i] += sign * memory->at[i];
		sum->variance[i] += sign * memory->variance[i];
	}
}

/// Sums up the memory of our own requests on an upstream anew.
///
/// @param upstream  the upstream
void
router_update_own(struct upstream *upstream)
{
	struct memory_profile sum = {{0}, {0}};

	for (GList *link = upstream->own.head; link; link = link->next) {
		struct request *request = link->data;

		router_profile_request(request, &request->memory);
		router_add_profile(&sum, &request->memory, 1);
	}
	upstream->own_memory = sum;
}

/// Gives the number of requests that other instances are thought to have sent
/// since the last report was taken. Where there is little room they all see
/// the same one, so they take turns: a report's room is used about once, not
/// once by each. This must not hang on a backlog of our own: an instance with
/// a backlog would leave the room to those without.
///
/// @param router    the router
/// @param upstream  the upstream
/// @return requests
static double
newcomers(const struct router *router, const struct upstream *upstream)
{
	const struct service *service = upstream->service;
	unsigned others = router_senders(router, service) - 1;
	double before_us = upstream->turn + upstream->sent_since * others;
	double lag;
	double sent;

	if (!upstream->reported || service->considered->len == 0)
		return 0;
	lag = (double)(router->now - upstream->sampled_at) / USEC_PER_SEC;
	sent = service->send_rate / service->considered->len;
	sent *= others * MAX(lag, 0);
	return MAX(sent, before_us * upstream->contention);
}

/// Projects an engine's memory use.
///
/// @param router    the router
/// @param upstream  an engine
/// @param unseen    requests of others since the report
/// @param extra     a request to be added, or NULL
/// @return the highest expected use as a share of the memory
static double
engine_pressure(const struct router *router, const struct upstream *upstream,
    double unseen, const struct request *extra)
{
	const struct service *service = upstream->service;
	double highest = 0;

	for (int i = 0; i < ROUTER_HORIZONS; i++) {
		double use = upstream->own_memory.at[i];
		double variance = upstream->own_memory.variance[i];

		use += upstream->others_tokens * service->keep.at[i];
		use += upstream->others * service->growth.at[i];
		use += unseen * service->newcomer.at[i];
		variance += upstream->others * service->keep.variance[i];
		variance += unseen * service->newcomer.variance[i];
		if (extra != NULL) {
			use += extra->memory.at[i];
			variance += extra->memory.variance[i];
		}
		use += router->spread * sqrt(MAX(variance, 0));
		highest = MAX(highest, use);
	}
	return highest / (double)upstream->options.memory_tokens;
}

/// Gives the requests on an upstream as a share of what it runs at a time.
/// Plain calls end sooner than reports come, so what is reported of others'
/// calls only tells upstreams with as many of our own apart.
///
/// @param router    the router
/// @param upstream  the upstream
/// @param extra     requests to be added
/// @return the share
static double
count_pressure(const struct router *router, const struct upstream *upstream,
    unsigned extra)
{
	double count = upstream->own.length + extra;

	if (upstream->options.kind == UPSTREAM_ENGINE)
		count += upstream->others + newcomers(router, upstream);
	else
		count += upstream->others * STALE_CALL_SHARE;
	return count / upstream->options.max_running;
}

/// Gives an upstream's projected load as a share of what it bears when warm.
///
/// @param router    the router
/// @param upstream  the upstream
/// @param extra     a request to be added, or NULL
/// @return 1 or less where it bears it
double
router_pressure(const struct router *router, const struct upstream *upstream,
    const struct request *extra)
{
	double count = count_pressure(router, upstream, extra != NULL);
	double unseen;

	if (upstream->options.kind != UPSTREAM_ENGINE ||
	    !router_projects(router))
		return count;
	unseen = newcomers(router, upstream);
	return MAX(count, engine_pressure(router, upstream, unseen, extra));
}

/// Gives the share of memory that a request must leave free. One that has
/// waited may use more of it: so the room goes to the instance whose requests
/// have waited longest, although the instances don't know of each other's
/// queues, and a long one is not passed for ever by short ones.
///
/// @param router   the router
/// @param request  the request
/// @return the share
static double
reserve_for(const struct router *router, const struct request *request)
{
	double age = (double)(router->now - request->since) / AGED_SPAN;
	double factor =
	    RESERVE_FRESH - (RESERVE_FRESH - RESERVE_AGED) * CLAMP(age, 0, 1);

	if (router->options.policy == ROUTER_POLICY_MEMORY_MEAN)
		factor = 1;
	return router->options.memory_reserve * factor;
}

/// Gives the number of plain calls that this instance may have running: twice
/// its even share, and twice as many again while the last report shows that
/// not all calls of the upstream are taken.
///
/// @param router    the router
/// @param upstream  a plain service
/// @return calls, 1 or more
static unsigned
call_limit(const struct router *router, const struct upstream *upstream)
{
	unsigned senders = router_senders(router, upstream->service);
	unsigned limit = upstream->options.max_running;
	unsigned shares = CALL_SHARES_FULL;

	if (upstream->report.running + upstream->report.waiting < limit)
		shares = CALL_SHARES_FREE;
	return MIN((shares * limit + senders - 1) / senders, limit);
}

/// Says whether a request may go to an upstream by its memory and count.
///
/// @param router    the router
/// @param upstream  the upstream
/// @param request   the request, with its profile
/// @param pressure  filled in: as router_pressure() with the request
/// @return whether it fits
bool
router_fits(const struct router *router, const struct upstream *upstream,
    const struct request *request, double *pressure)
{
	double memory;

	*pressure = count_pressure(router, upstream, 1);
	if (upstream->options.kind != UPSTREAM_ENGINE)
		return upstream->own.length < call_limit(router, upstream);
	if (*pressure > 1)
		return false;
	memory = engine_pressure(
	    router, upstream, newcomers(router, upstream), request);
	*pressure = MAX(*pressure, memory);
	if (upstream->own.length == 0 && upstream->others < 1)
		return request->memory.at[0] <=
		    (double)upstream->options.memory_tokens;
	return memory <= 1 - reserve_for(router, request);
}

/// Forgets when an upstream started, as after a restart.
///
/// @param upstream  the upstream
void
router_forget_start(struct upstream *upstream)
{
	upstream->start_seen[0] = USEC_NEVER;
	upstream->start_seen[1] = USEC_NEVER;
}

/// Dates a report: it was taken `uptime` after the start, and that start was
/// no later than any report of it says.
///
/// @param router    the router
/// @param upstream  the upstream
/// @param report    a report that has just come
/// @return when its figures were true, at the latest
static usec_t
date_report(const struct router *router, struct upstream *upstream,
    const struct router_report *report)
{
	usec_t start = router->now - report->uptime;
	usec_t sampled_at;

	if (router->now >= upstream->window_end) {
		upstream->window_end = router->now + START_WINDOW;
		upstream->start_seen[1] = upstream->start_seen[0];
		upstream->start_seen[0] = USEC_NEVER;
	}
	upstream->start_seen[0] = MIN(upstream->start_seen[0], start);
	start = MIN(upstream->start_seen[0], upstream->start_seen[1]);
	sampled_at = start + report->uptime;
	sampled_at = MAX(sampled_at, report->asked_at - SAMPLE_AGE_MAX);
	return MIN(sampled_at, report->asked_at);
}

/// Gives the number of instances that go before us at the room that a report
/// shows. All who have the same report work out the same order, unless each
/// considers a subset of its own.
///
/// @param router    the router
/// @param upstream  whose report
/// @param report    the report
/// @return 0 to the number of those that send to it less 1
static unsigned
turn_of(const struct router *router, const struct upstream *upstream,
    const struct router_report *report)
{
	unsigned n = router_senders(router, upstream->service);
	uint64_t first =
	    hash_pair(report->start_epoch, (uint64_t)report->uptime);

	if (!router->has_index || n < router->options.n_entries)
		return (unsigned)g_rand_int_range(
		    router->options.random, 0, (gint32)n);
	return (unsigned)((router->index + first) % n);
}

/// Takes a load report's figures into an upstream's record.
///
/// @param router    the router
/// @param upstream  the upstream
/// @param report    the report
void
router_take_report(struct router *router, struct upstream *upstream,
    const struct router_report *report)
{
	double own = 0;
	double own_tokens = 0;
	usec_t sampled_at = date_report(router, upstream, report);

	if (sampled_at != upstream->sampled_at)
		upstream->turn = turn_of(router, upstream, report);
	upstream->sampled_at = sampled_at;
	upstream->sent_since = 0;
	for (GList *link = upstream->own.head; link; link = link->next) {
		struct request *request = link->data;

		if (request->sent_at >= sampled_at) {
			upstream->sent_since++;
			continue;
		}
		own += 1;
		own_tokens += request->options.prompt_tokens + request->so_far;
	}
	upstream->report = *report;
	upstream->reported = true;
	upstream->others =
	    MAX((double)report->running + report->waiting - own, 0);
	upstream->others_tokens =
	    MAX((double)report->used_tokens - own_tokens, 0);
	if (upstream->others == 0)
		upstream->others_tokens = 0;
	if (!router_projects(router))
		return;
	router_update_own(upstream);
	if (upstream->options.kind == UPSTREAM_ENGINE &&
	    router->options.policy != ROUTER_POLICY_MEMORY_MEAN)
		upstream->contention =
		    CLAMP((engine_pressure(router, upstream, 0, NULL) -
			      CONTENTION_FROM) /
			    (CONTENTION_TO - CONTENTION_FROM),
			0, 1);
}
