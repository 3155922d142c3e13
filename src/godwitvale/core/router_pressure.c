/*
 * Load projection for upstreams: the expected memory use of an engine, from
 * its last report, the requests sent since and the expected growth and end of
 * running generations, and the number of requests of any upstream.
 */
#include "godwitvale/core/router_state.h"

#include <math.h>

#include "godwitvale/core/hash.h"

const uint32_t router_horizons[ROUTER_HORIZONS] = {
    0, 64, 256, 1024, 4096, 16384};

/// The start time is estimated from the reports of this window and the
/// previous one, so that the drift between two clocks does not accumulate.
#define START_TIME_WINDOW (30 * USEC_PER_SEC)
/// Maximum assumed age of a report's values at the time of its request.
#define SAMPLE_AGE_MAX (3 * USEC_PER_SEC)
/// Limit of plain calls of one instance, as a multiple of its even share, at
/// upstreams that are full and at those with unused capacity.
#define CALL_SHARES_FULL 2
#define CALL_SHARES_FREE 4
/// Range of pressure in which the weight of turn taking rises from 0 to 1.
#define CONTENTION_PRESSURE_MIN 0.6
#define CONTENTION_PRESSURE_MAX 0.9
/// Factors of the fixed reserve for a new request and for one that has waited
/// RESERVE_AGEING_SPAN or longer.
#define RESERVE_FACTOR_NEW 1.6
#define RESERVE_FACTOR_AGED 0.4
#define RESERVE_AGEING_SPAN (20.0 * USEC_PER_SEC)
/// Weight of a reported plain call of another instance.
#define REPORTED_CALL_WEIGHT 0.1

/// Returns the fraction of requests like this one that are still running at a
/// horizon.
///
/// @param ahead  generated tokens ahead
/// @return probability, 0 to 1
static double
compute_survival(const struct request *request, uint32_t ahead)
{
	uint32_t limit = request->options.max_tokens;

	if (limit != 0 && request->generated_tokens + ahead >= limit &&
	    ahead != 0)
		return 0;
	return estimate_survival(
	    request->series, request->generated_tokens, ahead);
}

/// Computes the expected memory of a request at each horizon.
///
/// @param memory  filled in, in tokens
void
router_project_request_memory(
    const struct request *request, struct memory_profile *memory)
{
	double current = (double)request->options.prompt_tokens +
	    request->generated_tokens + 1;

	for (int i = 0; i < ROUTER_HORIZONS; i++) {
		uint32_t ahead = router_horizons[i];
		double total = current + ahead;
		double survival = compute_survival(request, ahead);

		memory->mean[i] = total * survival;
		memory->variance[i] = total * total * survival * (1 - survival);
	}
}

/// Adds one profile to another.
///
/// @param sum     updated
/// @param memory  the profile to add
/// @param sign    1, or -1 to subtract it
void
router_add_memory_profile(struct memory_profile *sum,
    const struct memory_profile *memory, double sign)
{
	for (int i = 0; i < ROUTER_HORIZONS; i++) {
		sum->mean[i] += sign * memory->mean[i];
		sum->variance[i] += sign * memory->variance[i];
	}
}

/// Recomputes the memory of this instance's requests on an upstream.
///
/// @param upstream  an upstream; the profiles of its requests are updated
void
router_update_own_memory(struct upstream *upstream)
{
	struct memory_profile sum = {{0}, {0}};

	for (GList *link = upstream->own_requests.head; link;
	     link = link->next) {
		struct request *request = link->data;

		router_project_request_memory(request, &request->memory);
		router_add_memory_profile(&sum, &request->memory, 1);
	}
	upstream->own_memory = sum;
}

/// Estimates the number of requests that other instances have sent since the
/// last report was sampled. When capacity is scarce, all instances see the same
/// capacity in a report, so they take turns: it is then used about once in
/// total rather than once by each instance. The estimate must not depend on
/// this instance's own backlog: an instance with a backlog would leave the
/// capacity to those without.
///
/// @return expected number of requests
static double
estimate_unreported_requests(
    const struct router *router, const struct upstream *upstream)
{
	const struct service *service = upstream->service;
	unsigned n_others = router_count_senders(router, service) - 1;
	double sent_by_turns =
	    upstream->instances_ahead + upstream->sent_since_sample * n_others;
	double lag;
	double sent;

	if (!upstream->has_report || service->candidates->len == 0)
		return 0;
	lag = (double)(router->now - upstream->sampled_at) / USEC_PER_SEC;
	sent = service->send_rate / service->candidates->len;
	sent *= n_others * MAX(lag, 0);
	return MAX(sent, sent_by_turns * upstream->turn_weight);
}

