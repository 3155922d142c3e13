/*
 * Indexes which upstreams hold which prompt prefix blocks in their caches, from
 * the upstreams' cache events. Tolerates late, repeated and missing events.
 *
 * A block is a fixed number of words of a prompt. Its chained hash also covers
 * all blocks before it, so that equal hashes mean equal prefixes.
 */
#ifndef GODWITVALE_CORE_PREFIX_H
#define GODWITVALE_CORE_PREFIX_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Maximum number of upstreams recorded for each block.
#define PREFIX_HOLDERS_MAX 4
/// Maximum number of leading blocks of a prompt that are looked up.
#define PREFIX_BLOCKS_MAX 16

struct prefix_index;
struct prefix_block;

/// The result of looking up the blocks of one prompt. Valid until the next call
/// of prefix_handle_event() or prefix_assume_stored().
struct prefix_query {
	unsigned n_blocks; /// number of leading blocks found in the index
	struct prefix_block *blocks[PREFIX_BLOCKS_MAX];
};

struct prefix_index *prefix_new(uint32_t max_blocks);
void prefix_free(struct prefix_index *prefix);
void prefix_handle_event(struct prefix_index *prefix, usec_t now,
    uint32_t upstream, uint64_t sequence, uint64_t block_hash, bool stored);
void prefix_assume_stored(struct prefix_index *prefix, usec_t now,
    uint32_t upstream, const uint64_t *blocks, unsigned n_blocks);
void prefix_reset_upstream(struct prefix_index *prefix, uint32_t upstream);
void prefix_find_blocks(struct prefix_index *prefix, const uint64_t *blocks,
    unsigned n_blocks, struct prefix_query *query);
unsigned prefix_list_holders(struct prefix_index *prefix, usec_t now,
    const struct prefix_query *query, unsigned block,
    uint32_t upstreams[PREFIX_HOLDERS_MAX]);
double prefix_estimate_match(struct prefix_index *prefix, usec_t now,
    const struct prefix_query *query, uint32_t upstream);

#endif
