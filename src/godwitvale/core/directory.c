/* The directory of upstreams. */
#include "godwitvale/core/directory.h"

#include <string.h>

#include "godwitvale/core/handle_table.h"

/// Deletions remembered at most; older entries can't come back through late
/// messages for longer than these last.
#define DIRECTORY_TOMBS_MAX 4096

struct directory {
	directory_listener listener;
	void *owner;
	GHashTable *records;    /// id -> struct record *
	GHashTable *by_service; /// service -> GPtrArray * of records
	GHashTable *by_address; /// address -> the record that announced it last
	GHashTable *tombs;      /// id -> revision of its deletion
	struct handle_table *handles;
	usec_t store_back_at; /// end of the last outage; 0: none yet
	bool store_lost;
	uint64_t round; /// of the replacement under way
};

/// A record and its bookkeeping.
struct record {
	struct upstream_record pub;
	uint64_t round; /// the last replacement that named it
};

/// Frees an entry's texts.
static void
entry_clear(struct upstream_entry *entry)
{
	g_free(entry->id);
	g_free(entry->service);
	g_free(entry->address);
	g_free(entry->zone);
}

/// Frees a record.
static void
record_free(void *data)
{
	struct record *record = data;

	entry_clear(&record->pub.entry);
	g_free(record);
}

/// Frees a service's list of records, which they don't belong to.
static void
list_free(void *data)
{
	g_ptr_array_unref(data);
}

/// Makes an empty directory.
///
/// @param listener  told of each change
/// @param owner     passed to it
/// @return the directory; free with directory_free()
struct directory *
directory_new(directory_listener listener, void *owner)
{
	struct directory *directory = g_new0(struct directory, 1);

	directory->listener = listener;
	directory->owner = owner;
	directory->records =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, record_free);
	directory->by_service =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, list_free);
	directory->by_address =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	directory->tombs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	directory->handles = handle_table_new();
	return directory;
}

/// Frees a directory.
///
/// @param directory  the directory
void
directory_free(struct directory *directory)
{
	g_hash_table_unref(directory->by_service);
	g_hash_table_unref(directory->by_address);
	g_hash_table_unref(directory->records);
	g_hash_table_unref(directory->tombs);
	handle_table_free(directory->handles);
	g_free(directory);
}

/// Finds the list of a service's records, making it.
static GPtrArray *
list_of(struct directory *directory, const char *service)
{
	GPtrArray *list = g_hash_table_lookup(directory->by_service, service);

	if (list != NULL)
		return list;
	list = g_ptr_array_new();
	g_hash_table_insert(directory->by_service, g_strdup(service), list);
	return list;
}

/// Tells the listener.
static void
tell(struct directory *directory, enum directory_change change,
    const struct record *record)
{
	directory->listener(directory->owner, change, &record->pub);
}

/// Remembers that an id is gone, so that older entries don't bring it back.
static void
bury(struct directory *directory, const char *id, uint64_t revision)
{
	uint64_t *tomb;

	if (g_hash_table_size(directory->tombs) >= DIRECTORY_TOMBS_MAX)
		g_hash_table_remove_all(directory->tombs);
	tomb = g_new(uint64_t, 1);
	*tomb = revision;
	g_hash_table_replace(directory->tombs, g_strdup(id), tomb);
}

/// Removes a record.
static void
remove_record(struct directory *directory, struct record *record)
{
	const char *address = record->pub.entry.address;

	if (g_hash_table_lookup(directory->by_address, address) == record)
		g_hash_table_remove(directory->by_address, address);
	g_ptr_array_remove(
	    list_of(directory, record->pub.entry.service), record);
	handle_table_remove(directory->handles, record->pub.handle);
	tell(directory, DIRECTORY_REMOVED, record);
	g_hash_table_remove(directory->records, record->pub.entry.id);
}

