/* Chooses one of several upstreams for a request, by estimated cost. */
#include "godwitvale/core/placement.h"

#include <glib.h>

/// Share of an engine's memory that generations may use, counted at the size
/// that each one will have at its end.
#define PLACE_MEMORY_SHARE 1.0
/// Extra cost of a prompt token that the engine hasn't read yet, relative to
/// the cost of a token in the engine's memory: reading a prompt delays every
/// generation on the engine.
#define PLACE_PROMPT_WEIGHT 4.0
/// Cost of placing a request in another zone, as a share of an upstream's
/// capacity.
#define PLACE_ZONE_COST 0.02
/// Cost of moving a running generation to another zone, as a share of an
/// upstream's capacity: copying the generation's memory takes twice as long
/// between zones.
#define PLACE_MOVE_ZONE_COST 0.5
/// Upper bound of the random jitter that separates upstreams of nearly equal
/// cost, as a share of an upstream's capacity.
#define PLACE_JITTER 0.04
/// Upper bound of the jitter for moves, as a share of an upstream's capacity.
/// It is larger because all instances look for targets at the same moment, when
/// an upstream announces that it is leaving.
#define PLACE_MOVE_JITTER 0.2
/// Minimum number of upstreams that an instance compares for a request.
#define PLACE_SAMPLE_MIN ((size_t)4)
/// Cost of the risk that the events of a long generation pause for too long, as
/// a share of an upstream's capacity.
#define PLACE_PAUSE_COST 2.5
/// Output tokens of a generation that is long enough to meet the prompts of
/// others. The risk counts in proportion for a shorter one.
#define PLACE_EXPOSED_TOKENS 200.0
/// Cost of delaying the generations of an engine whose events may pause for too
/// long, for each of them, as a share of an upstream's capacity: two of them
/// weigh as much as the whole capacity.
#define PLACE_DELAY_COST 0.5
/// Cost of a short generation at an engine without a risk of such pauses, as a
/// share of an upstream's capacity. It goes there only where the others are
/// full.
#define PLACE_RESERVE_COST 0.5
/// Requests that a plain service may hold, running or waiting, for each of its
/// slots.
#define PLACE_PLAIN_REQUESTS_PER_SLOT 2

/// Returns the share of an upstream's slots that would be in use if a request
/// were placed there.
static double
slot_utilisation(const struct place_request *request,
    const struct place_candidate *candidate)
{
	double slots = candidate->slots > 0 ? candidate->slots : 1;
	double requests = (candidate->load.requests + 1) / slots;

	return request->is_generation
	    ? requests
	    : requests / PLACE_PLAIN_REQUESTS_PER_SLOT;
}

/// Returns the share of an engine's memory that would be in use at the expected
/// sizes of its generations; 0 if the upstream is no engine.
static double
memory_utilisation(const struct place_request *request,
    const struct place_candidate *candidate)
{
	if (!request->is_generation || candidate->memory_tokens <= 0)
		return 0;
	return (candidate->load.tokens + request->tokens) /
	    (candidate->memory_tokens * PLACE_MEMORY_SHARE);
}

/// @param request    request to place
/// @param candidate  an upstream
/// @return the share of the upstream's capacity that would be in use if the
///         request were placed there; more than 1 means that it doesn't fit
double
place_utilisation(const struct place_request *request,
    const struct place_candidate *candidate)
{
	double slots = slot_utilisation(request, candidate);
	double memory = memory_utilisation(request, candidate);

	return MAX(slots, memory);
}

/// Returns the cost of pauses between events: of this generation's own, of
/// those that its prompt causes to others, and of the place that it takes from
/// a generation for which pauses matter more.
static double
pause_cost(const struct place_request *request,
    const struct place_candidate *candidate)
{
	double exposure = request->output_tokens / PLACE_EXPOSED_TOKENS;
	double risk = candidate->pause_risk;

	exposure = CLAMP(exposure, 0.0, 1.0);
	return PLACE_PAUSE_COST * exposure * risk +
	    PLACE_DELAY_COST * candidate->load.requests * risk +
	    PLACE_RESERVE_COST * (1 - exposure) * (1 - risk);
}

/// Returns the cost of placing a request on a candidate, in shares of the
/// upstream's capacity: the sum of the projected utilisation, the candidate's
/// penalty and the costs of unread prompts, of pauses and of another zone.
static double
placement_cost(const struct place_request *request,
    const struct place_candidate *candidate)
{
	double cost =
	    place_utilisation(request, candidate) + candidate->penalty;

	if (request->is_generation && candidate->memory_tokens > 0)
		cost += PLACE_PROMPT_WEIGHT * candidate->load.prompt_tokens /
		    candidate->memory_tokens;
	if (request->is_generation && request->avoids_pauses)
		cost += pause_cost(request, candidate);
	if (!candidate->same_zone)
		cost +=
		    request->is_move ? PLACE_MOVE_ZONE_COST : PLACE_ZONE_COST;
	return cost;
}

