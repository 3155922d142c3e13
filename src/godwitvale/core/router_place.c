/*
 * Placement of requests: chooses the upstream with the lowest projected
 * pressure among a random sample, the holders of the request's prefix and, if
 * none of these fits, the upstreams with the lowest pressure.
 */
#include "godwitvale/core/router_state.h"

#include "godwitvale/core/hash.h"

/// Number of upstreams sampled at random for each request.
#define RANDOM_CHOICES 3
/// Number of upstreams tried in order of pressure if no sampled one fits.
#define ORDERED_CHOICES 4
/// Maximum score bonus for a cached prefix, in units of pressure.
#define PREFIX_BONUS_MAX 0.15
/// Score penalty for each running generation, in units of pressure: all of
/// them are interrupted by the prefill of a new request.
#define GENERATION_PENALTY 0.03
/// Smoothing factor of the mean profile of sent requests, applied per send.
#define NEW_REQUEST_SMOOTHING 0.05

/// A request to be placed, and the best upstream found so far.
struct choice {
	const struct request *request;
	struct prefix_query prefix;
	struct upstream *upstream;
	double score;
};

/// Compares upstreams by pressure, then by handle.
///
/// @param left    struct upstream
/// @param right   struct upstream
/// @param unused  unused
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

/// Checks whether an upstream may get another request without a slot. With
/// slots in use only a warm one may; without them, a cold one may run this
/// instance's share of its limit.
///
/// @return true if it may
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

/// Computes the value of a request's prefix in an upstream's cache.
///
/// @param choice  holds the request and its prefix blocks
/// @return reduction of the score, in units of pressure
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

/// Evaluates one upstream for a request.
///
/// @param choice  updated if this upstream is better
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

/// Evaluates the upstreams that have about half of a request's prefix in their
/// caches.
///
/// @param choice  updated if one of them is better
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
/// @param request  the request, with its memory profile
/// @return the upstream, or NULL if none of those tried fits now
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
/// @param candidates  struct upstream, one or more
/// @param start       index to start at; varying it distributes ties
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
/// @param request  the request; its memory profile is updated
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

/// Updates the mean memory profile of requests just sent. Their number in a
/// span has a Poisson distribution, so the mean of the square is kept as the
/// variance.
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
/// @param request   the request, removed from the queue
/// @param upstream  destination of the request
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

/// Removes a request from its upstream.
///
/// @param request  the request; without an upstream nothing is done
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

/// Updates an upstream's pressure and its position in the order of pressure.
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

/// Updates the set of upstreams of a service that this instance considers:
/// those in service with the lowest ranks for this instance. Call it after each
/// change of the upstreams, of their state of service or of the subset size.
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

/// Notifies the embedder once when an upstream has become cold.
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
