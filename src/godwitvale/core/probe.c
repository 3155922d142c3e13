/* When something that is away is asked again. */
#include "godwitvale/core/probe.h"

#include <glib.h>

/// Pause after the first failure: most are of one connection only.
#define PROBE_FIRST (100 * USEC_PER_MSEC)
/// Each further pause is so many times the one before.
#define PROBE_GROWTH 4
/// The longest pause of a small fleet: what has changed meanwhile must be
/// known two seconds after the return.
#define PROBE_LONGEST_SMALL (500 * USEC_PER_MSEC)
/// The longest pause, for each instance that asks: together they ask some
/// twenty times a second, so the return is seen as soon.
#define PROBE_INSTANCE (60 * USEC_PER_MSEC)
/// No pause is longer.
#define PROBE_LONGEST (5 * USEC_PER_SEC)
/// Instances that hear of the return ask within this span.
#define PROBE_HEARD_SPAN (400 * USEC_PER_MSEC)

/// Takes it that it was answered.
///
/// @param probe  of the thing
void
probe_answered(struct probe *probe)
{
	*probe = (struct probe){0};
}

/// Takes it that it was not answered.
///
/// @param probe        of the thing
/// @param now          time
/// @param fleet_size   instances that ask
/// @param others_away  other things of the same place that don't answer
///                     either: one of them is enough to see the return
/// @param chance       from 0 to 1, for the spread
void
probe_failed(struct probe *probe, usec_t now, unsigned fleet_size,
    unsigned others_away, double chance)
{
	usec_t longest = CLAMP(
	    fleet_size * PROBE_INSTANCE, PROBE_LONGEST_SMALL, PROBE_LONGEST);

	longest = MIN((1 + others_away) * longest, PROBE_LONGEST);
	probe->failures++;
	probe->pause = probe->pause == 0
	    ? PROBE_FIRST
	    : MIN(PROBE_GROWTH * probe->pause, longest);
	probe->due_at = now + (usec_t)((0.5 + chance / 2) * probe->pause);
}

/// Takes it that it answers others: it is asked soon.
///
/// @param probe   of the thing
/// @param now     time
/// @param chance  from 0 to 1, for the spread
void
probe_heard(struct probe *probe, usec_t now, double chance)
{
	usec_t soon = now + (usec_t)(chance * PROBE_HEARD_SPAN);

	probe->due_at = MIN(probe->due_at, soon);
}
