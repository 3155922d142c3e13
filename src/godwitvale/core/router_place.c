/*
 * Placement of requests: chooses the upstream for each request and keeps the
 * records of the requests placed at each upstream. The memory policies score
 * upstreams by projected pressure, cached prefix and running generations, and
 * choose the one with the best score among a random sample and the upstreams
 * that hold the request's prefix. If none of these can take the request, they
 * try the upstreams with the lowest pressure. Pressure is the projected load of
 * an upstream as a fraction of its capacity: at 1, the upstream is full.
 */
#include "godwitvale/core/router_state.h"

#include "godwitvale/core/hash.h"

/// Number of upstreams sampled at random for each request.
#define RANDOM_CHOICES 3
/// Number of upstreams tried, lowest pressure first, if no sampled upstream
/// and no holder of the prefix can take the request.
#define ORDERED_CHOICES 4
/// Maximum score bonus for a cached prefix, as a fraction of the upstream's
/// capacity (the scale of pressure).
#define PREFIX_BONUS_MAX 0.15
/// Score penalty for each generation that runs on the engine, as a fraction of
/// the engine's capacity: the prefill of a new request interrupts all of them.
#define GENERATION_PENALTY 0.03
/// Smoothing factor of the mean memory profile and the mean prompt length of
/// sent requests, applied at each send.
#define NEW_REQUEST_SMOOTHING 0.05

/// A request to be placed, and the best upstream found so far.
struct choice {
	const struct request *request;
	struct prefix_query prefix; /// prefix blocks of `request`
	struct upstream *upstream;  /// best upstream so far, or NULL
	/// score of `upstream`, on the scale of pressure; lower is better
	double score;
};

/// Compares upstreams by pressure, then by handle.
///
/// @param left    struct upstream
/// @param right   struct upstream
/// @param unused  required by GSequence
/// @return negative, 0 or positive, as strcmp()
static int
compare_pressure(gconstpointer left, gconstpointer right, gpointer unused)
{
	const struct upstream *a = left;
	const struct upstream *b = right;

	(void)unused;
	if (a->pressure != b->pressure)
		return a->pressure < b->pressure ? -1 : 1;
	return a->handle < b->handle ? -1 : a->handle > b->handle;
}

/// Compares upstreams by rank.
///
/// @param left   pointer to struct upstream
/// @param right  pointer to struct upstream
/// @return negative, 0 or positive, as strcmp()
static int
compare_upstream_ranks(gconstpointer left, gconstpointer right)
{
	const struct upstream *a = *(struct upstream *const *)left;
	const struct upstream *b = *(struct upstream *const *)right;

	return a->rank < b->rank ? -1 : a->rank > b->rank;
}

/// Checks whether an upstream may get another request without a slot lease. If
/// the router uses slots, only a warm upstream may. Otherwise a cold upstream
/// may as well, up to this instance's share of its request limit.
///
/// @return true if the upstream may get the request
static bool
accepts_without_slot(
    const struct router *router, const struct upstream *upstream)
{
	uint32_t limit = warmup_limit(&upstream->warmup, router->now);
	uint32_t share;

	if (limit >= upstream->options.max_running)
		return true;
	if (router->options.use_slots)
		return false;
	share = limit / router_count_senders(router, upstream->service);
	return upstream->own_requests.length < MAX(share, 1);
}

/// Computes the score bonus for the part of a request's prefix that an
/// upstream holds in its cache.
///
/// @param choice  contains the request and its prefix blocks
/// @return bonus, 0 to PREFIX_BONUS_MAX, as a fraction of the upstream's
///         capacity
static double
compute_prefix_bonus(struct router *router, const struct upstream *upstream,
    const struct choice *choice)
{
	const struct router_request_options *options =
	    &choice->request->options;
	double cached_fraction;
	double bonus;

	if (choice->prefix.n_blocks == 0)
		return 0;
	cached_fraction = prefix_estimate_match(router->prefix, router->now,
			      &choice->prefix, upstream->handle) /
	    options->n_prefix;
	bonus = router->options.prefix_weight * cached_fraction *
	    options->prompt_tokens / (double)upstream->options.memory_tokens;
	return MIN(bonus, PREFIX_BONUS_MAX);
}

/// Computes the score of an upstream for a request and makes the upstream the
/// choice if it can take the request now and has the best score so far.
///
/// @param choice  contains the request; updated if this upstream is better
static void
evaluate_upstream(
    struct router *router, struct upstream *upstream, struct choice *choice)
{
	double score;

