/*
 * Pace at which instances together send requests to an upstream, one request at
 * a time and from whichever instance has one. Each sender takes a turn, and
 * tells the others, who then wait for the next one.
 *
 * Load pattern: an upstream takes about one request a second from hundreds of
 * instances, and nobody knows which of them gets the next request. A fixed
 * share for each would let most shares go unused, and a request at another
 * instance would wait for minutes. So the next turn is anybody's. When it
 * opens, many may have waited for it; each waits a little more, by its rank for
 * this turn, until it would have heard of another one that was faster. If
 * nobody has taken a turn long after it has opened, requests are rare, but the
 * next ones may come to many instances at the same moment; then the wait begins
 * with the request.
 */
#ifndef GODWITVALE_CORE_PACED_TURNS_H
#define GODWITVALE_CORE_PACED_TURNS_H

#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// State of the turns of one upstream, as far as this instance knows.
struct paced_turns {
	usec_t taken_at;  /// when the last turn was taken
	usec_t wanted_at; /// when this instance first wanted the next turn
	uint32_t number;  /// of the next turn
	uint64_t taker;   /// instance that took the last turn; 0: this one
	/// further instances that took the last turn, as they didn't hear of it
	/// in time; each delays the next turn by an interval
	unsigned n_collisions;
};

usec_t paced_turns_next(
    struct paced_turns *turns, usec_t now, usec_t interval, unsigned rank);
uint32_t paced_turns_take(struct paced_turns *turns, usec_t now);
void paced_turns_hear(struct paced_turns *turns, usec_t taken_at,
    uint32_t number, uint64_t taker);

#endif
