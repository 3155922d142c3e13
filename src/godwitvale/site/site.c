/* Memory of what a site's adapter reads. */
#include "godwitvale/site/site.h"

/// Frees an item.
///
/// @param data  the item
void
site_item_free(void *data)
{
	struct site_item *item = data;

	g_free(item->key);
	g_free(item->name);
	g_clear_pointer(&item->value, g_bytes_unref);
	g_free(item);
}

/// Frees what a reply of the store holds.
///
/// @param reply  the reply
void
site_reply_free(struct site_reply *reply)
{
	g_ptr_array_unref(reply->items);
	g_free(reply);
}

/// Frees an upstream's entry.
///
/// @param entry  the entry, or NULL
void
site_entry_free(struct upstream_entry *entry)
{
	if (entry == NULL)
		return;
	g_free(entry->id);
	g_free(entry->service);
	g_free(entry->address);
	g_free(entry->zone);
	g_free(entry);
}