	if (!upstream->is_candidate ||
	    !accepts_without_slot(router, upstream) ||
	    !router_request_fits(router, upstream, choice->request, &score))
		return;
	score -= compute_prefix_bonus(router, upstream, choice);
	if (upstream->options.kind == UPSTREAM_ENGINE &&
	    router->options.policy != ROUTER_POLICY_MEMORY_MEAN)
		score += GENERATION_PENALTY *
		    (upstream->other_requests + upstream->own_requests.length);
	if (choice->upstream != NULL && score >= choice->score)
		return;
	choice->upstream = upstream;
	choice->score = score;
}

/// Evaluates the upstreams that hold the middle block of a request's prefix in
/// their caches, among those prefix blocks that the prefix index contains.
///
/// @param choice  contains the request and its prefix blocks; updated if one of
///                these upstreams is better
static void
evaluate_prefix_holders(struct router *router, struct choice *choice)
{
	uint32_t holders[PREFIX_HOLDERS_MAX];
	unsigned n_holders = prefix_list_holders(router->prefix, router->now,
	    &choice->prefix, choice->prefix.n_blocks / 2, holders);

	for (unsigned i = 0; i < n_holders; i++) {
		struct upstream *upstream =
		    handle_table_get(router->upstreams, holders[i]);

		if (upstream != NULL &&
		    upstream->service == choice->request->service)
			evaluate_upstream(router, upstream, choice);
	}
}

/// Chooses an upstream by the memory policies.
///
/// @param request  a request whose memory profile is up to date
/// @return the upstream, or NULL if no tried upstream can take the request now
static struct upstream *
choose_by_memory(struct router *router, const struct request *request)
{
	GPtrArray *candidates = request->service->candidates;
	struct choice choice = {.request = request};
	GSequenceIter *iter;

	if (router->options.prefix_weight > 0)
		prefix_find_blocks(router->prefix, request->options.prefix,
		    request->options.n_prefix, &choice.prefix);
	for (int i = 0; i < RANDOM_CHOICES; i++) {
		gint32 index = g_rand_int_range(
		    router->options.random, 0, (gint32)candidates->len);

		evaluate_upstream(router, candidates->pdata[index], &choice);
	}
	evaluate_prefix_holders(router, &choice);
	if (choice.upstream != NULL)
		return choice.upstream;
	iter = g_sequence_get_begin_iter(request->service->by_pressure);
	for (int i = 0; i < ORDERED_CHOICES; i++) {
		if (g_sequence_iter_is_end(iter))
			break;
		evaluate_upstream(router, g_sequence_get(iter), &choice);
		iter = g_sequence_iter_next(iter);
	}
	return choice.upstream;
}

/// Chooses the upstream with the fewest requests of this instance.
///
/// @param candidates  struct upstream, at least one
/// @param start       index at which the search starts; a different start for
///                    each request distributes requests among equal upstreams
/// @return the upstream
static struct upstream *
choose_least_outstanding(GPtrArray *candidates, unsigned start)
{
	struct upstream *best = NULL;

	for (guint i = 0; i < candidates->len; i++) {
		struct upstream *upstream =
		    candidates->pdata[(start + i) % candidates->len];

		if (best == NULL ||
		    upstream->own_requests.length < best->own_requests.length)
			best = upstream;
	}
	return best;
}

/// Chooses the upstream to which a request is sent now.
///
/// @param request  the request; memory policies update its memory profile
/// @return the upstream, or NULL if the request must wait
struct upstream *
router_choose_upstream(struct router *router, struct request *request)
{
	struct service *service = request->service;

	if (service->candidates->len == 0)
		return NULL;
	switch (router->options.policy) {
	case ROUTER_POLICY_ROUND_ROBIN:
		return service->candidates
		    ->pdata[service->next_index++ % service->candidates->len];
	case ROUTER_POLICY_LEAST_OUTSTANDING:
		return choose_least_outstanding(
		    service->candidates, service->next_index++);
	case ROUTER_POLICY_MEMORY:
	default:
		router_project_request_memory(request, &request->memory);
		return choose_by_memory(router, request);
	}
}

/// Updates a service's mean memory profile and mean prompt length of requests
/// just sent. The number of requests sent in a span has a Poisson distribution.
/// The variance of their total memory is therefore their expected number times
/// the mean square of one request's memory, which is kept as the variance.
///
/// @param service  service of the request
/// @param request  a request that is being sent
static void
update_new_request_profile(
    struct service *service, const struct request *request)
{
	struct memory_profile *profile = &service->new_request;
	double prompt = request->options.prompt_tokens;

