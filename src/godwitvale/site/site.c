/* Frees the structures that a site's adapter returns. */
#include "godwitvale/site/site.h"

/// Frees an item of the store. Has the type of a GDestroyNotify.
///
/// @param data  a struct site_item, not NULL
void
site_item_free(void *data)
{
	struct site_item *item = data;

	g_free(item->key);
	g_free(item->name);
	g_clear_pointer(&item->value, g_bytes_unref);
	g_free(item);
}

/// Frees a reply of the store, and drops its reference to its items.
///
/// @param reply  not NULL
void
site_reply_free(struct site_reply *reply)
{
	g_ptr_array_unref(reply->items);
	g_free(reply->last_key);
	g_free(reply);
}

/// Frees an upstream's entry.
///
/// @param entry  may be NULL
void
site_entry_free(struct upstream_entry *entry)
{
	if (entry == NULL)
		return;
	g_free(entry->id);
	g_free(entry->service);
	g_free(entry->address);
	g_free(entry->zone);
	g_free(entry->software_version);
	g_free(entry);
}
