/* The pace of engines. */
#include "godwitvale/core/pace.h"

/// Weight of the newest span; a generation makes some thirty a second.
#define PACE_WEIGHT 0.03
/// Spans that must be known before an engine is judged.
#define PACE_KNOWN 30
/// Engines up to this much slower than the mean are as good as others: their
/// own load makes that difference.
#define PACE_USUAL 1.7
/// Penalty in placement of an engine twice as slow as usual.
#define PACE_SLOPE 0.5
/// Largest penalty: a slow engine still comes before none.
#define PACE_PENALTY_MAX 2.0

/// Takes the span between two events.
///
/// @param pace  a running mean
/// @param span  the span
void
pace_take(struct pace *pace, usec_t span)
{
	double weight =
	    pace->n < 1 / PACE_WEIGHT ? 1.0 / (pace->n + 1) : PACE_WEIGHT;

	pace->mean += weight * ((double)span - pace->mean);
	pace->n++;
}

/// Says how much an engine's pace speaks against it.
///
/// @param own  the engine's
/// @param all  its service's
/// @return 0 for one of a usual pace, up to PACE_PENALTY_MAX
double
pace_penalty(const struct pace *own, const struct pace *all)
{
	double slower;
	double penalty;

	if (own->n < PACE_KNOWN || all->n < PACE_KNOWN || all->mean <= 0)
		return 0;
	slower = own->mean / all->mean / PACE_USUAL;
	if (slower <= 1)
		return 0;
	penalty = PACE_SLOPE * slower;
	return penalty < PACE_PENALTY_MAX ? penalty : PACE_PENALTY_MAX;
}
