/* Defines the time limits that the checks of the invariants enforce. */
#ifndef SCENARIO_BOUNDS_H
#define SCENARIO_BOUNDS_H

#include "godwitvale/core/time_defs.h"

/// Time after which a zone, instance or upstream that an accepted bundle takes
/// out of service must get no new work.
#define BOUND_TAKEN_OUT (3 * USEC_PER_SEC)
/// Time after which each instance that sends new work must have an accepted
/// bundle in force.
#define BOUND_BUNDLE (5 * USEC_PER_SEC)
/// BOUND_BUNDLE for a fleet of LARGE_FLEET_INSTANCES or more instances.
#define BOUND_BUNDLE_LARGE (7 * USEC_PER_SEC)
#define LARGE_FLEET_INSTANCES 370
/// Time after which instances must treat an upstream as cold that restarted
/// without a notice.
#define BOUND_COLD_NOTICED (2 * USEC_PER_SEC)
/// Time within which an instance that stays up must answer a request after the
/// faults have ended.
#define BOUND_ANSWER (30 * USEC_PER_SEC)

#endif