/// Copies what an entry says into a record.
static void
fill(struct record *record, usec_t now, const struct upstream_entry *entry,
    uint64_t revision)
{
	struct upstream_entry *own = &record->pub.entry;

	entry_clear(own);
	*own = *entry;
	own->id = g_strdup(entry->id);
	own->service = g_strdup(entry->service);
	own->address = g_strdup(entry->address);
	own->zone = g_strdup(entry->zone);
	record->pub.revision = revision;
	record->pub.missing_deadline = 0;
	record->pub.cold_until =
	    entry->cold_left > 0 ? now + entry->cold_left : 0;
	if (entry->state != UPSTREAM_DRAINING)
		record->pub.draining_since = 0;
	else if (record->pub.draining_since == 0)
		record->pub.draining_since = now;
}

/// Takes an address away from the upstream that announced it before: its
/// process can't be there any more.
///
/// @return false when a newer entry has the address
static bool
take_address(struct directory *directory, const struct upstream_entry *entry,
    uint64_t revision)
{
	struct record *former =
	    g_hash_table_lookup(directory->by_address, entry->address);

	if (former == NULL)
		return true;
	if (former->pub.revision > revision)
		return false;
	bury(directory, former->pub.entry.id, former->pub.revision);
	remove_record(directory, former);
	return true;
}

/// Adds a record for an id that isn't known.
static void
add_record(struct directory *directory, usec_t now,
    const struct upstream_entry *entry, uint64_t revision)
{
	struct record *record;

	if (!take_address(directory, entry, revision))
		return;
	record = g_new0(struct record, 1);
	g_hash_table_insert(
	    directory->by_address, g_strdup(entry->address), record);
	fill(record, now, entry, revision);
	record->round = directory->round;
	record->pub.handle = handle_table_add(directory->handles, record);
	g_hash_table_insert(
	    directory->records, g_strdup(record->pub.entry.id), record);
	g_ptr_array_add(list_of(directory, entry->service), record);
	tell(directory, DIRECTORY_ADDED, record);
}

/// Whether an entry is of another life of the upstream than a record.
static bool
is_reborn(const struct record *record, const struct upstream_entry *entry)
{
	const struct upstream_entry *old = &record->pub.entry;

	if (old->incarnation != entry->incarnation)
		return true;
	return strcmp(old->service, entry->service) != 0 ||
	    strcmp(old->address, entry->address) != 0;
}

/// Takes an entry as the store has it.
///
/// @param directory  the directory
/// @param now        time
/// @param entry      copied
/// @param revision   at which it was written; an older one changes nothing
void
directory_put(struct directory *directory, usec_t now,
    const struct upstream_entry *entry, uint64_t revision)
{
	struct record *record =
	    g_hash_table_lookup(directory->records, entry->id);
	const uint64_t *tomb = g_hash_table_lookup(directory->tombs, entry->id);
	enum upstream_state old_state;
	bool was_cold;

	if (tomb != NULL && *tomb >= revision)
		return;
	if (tomb != NULL)
		g_hash_table_remove(directory->tombs, entry->id);
	if (record == NULL) {
		add_record(directory, now, entry, revision);
		return;
	}
	record->round = directory->round;
	if (record->pub.revision >= revision) {
		record->pub.missing_deadline = 0;
		return;
	}
	if (is_reborn(record, entry)) {
		tell(directory, DIRECTORY_REBORN, record);
		remove_record(directory, record);
		add_record(directory, now, entry, revision);
		return;
	}
	old_state = record->pub.entry.state;
	was_cold = record->pub.cold_until > now;
	fill(record, now, entry, revision);
	if (old_state != entry->state)
		tell(directory,
		    entry->state == UPSTREAM_DRAINING ? DIRECTORY_DRAINING
						      : DIRECTORY_READY,
		    record);
	if (!was_cold && record->pub.cold_until > now)
		tell(directory, DIRECTORY_COLD, record);
}

/// Whether entries vanish because the store was away rather than because
/// their upstreams left.
static bool
around_outage(const struct directory *directory, usec_t now)
{
	return directory->store_lost ||
	    (directory->store_back_at != 0 &&
		now < directory->store_back_at + DIRECTORY_RETURN_SPAN);
}

/// Takes it that an entry is missing.
static void
miss(struct directory *directory, usec_t now, struct record *record)
{
	if (record->pub.missing_deadline != 0)
		return;
	if (!around_outage(directory, now) ||
	    record->pub.entry.state == UPSTREAM_DRAINING) {
		remove_record(directory, record);
		return;
	}
	record->pub.missing_deadline = directory->store_lost
	    ? USEC_NEVER
	    : directory->store_back_at + DIRECTORY_RETURN_SPAN;
	tell(directory, DIRECTORY_HELD, record);
}

