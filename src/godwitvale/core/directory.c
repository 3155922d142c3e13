/* Tracks the upstreams by their entries in the store. */
#include "godwitvale/core/directory.h"

#include <string.h>

#include "godwitvale/core/deployment.h"
#include "godwitvale/core/handle_table.h"
#include "godwitvale/core/hash.h"

/// Maximum number of upstreams that are remembered as draining after their
/// records were removed; all are forgotten when it is reached.
#define DIRECTORY_DRAINING_MAX 4096
/// Maximum number of tombstones; all tombstones are discarded when it is
/// reached. While the tombstone of an id exists, a message that arrives late
/// can't restore an older entry of that id.
#define DIRECTORY_TOMBSTONES_MAX 4096

struct directory {
	directory_listener listener;
	void *owner;
	GHashTable *records;    /// id -> struct record *
	GHashTable *by_service; /// service -> GPtrArray * of struct record *
	GHashTable *by_address; /// address -> struct record * of its upstream
	GHashTable *tombstones; /// id -> struct tombstone *
	GHashTable *draining;   /// id -> incarnation that drains, uint64_t *
	struct handle_table *handles;
	struct deployment *deployment; /// current one; NULL: none yet
	usec_t store_regained_at; /// end of the last outage; 0: no outage yet
	bool store_lost;          /// the store is unreachable
	uint64_t list_epoch;      /// number of full lists begun
};

/// An upstream whose entry was deleted. Its last known entry had this
/// incarnation and sequence number; 0: no entry was known.
struct tombstone {
	uint64_t revision; /// of the deletion
	uint64_t incarnation;
	uint64_t sequence;
};

/// A record with its private data. `upstream` must stay the first field,
/// because lookups return a pointer to the record as a pointer to `upstream`.
struct record {
	struct upstream_record upstream;
	uint64_t list_epoch; /// directory's list_epoch at the last put
};

/// Frees the strings of an entry.
static void
entry_clear(struct upstream_entry *entry)
{
	g_free(entry->id);
	g_free(entry->service);
	g_free(entry->address);
	g_free(entry->zone);
	g_free(entry->software_version);
}

/// Frees a record (struct record *).
static void
record_free(void *data)
{
	struct record *record = data;

	entry_clear(&record->upstream.entry);
	g_free(record);
}

/// Frees a service's list of records, but not the records themselves.
static void
service_records_free(void *data)
{
	g_ptr_array_unref(data);
}

/// Creates an empty directory.
///
/// @param listener  called on each change
/// @param owner     passed to the listener
/// @return the directory; free with directory_free()
struct directory *
directory_new(directory_listener listener, void *owner)
{
	struct directory *directory = g_new0(struct directory, 1);

	directory->listener = listener;
	directory->owner = owner;
	directory->records =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, record_free);
	directory->by_service = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, service_records_free);
	directory->by_address =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	directory->tombstones =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	directory->draining =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	directory->handles = handle_table_new();
	return directory;
}

/// Frees a directory and all its records, without calling the listener.
///
/// @param directory  directory to free, not NULL
void
directory_free(struct directory *directory)
{
	g_hash_table_unref(directory->by_service);
	g_hash_table_unref(directory->by_address);
	g_hash_table_unref(directory->records);
	g_hash_table_unref(directory->tombstones);
	g_hash_table_unref(directory->draining);
	handle_table_free(directory->handles);
	deployment_unref(directory->deployment);
	g_free(directory);
}

/// Sets the configuration that says which services there are. Without one,
/// every service counts as named. The caller then puts the entries again that
/// have no record, because they may now have the better claim to an address.
///
/// @param directory   directory to update
/// @param deployment  the current configuration; the directory adds a reference
void
directory_set_deployment(
    struct directory *directory, struct deployment *deployment)
{
	deployment_ref(deployment);
	deployment_unref(directory->deployment);
	directory->deployment = deployment;
}

