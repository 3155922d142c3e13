/*
 * A view of which upstreams hold which prefix blocks in their caches. Survives
 * events that come late, twice or not at all.
 */
#ifndef GODWITVALE_CORE_PREFIX_H
#define GODWITVALE_CORE_PREFIX_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Upstreams remembered for each block.
#define PREFIX_HOLDERS_MAX 4
/// Blocks of one prompt that are looked at.
#define PREFIX_BLOCKS_MAX 16

struct prefix;
struct prefix_block;

/// The blocks of one prompt, looked up once. Valid until the next event or
/// assumption.
struct prefix_query {
	unsigned n_blocks; /// leading ones that are known
	struct prefix_block *blocks[PREFIX_BLOCKS_MAX];
};

struct prefix *prefix_new(uint32_t max_blocks);
void prefix_free(struct prefix *prefix);
void prefix_event(struct prefix *prefix, usec_t now, uint32_t upstream,
    uint64_t sequence, uint64_t block, bool stored);
void prefix_assume(struct prefix *prefix, usec_t now, uint32_t upstream,
    const uint64_t *blocks, unsigned n_blocks);
void prefix_forget(struct prefix *prefix, uint32_t upstream);
void prefix_find(struct prefix *prefix, const uint64_t *blocks,
    unsigned n_blocks, struct prefix_query *query);
unsigned prefix_holders(struct prefix *prefix, usec_t now,
    const struct prefix_query *query, unsigned block,
    uint32_t upstreams[PREFIX_HOLDERS_MAX]);
double prefix_match(struct prefix *prefix, usec_t now,
    const struct prefix_query *query, uint32_t upstream);

#endif
