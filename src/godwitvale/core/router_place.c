/*
 * Where a request goes: the least projected pressure among a few upstreams
 * drawn at random, those that hold its prefix, and the least loaded ones.
 */
#include "godwitvale/core/router_state.h"

#include "godwitvale/core/hash.h"

/// Upstreams drawn at random for each request.
#define RANDOM_CHOICES 3
/// Upstreams tried in order of pressure where those drawn don't fit.
#define ORDERED_CHOICES 4
/// A cached prefix is worth at most this much pressure.
#define PREFIX_SPREAD_MAX 0.15
/// What each running generation weighs in units of pressure: all of them pause
/// for the prefill of the one that joins.
#define INTERRUPTED_WEIGHT 0.03
/// The mean memory of what is sent moves by this share at each send.
#define NEWCOMER_SHARE 0.05

/// What a request is chosen for, and the best upstream found so far.
struct choice {
	const struct request *request;
	struct prefix_query prefix;
	struct upstream *upstream;
	double score;
};

/// Orders upstreams by pressure, then by handle.
///
/// @param left    struct upstream
/// @param right   struct upstream
/// @param unused  unused
/// @return as strcmp()
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

/// Orders upstreams by rank.
///
/// @param left   pointer to struct upstream
/// @param right  pointer to struct upstream
/// @return as strcmp()
static int
compare_rank(gconstpointer left, gconstpointer right)
{
	const struct upstream *a = *(struct upstream *const *)left;
	const struct upstream *b = *(struct upstream *const *)right;

	return a->rank < b->rank ? -1 : a->rank > b->rank;
}

/// Says whether a cold upstream may take one more without a slot.
///
/// @param router    the router
/// @param upstream  the upstream
/// @return whether it may
static bool
bears_more(const struct router *router, const struct upstream *upstream)
{
	uint32_t limit = warmup_limit(&upstream->warmup, router->now);
	uint32_t share;

	if (limit >= upstream->options.max_running)
		return true;
	if (router->options.use_slots)
		return false;
	share = limit / router_senders(router, upstream->service);
	return upstream->own.length < MAX(share, 1);
}

/// Gives the worth of an upstream's cached prefix of a request.
///
/// @param router    the router
/// @param upstream  the upstream
/// @param choice    what it is for
/// @return worth in units of pressure
static double
prefix_worth(struct router *router, const struct upstream *upstream,
    const struct choice *choice)
{
	const struct router_request_options *options =
	    &choice->request->options;
	double share;
	double worth;

	if (choice->prefix.n_blocks == 0)
		return 0;
	share = prefix_estimate_match(router->prefix, router->now,
		    &choice->prefix, upstream->handle) /
	    options->n_prefix;
	worth = router->options.prefix_weight * share * options->prompt_tokens /
	    (double)upstream->options.memory_tokens;
	return MIN(worth, PREFIX_SPREAD_MAX);
}

/// Weighs one upstream for a request.
///
/// @param router    the router
/// @param upstream  the upstream
/// @param choice    changed when this one is better
static void
weigh(struct router *router, struct upstream *upstream, struct choice *choice)
{
	double score;

	if (!upstream->considered || !bears_more(router, upstream) ||
	    !router_fits(router, upstream, choice->request, &score))
		return;
	score -= prefix_worth(router, upstream, choice);
	if (upstream->options.kind == UPSTREAM_ENGINE &&
	    router->options.policy != ROUTER_POLICY_MEMORY_MEAN)
		score += INTERRUPTED_WEIGHT *
		    (upstream->others + upstream->own.length);
	if (choice->upstream != NULL && score >= choice->score)
		return;
	choice->upstream = upstream;
	choice->score = score;
}

/// Weighs the upstreams that hold a request's prefix about half way.
///
/// @param router  the router
/// @param choice  changed when one is better
static void
weigh_holders(struct router *router, struct choice *choice)
{
	uint32_t holders[PREFIX_HOLDERS_MAX];
	unsigned n = prefix_list_holders(router->prefix, router->now,
	    &choice->prefix, choice->prefix.n_blocks / 2, holders);

	for (unsigned i = 0; i < n; i++) {
		struct upstream *upstream =
		    handle_table_get(router->upstreams, holders[i]);

		if (upstream != NULL &&
		    upstream->service == choice->request->service)
			weigh(router, upstream, choice);
	}
}

/// Chooses by the product's policy.
///
/// @param router   the router
/// @param request  the request
/// @return the upstream, or NULL when none bears it now
static struct upstream *
choose_by_memory(struct router *router, const struct request *request)
{
	GPtrArray *considered = request->service->considered;
	struct choice choice = {.request = request};
	GSequenceIter *iter;

	if (router->options.prefix_weight > 0)
		prefix_find_blocks(router->prefix, request->options.prefix,
		    request->options.n_prefix, &choice.prefix);
	for (int i = 0; i < RANDOM_CHOICES; i++) {
		gint32 at = g_rand_int_range(
		    router->options.random, 0, (gint32)considered->len);

		weigh(router, considered->pdata[at], &choice);
	}
	weigh_holders(router, &choice);
	if (choice.upstream != NULL)
		return choice.upstream;
	iter = g_sequence_get_begin_iter(request->service->by_pressure);
	for (int i = 0; i < ORDERED_CHOICES; i++) {
		if (g_sequence_iter_is_end(iter))
			break;
		weigh(router, g_sequence_get(iter), &choice);
		iter = g_sequence_iter_next(iter);
	}
	return choice.upstream;
}