/// Returns the list of a service's records; creates it when there is none.
static GPtrArray *
ensure_service_records(struct directory *directory, const char *service)
{
	GPtrArray *list = g_hash_table_lookup(directory->by_service, service);

	if (list != NULL)
		return list;
	list = g_ptr_array_new();
	g_hash_table_insert(directory->by_service, g_strdup(service), list);
	return list;
}

/// Reports a change of an upstream to the listener.
static void
notify_listener(struct directory *directory, enum directory_change change,
    const struct record *record)
{
	directory->listener(directory->owner, change, &record->upstream);
}

/// Records the deletion of an upstream's entry, so that older entries of the
/// same id don't restore the upstream.
static void
add_tombstone(struct directory *directory, const char *id, uint64_t revision,
    const struct record *record)
{
	struct tombstone *tombstone =
	    g_hash_table_lookup(directory->tombstones, id);

	if (tombstone == NULL &&
	    g_hash_table_size(directory->tombstones) >=
		DIRECTORY_TOMBSTONES_MAX)
		g_hash_table_remove_all(directory->tombstones);
	if (tombstone == NULL) {
		tombstone = g_new0(struct tombstone, 1);
		g_hash_table_replace(
		    directory->tombstones, g_strdup(id), tombstone);
	}
	tombstone->revision = MAX(tombstone->revision, revision);
	/* A deletion that is reported again has no record any more. */
	if (record != NULL) {
		tombstone->incarnation = record->upstream.entry.incarnation;
		tombstone->sequence = record->upstream.entry.sequence;
	}
}

/// Removes a record from the directory, reports the removal and frees the
/// record.
static void
remove_record(struct directory *directory, struct record *record)
{
	const char *address = record->upstream.entry.address;

	if (g_hash_table_lookup(directory->by_address, address) == record)
		g_hash_table_remove(directory->by_address, address);
	g_ptr_array_remove(
	    ensure_service_records(directory, record->upstream.entry.service),
	    record);
	handle_table_remove(directory->handles, record->upstream.handle);
	notify_listener(directory, DIRECTORY_REMOVED, record);
	g_hash_table_remove(directory->records, record->upstream.entry.id);
}

/// Removes a record whose upstream is gone, and remembers its last entry.
static void
remove_gone_record(struct directory *directory, struct record *record)
{
	add_tombstone(directory, record->upstream.entry.id,
	    record->upstream.revision, record);
	remove_record(directory, record);
}

/// Replaces a record's entry by a copy of `entry`, and ends the hold of a held
/// upstream.
static void
replace_record_entry(struct record *record, usec_t now,
    const struct upstream_entry *entry, uint64_t revision)
{
	struct upstream_entry *copy = &record->upstream.entry;

	entry_clear(copy);
	*copy = *entry;
	copy->id = g_strdup(entry->id);
	copy->service = g_strdup(entry->service);
	copy->address = g_strdup(entry->address);
	copy->zone = g_strdup(entry->zone);
	copy->software_version = g_strdup(entry->software_version);
	record->upstream.key = hash_name(entry->id);
	record->upstream.incarnation_key =
	    hash_pair(record->upstream.key, entry->incarnation);
	record->upstream.version_key = hash_pair(
	    hash_name(entry->service), hash_name(entry->software_version));
	record->upstream.revision = revision;
	record->upstream.missing_deadline = 0;
	record->upstream.cold_until =
	    entry->cold_left > 0 ? now + entry->cold_left : 0;
	if (entry->state != UPSTREAM_DRAINING)
		record->upstream.draining_since = 0;
	else if (record->upstream.draining_since == 0)
		record->upstream.draining_since = now;
}

/// Remembers that an incarnation of an upstream drains, also after its record
/// is removed. An entry without an incarnation, as old builds write it, may be
/// of a process that has started again, so it isn't remembered.
static void
remember_draining(
    struct directory *directory, const struct upstream_entry *entry)
{
	if (entry->state != UPSTREAM_DRAINING || entry->incarnation == 0)
		return;
	if (g_hash_table_size(directory->draining) >= DIRECTORY_DRAINING_MAX)
		g_hash_table_remove_all(directory->draining);
	g_hash_table_replace(directory->draining, g_strdup(entry->id),
	    g_memdup2(&entry->incarnation, sizeof(entry->incarnation)));
}

