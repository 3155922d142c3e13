/* What a voter remembers of each key: adding, expiring and exchanging it. */
#include "godwitvale/core/quorum_private.h"

#include "godwitvale/core/verdict.h"

/// Hashes a key.
///
/// @param data  a struct quorum_key
/// @return the hash
static guint
hash_key(gconstpointer data)
{
	const struct quorum_key *key = data;

	return (guint)(key->high ^ key->low ^ (uint64_t)key->kind);
}

/// Compares two keys.
///
/// @param left   a struct quorum_key
/// @param right  a struct quorum_key
/// @return TRUE where they are the same
static gboolean
same_key(gconstpointer left, gconstpointer right)
{
	const struct quorum_key *a = left, *b = right;

	return a->high == b->high && a->low == b->low && a->kind == b->kind;
}

/// Makes an empty table of entries.
///
/// @return a table from struct quorum_key to struct quorum_entry
GHashTable *
quorum_entries_new(void)
{
	return g_hash_table_new_full(hash_key, same_key, NULL, g_free);
}

/// Finds what is remembered of a key.
///
/// @param shard  the key's shard
/// @param key    the key
/// @return the entry, or NULL
struct quorum_entry *
quorum_entry_find(
    const struct quorum_shard *shard, const struct quorum_key *key)
{
	return g_hash_table_lookup(shard->entries, key);
}

/// Finds what is remembered of a key, or starts remembering it.
///
/// @param shard  the key's shard
/// @param key    the key
/// @return the entry
struct quorum_entry *
quorum_entry_get(struct quorum_shard *shard, const struct quorum_key *key)
{
	struct quorum_entry *entry = quorum_entry_find(shard, key);

	if (entry == NULL) {
		entry = g_new0(struct quorum_entry, 1);
		entry->key = *key;
		g_hash_table_insert(shard->entries, &entry->key, entry);
	}
	return entry;
}

/// Drops the claims on a key that are past their time.
///
/// @param entry  the entry
/// @param now    current time
void
quorum_entry_expire(struct quorum_entry *entry, usec_t now)
{
	unsigned n = 0;

	for (unsigned i = 0; i < entry->n_holdings; i++) {
		if (entry->holdings[i].forget_at > now)
			entry->holdings[n++] = entry->holdings[i];
	}
	entry->n_holdings = n;
}

/// Records a claim on a key, or keeps a recorded one for longer.
///
/// @param entry      the entry
/// @param holder     the claimant
/// @param nonce      its claim
/// @param forget_at  when to forget it, if not later already
/// @return the claim; NULL where no more fit, which makes the key contested
struct quorum_holding *
quorum_entry_hold(struct quorum_entry *entry, node_id holder, uint64_t nonce,
    usec_t forget_at)
{
	struct quorum_holding *holding;

	for (unsigned i = 0; i < entry->n_holdings; i++) {
		holding = &entry->holdings[i];
		if (holding->holder != holder || holding->nonce != nonce)
			continue;
		holding->forget_at = MAX(holding->forget_at, forget_at);
		return holding;
	}
	if (entry->n_holdings == QUORUM_KEY_CLAIMS) {
		entry->contested_until = MAX(entry->contested_until, forget_at);
		return NULL;
	}
	holding = &entry->holdings[entry->n_holdings++];
	holding->holder = holder;
	holding->nonce = nonce;
	holding->verdict = VERDICT_MAY_HAVE_RUN;
	holding->forget_at = forget_at;
	return holding;
}

/// Drops a claim that never acted.
///
/// @param entry   the entry
/// @param holder  the claimant
/// @param nonce   its claim
void
quorum_entry_abandon(struct quorum_entry *entry, node_id holder, uint64_t nonce)
{
	for (unsigned i = 0; i < entry->n_holdings; i++) {
		if (entry->holdings[i].holder != holder ||
		    entry->holdings[i].nonce != nonce)
			continue;
		entry->holdings[i] = entry->holdings[--entry->n_holdings];
		return;
	}
}

/// Forgets entries of which nothing counts any more. Numbers are kept, as
/// they must never fall.
///
/// @param shard  the shard
/// @param now    current time
void
quorum_shard_sweep(struct quorum_shard *shard, usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quorum_entry *entry = value;

		quorum_entry_expire(entry, now);
		if (entry->n_holdings == 0 && entry->number == 0 &&
		    entry->contested_until <= now)
			g_hash_table_iter_remove(&iter);
	}
}

/// Adds what another voter remembers. Nothing known is lost by it: claims
/// are united, numbers and verdicts are raised.
///
/// @param shard   the shard
/// @param now     current time
/// @param record  its forget_at is a span that was left
void
quorum_record_merge(
    struct quorum_shard *shard, usec_t now, const struct quorum_record *record)
{
	struct quorum_entry *entry = quorum_entry_get(shard, &record->key);
	usec_t forget_at = now + usec_with_drift(record->forget_at);
	struct quorum_holding *holding;

	entry->number = MAX(entry->number, record->number);
	if (record->contested)
		entry->contested_until = MAX(entry->contested_until, forget_at);
	if (record->holder == 0)
		return;
	quorum_entry_expire(entry, now);
	holding =
	    quorum_entry_hold(entry, record->holder, record->nonce, forget_at);
	if (holding != NULL)
		holding->verdict =
		    verdict_raise(holding->verdict, record->verdict);
}

/// Lists what is remembered of one key as records.
///
/// @param entry    the entry
/// @param now      current time
/// @param records  of struct quorum_record; added to
static void
collect_entry(const struct quorum_entry *entry, usec_t now, GArray *records)
{
	struct quorum_record record = {
	    .key = entry->key,
	    .number = entry->number,
	};

	for (unsigned i = 0; i < entry->n_holdings; i++) {
		record.holder = entry->holdings[i].holder;
		record.nonce = entry->holdings[i].nonce;
		record.verdict = entry->holdings[i].verdict;
		record.forget_at = entry->holdings[i].forget_at - now;
		g_array_append_val(records, record);
	}
	record.holder = 0;
	record.nonce = 0;
	record.verdict = VERDICT_NOT_RUN;
	record.contested = entry->contested_until > now;
	record.forget_at = record.contested ? entry->contested_until - now : 0;
	if (record.contested || (entry->n_holdings == 0 && entry->number > 0))
		g_array_append_val(records, record);
}

/// Lists all that is remembered of a shard as records.
///
/// @param shard    the shard
/// @param now      current time
/// @param records  of struct quorum_record; added to
void
quorum_records_collect(struct quorum_shard *shard, usec_t now, GArray *records)
{
	GHashTableIter iter;
	gpointer value;

	quorum_shard_sweep(shard, now);
	g_hash_table_iter_init(&iter, shard->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		collect_entry(value, now, records);
}
