/* Addresses at which instances run, or ran a while ago. */
#include "godwitvale/core/address_book.h"

struct address_book {
	uint32_t own;        /// never listed
	GHashTable *entries; /// address -> struct address_entry *
	GRand *rand;
};

/// An address.
struct address_entry {
	usec_t expires_at; /// ignored for a seed
	bool is_seed;      /// from the settings
	bool is_hub;       /// by its last heartbeat
};

/// Creates an empty book.
///
/// @param own   address of this instance, in host byte order
/// @param seed  of the random choice
/// @return the book; free with address_book_free()
struct address_book *
address_book_new(uint32_t own, guint32 seed)
{
	struct address_book *book = g_new0(struct address_book, 1);

	book->own = own;
	book->entries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	book->rand = g_rand_new_with_seed(seed);
	return book;
}

/// Frees a book.
///
/// @param book  not NULL
void
address_book_free(struct address_book *book)
{
	g_hash_table_unref(book->entries);
	g_rand_free(book->rand);
	g_free(book);
}

/// Finds an entry, and adds it if there is none.
///
/// @return the entry; NULL if the address is invalid or the own one
static struct address_entry *
ensure_entry(struct address_book *book, uint32_t address)
{
	struct address_entry *entry;

	if (address == 0 || address == book->own)
		return NULL;
	entry = g_hash_table_lookup(book->entries, GUINT_TO_POINTER(address));
	if (entry != NULL)
		return entry;
	entry = g_new0(struct address_entry, 1);
	g_hash_table_insert(book->entries, GUINT_TO_POINTER(address), entry);
	return entry;
}

/// Adds an address, or extends its lifetime. Ignores an invalid address and the
/// address of this instance.
///
/// @param book        updated
/// @param address     in host byte order
/// @param expires_at  when it is removed, unless it is added again
void
address_book_add(struct address_book *book, uint32_t address, usec_t expires_at)
{
	struct address_entry *entry = ensure_entry(book, address);

	if (entry != NULL)
		entry->expires_at = MAX(entry->expires_at, expires_at);
}

/// Adds an address of the settings, which never expires.
///
/// @param book     updated
/// @param address  in host byte order
void
address_book_add_seed(struct address_book *book, uint32_t address)
{
	struct address_entry *entry = ensure_entry(book, address);

	if (entry != NULL)
		entry->is_seed = true;
}

/// Notes whether the instance at an address is a hub.
///
/// @param book     updated if it has the address
/// @param address  in host byte order
/// @param is_hub   by the last heartbeat of the instance, or of another hub
/// @return whether the instance wasn't known as a hub before, and is one
bool
address_book_note_hub(struct address_book *book, uint32_t address, bool is_hub)
{
	struct address_entry *entry =
	    g_hash_table_lookup(book->entries, GUINT_TO_POINTER(address));
	bool is_new;

	if (entry == NULL)
		return false;
	is_new = is_hub && !entry->is_hub;
	entry->is_hub = is_hub;
	return is_new;
}

/// Removes addresses that have not been named for a while. Seeds stay.
///
/// @param book  updated
/// @param now   current time
void
address_book_expire(struct address_book *book, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, book->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct address_entry *entry = value;

		if (!entry->is_seed && now >= entry->expires_at)
			g_hash_table_iter_remove(&iter);
	}
}

/// @param book  book to list
/// @return all addresses (uint32_t); free with g_array_unref()
GArray *
address_book_list(const struct address_book *book)
{
	GArray *addresses = g_array_new(false, false, sizeof(uint32_t));
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, book->entries);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		uint32_t address = GPOINTER_TO_UINT(key);

		g_array_append_val(addresses, address);
	}
	return addresses;
}

/// Chooses addresses that get a heartbeat directly.
///
/// @param book    chooses the random ones anew with each call
/// @param probes  which ones
/// @return addresses (uint32_t), each once; free with g_array_unref()
GArray *
address_book_list_probes(
    struct address_book *book, const struct address_probes *probes)
{
	GArray *addresses = g_array_new(false, false, sizeof(uint32_t));
	guint n_entries = g_hash_table_size(book->entries);
	guint n_random = probes->n_random;
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, book->entries);
	for (; g_hash_table_iter_next(&iter, &key, &value); n_entries--) {
		const struct address_entry *entry = value;
		uint32_t address = GPOINTER_TO_UINT(key);
		/* Each of the entries that are left is equally likely. */
		bool is_picked = (guint)g_rand_int_range(book->rand, 0,
				     (gint32)n_entries) < n_random;

		n_random -= is_picked;
		if (is_picked || (probes->seeds && entry->is_seed) ||
		    (probes->hubs && entry->is_hub))
			g_array_append_val(addresses, address);
	}
	return addresses;
}
