/* Indexes which upstreams may hold which prefix blocks, up to a size limit. */
#include "godwitvale/core/prefix.h"

#include <glib.h>

/// A gap in the sequence numbers of an upstream's events multiplies the
/// confidence in that upstream's older records by this.
#define GAP_CONFIDENCE_FACTOR 0.5
/// Records that were last updated before a gap expire this long after the gap.
#define GAP_EXPIRY_SPAN (30 * USEC_PER_SEC)
/// Records that are only assumed, because a prompt was sent to the upstream,
/// expire after this long.
#define ASSUMED_EXPIRY_SPAN (20 * USEC_PER_SEC)
/// After this many gaps, records that were last updated before them are void.
#define GAPS_UNTIL_VOID 8
/// Below this confidence (a probability), an upstream counts as not holding the
/// block.
#define CONFIDENCE_MIN 0.1

/// Record of whether one upstream holds a block.
struct holder {
	uint32_t upstream; /// handle; 0 if the record is unused
	uint32_t gaps;     /// value of the feed's `gaps` at the last update
	/// sequence number of the last event on the block at this upstream; 0
	/// if there was none, so that the record is only assumed
	uint64_t sequence;
	usec_t updated_at;
	bool stored; /// false after the upstream has evicted the block
};

/// A block and the upstreams recorded for it.
struct prefix_block {
	struct holder holders[PREFIX_HOLDERS_MAX];
};

/// State of one upstream's feed of cache events.
struct cache_feed {
	/// highest sequence number of the events received; 0 after a reset
	uint64_t last_sequence;
	/// number of gaps in the sequence numbers; a reset adds GAPS_UNTIL_VOID
	uint32_t gaps;
	usec_t last_gap_at;
};

/// The index has two tables. A lookup moves a block from the old table to the
/// young one. When a block is added and the young table holds half of
/// `max_blocks`, the old table is freed, with the blocks that weren't looked up
/// while it was the old table, and the young table takes its place.
struct prefix_index {
	uint32_t max_blocks; /// maximum number of blocks in both tables
	GHashTable *young; /// chained hash of a block -> struct prefix_block *
	GHashTable *old;   /// same types as `young`
	GHashTable *feeds; /// handle of an upstream -> struct cache_feed *
};

/// Creates an empty table of blocks.
static GHashTable *
block_table_new(void)
{
	return g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, g_free);
}

/// Finds a block and moves it to the young table.
///
/// @param prefix  index to search
/// @param hash    chained hash of the block
/// @param create  whether to add the block if it isn't in the index
/// @return the block or NULL
static struct prefix_block *
find_block(struct prefix_index *prefix, uint64_t hash, bool create)
{
	struct prefix_block *block = g_hash_table_lookup(prefix->young, &hash);
	gpointer key;
	gpointer value;

	if (block != NULL)
		return block;
	if (g_hash_table_steal_extended(prefix->old, &hash, &key, &value)) {
		g_hash_table_insert(prefix->young, key, value);
		return value;
	}
	if (!create)
		return NULL;
	if (g_hash_table_size(prefix->young) >= prefix->max_blocks / 2) {
		g_hash_table_destroy(prefix->old);
		prefix->old = prefix->young;
		prefix->young = block_table_new();
	}
	block = g_new0(struct prefix_block, 1);
	g_hash_table_insert(
	    prefix->young, g_memdup2(&hash, sizeof(hash)), block);
	return block;
}

/// Returns the state of an upstream's feed of cache events; creates it if there
/// is none.
///
/// @param prefix    index that holds the feed
/// @param upstream  handle of the upstream, not 0
/// @return the feed's state, owned by the index
static struct cache_feed *
ensure_cache_feed(struct prefix_index *prefix, uint32_t upstream)
{
	struct cache_feed *feed =
	    g_hash_table_lookup(prefix->feeds, GUINT_TO_POINTER(upstream));

	if (feed != NULL)
		return feed;
	feed = g_new0(struct cache_feed, 1);
	g_hash_table_insert(prefix->feeds, GUINT_TO_POINTER(upstream), feed);
	return feed;
}

