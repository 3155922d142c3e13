/* Limits how full requests of each kind may make an engine. */
#include "godwitvale/core/engine_admission.h"

#include <glib.h>

/// Utilisation of a service's engines from which on their memory counts as
/// scarce, and at which it is as scarce as it gets.
#define ADMISSION_SCARCE_FROM 0.7
#define ADMISSION_SCARCE_FULL 0.85
/// Requests with the shortest target for which a request with a longer one
/// leaves room at an engine.
#define ADMISSION_URGENT_REQUESTS 2
/// Largest share of an engine that is left free for other requests, so that
/// none is kept waiting while engines are half empty.
#define ADMISSION_HEADROOM_MAX 0.4
/// Share of an engine that a request leaves free once it can't meet its target
/// any more: it takes only what no other request needs.
#define ADMISSION_LATE_HEADROOM 0.15
/// Share by which the generations at an engine may exceed its memory at the
/// sizes that they are expected to reach: they don't reach them all at once.
#define ADMISSION_OVERCOMMIT 0.12
/// The same for a generation that has begun: otherwise it is broken off, and
/// the engine refuses it if it has no room for it now.
#define ADMISSION_MOVE_OVERCOMMIT 0.3
/// Share of the expected output that is reserved. The rest of it grows while
/// other generations end.
#define ADMISSION_RESERVED_OUTPUT 0.5
/// Utilisation after a placement from which on the place is reserved. Below it,
/// an engine has room even if several instances choose it at once.
#define ADMISSION_RESERVE_FROM 0.45
/// Share of the time to the first event that reading prompts may take, so that
/// it still comes in time if the engine is slower than expected.
#define ADMISSION_READ_SHARE 0.7
/// Share of the shortest target that the prompts of requests with longer ones
/// may use up at an engine.
#define ADMISSION_YIELD_SHARE 0.35
/// Instances that use the free room of an engine for requests that wait in the
/// same round, on average. The others hear of it before their own round.
#define ADMISSION_ROUND_INSTANCES 3

/// @param utilisation  expected work at the engines of a service, as a share of
///                     their memory
/// @return from 0, there is room, to 1, there is none
double
engine_admission_scarcity(double utilisation)
{
	double scarcity = (utilisation - ADMISSION_SCARCE_FROM) /
	    (ADMISSION_SCARCE_FULL - ADMISSION_SCARCE_FROM);

	return CLAMP(scarcity, 0.0, 1.0);
}

/// Computes the share of an engine that a request must leave free.
///
/// @param inputs  the request and the state of its service
/// @return at most ADMISSION_HEADROOM_MAX; negative if the engine may be filled
///         beyond the expected sizes of its generations; 0 while there is room
double
engine_admission_headroom(const struct engine_admission_inputs *inputs)
{
	double scarcity = engine_admission_scarcity(inputs->utilisation);
	double headroom = inputs->urgent_share * ADMISSION_URGENT_REQUESTS -
	    ADMISSION_OVERCOMMIT;

	if (inputs->is_begun)
		return -ADMISSION_MOVE_OVERCOMMIT * scarcity;
	headroom += inputs->organisation_headroom;
	if (inputs->is_past_target)
		headroom += ADMISSION_LATE_HEADROOM;
	return MIN(headroom, ADMISSION_HEADROOM_MAX) * scarcity;
}

/// Checks whether a place is reserved before a request is sent: at an engine
/// that fills up, and wherever requests of many instances wait, as all of them
/// choose an engine that has just started or has room again.
///
/// @param place  the engine that was chosen
/// @return true if other instances may take the place meanwhile
bool
engine_admission_needs_reservation(const struct engine_admission_target *place)
{
	return place->scarcity > 0 &&
	    (place->is_cold || place->has_waited ||
		place->utilisation >= ADMISSION_RESERVE_FROM);
}

/// @param tokens  expected size of a request at its end
/// @param output  expected size of its output, a part of that
/// @return tokens that are reserved for it
uint32_t
engine_admission_reserved_tokens(int32_t tokens, int32_t output)
{
	double reserved =
	    tokens - (1 - ADMISSION_RESERVED_OUTPUT) * MAX(output, 0);

	return (uint32_t)MAX(reserved, 1);
}

/// Computes the number of prompt tokens that an engine may have to read so that
/// a request meets its target, and a later one with the shortest target does.
///
/// @param read  the request and how fast engines read
/// @return tokens; 0: no bound
int32_t
engine_admission_max_unread(const struct engine_admission_read *read)
{
	double span = ADMISSION_READ_SHARE * (double)read->time_left;

	if (read->tokens_per_usec <= 0 || read->scarcity <= 0)
		return 0;
	if (read->urgent_target > 0)
		span = MIN(
		    span, ADMISSION_YIELD_SHARE * (double)read->urgent_target);
	return (int32_t)CLAMP(span * read->tokens_per_usec, 1, G_MAXINT32);
}

/// Checks whether this instance may place a request that waits on an engine in
/// this round. All instances learn of free room at the same moment; in each
/// round only a few of them use that of an engine.
///
/// @param draw         hash of the instance, the engine and the round
/// @param n_instances  number of instances
/// @return whether it may
bool
engine_admission_in_round(uint64_t draw, unsigned n_instances)
{
	return draw % MAX(n_instances, 1) < ADMISSION_ROUND_INSTANCES;
}
