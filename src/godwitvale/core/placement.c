/* Placement of one request on one of several upstreams. */
#include "godwitvale/core/placement.h"

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
	enum place_outcome outcome = PLACE_NONE;
	double best = 0;
	double chance = request->is_move ? PLACE_MOVE_CHANCE : PLACE_CHANCE;

	for (size_t i = 0; i < n_candidates; i++) {
		const struct place_candidate *candidate = &candidates[i];
		double cost;

		if (candidate->excluded)
			continue;
		if (fullness(request, candidate) > 1) {
			if (outcome == PLACE_NONE)
				outcome = PLACE_FULL;
			continue;
		}
		cost = score(request, candidate) + chance * draw(draw_context);
		if (outcome == PLACE_FOUND && cost >= best)
			continue;
		outcome = PLACE_FOUND;
		best = cost;
		*picked = i;
	}
	return outcome;
}
