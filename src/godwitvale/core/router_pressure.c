/*
 * How full an engine's memory will be: what it reported, what was sent since,
 * and how the running generations are expected to grow and end.
 */
#include "godwitvale/core/router_state.h"

#include <math.h>

const uint32_t router_horizons[ROUTER_HORIZONS] = {
    0, 64, 256, 1024, 4096, 16384};

/// The mean of the running requests moves by this share at each survey.
#define SURVEY_SHARE 0.3
/// The mean of what is sent moves by this share at each send.
#define NEWCOMER_SHARE 0.05

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

		memory->at[i] = (now + ahead) * runs_on(request, ahead);
	}
}

/// Sums up the memory of our own requests on an upstream anew.
///
/// @param upstream  the upstream
void
router_update_own(struct upstream *upstream)
{
	struct memory_profile sum = {{0}};

	for (GList *link = upstream->own.head; link; link = link->next) {
		struct request *request = link->data;

		router_profile_request(request, &request->memory);
		for (int i = 0; i < ROUTER_HORIZONS; i++)
			sum.at[i] += request->memory.at[i];
	}
	upstream->own_memory = sum;
}

/// Gives the number of requests that other instances are thought to have sent
/// since the last report was asked for.
///
/// @param router    the router
/// @param upstream  the upstream
/// @return requests
static double
newcomers(const struct router *router, const struct upstream *upstream)
{
	const struct service *service = upstream->service;
	double lag;
	double rate;

	if (!upstream->reported || service->considered->len == 0)
		return 0;
	lag = (double)(router->now - upstream->report.asked_at) / USEC_PER_SEC;
	rate = service->send_rate / service->considered->len;
	return rate * (router->options.n_entries - 1) * MAX(lag, 0);
}

/// Projects an engine's memory use.
///
/// @param router    the router
/// @param upstream  an engine
/// @param extra     a request to be added, or NULL
/// @return the highest expected use as a share of the memory
static double
engine_pressure(const struct router *router, const struct upstream *upstream,
    const struct request *extra)
{
	const struct service *service = upstream->service;
	double unseen = newcomers(router, upstream);
	double highest = 0;

	for (int i = 0; i < ROUTER_HORIZONS; i++) {
		double use = upstream->own_memory.at[i];

		use += upstream->others_tokens * service->keep.at[i];
		use += upstream->others * service->growth.at[i];
		use += unseen * service->newcomer.at[i];
		if (extra != NULL)
			use += extra->memory.at[i];
		highest = MAX(highest, use);
	}
	return highest / (double)upstream->options.memory_tokens;
}

/// Gives the requests on an upstream as a share of what it runs at a time.
///
/// @param router    the router
/// @param upstream  the upstream
/// @param extra     requests to be added
/// @return the share
static double
count_pressure(const struct router *router, const struct upstream *upstream,
    unsigned extra)
{
	double count = upstream->others + newcomers(router, upstream);

	count += g_queue_get_length((GQueue *)&upstream->own) + extra;
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

	if (upstream->options.kind != UPSTREAM_ENGINE)
		return count;
	return MAX(count, engine_pressure(router, upstream, extra));
}

/// Says whether a request may go to an upstream by its memory and count.
///
/// @param router    the router
/// @param upstream  the upstream
/// @param request   the request, with its profile
/// @return whether it fits
bool
router_fits(const struct router *router, const struct upstream *upstream,
    const struct request *request)
{
	double reserve = router->options.memory_reserve;
	bool idle;

	if (count_pressure(router, upstream, 1) > 1)
		return false;
	if (upstream->options.kind != UPSTREAM_ENGINE)
		return true;
	idle = upstream->own.length == 0 && upstream->others < 1;
	if (idle)
		return request->memory.at[0] <=
		    (double)upstream->options.memory_tokens;
	return engine_pressure(router, upstream, request) <= 1 - reserve;
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

	for (GList *link = upstream->own.head; link; link = link->next) {
		struct request *request = link->data;

		if (request->sent_at >= report->asked_at)
			continue;
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
	router_update_own(upstream);
	(void)router;
}

/// Moves a mean towards a value.
///
/// @param mean   changed in place
/// @param value  newest value
/// @param share  how far
static void
blend(double *mean, double value, double share)
{
	*mean += (value - *mean) * share;
}

/// Learns from our own running requests how those of other instances, which
/// are drawn from the same mix, will grow and end.
///
/// @param router   the router
/// @param service  the service
void
router_survey(struct router *router, struct service *service)
{
	double span =
	    (double)(router->now - router->surveyed_at) / USEC_PER_SEC;
	double n = 0;
	double tokens = 0;
	struct memory_profile kept = {{0}};
	struct memory_profile grown = {{0}};

	for (guint i = 0; i < service->all->len; i++) {
		struct upstream *upstream = service->all->pdata[i];

		for (GList *link = upstream->own.head; link;
		     link = link->next) {
			struct request *request = link->data;
			double now = request->memory.at[0];

			n += 1;
			tokens += now;
			for (int h = 0; h < ROUTER_HORIZONS; h++) {
				double whole = now + router_horizons[h];
				double on = request->memory.at[h] / whole;

				kept.at[h] += now * on;
				grown.at[h] += router_horizons[h] * on;
			}
		}
	}
	if (span > 0)
		blend(&service->send_rate, service->sends / span, SURVEY_SHARE);
	service->sends = 0;
	for (int h = 0; h < ROUTER_HORIZONS && tokens > 0; h++) {
		blend(&service->keep.at[h], kept.at[h] / tokens, SURVEY_SHARE);
		blend(&service->growth.at[h], grown.at[h] / n, SURVEY_SHARE);
	}
}