/// Returns how many upstreams an instance compares for a request. The more
/// instances place requests on the same upstreams, the smaller the sample.
///
/// @param n_candidates  number of upstreams
/// @param n_instances   number of instances that place requests on them
/// @return sample size, at least PLACE_SAMPLE_MIN
size_t
place_sample_size(size_t n_candidates, unsigned n_instances)
{
	return PLACE_SAMPLE_MIN +
	    PLACE_SAMPLE_MIN * n_candidates / MAX(n_instances, 1);
}

/// Checks whether a candidate has capacity for the request, beside what must
/// stay free, and would read its prompt in time.
static bool
has_capacity(const struct place_request *request,
    const struct place_candidate *candidate)
{
	int32_t unread = candidate->load.prompt_tokens;
	double headroom = request->headroom;

	/* An empty engine takes any request that fits. */
	if (candidate->load.requests <= 0)
		headroom = MIN(headroom, 0);
	if (slot_utilisation(request, candidate) > 1 ||
	    memory_utilisation(request, candidate) + headroom > 1)
		return false;
	return request->max_unread_tokens == 0 || unread <= 0 ||
	    unread + request->prompt_tokens <= request->max_unread_tokens;
}

/// Lists the candidates that aren't excluded and have capacity for the request.
///
/// @param eligible       filled with indices into `candidates`
/// @param has_candidate  set to whether any candidate is not excluded
/// @return number of entries in `eligible`
static size_t
list_eligible_candidates(const struct place_request *request,
    const struct place_candidate *candidates, size_t n_candidates,
    size_t *eligible, bool *has_candidate)
{
	size_t n = 0;

	*has_candidate = false;
	for (size_t i = 0; i < n_candidates; i++) {
		if (candidates[i].excluded)
			continue;
		*has_candidate = true;
		if (has_capacity(request, &candidates[i]))
			eligible[n++] = i;
	}
	return n;
}

/// Draws a random sample of the eligible candidates and moves it to the front
/// of `eligible`.
///
/// @param sample_size  number of candidates to draw; 0 for all
/// @return size of the sample
static size_t
draw_sample(size_t *eligible, size_t n_eligible, size_t sample_size,
    place_draw draw, void *draw_context)
{
	if (sample_size == 0 || sample_size >= n_eligible)
		return n_eligible;
	for (size_t i = 0; i < sample_size; i++) {
		size_t j =
		    i + (size_t)(draw(draw_context) * (double)(n_eligible - i));
		size_t drawn = eligible[j];

		eligible[j] = eligible[i];
		eligible[i] = drawn;
	}
	return sample_size;
}

/// Picks the upstream that gets a request: the one with the lowest cost in a
/// random sample of the candidates with capacity.
///
/// @param request       size and constraints of the request
/// @param candidates    upstreams to choose from
/// @param n_candidates  number of candidates
/// @param draw          source of random numbers
/// @param draw_context  passed to `draw`
/// @param picked        set to the index of the chosen candidate; unchanged if
///                      none is chosen
/// @return PLACE_FOUND, or the reason why no upstream was picked
enum place_outcome
place_pick_candidate(const struct place_request *request,
    const struct place_candidate *candidates, size_t n_candidates,
    place_draw draw, void *draw_context, size_t *picked)
{
	size_t *eligible = g_new(size_t, n_candidates + 1);
	double jitter = request->is_move ? PLACE_MOVE_JITTER : PLACE_JITTER;
	double lowest_cost = 0;
	bool has_candidate;
	size_t n_eligible = list_eligible_candidates(
	    request, candidates, n_candidates, eligible, &has_candidate);
	size_t n_compared = draw_sample(
	    eligible, n_eligible, request->sample_size, draw, draw_context);

	for (size_t i = 0; i < n_compared; i++) {
		double cost =
		    placement_cost(request, &candidates[eligible[i]]) +
		    jitter * draw(draw_context);

		if (i > 0 && cost >= lowest_cost)
			continue;
		lowest_cost = cost;
		*picked = eligible[i];
	}
	g_free(eligible);
	if (n_eligible > 0)
		return PLACE_FOUND;
	return has_candidate ? PLACE_FULL : PLACE_NO_CANDIDATE;
}