/// Projects the memory use of an engine.
///
/// @param upstream    an engine
/// @param unreported  requests of other instances since the report
/// @param extra       a request to be added, or NULL
/// @return highest expected use at any horizon, as a fraction of the memory
static double
project_engine_pressure(const struct router *router,
    const struct upstream *upstream, double unreported,
    const struct request *extra)
{
	const struct service *service = upstream->service;
	double highest = 0;

	for (int i = 0; i < ROUTER_HORIZONS; i++) {
		double use = upstream->own_memory.mean[i];
		double variance = upstream->own_memory.variance[i];

		use += upstream->other_tokens * service->retention.mean[i];
		use += upstream->other_requests * service->growth.mean[i];
		use += unreported * service->new_request.mean[i];
		variance +=
		    upstream->other_requests * service->retention.variance[i];
		variance += unreported * service->new_request.variance[i];
		if (extra != NULL) {
			use += extra->memory.mean[i];
			variance += extra->memory.variance[i];
		}
		use += router->headroom_deviations * sqrt(MAX(variance, 0));
		highest = MAX(highest, use);
	}
	return highest / (double)upstream->options.memory_tokens;
}

/// Computes the number of requests on an upstream as a fraction of its
/// concurrent request limit. Plain calls usually end before the next report, so
/// the reported calls of other instances get a low weight: they only
/// distinguish upstreams with equally many requests of this instance.
///
/// @param extra  number of requests to be added
/// @return fraction of max_running
static double
compute_count_pressure(const struct router *router,
    const struct upstream *upstream, unsigned extra)
{
	double count = upstream->own_requests.length + extra;

	if (upstream->options.kind == UPSTREAM_ENGINE)
		count += upstream->other_requests +
		    estimate_unreported_requests(router, upstream);
	else
		count += upstream->other_requests * REPORTED_CALL_WEIGHT;
	return count / upstream->options.max_running;
}

/// Computes the projected load of an upstream as a fraction of its capacity
/// when warm.
///
/// @param extra  a request to be added, or NULL
/// @return 1 or less if the load is within the capacity
double
router_compute_pressure(const struct router *router,
    const struct upstream *upstream, const struct request *extra)
{
	double count = compute_count_pressure(router, upstream, extra != NULL);
	double unreported;

	if (upstream->options.kind != UPSTREAM_ENGINE ||
	    !router_projects_memory(router))
		return count;
	unreported = estimate_unreported_requests(router, upstream);
	return MAX(count,
	    project_engine_pressure(router, upstream, unreported, extra));
}

/// Computes the fraction of memory that must stay free when a request is
/// placed. It decreases with the request's wait time. Thus the capacity goes to
/// the instance whose requests have waited longest, although the instances do
/// not know each other's queues, and a long request is not overtaken
/// indefinitely by short ones.
///
/// @return fraction of the memory
static double
compute_memory_reserve(
    const struct router *router, const struct request *request)
{
	double age =
	    (double)(router->now - request->submitted_at) / RESERVE_AGEING_SPAN;
	double factor = RESERVE_FACTOR_NEW -
	    (RESERVE_FACTOR_NEW - RESERVE_FACTOR_AGED) * CLAMP(age, 0, 1);

	if (router->options.policy == ROUTER_POLICY_MEMORY_MEAN)
		factor = 1;
	return router->options.memory_reserve * factor;
}

/// Computes the number of plain calls that this instance may run concurrently:
/// twice its even share, and four times while the last report shows unused
/// capacity.
///
/// @param upstream  a plain service
/// @return number of calls, 1 or more
static unsigned
compute_call_limit(const struct router *router, const struct upstream *upstream)
{
	unsigned senders = router_count_senders(router, upstream->service);
	unsigned limit = upstream->options.max_running;
	unsigned shares = CALL_SHARES_FULL;

	if (upstream->report.running + upstream->report.waiting < limit)
		shares = CALL_SHARES_FREE;
	return MIN((shares * limit + senders - 1) / senders, limit);
}