/// Chooses the upstream with the fewest requests of our own.
///
/// @param considered  struct upstream, one or more
/// @param start       where to start, so that ties are spread
/// @return the upstream
static struct upstream *
choose_least_outstanding(GPtrArray *considered, unsigned start)
{
	struct upstream *best = NULL;

	for (guint i = 0; i < considered->len; i++) {
		struct upstream *upstream =
		    considered->pdata[(start + i) % considered->len];

		if (best == NULL || upstream->own.length < best->own.length)
			best = upstream;
	}
	return best;
}

/// Chooses where a request should go now.
///
/// @param router   the router
/// @param request  the request
/// @return the upstream, or NULL when it must wait
struct upstream *
router_choose(struct router *router, struct request *request)
{
	struct service *service = request->service;

	if (service->considered->len == 0)
		return NULL;
	switch (router->options.policy) {
	case ROUTER_POLICY_ROUND_ROBIN:
		return service->considered
		    ->pdata[service->next_turn++ % service->considered->len];
	case ROUTER_POLICY_LEAST_OUTSTANDING:
		return choose_least_outstanding(
		    service->considered, service->next_turn++);
	case ROUTER_POLICY_MEMORY:
	default:
		router_profile_request(request, &request->memory);
		return choose_by_memory(router, request);
	}
}

/// Learns what a request that is just sent will hold. The variance kept with
/// it is the mean of the square, as the number of such requests is Poisson.
///
/// @param service  its service
/// @param request  the request
static void
learn_newcomer(struct service *service, const struct request *request)
{
	struct memory_profile *mean = &service->newcomer;
	double prompt = request->options.prompt_tokens;

	service->mean_prompt +=
	    (prompt - service->mean_prompt) * NEWCOMER_SHARE;
	for (int i = 0; i < ROUTER_HORIZONS; i++) {
		double memory = request->memory.at[i];
		double square = memory * memory + request->memory.variance[i];

		mean->at[i] += (memory - mean->at[i]) * NEWCOMER_SHARE;
		mean->variance[i] +=
		    (square - mean->variance[i]) * NEWCOMER_SHARE;
	}
}

/// Enters a request on an upstream and puts its SEND into the outbox.
///
/// @param router    the router
/// @param request   the request, taken from the queue
/// @param upstream  where it goes
void
router_place_request(
    struct router *router, struct request *request, struct upstream *upstream)
{
	struct service *service = request->service;
	struct router_action action = {.type = ROUTER_ACTION_SEND,
	    .request = request->handle,
	    .upstream = upstream->handle};

	router_profile_request(request, &request->memory);
	request->state = REQUEST_SENDING;
	request->upstream = upstream;
	request->start_seen = upstream->n_starts;
	request->sent_at = router->now;
	request->so_far = 0;
	request->link.data = request;
	g_queue_push_tail_link(&upstream->own, &request->link);
	router_add_profile(&upstream->own_memory, &request->memory, 1);
	learn_newcomer(service, request);
	service->sends += 1;
	upstream->sent_since++;
	if (router->options.prefix_weight > 0)
		prefix_assume_stored(router->prefix, router->now,
		    upstream->handle, request->options.prefix,
		    request->options.n_prefix);
	router_reindex(router, upstream);
	router_push_action(router, &action);
}

/// Takes a request off its upstream.
///
/// @param router   the router
/// @param request  the request; it may have none any more
void
router_unplace_request(struct router *router, struct request *request)
{
	struct upstream *upstream = request->upstream;

	if (upstream == NULL)
		return;
	router_give_slot_back(router, request);
	request->upstream = NULL;
	g_queue_unlink(&upstream->own, &request->link);
	router_add_profile(&upstream->own_memory, &request->memory, -1);
	router_reindex(router, upstream);
}

/// Puts an upstream at its place in the order of pressure.
///
/// @param router    the router
/// @param upstream  the upstream
void
router_reindex(struct router *router, struct upstream *upstream)
{
	GSequence *order = upstream->service->by_pressure;

	upstream->pressure = router_pressure(router, upstream, NULL);
	if (!upstream->considered) {
		if (upstream->place != NULL)
			g_sequence_remove(upstream->place);
		upstream->place = NULL;
	} else if (upstream->place != NULL) {
		g_sequence_sort_changed(
		    upstream->place, compare_pressure, NULL);
	} else {
		upstream->place = g_sequence_insert_sorted(
		    order, upstream, compare_pressure, NULL);
	}
}

/// Chooses anew which of a service's upstreams this instance considers: those
/// in service that rank first for it.
///
/// @param router   the router
/// @param service  the service
void
router_consider(struct router *router, struct service *service)
{
	unsigned limit = router->options.subset;

	g_ptr_array_set_size(service->considered, 0);
	g_ptr_array_sort(service->all, compare_rank);
	service->max_memory = 0;
	service->n_in_service = 0;
	for (guint i = 0; i < service->all->len; i++) {
		struct upstream *upstream = service->all->pdata[i];

		service->n_in_service += upstream->in_service;
		upstream->considered = upstream->in_service &&
		    (limit == 0 || service->considered->len < limit);
		if (upstream->considered)
			g_ptr_array_add(service->considered, upstream);
		service->max_memory =
		    MAX(service->max_memory, upstream->options.memory_tokens);
		router_reindex(router, upstream);
	}
}

/// Tells the embedder once when an upstream has turned cold.
///
/// @param router    the router
/// @param upstream  the upstream
void
router_note_cold(struct router *router, struct upstream *upstream)
{
	bool cold = warmup_is_cold(&upstream->warmup, router->now);
	struct router_action action = {
	    .type = ROUTER_ACTION_COLD, .upstream = upstream->handle};

	if (cold && !upstream->was_cold)
		router_push_action(router, &action);
	upstream->was_cold = cold;
}
