/* Pace at which instances together send requests to an upstream. */
#include "godwitvale/core/paced_turns.h"

#include <glib.h>

/// Wait of the instance with rank 1 after the one with rank 0, and so on. It is
/// longer than a message to another instance takes.
#define TURNS_RANK_WAIT (8 * USEC_PER_MSEC)
/// Number of ranks that wait one after the other. If none of these instances
/// has a request, few of the others have one at the same moment. The longest
/// such wait is one that a request can afford.
#define TURNS_RANKED 18
/// Wait of each further rank, in microseconds.
#define TURNS_REST_WAIT ((usec_t)300)
/// A turn that nobody has taken for so long shows that requests are rare. It is
/// longer than the waits of several hundred ranks.
#define TURNS_RARE_DELAY (400 * USEC_PER_MSEC)
/// An instance that wanted the turn longer ago than this wants it anew.
#define TURNS_WANTED_SPAN (300 * USEC_PER_MSEC)

/// Returns when this instance may take a turn that has been open for long.
static usec_t
find_time_when_rare(struct paced_turns *turns, usec_t now, unsigned rank)
{
	if (now >= turns->wanted_at + TURNS_WANTED_SPAN)
		turns->wanted_at = now;
	return turns->wanted_at + MIN(rank, TURNS_RANKED) * TURNS_RANK_WAIT;
}

/// Returns when this instance may take the next turn, unless another one takes
/// it before.
///
/// @param turns     state of the turns
/// @param now       current time
/// @param interval  from one turn until the next one opens
/// @param rank      of this instance for this turn, from 0
/// @return the earliest time
usec_t
paced_turns_next(
    struct paced_turns *turns, usec_t now, usec_t interval, unsigned rank)
{
	usec_t open_at =
	    turns->taken_at + interval * (1 + (usec_t)turns->n_collisions);
	unsigned ranked = MIN(rank, TURNS_RANKED);

	if (now >= open_at + TURNS_RARE_DELAY)
		return find_time_when_rare(turns, now, rank);
	return open_at + ranked * TURNS_RANK_WAIT +
	    (rank - ranked) * TURNS_REST_WAIT;
}

/// Takes a turn.
///
/// @param turns  state of the turns
/// @param now    current time
/// @return number of the turn, for the other instances
uint32_t
paced_turns_take(struct paced_turns *turns, usec_t now)
{
	turns->taken_at = MAX(turns->taken_at, now);
	turns->taker = 0;
	turns->n_collisions = 0;
	return turns->number++;
}

/// Notes that another instance has taken a turn.
///
/// @param turns     state of the turns
/// @param taken_at  when it took the turn
/// @param number    number of the turn
/// @param taker     the instance, not 0
void
paced_turns_hear(
    struct paced_turns *turns, usec_t taken_at, uint32_t number, uint64_t taker)
{
	int32_t ahead = (int32_t)(number - turns->number);

	turns->taken_at = MAX(turns->taken_at, taken_at);
	if (ahead >= 0) {
		turns->number = number + 1;
		turns->taker = taker;
		turns->n_collisions = 0;
	} else if (ahead == -1 && taker != turns->taker) {
		turns->taker = taker;
		turns->n_collisions++;
	}
}