/// Checks whether an entry says ready although its upstream drains: a heartbeat
/// that was written late, or the copy of a restored store. The record's own
/// state also counts, as the remembered ones may have been forgotten.
///
/// @param record  of the same process; NULL: there is none
static bool
is_ready_out_of_date(const struct directory *directory,
    const struct record *record, const struct upstream_entry *entry)
{
	const uint64_t *draining =
	    g_hash_table_lookup(directory->draining, entry->id);

	if (entry->state != UPSTREAM_READY || entry->incarnation == 0)
		return false;
	return (draining != NULL && *draining == entry->incarnation) ||
	    (record != NULL &&
		record->upstream.entry.state == UPSTREAM_DRAINING);
}

/// Checks whether the current configuration names a service.
static bool
is_named(const struct directory *directory, const char *service)
{
	return directory->deployment == NULL ||
	    deployment_names_service(directory->deployment, service);
}

/// Claims an address for an upstream. Another upstream that announced the same
/// address in an older entry is removed: its process can't run there any more.
/// An entry whose service is named precedes one whose service isn't.
///
/// The decision is final if the configuration names both services. Otherwise
/// no tombstone is added, so that the other entry can be put again.
///
/// @return false when another upstream has the better claim to the address
static bool
claim_address(struct directory *directory, const struct upstream_entry *entry,
    uint64_t revision)
{
	struct record *previous =
	    g_hash_table_lookup(directory->by_address, entry->address);
	bool is_better;
	bool is_final;
	bool named;
	bool previous_named;

	if (previous == NULL)
		return true;
	named = is_named(directory, entry->service);
	previous_named = is_named(directory, previous->upstream.entry.service);
	is_better = named == previous_named
	    ? previous->upstream.revision <= revision
	    : named;
	if (!is_better)
		return false;
	is_final = directory->deployment != NULL && named && previous_named;
	if (is_final)
		remove_gone_record(directory, previous);
	else
		remove_record(directory, previous);
	return true;
}

/// Adds a record for an id without one, unless another upstream has the better
/// claim to its address.
static void
add_record(struct directory *directory, usec_t now,
    const struct upstream_entry *entry, uint64_t revision)
{
	struct record *record;

	if (!claim_address(directory, entry, revision))
		return;
	record = g_new0(struct record, 1);
	g_hash_table_insert(
	    directory->by_address, g_strdup(entry->address), record);
	replace_record_entry(record, now, entry, revision);
	record->list_epoch = directory->list_epoch;
	record->upstream.handle = handle_table_add(directory->handles, record);
	g_hash_table_insert(
	    directory->records, g_strdup(record->upstream.entry.id), record);
	g_ptr_array_add(
	    ensure_service_records(directory, entry->service), record);
	notify_listener(directory, DIRECTORY_ADDED, record);
}

/// Checks whether an entry was written by another process than the one that a
/// record describes: the incarnation, the service, the address or the software
/// version differs.
static bool
entry_shows_restart(
    const struct record *record, const struct upstream_entry *entry)
{
	const struct upstream_entry *old = &record->upstream.entry;

	if (old->incarnation != entry->incarnation)
		return true;
	return strcmp(old->service, entry->service) != 0 ||
	    strcmp(old->address, entry->address) != 0 ||
	    strcmp(old->software_version, entry->software_version) != 0;
}

/// Checks whether an entry was written after the one with an incarnation and a
/// sequence number.
static bool
is_written_later(
    const struct upstream_entry *entry, uint64_t incarnation, uint64_t sequence)
{
	if (entry->incarnation != incarnation)
		return entry->incarnation > incarnation;
	return entry->sequence > sequence;
}

