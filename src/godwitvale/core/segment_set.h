/* Sets of prompt segments. */
#ifndef GODWITVALE_CORE_SEGMENT_SET_H
#define GODWITVALE_CORE_SEGMENT_SET_H

#include <stdbool.h>
#include <stdint.h>

/// Maximum number of segments of one request.
#define QUARANTINE_SEGMENTS_MAX 16

/// Segments of a prompt, by their ids.
struct segment_set {
	uint64_t ids[QUARANTINE_SEGMENTS_MAX];
	unsigned n;
};

bool segment_set_has(const struct segment_set *set, uint64_t segment);
bool segment_set_contains(
    const struct segment_set *set, const struct segment_set *other);
struct segment_set segment_set_from_list(
    const uint64_t *segments, unsigned n_segments);
void segment_set_remove_at(struct segment_set *set, unsigned i);

#endif
