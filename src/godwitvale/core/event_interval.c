/* Intervals between events, and the placement penalty of slow engines. */
#include "godwitvale/core/event_interval.h"

/// Weight of the newest interval in the average. A generation emits about 30
/// events per second.
#define EVENT_INTERVAL_WEIGHT 0.03
/// Minimum number of intervals before an engine can get a penalty.
#define EVENT_INTERVAL_SAMPLES_MIN 30
/// An engine whose mean interval is up to this many times that of its service
/// gets no penalty: differences in load account for that.
#define EVENT_INTERVAL_TOLERANCE 1.7
/// Placement penalty per multiple of the tolerated interval. An engine at twice
/// the tolerated interval gets twice this.
#define EVENT_INTERVAL_PENALTY_SLOPE 0.5
/// Largest penalty; a slow engine is still preferred to none.
#define EVENT_INTERVAL_PENALTY_MAX 2.0

/// Adds the interval between two events to an average.
///
/// @param interval  the average of an engine or of a service
/// @param span      time between the two events
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
/// @return 0 for an engine of usual speed, up to EVENT_INTERVAL_PENALTY_MAX
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
