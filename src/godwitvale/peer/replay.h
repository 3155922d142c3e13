/* Detection of replayed datagrams by their sequence numbers. */
#ifndef GODWITVALE_PEER_REPLAY_H
#define GODWITVALE_PEER_REPLAY_H

#include <stdbool.h>
#include <stdint.h>

/// Number of sequence numbers in the window, the highest one included.
#define REPLAY_WINDOW_SIZE 64

/// Sequence numbers accepted from one boot of a sender; embedded by value.
struct replay_window {
	uint64_t highest;  /// highest sequence number accepted
	uint64_t accepted; /// bit i is set when highest - i was accepted
};

void replay_init(struct replay_window *window, uint64_t first);
bool replay_accept(struct replay_window *window, uint64_t sequence);

#endif