/// Returns the confidence in a holder's record.
///
/// @param feed    feed of the holder's upstream
/// @param now     current time
/// @param holder  record of whether the upstream holds a block
/// @return probability that the upstream still holds the block
static double
holder_confidence(
    const struct cache_feed *feed, usec_t now, const struct holder *holder)
{
	double confidence = 1;

	if (!holder->stored)
		return 0;
	if (holder->sequence == 0 &&
	    now > holder->updated_at + ASSUMED_EXPIRY_SPAN)
		return 0;
	if (feed->gaps != holder->gaps &&
	    now > feed->last_gap_at + GAP_EXPIRY_SPAN)
		return 0;
	for (uint32_t i = holder->gaps; i != feed->gaps && confidence > 0; i++)
		confidence = confidence < CONFIDENCE_MIN
		    ? 0
		    : confidence * GAP_CONFIDENCE_FACTOR;
	return confidence < CONFIDENCE_MIN ? 0 : confidence;
}

/// Finds an upstream's record of a block. If there is none, returns the record
/// to replace: an unused record or else the one that was updated longest ago.
///
/// @param block     block to search
/// @param upstream  handle of the upstream
/// @return a record; it is to be replaced if its `upstream` differs
static struct holder *
find_holder_record(struct prefix_block *block, uint32_t upstream)
{
	struct holder *oldest = &block->holders[0];

	for (int i = 0; i < PREFIX_HOLDERS_MAX; i++) {
		struct holder *holder = &block->holders[i];

		if (holder->upstream == upstream)
			return holder;
		if (oldest->upstream != 0 &&
		    (holder->upstream == 0 ||
			holder->updated_at < oldest->updated_at))
			oldest = holder;
	}
	return oldest;
}

/// Records the assumption that an upstream will store a block and hold it for a
/// while. A record that an event has confirmed is kept as it is.
///
/// @param feed      feed of the upstream
/// @param now       current time
/// @param upstream  handle of the upstream
/// @param block     block to update
static void
assume_block_stored(const struct cache_feed *feed, usec_t now,
    uint32_t upstream, struct prefix_block *block)
{
	struct holder *holder = find_holder_record(block, upstream);
	uint64_t sequence = 0;

	if (holder->upstream == upstream) {
		if (holder_confidence(feed, now, holder) >= 1 &&
		    holder->sequence != 0)
			return;
		sequence = holder->stored ? 0 : holder->sequence;
	}
	*holder = (struct holder){.upstream = upstream,
	    .gaps = feed->gaps,
	    .sequence = sequence,
	    .updated_at = now,
	    .stored = true};
}

/// Creates an empty index.
///
/// @param max_blocks  maximum number of blocks to keep
/// @return the index; free with prefix_free()
struct prefix_index *
prefix_new(uint32_t max_blocks)
{
	struct prefix_index *prefix = g_new0(struct prefix_index, 1);

	prefix->max_blocks = max_blocks;
	prefix->young = block_table_new();
	prefix->old = block_table_new();
	prefix->feeds =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	return prefix;
}

/// Frees an index.
///
/// @param prefix  index to free, or NULL
void
prefix_free(struct prefix_index *prefix)
{
	if (prefix == NULL)
		return;
	g_hash_table_destroy(prefix->young);
	g_hash_table_destroy(prefix->old);
	g_hash_table_destroy(prefix->feeds);
	g_free(prefix);
}

/// Handles one cache event. A jump in the sequence numbers means that events
/// are missing: the confidence in the upstream's older records drops, and these
/// records will expire.
///
/// @param prefix      index to update
/// @param now         current time
/// @param upstream    handle of the upstream that sent the event, not 0
/// @param sequence    sequence number of the event at the upstream, from 1
/// @param block_hash  chained hash of the block
/// @param stored      true if the block was stored, false if evicted
void
prefix_handle_event(struct prefix_index *prefix, usec_t now, uint32_t upstream,
    uint64_t sequence, uint64_t block_hash, bool stored)
{
	struct cache_feed *feed = ensure_cache_feed(prefix, upstream);
	struct prefix_block *found;
	struct holder *holder;

	if (sequence > feed->last_sequence + 1 && feed->last_sequence != 0) {
		feed->gaps++;
		feed->last_gap_at = now;
	}
	feed->last_sequence = MAX(feed->last_sequence, sequence);
	found = find_block(prefix, block_hash, stored);
	if (found == NULL)
		return;
	holder = find_holder_record(found, upstream);
	if (holder->upstream == upstream && sequence <= holder->sequence &&
	    feed->gaps - holder->gaps < GAPS_UNTIL_VOID)
		return;
	if (holder->upstream != upstream && !stored)
		return;
	*holder = (struct holder){.upstream = upstream,
	    .gaps = feed->gaps,
	    .sequence = sequence,
	    .updated_at = now,
	    .stored = stored};
}