/// Checks whether an entry is newer than the known entry of its upstream. After
/// a restore of the store, the copy's entries may be older than what was known,
/// and another instance may know of newer ones from before the restore:
/// revisions of two eras say nothing about that.
static bool
is_newer(const struct record *record, const struct upstream_entry *entry,
    uint64_t revision)
{
	const struct upstream_entry *known = &record->upstream.entry;
	uint64_t known_revision = record->upstream.revision;
	uint64_t era = store_revision_era(revision);
	uint64_t known_era = store_revision_era(known_revision);

	if (era == known_era)
		return revision > known_revision;
	if (era < known_era)
		return is_written_later(
		    entry, known->incarnation, known->sequence);
	return !is_written_later(known, entry->incarnation, entry->sequence);
}

/// Checks whether an upstream is known to be gone although there is an entry.
static bool
is_known_gone(const struct tombstone *tombstone,
    const struct upstream_entry *entry, uint64_t revision)
{
	if (tombstone->revision >= revision)
		return true;
	return store_revision_era(revision) >
	    store_revision_era(tombstone->revision) &&
	    !is_written_later(
		entry, tombstone->incarnation, tombstone->sequence);
}

/// Replaces the entry of a record by a newer one of the same process.
static void
update_record(struct directory *directory, usec_t now, struct record *record,
    const struct upstream_entry *entry, uint64_t revision)
{
	enum upstream_state old_state = record->upstream.entry.state;
	bool was_cold = record->upstream.cold_until > now;

	replace_record_entry(record, now, entry, revision);
	if (old_state != entry->state)
		notify_listener(directory,
		    entry->state == UPSTREAM_DRAINING ? DIRECTORY_DRAINING
						      : DIRECTORY_READY,
		    record);
	if (!was_cold && record->upstream.cold_until > now)
		notify_listener(directory, DIRECTORY_COLD, record);
}

/// Puts an entry whose upstream isn't known to be gone.
///
/// @param record  of the upstream's id; NULL: there is none
/// @param entry   state as it is taken: never ready again after draining
static void
apply_entry(struct directory *directory, usec_t now, struct record *record,
    const struct upstream_entry *entry, uint64_t revision)
{
	if (record == NULL) {
		add_record(directory, now, entry, revision);
	} else if (entry_shows_restart(record, entry)) {
		notify_listener(directory, DIRECTORY_RESTARTED, record);
		remove_record(directory, record);
		add_record(directory, now, entry, revision);
	} else {
		update_record(directory, now, record, entry, revision);
	}
}

/// Reports that an entry said ready of an upstream that drains.
static void
notify_ready_ignored(struct directory *directory, const char *id)
{
	const struct record *record =
	    g_hash_table_lookup(directory->records, id);

	if (record != NULL)
		notify_listener(directory, DIRECTORY_READY_IGNORED, record);
}

/// Adds or updates an upstream from its entry in the store. An incarnation that
/// drains stays draining, whatever its later entries say.
///
/// @param directory  directory to update
/// @param now        current time
/// @param entry      contents of the entry; copied
/// @param revision   store revision of the entry, which is ignored if a
///                   deletion of this or a newer revision is known; an entry
///                   that isn't newer than the known entry only ends a hold
/// @return whether the entry is newer than what was known
bool
directory_put_entry(struct directory *directory, usec_t now,
    const struct upstream_entry *entry, uint64_t revision)
{
	struct record *record =
	    g_hash_table_lookup(directory->records, entry->id);
	const struct tombstone *tombstone =
	    g_hash_table_lookup(directory->tombstones, entry->id);
	struct upstream_entry taken = *entry;

	if (tombstone != NULL && is_known_gone(tombstone, entry, revision))
		return false;
	if (tombstone != NULL)
		g_hash_table_remove(directory->tombstones, entry->id);
	if (record != NULL)
		record->list_epoch = directory->list_epoch;
	if (record != NULL && !is_newer(record, entry, revision)) {
		record->upstream.missing_deadline = 0;
		return false;
	}
	if (record != NULL && entry_shows_restart(record, entry))
		g_hash_table_remove(directory->draining, entry->id);
	else if (is_ready_out_of_date(directory, record, entry))
		taken.state = UPSTREAM_DRAINING;
	remember_draining(directory, &taken);
	apply_entry(directory, now, record, &taken, revision);
	if (taken.state != entry->state)
		notify_ready_ignored(directory, entry->id);
	return true;
}

