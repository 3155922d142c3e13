/* Bounded table of prefix blocks and the upstreams that may hold them. */
#include "godwitvale/core/prefix.h"

#include <glib.h>

/// What was learnt before a gap is trusted half as much, and this long.
#define GAP_TRUST 0.5
#define GAP_SPAN (30 * USEC_PER_SEC)
/// What is only assumed after a send of ours is trusted this long.
#define ASSUMED_SPAN (20 * USEC_PER_SEC)
/// So many gaps leave no trust at all.
#define GAPS_VOID 8
/// Below this trust a block counts as gone.
#define TRUST_MIN 0.1

/// One upstream's hold on a block.
struct holder {
	uint32_t upstream; /// 0: unused
	uint32_t gaps;     /// gaps of the upstream's events when learnt
	uint64_t sequence; /// of the last event; 0: assumed
	usec_t learnt_at;
	bool stored;
};

struct prefix_block {
	struct holder holders[PREFIX_HOLDERS_MAX];
};

/// What is known of one upstream's events.
struct feed {
	uint64_t last_sequence;
	uint32_t gaps;
	usec_t gap_at;
};

/// Two tables: when the young one is full it becomes the old one, and what
/// the old one still holds is dropped unless it was used since.
struct prefix {
	uint32_t max_blocks;
	GHashTable *young; /// block hash -> struct prefix_block
	GHashTable *old;
	GHashTable *feeds; /// upstream -> struct feed
};

/// Makes an empty table of blocks.
///
/// @return the table
static GHashTable *
blocks_new(void)
{
	return g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, g_free);
}

/// Finds a block and marks it as used.
///
/// @param prefix  the view
/// @param hash    the block
/// @param make    make it where it isn't there
/// @return the block or NULL
static struct prefix_block *
find_block(struct prefix *prefix, uint64_t hash, bool make)
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
	if (!make)
		return NULL;
	if (g_hash_table_size(prefix->young) >= prefix->max_blocks / 2) {
		g_hash_table_destroy(prefix->old);
		prefix->old = prefix->young;
		prefix->young = blocks_new();
	}
	block = g_new0(struct prefix_block, 1);
	g_hash_table_insert(
	    prefix->young, g_memdup2(&hash, sizeof(hash)), block);
	return block;
}

/// Finds or makes what is known of an upstream's events.
///
/// @param prefix    the view
/// @param upstream  the upstream, not 0
/// @return the record
static struct feed *
feed_of(struct prefix *prefix, uint32_t upstream)
{
	struct feed *feed =
	    g_hash_table_lookup(prefix->feeds, GUINT_TO_POINTER(upstream));

	if (feed != NULL)
		return feed;
	feed = g_new0(struct feed, 1);
	g_hash_table_insert(prefix->feeds, GUINT_TO_POINTER(upstream), feed);
	return feed;
}

/// Gives the trust in a holder's record.
///
/// @param feed    what is known of the upstream's events
/// @param now     current time
/// @param holder  the record
/// @return probability that the upstream still holds the block
static double
trust(const struct feed *feed, usec_t now, const struct holder *holder)
{
	double worth = 1;

	if (!holder->stored)
		return 0;
	if (holder->sequence == 0 && now > holder->learnt_at + ASSUMED_SPAN)
		return 0;
	if (feed->gaps != holder->gaps && now > feed->gap_at + GAP_SPAN)
		return 0;
	for (uint32_t i = holder->gaps; i != feed->gaps && worth > 0; i++)
		worth = worth < TRUST_MIN ? 0 : worth * GAP_TRUST;
	return worth < TRUST_MIN ? 0 : worth;
}

/// Finds an upstream's record of a block, or the one that it may replace.
///
/// @param block     the block
/// @param upstream  the upstream
/// @return a record; its upstream differs when it is to be replaced
static struct holder *
holder_of(struct prefix_block *block, uint32_t upstream)
{
	struct holder *oldest = &block->holders[0];

	for (int i = 0; i < PREFIX_HOLDERS_MAX; i++) {
		struct holder *holder = &block->holders[i];

		if (holder->upstream == upstream)
			return holder;
		if (oldest->upstream != 0 &&
		    (holder->upstream == 0 ||
			holder->learnt_at < oldest->learnt_at))
			oldest = holder;
	}
	return oldest;
}

/// Notes that an upstream will hold a block for a while.
///
/// @param feed      what is known of the upstream's events
/// @param now       current time
/// @param upstream  the upstream
/// @param block     the block
static void
assume_block(const struct feed *feed, usec_t now, uint32_t upstream,
    struct prefix_block *block)
{
	struct holder *holder = holder_of(block, upstream);
	uint64_t sequence = 0;

	if (holder->upstream == upstream) {
		if (trust(feed, now, holder) >= 1 && holder->sequence != 0)
			return;
		sequence = holder->stored ? 0 : holder->sequence;
	}
	*holder = (struct holder){.upstream = upstream,
	    .gaps = feed->gaps,
	    .sequence = sequence,
	    .learnt_at = now,
	    .stored = true};
}

