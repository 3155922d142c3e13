/* The bounds that the invariants hold the fleet to, all in one place. */
#ifndef SCENARIO_BOUNDS_H
#define SCENARIO_BOUNDS_H

#include "godwitvale/core/time_defs.h"

/// A zone, instance or upstream that an accepted bundle takes out gets no
/// new work after this.
#define BOUND_TAKEN_OUT (3 * USEC_PER_SEC)
/// An accepted bundle is in force at each instance that takes work.
#define BOUND_BUNDLE (5 * USEC_PER_SEC)
/// The same from this many instances on.
#define BOUND_BUNDLE_LARGE (7 * USEC_PER_SEC)
#define LARGE_FLEET 370
/// An upstream that turned cold without a word is treated as such after this.
#define BOUND_COLD_NOTICED (2 * USEC_PER_SEC)
/// A request at an instance that stays up is answered within this, once the
/// faults are over.
#define BOUND_ANSWER (30 * USEC_PER_SEC)

#endif
