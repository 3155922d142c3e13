/*
 * Detects replayed datagrams by a sliding window over the sequence numbers of
 * one boot of a sender.
 */
#include "godwitvale/peer/replay.h"

/// Initialises the window with the first sequence number accepted from a boot
/// of a sender.
///
/// @param window  filled in
/// @param first   first sequence number; counts as accepted
void
replay_init(struct replay_window *window, uint64_t first)
{
	window->highest = first;
	window->accepted = 1;
}

/// Accepts a sequence number unless it was accepted before, and records it.
///
/// @param window    window of the boot of the sender
/// @param sequence  sequence number of a received datagram
/// @return false when the number was accepted before, or is below the window
bool
replay_accept(struct replay_window *window, uint64_t sequence)
{
	uint64_t behind;

	if (sequence > window->highest) {
		uint64_t ahead = sequence - window->highest;

		window->accepted =
		    ahead >= REPLAY_WINDOW_SIZE ? 0 : window->accepted << ahead;
		window->accepted |= 1;
		window->highest = sequence;
		return true;
	}
	behind = window->highest - sequence;
	if (behind >= REPLAY_WINDOW_SIZE ||
	    (window->accepted >> behind & 1) != 0)
		return false;
	window->accepted |= (uint64_t)1 << behind;
	return true;
}
