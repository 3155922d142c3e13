/*
 * Stores the claims and the value that a voter has recorded for each key: adds
 * and expires them, and merges and lists them as records, the form in which
 * voters exchange them.
 */
#include "godwitvale/core/quorum_private.h"

#include "godwitvale/core/verdict.h"

/// Hashes a key for GHashTable.
///
/// @param data  a struct quorum_key
/// @return the hash
static guint
hash_key(gconstpointer data)
{
	const struct quorum_key *key = data;

	return (guint)(key->high ^ key->low ^ (uint64_t)key->kind);
}

/// Compares two keys for GHashTable.
///
/// @param left   a struct quorum_key
/// @param right  a struct quorum_key
/// @return TRUE if the keys are equal
static gboolean
keys_equal(gconstpointer left, gconstpointer right)
{
	const struct quorum_key *a = left, *b = right;

	return a->high == b->high && a->low == b->low && a->kind == b->kind;
}

/// Creates an empty table of entries.
///
/// @return a table from struct quorum_key to struct quorum_entry, which owns
///     the entries
GHashTable *
quorum_entries_new(void)
{
	return g_hash_table_new_full(hash_key, keys_equal, NULL, g_free);
}

/// Finds the entry of a key.
///
/// @param shard  shard of the key
/// @param key    key to look up
/// @return the entry, owned by the shard; NULL if nothing is recorded for the
///     key
struct quorum_entry *
quorum_entry_find(
    const struct quorum_shard *shard, const struct quorum_key *key)
{
	return g_hash_table_lookup(shard->entries, key);
}

/// Finds the entry of a key, or creates an empty one.
///
/// @param shard  shard of the key
/// @param key    key to look up; copied into a new entry
/// @return the entry, owned by the shard
struct quorum_entry *
quorum_entry_get_or_create(
    struct quorum_shard *shard, const struct quorum_key *key)
{
	struct quorum_entry *entry = quorum_entry_find(shard, key);

	if (entry == NULL) {
		entry = g_new0(struct quorum_entry, 1);
		entry->key = *key;
		g_hash_table_insert(shard->entries, &entry->key, entry);
	}
	return entry;
}

/// Removes expired claims from an entry.
///
/// @param entry  entry to update
/// @param now    current time, in microseconds
void
quorum_entry_remove_expired(struct quorum_entry *entry, usec_t now)
{
	unsigned n = 0;

	for (unsigned i = 0; i < entry->n_claims; i++) {
		if (entry->claims[i].expires_at > now)
			entry->claims[n++] = entry->claims[i];
	}
	entry->n_claims = n;
}

/// Records a claim on a key, or extends the lifetime of a claim that is already
/// recorded.
///
/// @param entry       entry of the key
/// @param holder      claimant
/// @param nonce       nonce of the claim
/// @param expires_at  time in microseconds when the claim expires; ignored if
///     the claim is already recorded with a later expiry time
/// @return the recorded claim; NULL if the entry is full, in which case the key
///     becomes contested until `expires_at`
struct quorum_recorded_claim *
quorum_entry_add_claim(struct quorum_entry *entry, node_id holder,
    uint64_t nonce, usec_t expires_at)
{
	struct quorum_recorded_claim *recorded;

	for (unsigned i = 0; i < entry->n_claims; i++) {
		recorded = &entry->claims[i];
		if (recorded->holder != holder || recorded->nonce != nonce)
			continue;
		recorded->expires_at = MAX(recorded->expires_at, expires_at);
		return recorded;
	}
	if (entry->n_claims == QUORUM_KEY_CLAIMS_MAX) {
		entry->contested_until =
		    MAX(entry->contested_until, expires_at);
		return NULL;
	}
	recorded = &entry->claims[entry->n_claims++];
	recorded->holder = holder;
	recorded->nonce = nonce;
	recorded->verdict = VERDICT_MAY_HAVE_RUN;
	recorded->expires_at = expires_at;
	return recorded;
}

/// Removes an abandoned claim from an entry. Does nothing if the claim is not
/// recorded.
///
/// @param entry   entry of the key
/// @param holder  claimant that abandoned the claim
/// @param nonce   nonce of the claim
void
quorum_entry_remove_claim(
    struct quorum_entry *entry, node_id holder, uint64_t nonce)
{
	for (unsigned i = 0; i < entry->n_claims; i++) {
		if (entry->claims[i].holder != holder ||
		    entry->claims[i].nonce != nonce)
			continue;
		entry->claims[i] = entry->claims[--entry->n_claims];
		return;
	}
}

/// Removes the expired claims of a shard, and the entries that contain no claim
/// and whose key is not contested. Entries with a value are kept, as the value
/// of a key must never decrease.
///
/// @param shard  shard to clean up
/// @param now    current time, in microseconds
void
quorum_shard_remove_expired(struct quorum_shard *shard, usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quorum_entry *entry = value;

		quorum_entry_remove_expired(entry, now);
		if (entry->n_claims == 0 && entry->value == 0 &&
		    entry->contested_until <= now)
			g_hash_table_iter_remove(&iter);
	}
}

/// Merges a record of another voter into the shard. The merge adds the record's
/// claim to the claims that this voter has recorded; values, verdicts and
/// expiry times only increase.
///
/// @param shard   shard of the record's key
/// @param now     current time, in microseconds
/// @param record  record received; expires_in counts from `now`
void
quorum_record_merge(
    struct quorum_shard *shard, usec_t now, const struct quorum_record *record)
{
	struct quorum_entry *entry =
	    quorum_entry_get_or_create(shard, &record->key);
	usec_t expires_at = now + usec_with_drift(record->expires_in);
	struct quorum_recorded_claim *recorded;

	entry->value = MAX(entry->value, record->value);
	if (record->contested)
		entry->contested_until =
		    MAX(entry->contested_until, expires_at);
	if (record->holder == 0)
		return;
	quorum_entry_remove_expired(entry, now);
	recorded = quorum_entry_add_claim(
	    entry, record->holder, record->nonce, expires_at);
	if (recorded != NULL)
		recorded->verdict =
		    verdict_raise(recorded->verdict, record->verdict);
}

/// Appends the contents of one entry to a list of records: one record for each
/// claim, and one for a value without claims or for a contested key.
///
/// @param entry    entry to list
/// @param now      current time, in microseconds
/// @param records  array of struct quorum_record to append to
static void
collect_entry(const struct quorum_entry *entry, usec_t now, GArray *records)
{
	struct quorum_record record = {
	    .key = entry->key,
	    .value = entry->value,
	};

	for (unsigned i = 0; i < entry->n_claims; i++) {
		record.holder = entry->claims[i].holder;
		record.nonce = entry->claims[i].nonce;
		record.verdict = entry->claims[i].verdict;
		record.expires_in = entry->claims[i].expires_at - now;
		g_array_append_val(records, record);
	}
	record.holder = 0;
	record.nonce = 0;
	record.verdict = VERDICT_NOT_RUN;
	record.contested = entry->contested_until > now;
	record.expires_in = record.contested ? entry->contested_until - now : 0;
	if (record.contested || (entry->n_claims == 0 && entry->value > 0))
		g_array_append_val(records, record);
}

/// Appends the contents of a shard to a list of records, after removing what
/// has expired.
///
/// @param shard    shard to list
/// @param now      current time, in microseconds
/// @param records  array of struct quorum_record to append to
void
quorum_records_collect(struct quorum_shard *shard, usec_t now, GArray *records)
{
	GHashTableIter iter;
	gpointer value;

	quorum_shard_remove_expired(shard, now);
	g_hash_table_iter_init(&iter, shard->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		collect_entry(value, now, records);
}
