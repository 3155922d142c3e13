/*
 * Divides the places of an upstream among the instances, so that together they
 * never send more than it has room for.
 *
 * Load pattern: the upstreams of a service are brittle: one that turns a few
 * requests away in a second falls over. All instances send to them, and each
 * hears late what the others have sent. When a place becomes free, several
 * would take it at once. So each instance only uses places of its own, and any
 * instance may use an upstream that is empty.
 */
#ifndef GODWITVALE_CORE_PLACE_SHARE_H
#define GODWITVALE_CORE_PLACE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/// What decides whether an instance may send one more request to an upstream.
struct place_share {
	uint64_t upstream;     /// hash of the upstream's id
	unsigned capacity;     /// requests that it runs at a time, at least 1
	unsigned n_instances;  /// at least 1
	unsigned position;     /// of this instance, below `n_instances`
	unsigned own_requests; /// there now, sent by this instance
	unsigned all_requests; /// there now, as far as is known
};

unsigned place_share_count_own(const struct place_share *share);
bool place_share_allows(const struct place_share *share);

#endif
