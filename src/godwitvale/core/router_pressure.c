/*
 * Load projection for upstreams. The projected load of an upstream, its
 * pressure, is a fraction of the upstream's capacity when warm. For a plain
 * service it is the number of requests; for an engine it is the number of
 * requests or the expected memory use, whichever is closer to the limit. The
 * memory projection combines the engine's last load report, the requests sent
 * after the report was sampled, and the expected growth and end of the running
 * generations.
 */
#include "godwitvale/core/router_state.h"

#include <math.h>

#include "godwitvale/core/hash.h"

const uint32_t router_horizons[ROUTER_HORIZONS] = {
    0, 64, 256, 1024, 4096, 16384};

/// Length of a window. An upstream's start time is estimated from the reports
/// of the current window and the previous window, so that the drift between
/// the clocks of the upstream and of this instance does not accumulate.
#define START_TIME_WINDOW (30 * USEC_PER_SEC)
/// A load report is assumed to have been sampled at most this long before this
/// instance requested the report.
#define SAMPLE_AGE_MAX (3 * USEC_PER_SEC)
/// Maximum number of concurrent plain calls of one instance at an upstream, as
/// a multiple of the instance's even share of the upstream's request limit: at
/// an upstream that is full and at an upstream that has unused capacity.
#define CALL_SHARES_FULL 2
#define CALL_SHARES_FREE 4
/// Range of an engine's memory pressure (projected use as a fraction of its
/// memory) in which the weight of turn taking rises from 0 to 1.
#define CONTENTION_PRESSURE_MIN 0.6
#define CONTENTION_PRESSURE_MAX 0.9
/// Factors by which memory_reserve is multiplied: for a request that was just
/// submitted and for a request submitted RESERVE_AGEING_SPAN ago or earlier.
#define RESERVE_FACTOR_NEW 1.6
#define RESERVE_FACTOR_AGED 0.4
#define RESERVE_AGEING_SPAN (20.0 * USEC_PER_SEC)
/// Weight of another instance's plain call, as reported by the upstream, in
/// the number of requests; a plain call of this instance has the weight 1.
#define REPORTED_CALL_WEIGHT 0.1

/// Returns the probability that a request is still running after its engine
/// has generated further tokens for it.
///
/// @param request  the request, with the number of tokens generated so far
/// @param ahead    number of further tokens
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

/// Computes the expected memory use of a request at each horizon.
///
/// @param memory  filled in with means and variances, in tokens
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

/// Adds a memory profile to another or subtracts it.
///
/// @param sum     updated
/// @param memory  profile that is added to or subtracted from `sum`
/// @param sign    1 to add, -1 to subtract
void
router_add_memory_profile(struct memory_profile *sum,
    const struct memory_profile *memory, double sign)
{
	for (int i = 0; i < ROUTER_HORIZONS; i++) {
		sum->mean[i] += sign * memory->mean[i];
		sum->variance[i] += sign * memory->variance[i];
	}
}

/// Recomputes the memory profile of this instance's requests at an upstream.
///
/// @param upstream  the upstream; the memory profile of each of these requests
///                  is updated as well
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

/// Estimates the number of requests that other instances have sent to an
/// upstream since its last load report was sampled. All instances see the same
/// free capacity in a report. When capacity is scarce, they take turns, so that
/// the free capacity is used about once in total rather than once by each
/// instance. The estimate must not depend on this instance's own backlog:
/// otherwise an instance with a backlog would leave the capacity to instances
/// without one.
///
/// @return expected number of requests; 0 before the first report
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

/// Projects the memory use of an engine, including the headroom for the
/// uncertainty of the projection.
///
/// @param upstream    an engine
/// @param unreported  expected number of requests that other instances have
///                    sent since the last report was sampled
/// @param extra       a further request to include in the projection, or NULL
/// @return highest projected use at any horizon, as a fraction of the engine's
///         memory
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

/// Computes the number of requests at an upstream as a fraction of the limit
/// that applies when the upstream is warm. Plain calls usually end before the
/// next load report, so the reported calls of other instances get a low weight:
/// they only distinguish upstreams that run equally many requests of this
/// instance.
///
/// @param extra  number of further requests to include
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

/// Computes the pressure of an upstream: its projected load as a fraction of
/// its capacity when warm. The memory policies project the number of requests
/// and the memory use of an engine and return the higher fraction; the baseline
/// policies use only the number of requests.
///
/// @param extra  a further request to include in the projection, or NULL
/// @return pressure, from 0; above 1 if the load exceeds the capacity
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

/// Computes the fraction of an engine's memory that must stay free when a
/// request is placed there. The fraction decreases with the time since the
/// request was submitted. Thus the capacity goes to the instance whose requests
/// have waited longest, although the instances do not know each other's queues,
/// and short requests do not overtake a long request indefinitely.
///
/// @return fraction of the engine's memory
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

/// Computes the number of plain calls that this instance may run concurrently
/// at an upstream: twice its even share of the upstream's request limit, or
/// four times its even share while the last load report shows unused capacity,
/// but no more than the whole limit.
///
/// @param upstream  an upstream that is a plain service
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
/// request. An engine that runs no other request takes any request whose
/// expected memory at present is within the engine's memory.
///
/// @param request   a request whose memory profile is up to date
/// @param pressure  filled in with the projected load including the request, as
///                  a fraction of the upstream's capacity
/// @return true if the upstream can take the request
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

/// Discards the start times of an upstream that earlier load reports imply, for
/// example after a restart.
void
router_reset_start_time(struct upstream *upstream)
{
	upstream->earliest_start[0] = USEC_NEVER;
	upstream->earliest_start[1] = USEC_NEVER;
}

/// Estimates when the values of a load report were sampled: `uptime` after the
/// upstream's start. Each report implies a start time that is too late by the
/// report's delay, so the earliest start time that recent reports imply is
/// used.
///
/// @param upstream  the reporting upstream; its start time window is updated
/// @param report    a report that has just arrived
/// @return estimated sample time on the local clock, at most SAMPLE_AGE_MAX
///         before the request for the report and no later than this request
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

/// Returns the number of instances whose turn at the free capacity shown in a
/// load report comes before the turn of this instance. All instances derive the
/// same order from the same report. The turn is random if this instance has no
/// position in the list of instances or if each instance considers a subset of
/// its own.
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

/// Updates an upstream's record from a load report: the load by other
/// instances, the turn of this instance, and with a memory policy also the
/// projected memory use of this instance's requests.
///
/// @param report  newest report of the upstream, copied
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