/// Checks whether the memory and the request limit of an upstream allow another
/// request.
///
/// @param request   the request, with its memory profile
/// @param pressure  filled in: load including the request, as computed by
///                  router_compute_pressure()
/// @return true if the request fits
bool
router_request_fits(const struct router *router,
    const struct upstream *upstream, const struct request *request,
    double *pressure)
{
	double memory;

	*pressure = compute_count_pressure(router, upstream, 1);
	if (upstream->options.kind != UPSTREAM_ENGINE)
		return upstream->own_requests.length <
		    compute_call_limit(router, upstream);
	if (*pressure > 1)
		return false;
	memory = project_engine_pressure(router, upstream,
	    estimate_unreported_requests(router, upstream), request);
	*pressure = MAX(*pressure, memory);
	if (upstream->own_requests.length == 0 && upstream->other_requests < 1)
		return request->memory.mean[0] <=
		    (double)upstream->options.memory_tokens;
	return memory <= 1 - compute_memory_reserve(router, request);
}

/// Discards what is known of an upstream's start time, for example after a
/// restart.
void
router_reset_start_time(struct upstream *upstream)
{
	upstream->earliest_start[0] = USEC_NEVER;
	upstream->earliest_start[1] = USEC_NEVER;
}

/// Estimates when a report was sampled: `uptime` after the upstream's start,
/// which is taken to be the earliest start time that recent reports imply.
///
/// @param upstream  an upstream; its start time window is updated
/// @param report    a report that has just arrived
/// @return latest time at which its values can have been sampled
usec_t
router_estimate_sample_time(const struct router *router,
    struct upstream *upstream, const struct router_load_report *report)
{
	usec_t start = router->now - report->uptime;
	usec_t sampled_at;

	if (router->now >= upstream->start_window_end) {
		upstream->start_window_end = router->now + START_TIME_WINDOW;
		upstream->earliest_start[1] = upstream->earliest_start[0];
		upstream->earliest_start[0] = USEC_NEVER;
	}
	upstream->earliest_start[0] = MIN(upstream->earliest_start[0], start);
	start = MIN(upstream->earliest_start[0], upstream->earliest_start[1]);
	sampled_at = start + report->uptime;
	sampled_at = MAX(sampled_at, report->requested_at - SAMPLE_AGE_MAX);
	return MIN(sampled_at, report->requested_at);
}

/// Returns the number of instances that are ahead of this one in using the
/// capacity shown in a report. All instances derive the same order from the
/// same report, unless each considers a subset of its own; then the order is
/// random.
///
/// @param upstream  upstream of the report
/// @param report    the report
/// @return 0 to the number of instances that send to the upstream less 1
static unsigned
count_instances_ahead(const struct router *router,
    const struct upstream *upstream, const struct router_load_report *report)
{
	unsigned n_senders = router_count_senders(router, upstream->service);
	uint64_t offset =
	    hash_pair(report->start_epoch, (uint64_t)report->uptime);

	if (!router->has_instance_index ||
	    n_senders < router->options.n_instances)
		return (unsigned)g_rand_int_range(
		    router->options.random, 0, (gint32)n_senders);
	return (unsigned)((router->instance_index + offset) % n_senders);
}

/// Updates an upstream's record from a load report.
///
/// @param report  its newest report
void
router_apply_report(struct router *router, struct upstream *upstream,
    const struct router_load_report *report)
{
	double own = 0;
	double own_tokens = 0;
	usec_t sampled_at =
	    router_estimate_sample_time(router, upstream, report);

	if (sampled_at != upstream->sampled_at)
		upstream->instances_ahead =
		    count_instances_ahead(router, upstream, report);
	upstream->sampled_at = sampled_at;
	upstream->sent_since_sample = 0;
	for (GList *link = upstream->own_requests.head; link;
	     link = link->next) {
		struct request *request = link->data;

		if (request->sent_at >= sampled_at) {
			upstream->sent_since_sample++;
			continue;
		}
		own += 1;
		own_tokens +=
		    request->options.prompt_tokens + request->generated_tokens;
	}
	upstream->report = *report;
	upstream->has_report = true;
	upstream->other_requests =
	    MAX((double)report->running + report->waiting - own, 0);
	upstream->other_tokens =
	    MAX((double)report->used_tokens - own_tokens, 0);
	if (upstream->other_requests == 0)
		upstream->other_tokens = 0;
	if (!router_projects_memory(router))
		return;
	router_update_own_memory(upstream);
	if (upstream->options.kind == UPSTREAM_ENGINE &&
	    router->options.policy != ROUTER_POLICY_MEMORY_MEAN)
		upstream->turn_weight =
		    CLAMP((project_engine_pressure(router, upstream, 0, NULL) -
			      CONTENTION_PRESSURE_MIN) /
			    (CONTENTION_PRESSURE_MAX - CONTENTION_PRESSURE_MIN),
			0, 1);
}
