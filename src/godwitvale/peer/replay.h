/* Sequence numbers of one sender's life, each taken once. */
#ifndef GODWITVALE_PEER_REPLAY_H
#define GODWITVALE_PEER_REPLAY_H

#include <stdbool.h>
#include <stdint.h>

/// Sequence numbers remembered behind the highest one.
#define REPLAY_WINDOW 64

/// What was taken of one life; embedded by value.
struct replay {
	uint64_t highest; /// highest number taken
	uint64_t taken;   /// bit i: highest - i was taken
};

void replay_init(struct replay *replay, uint64_t first);
bool replay_take(struct replay *replay, uint64_t sequence);

#endif
