/* Refusal of replayed datagrams, by a window over their sequence numbers. */
#include "godwitvale/peer/replay.h"

/// Starts with the first number taken of a life.
///
/// @param replay  filled in
/// @param first   that number
void
replay_init(struct replay *replay, uint64_t first)
{
	replay->highest = first;
	replay->taken = 1;
}

/// Takes a sequence number once.
///
/// @param replay    the life
/// @param sequence  the number
/// @return false when it was taken before or is too old to tell
bool
replay_take(struct replay *replay, uint64_t sequence)
{
	uint64_t behind;

	if (sequence > replay->highest) {
		uint64_t ahead = sequence - replay->highest;

		replay->taken =
		    ahead >= REPLAY_WINDOW ? 0 : replay->taken << ahead;
		replay->taken |= 1;
		replay->highest = sequence;
		return true;
	}
	behind = replay->highest - sequence;
	if (behind >= REPLAY_WINDOW || (replay->taken >> behind & 1) != 0)
		return false;
	replay->taken |= (uint64_t)1 << behind;
	return true;
}
