/* Averages event intervals and computes the penalty of slow engines. */
#include "godwitvale/core/event_interval.h"

/// Weight of the newest interval in the moving average. A generation emits
/// about 30 events per second.
#define EVENT_INTERVAL_WEIGHT 0.03
/// Minimum number of intervals, both of the engine and of its service, before
/// the engine can get a penalty.
#define EVENT_INTERVAL_SAMPLES_MIN 30
/// An engine whose mean interval is up to this many times that of its service
/// gets no penalty: differences in load account for that.
#define EVENT_INTERVAL_TOLERANCE 1.7
/// Placement penalty of an engine per unit of its slowdown, as a share of an
/// upstream's capacity. The slowdown is the engine's mean interval divided by
/// the tolerated interval, EVENT_INTERVAL_TOLERANCE times the mean of the
/// service. A slowdown of 2 gives twice this penalty.
#define EVENT_INTERVAL_PENALTY_SLOPE 0.5
/// Upper bound of the penalty, which only changes the order of preference: a
/// slow engine is still used when no other engine has capacity.
#define EVENT_INTERVAL_PENALTY_MAX 2.0

/// Adds the interval between two events to an average.
///
/// @param interval  average of an engine or of all engines of a service
/// @param span      time between two consecutive events of one generation
void
event_interval_add(struct event_interval *interval, usec_t span)
{
	double weight = interval->n_samples < 1 / EVENT_INTERVAL_WEIGHT
	    ? 1.0 / (interval->n_samples + 1)
	    : EVENT_INTERVAL_WEIGHT;

	interval->mean += weight * ((double)span - interval->mean);
	interval->n_samples++;
}

/// Computes the placement penalty of an engine from its event intervals.
///
/// @param own  average of the engine
/// @param all  average of all engines of its service
/// @return penalty as a share of an upstream's capacity: 0 for an engine of
///         usual speed, at most EVENT_INTERVAL_PENALTY_MAX
double
event_interval_penalty(
    const struct event_interval *own, const struct event_interval *all)
{
	double slowdown;
	double penalty;

	if (own->n_samples < EVENT_INTERVAL_SAMPLES_MIN ||
	    all->n_samples < EVENT_INTERVAL_SAMPLES_MIN || all->mean <= 0)
		return 0;
	slowdown = own->mean / all->mean / EVENT_INTERVAL_TOLERANCE;
	if (slowdown <= 1)
		return 0;
	penalty = EVENT_INTERVAL_PENALTY_SLOPE * slowdown;
	return penalty < EVENT_INTERVAL_PENALTY_MAX
	    ? penalty
	    : EVENT_INTERVAL_PENALTY_MAX;
}