	service->mean_prompt +=
	    (prompt - service->mean_prompt) * NEW_REQUEST_SMOOTHING;
	for (int i = 0; i < ROUTER_HORIZONS; i++) {
		double memory = request->memory.mean[i];
		double square = memory * memory + request->memory.variance[i];

		profile->mean[i] +=
		    (memory - profile->mean[i]) * NEW_REQUEST_SMOOTHING;
		profile->variance[i] +=
		    (square - profile->variance[i]) * NEW_REQUEST_SMOOTHING;
	}
}

/// Assigns a request to an upstream and puts its SEND into the outbox.
///
/// @param request   a request that has been removed from the queue
/// @param upstream  upstream that is to run the request
void
router_place_request(
    struct router *router, struct request *request, struct upstream *upstream)
{
	struct service *service = request->service;
	struct router_action action = {.type = ROUTER_ACTION_SEND,
	    .request = request->handle,
	    .upstream = upstream->handle};

	router_project_request_memory(request, &request->memory);
	request->state = REQUEST_SENDING;
	request->upstream = upstream;
	request->restarts_at_send = upstream->n_restarts;
	request->sent_at = router->now;
	request->generated_tokens = 0;
	request->own_link.data = request;
	g_queue_push_tail_link(&upstream->own_requests, &request->own_link);
	router_add_memory_profile(&upstream->own_memory, &request->memory, 1);
	update_new_request_profile(service, request);
	service->sends_since_update += 1;
	upstream->sent_since_sample++;
	if (router->options.prefix_weight > 0)
		prefix_assume_stored(router->prefix, router->now,
		    upstream->handle, request->options.prefix,
		    request->options.n_prefix);
	router_update_pressure(router, upstream);
	router_push_action(router, &action);
}

/// Removes a request from the records of its upstream and releases the slot
/// that the request holds.
///
/// @param request  the request; unchanged if it is not placed at an upstream
void
router_detach_request(struct router *router, struct request *request)
{
	struct upstream *upstream = request->upstream;

	if (upstream == NULL)
		return;
	router_release_slot(router, request);
	request->upstream = NULL;
	g_queue_unlink(&upstream->own_requests, &request->own_link);
	router_add_memory_profile(&upstream->own_memory, &request->memory, -1);
	router_update_pressure(router, upstream);
}

/// Recomputes an upstream's pressure and updates the upstream's position among
/// the candidates sorted by pressure.
void
router_update_pressure(struct router *router, struct upstream *upstream)
{
	GSequence *order = upstream->service->by_pressure;

	upstream->pressure = router_compute_pressure(router, upstream, NULL);
	if (!upstream->is_candidate) {
		if (upstream->pressure_iter != NULL)
			g_sequence_remove(upstream->pressure_iter);
		upstream->pressure_iter = NULL;
	} else if (upstream->pressure_iter != NULL) {
		g_sequence_sort_changed(
		    upstream->pressure_iter, compare_pressure, NULL);
	} else {
		upstream->pressure_iter = g_sequence_insert_sorted(
		    order, upstream, compare_pressure, NULL);
	}
}

/// Updates the candidates of a service: the upstreams in service with the
/// lowest ranks for this instance. Call this function after an upstream is
/// added, removed, put into service or taken out of service, and after a change
/// of the subset size.
void
router_update_candidates(struct router *router, struct service *service)
{
	unsigned limit = router->options.subset;

	g_ptr_array_set_size(service->candidates, 0);
	g_ptr_array_sort(service->upstreams, compare_upstream_ranks);
	service->max_memory = 0;
	service->n_in_service = 0;
	for (guint i = 0; i < service->upstreams->len; i++) {
		struct upstream *upstream = service->upstreams->pdata[i];

		service->n_in_service += upstream->in_service;
		upstream->is_candidate = upstream->in_service &&
		    (limit == 0 || service->candidates->len < limit);
		if (upstream->is_candidate)
			g_ptr_array_add(service->candidates, upstream);
		service->max_memory =
		    MAX(service->max_memory, upstream->options.memory_tokens);
		router_update_pressure(router, upstream);
	}
}

/// Queues a REPORT_COLD action if an upstream was warm at the last call and has
/// become cold.
void
router_notify_upstream_cold(struct router *router, struct upstream *upstream)
{
	bool cold = warmup_is_cold(&upstream->warmup, router->now);
	struct router_action action = {
	    .type = ROUTER_ACTION_REPORT_COLD, .upstream = upstream->handle};

	if (cold && !upstream->was_cold)
		router_push_action(router, &action);
	upstream->was_cold = cold;
}