/// Puts an entry again that has no record, because another upstream had its
/// address. It takes no address from an upstream whose service is named: of
/// those, the one that still runs writes its entry again.
///
/// @param directory  directory to update
/// @param now        current time
/// @param entry      contents of the entry; copied
/// @param revision   store revision of the entry
void
directory_put_unused_entry(struct directory *directory, usec_t now,
    const struct upstream_entry *entry, uint64_t revision)
{
	const struct record *holder =
	    g_hash_table_lookup(directory->by_address, entry->address);

	if (directory_find(directory, entry->id) != NULL)
		return;
	if (holder != NULL &&
	    is_named(directory, holder->upstream.entry.service))
		return;
	directory_put_entry(directory, now, entry, revision);
}

/// Checks whether the store is unreachable, or became reachable again less than
/// DIRECTORY_OUTAGE_GRACE ago. Entries may then be missing because their leases
/// expired during the outage, although the upstreams still run.
static bool
is_store_outage_recent(const struct directory *directory, usec_t now)
{
	return directory->store_lost ||
	    (directory->store_regained_at != 0 &&
		now < directory->store_regained_at + DIRECTORY_OUTAGE_GRACE);
}

/// Handles a record whose entry is missing from the store: holds the upstream
/// during a store outage and shortly after it, or else removes it. A draining
/// upstream is always removed.
static void
handle_missing_entry(
    struct directory *directory, usec_t now, struct record *record)
{
	if (record->upstream.missing_deadline != 0)
		return;
	if (!is_store_outage_recent(directory, now) ||
	    record->upstream.entry.state == UPSTREAM_DRAINING) {
		remove_gone_record(directory, record);
		return;
	}
	record->upstream.missing_deadline = directory->store_lost
	    ? USEC_NEVER
	    : directory->store_regained_at + DIRECTORY_OUTAGE_GRACE;
	notify_listener(directory, DIRECTORY_HELD, record);
}

/// Handles the deletion of an entry from the store.
///
/// @param directory  directory to update
/// @param now        current time
/// @param id         id of the upstream
/// @param revision   store revision of the deletion, which is ignored unless it
///                   is newer than the known entry
void
directory_delete_entry(
    struct directory *directory, usec_t now, const char *id, uint64_t revision)
{
	struct record *record = g_hash_table_lookup(directory->records, id);

	if (record != NULL && record->upstream.revision >= revision)
		return;
	add_tombstone(directory, id, revision, record);
	if (record != NULL)
		handle_missing_entry(directory, now, record);
}

/// Handles an entry that can't be parsed: the upstream is removed, as the
/// address and state that are known of it are out of date.
///
/// @param directory  directory to update
/// @param now        current time; unused
/// @param id         id of the upstream
/// @param revision   store revision of the entry, which is ignored unless it is
///                   newer than the known entry
void
directory_put_unreadable_entry(
    struct directory *directory, usec_t now, const char *id, uint64_t revision)
{
	struct record *record = g_hash_table_lookup(directory->records, id);

	(void)now;
	if (record != NULL && record->upstream.revision < revision)
		remove_record(directory, record);
}

/// Begins a full list of the store's entries. The caller then passes each entry
/// of the list to directory_put_entry() and calls directory_end_full_list().
///
/// @param directory  directory to update
void
directory_begin_full_list(struct directory *directory)
{
	directory->list_epoch++;
}