/// Makes an empty view.
///
/// @param max_blocks  most blocks remembered
/// @return the view; free with prefix_free()
struct prefix *
prefix_new(uint32_t max_blocks)
{
	struct prefix *prefix = g_new0(struct prefix, 1);

	prefix->max_blocks = max_blocks;
	prefix->young = blocks_new();
	prefix->old = blocks_new();
	prefix->feeds =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	return prefix;
}

/// Frees the view.
///
/// @param prefix  the view or NULL
void
prefix_free(struct prefix *prefix)
{
	if (prefix == NULL)
		return;
	g_hash_table_destroy(prefix->young);
	g_hash_table_destroy(prefix->old);
	g_hash_table_destroy(prefix->feeds);
	g_free(prefix);
}

/// Takes one cache event. A jump in the sequence means that events are
/// missing: what was learnt before is trusted less and expires.
///
/// @param prefix    the view
/// @param now       current time
/// @param upstream  whose event it is, not 0
/// @param sequence  its number, from 1
/// @param block     block hash
/// @param stored    stored or evicted
void
prefix_event(struct prefix *prefix, usec_t now, uint32_t upstream,
    uint64_t sequence, uint64_t block, bool stored)
{
	struct feed *feed = feed_of(prefix, upstream);
	struct prefix_block *found;
	struct holder *holder;

	if (sequence > feed->last_sequence + 1 && feed->last_sequence != 0) {
		feed->gaps++;
		feed->gap_at = now;
	}
	feed->last_sequence = MAX(feed->last_sequence, sequence);
	found = find_block(prefix, block, stored);
	if (found == NULL)
		return;
	holder = holder_of(found, upstream);
	if (holder->upstream == upstream && sequence <= holder->sequence &&
	    feed->gaps - holder->gaps < GAPS_VOID)
		return;
	if (holder->upstream != upstream && !stored)
		return;
	*holder = (struct holder){.upstream = upstream,
	    .gaps = feed->gaps,
	    .sequence = sequence,
	    .learnt_at = now,
	    .stored = stored};
}

/// Notes that a prompt was just sent to an upstream, which will therefore hold
/// its blocks for a while.
///
/// @param prefix    the view
/// @param now       current time
/// @param upstream  where it was sent, not 0
/// @param blocks    chained block hashes of the prompt
/// @param n_blocks  how many
void
prefix_assume(struct prefix *prefix, usec_t now, uint32_t upstream,
    const uint64_t *blocks, unsigned n_blocks)
{
	struct feed *feed = feed_of(prefix, upstream);

	for (unsigned i = 0; i < n_blocks; i++)
		assume_block(
		    feed, now, upstream, find_block(prefix, blocks[i], true));
}

/// Drops all that is known of an upstream, as after its restart.
///
/// @param prefix    the view
/// @param upstream  the upstream
void
prefix_forget(struct prefix *prefix, uint32_t upstream)
{
	struct feed *feed = feed_of(prefix, upstream);

	feed->gaps += GAPS_VOID;
	feed->last_sequence = 0;
}

/// Looks the blocks of a prompt up, to be matched with several upstreams.
///
/// @param prefix    the view
/// @param blocks    chained block hashes of the prompt
/// @param n_blocks  how many
/// @param query     filled in
void
prefix_find(struct prefix *prefix, const uint64_t *blocks, unsigned n_blocks,
    struct prefix_query *query)
{
	query->n_blocks = 0;
	for (unsigned i = 0; i < MIN(n_blocks, PREFIX_BLOCKS_MAX); i++) {
		query->blocks[i] = find_block(prefix, blocks[i], false);
		if (query->blocks[i] == NULL)
			return;
		query->n_blocks++;
	}
}

/// Names the upstreams that may hold a block.
///
/// @param prefix     the view
/// @param now        current time
/// @param query      a prompt's blocks
/// @param block      which of them; an unknown one has no holders
/// @param upstreams  filled in
/// @return how many were filled in
unsigned
prefix_holders(struct prefix *prefix, usec_t now,
    const struct prefix_query *query, unsigned block,
    uint32_t upstreams[PREFIX_HOLDERS_MAX])
{
	unsigned n = 0;

	if (block >= query->n_blocks)
		return 0;
	for (int i = 0; i < PREFIX_HOLDERS_MAX; i++) {
		const struct holder *holder = &query->blocks[block]->holders[i];

		if (holder->upstream != 0 &&
		    trust(feed_of(prefix, holder->upstream), now, holder) > 0)
			upstreams[n++] = holder->upstream;
	}
	return n;
}

/// Estimates how many leading blocks of a prompt an upstream holds.
///
/// @param prefix    the view
/// @param now       current time
/// @param query     the prompt's blocks
/// @param upstream  the upstream
/// @return expected number of blocks
double
prefix_match(struct prefix *prefix, usec_t now,
    const struct prefix_query *query, uint32_t upstream)
{
	const struct feed *feed = NULL;
	double expected = 0;
	double chain = 1;

	for (unsigned i = 0; i < query->n_blocks && chain > 0; i++) {
		const struct holder *holder =
		    holder_of(query->blocks[i], upstream);

		if (holder->upstream != upstream)
			break;
		if (feed == NULL)
			feed = feed_of(prefix, upstream);
		chain = MIN(chain, trust(feed, now, holder));
		expected += chain;
	}
	return expected;
}