/// Takes it that an entry was deleted.
///
/// @param directory  the directory
/// @param now        time
/// @param id         whose
/// @param revision   of the deletion
void
directory_delete(
    struct directory *directory, usec_t now, const char *id, uint64_t revision)
{
	struct record *record = g_hash_table_lookup(directory->records, id);

	if (record != NULL && record->pub.revision >= revision)
		return;
	bury(directory, id, revision);
	if (record != NULL)
		miss(directory, now, record);
}

/// Takes an entry that can't be read: it names no upstream to use.
///
/// @param directory  the directory
/// @param now        time
/// @param id         whose
/// @param revision   at which it was written
void
directory_unreadable(
    struct directory *directory, usec_t now, const char *id, uint64_t revision)
{
	struct record *record = g_hash_table_lookup(directory->records, id);

	(void)now;
	if (record != NULL && record->pub.revision < revision)
		remove_record(directory, record);
}

/// Begins to take the whole list anew; directory_put() names what is there.
///
/// @param directory  the directory
void
directory_replace_begin(struct directory *directory)
{
	directory->round++;
}

/// Ends taking the whole list: what was not named is missing.
///
/// @param directory  the directory
/// @param now        time
/// @param as_of      revision of the list; newer entries are kept
void
directory_replace_end(struct directory *directory, usec_t now, uint64_t as_of)
{
	GList *records = g_hash_table_get_values(directory->records);

	for (GList *l = records; l != NULL; l = l->next) {
		struct record *record = l->data;

		if (record->round != directory->round &&
		    record->pub.revision <= as_of)
			miss(directory, now, record);
	}
	g_list_free(records);
}

/// Takes it that the store can't be read.
///
/// @param directory  the directory
void
directory_store_lost(struct directory *directory)
{
	directory->store_lost = true;
}

/// Takes it that the store can be read again.
///
/// @param directory  the directory
/// @param now        time
void
directory_store_back(struct directory *directory, usec_t now)
{
	GHashTableIter iter;
	void *value;

	if (!directory->store_lost)
		return;
	directory->store_lost = false;
	directory->store_back_at = now;
	g_hash_table_iter_init(&iter, directory->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct record *record = value;

		if (record->pub.missing_deadline == USEC_NEVER)
			record->pub.missing_deadline =
			    now + DIRECTORY_RETURN_SPAN;
	}
}

/// Removes what is missing for good.
///
/// @param directory  the directory
/// @param now        time
void
directory_tick(struct directory *directory, usec_t now)
{
	GList *records = g_hash_table_get_values(directory->records);

	for (GList *l = records; l != NULL; l = l->next) {
		struct record *record = l->data;

		if (record->pub.missing_deadline != 0 &&
		    now >= record->pub.missing_deadline)
			remove_record(directory, record);
	}
	g_list_free(records);
}

/// @param directory  the directory
/// @param id         an upstream's
/// @return its record, or NULL
const struct upstream_record *
directory_find(const struct directory *directory, const char *id)
{
	return g_hash_table_lookup(directory->records, id);
}

/// @param directory  the directory
/// @param handle     of a record
/// @return the record, or NULL once it is gone
const struct upstream_record *
directory_get(const struct directory *directory, uint32_t handle)
{
	return handle_table_get(directory->handles, handle);
}

/// @param directory  the directory
/// @param service    a service's name
/// @return its records (struct upstream_record *), or NULL
const GPtrArray *
directory_of_service(const struct directory *directory, const char *service)
{
	return g_hash_table_lookup(directory->by_service, service);
}

/// @param directory  the directory
/// @return how many upstreams it knows
guint
directory_size(const struct directory *directory)
{
	return g_hash_table_size(directory->records);
}

/// @param directory  the directory
/// @return its records (struct upstream_record *), by id; free with
///         g_ptr_array_unref()
GPtrArray *
directory_list(const struct directory *directory)
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
