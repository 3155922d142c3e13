/* Placement of one request on one of several upstreams. */
#include "godwitvale/core/placement.h"

#include <glib.h>

/// Share of an engine's memory that generations may fill once they have all
/// ended.
#define PLACE_MEMORY_SHARE 1.0
/// How much a token of a prompt still to be read weighs beside one that just
/// takes memory: it holds up everything that runs there.
#define PLACE_PROMPT_WEIGHT 4.0
/// Cost of leaving the zone, as a share of an upstream's capacity.
#define PLACE_ZONE_COST 0.02
/// The same for moving a running generation, whose memory takes twice as
/// long between zones.
#define PLACE_MOVE_ZONE_COST 0.5
/// Span of the chance that tells near-equal upstreams apart, as a share of
/// an upstream's capacity.
#define PLACE_CHANCE 0.04
/// The same for moves: all instances look for targets at the same moment,
/// when an upstream's leaving is told.
#define PLACE_MOVE_CHANCE 0.2
/// Upstreams that are compared at least.
#define PLACE_SAMPLE_MIN ((size_t)4)
/// Requests that may wait at a plain upstream, as a multiple of its slots.
#define PLACE_PLAIN_DEPTH 2

/// How full an upstream would be with the request, as a share of what it
/// bears; more than 1 is too full.
static double
fullness(const struct place_request *request,
    const struct place_candidate *candidate)
{
	double slots = candidate->slots > 0 ? candidate->slots : 1;
	double requests = (candidate->load.requests + 1) / slots;
	double memory;

	if (!request->is_generation)
		return requests / PLACE_PLAIN_DEPTH;
	if (candidate->memory_tokens <= 0)
		return requests;
	memory = (candidate->load.tokens + request->tokens) /
	    (candidate->memory_tokens * PLACE_MEMORY_SHARE);
	return memory > requests ? memory : requests;
}

/// What a placement costs: how full, how many prompts wait, how far.
static double
score(const struct place_request *request,
    const struct place_candidate *candidate)
{
	double cost = fullness(request, candidate) + candidate->penalty;

	if (request->is_generation && candidate->memory_tokens > 0)
		cost += PLACE_PROMPT_WEIGHT * candidate->load.prompt /
		    candidate->memory_tokens;
	if (!candidate->same_zone)
		cost +=
		    request->is_move ? PLACE_MOVE_ZONE_COST : PLACE_ZONE_COST;
	return cost;
}

/// Says how many upstreams an instance compares: fewer of many, the more
/// instances choose among them at the same time.
///
/// @param n_candidates  upstreams
/// @param n_instances   that choose
/// @return how many, at least PLACE_SAMPLE_MIN
size_t
place_sample(size_t n_candidates, unsigned n_instances)
{
	return PLACE_SAMPLE_MIN +
	    PLACE_SAMPLE_MIN * n_candidates / MAX(n_instances, 1);
}

/// Finds the candidates that have room.
///
/// @return how many of `eligible` were filled in
static size_t
find_eligible(const struct place_request *request,
    const struct place_candidate *candidates, size_t n_candidates,
    size_t *eligible, bool *any)
{
	size_t n = 0;

	*any = false;
	for (size_t i = 0; i < n_candidates; i++) {
		if (candidates[i].excluded)
			continue;
		*any = true;
		if (fullness(request, &candidates[i]) <= 1)
			eligible[n++] = i;
	}
	return n;
}

/// Draws some of the eligible to the front.
///
/// @return how many are to be compared
static size_t
draw_sample(size_t *eligible, size_t n, size_t sample, place_draw draw,
    void *draw_context)
{
	if (sample == 0 || sample >= n)
		return n;
	for (size_t i = 0; i < sample; i++) {
		size_t j = i + (size_t)(draw(draw_context) * (double)(n - i));
		size_t drawn = eligible[j];

		eligible[j] = eligible[i];
		eligible[i] = drawn;
	}
	return sample;
}

/// Picks the upstream that takes a request.
///
/// @param request       what is placed
/// @param candidates    where it may go
/// @param n_candidates  how many
/// @param draw          chance
/// @param draw_context  passed to it
/// @param picked        set to the place of the one picked
/// @return PLACE_FOUND, or why none was
enum place_outcome
place_pick(const struct place_request *request,
    const struct place_candidate *candidates, size_t n_candidates,
    place_draw draw, void *draw_context, size_t *picked)
{
	size_t *eligible = g_new(size_t, n_candidates + 1);
	double chance = request->is_move ? PLACE_MOVE_CHANCE : PLACE_CHANCE;
	double best = 0;
	bool any;
	size_t n =
	    find_eligible(request, candidates, n_candidates, eligible, &any);
	size_t n_compared =
	    draw_sample(eligible, n, request->sample, draw, draw_context);

	for (size_t i = 0; i < n_compared; i++) {
		double cost = score(request, &candidates[eligible[i]]) +
		    chance * draw(draw_context);

		if (i > 0 && cost >= best)
			continue;
		best = cost;
		*picked = eligible[i];
	}
	g_free(eligible);
	if (n > 0)
		return PLACE_FOUND;
	return any ? PLACE_FULL : PLACE_NONE;
}