/// Ends a full list of the store's entries. An upstream that the list didn't
/// contain is handled as if its entry had been deleted.
///
/// @param directory  directory to update
/// @param now        current time
/// @param as_of      store revision of the list; an upstream whose known entry
///                   is newer is kept
void
directory_end_full_list(struct directory *directory, usec_t now, uint64_t as_of)
{
	GList *records = g_hash_table_get_values(directory->records);

	for (GList *l = records; l != NULL; l = l->next) {
		struct record *record = l->data;

		if (record->list_epoch != directory->list_epoch &&
		    record->upstream.revision <= as_of)
			handle_missing_entry(directory, now, record);
	}
	g_list_free(records);
}

/// Handles the start of a store outage: the store's changes are no longer
/// received. Upstreams whose entries go missing from now on are held.
///
/// @param directory  directory to update
void
directory_on_store_lost(struct directory *directory)
{
	directory->store_lost = true;
}

/// Handles the end of a store outage: the store's changes are received again.
/// Held upstreams are removed unless their entries are written again within
/// DIRECTORY_OUTAGE_GRACE.
///
/// @param directory  directory to update
/// @param now        current time
void
directory_on_store_regained(struct directory *directory, usec_t now)
{
	GHashTableIter iter;
	void *value;

	if (!directory->store_lost)
		return;
	directory->store_lost = false;
	directory->store_regained_at = now;
	g_hash_table_iter_init(&iter, directory->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct record *record = value;

		if (record->upstream.missing_deadline == USEC_NEVER)
			record->upstream.missing_deadline =
			    now + DIRECTORY_OUTAGE_GRACE;
	}
}

/// Handles a restore of the store from a copy. Upstreams that the copy lacks
/// are held until they have had time to write their entries again.
///
/// @param directory  directory to update
/// @param now        current time
void
directory_on_store_restored(struct directory *directory, usec_t now)
{
	directory->store_lost = true;
	directory_on_store_regained(directory, now);
}

/// Removes the held upstreams whose `missing_deadline` has passed.
///
/// @param directory  directory to update
/// @param now        current time
void
directory_tick(struct directory *directory, usec_t now)
{
	GList *records = g_hash_table_get_values(directory->records);

	for (GList *l = records; l != NULL; l = l->next) {
		struct record *record = l->data;

		if (record->upstream.missing_deadline != 0 &&
		    now >= record->upstream.missing_deadline)
			remove_gone_record(directory, record);
	}
	g_list_free(records);
}

/// @param directory  directory to search
/// @param id         id of an upstream
/// @return the upstream's record, or NULL
const struct upstream_record *
directory_find(const struct directory *directory, const char *id)
{
	return g_hash_table_lookup(directory->records, id);
}

/// @param directory  directory to search
/// @param handle     handle of a record
/// @return the record, or NULL when it was removed
const struct upstream_record *
directory_find_by_handle(const struct directory *directory, uint32_t handle)
{
	return handle_table_get(directory->handles, handle);
}

/// @param directory  directory to search
/// @param service    name of a service
/// @return the service's records (struct upstream_record *), owned by the
///         directory; NULL when the service never had a record
const GPtrArray *
directory_get_service_records(
    const struct directory *directory, const char *service)
{
	return g_hash_table_lookup(directory->by_service, service);
}

/// @param directory  directory to count
/// @return the number of known upstreams, including held ones
guint
directory_size(const struct directory *directory)
{
	return g_hash_table_size(directory->records);
}

/// @param directory  directory to list
/// @return all records (struct upstream_record *), sorted by id; free with
///         g_ptr_array_unref()
GPtrArray *
directory_list_records(const struct directory *directory)
{
	GPtrArray *list = g_ptr_array_new();
	GList *ids = g_list_sort(
	    g_hash_table_get_keys(directory->records), (GCompareFunc)strcmp);

	for (GList *l = ids; l != NULL; l = l->next)
		g_ptr_array_add(
		    list, g_hash_table_lookup(directory->records, l->data));
	g_list_free(ids);
	return list;
}