/// Records that a prompt was just sent to an upstream, which will therefore
/// hold the prompt's blocks for a while.
///
/// @param prefix    index to update
/// @param now       current time
/// @param upstream  handle of the upstream, not 0
/// @param blocks    chained block hashes of the prompt
/// @param n_blocks  number of blocks
void
prefix_assume_stored(struct prefix_index *prefix, usec_t now, uint32_t upstream,
    const uint64_t *blocks, unsigned n_blocks)
{
	struct cache_feed *feed = ensure_cache_feed(prefix, upstream);

	for (unsigned i = 0; i < n_blocks; i++)
		assume_block_stored(
		    feed, now, upstream, find_block(prefix, blocks[i], true));
}

/// Voids all records of an upstream, for example after its restart, when the
/// sequence numbers of its events start again.
///
/// @param prefix    index to update
/// @param upstream  handle of the upstream, not 0
void
prefix_reset_upstream(struct prefix_index *prefix, uint32_t upstream)
{
	struct cache_feed *feed = ensure_cache_feed(prefix, upstream);

	feed->gaps += GAPS_UNTIL_VOID;
	feed->last_sequence = 0;
}

/// Looks up the leading blocks of a prompt, up to the first block that isn't in
/// the index.
///
/// @param prefix    index to search
/// @param blocks    chained block hashes of the prompt
/// @param n_blocks  number of blocks; only PREFIX_BLOCKS_MAX are looked up
/// @param query     set to the result, which is used with several upstreams
void
prefix_find_blocks(struct prefix_index *prefix, const uint64_t *blocks,
    unsigned n_blocks, struct prefix_query *query)
{
	query->n_blocks = 0;
	for (unsigned i = 0; i < MIN(n_blocks, PREFIX_BLOCKS_MAX); i++) {
		query->blocks[i] = find_block(prefix, blocks[i], false);
		if (query->blocks[i] == NULL)
			return;
		query->n_blocks++;
	}
}

/// Lists the upstreams that may hold a block.
///
/// @param prefix     index that `query` was filled from
/// @param now        current time
/// @param query      result of looking up the blocks of a prompt
/// @param block      position of the block in the prompt, from 0; a block that
///                   isn't in the index has no holders
/// @param upstreams  filled with handles of upstreams
/// @return number of entries in `upstreams`
unsigned
prefix_list_holders(struct prefix_index *prefix, usec_t now,
    const struct prefix_query *query, unsigned block,
    uint32_t upstreams[PREFIX_HOLDERS_MAX])
{
	unsigned n = 0;

	if (block >= query->n_blocks)
		return 0;
	for (int i = 0; i < PREFIX_HOLDERS_MAX; i++) {
		const struct holder *holder = &query->blocks[block]->holders[i];

		if (holder->upstream != 0 &&
		    holder_confidence(
			ensure_cache_feed(prefix, holder->upstream), now,
			holder) > 0)
			upstreams[n++] = holder->upstream;
	}
	return n;
}

/// Estimates how many leading blocks of a prompt an upstream holds.
///
/// @param prefix    index that `query` was filled from
/// @param now       current time
/// @param query     result of looking up the blocks of the prompt
/// @param upstream  handle of the upstream
/// @return expected number of blocks; may be a fraction
double
prefix_estimate_match(struct prefix_index *prefix, usec_t now,
    const struct prefix_query *query, uint32_t upstream)
{
	const struct cache_feed *feed = NULL;
	double expected = 0;
	double chain_confidence = 1;

	for (unsigned i = 0; i < query->n_blocks && chain_confidence > 0; i++) {
		const struct holder *holder =
		    find_holder_record(query->blocks[i], upstream);

		if (holder->upstream != upstream)
			break;
		if (feed == NULL)
			feed = ensure_cache_feed(prefix, upstream);
		chain_confidence =
		    MIN(chain_confidence, holder_confidence(feed, now, holder));
		expected += chain_confidence;
	}
	return expected;
}
