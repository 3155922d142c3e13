/* Messages between instances to and from their XDR form. */
#include "godwitvale/fleet/fleet_codec.h"

#include <string.h>

/// Longest snapshot, in bytes.
#define SNAPSHOT_BYTES_MAX (8u * 1024 * 1024)

/// Encodes a message.
///
/// @param message  the message
/// @param bytes    room for its bytes
/// @param size     size of that room
/// @return number of bytes, 0 when the room is too small
size_t
fleet_encode(const fleet_message *message, char *bytes, size_t size)
{
	XDR xdr;
	size_t len = 0;

	xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
	if (xdr_fleet_message(&xdr, (fleet_message *)message))
		len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return len;
}

/// Decodes a message.
///
/// @param bytes    as received
/// @param len      how many
/// @param message  filled in; free with fleet_clear()
/// @return false when it is none; nothing is to be freed then
bool
fleet_decode(const char *bytes, size_t len, fleet_message *message)
{
	XDR xdr;
	bool ok;

	memset(message, 0, sizeof(*message));
	xdrmem_create(&xdr, (char *)bytes, (u_int)len, XDR_DECODE);
	ok = xdr_fleet_message(&xdr, message);
	xdr_destroy(&xdr);
	if (!ok)
		fleet_clear(message);
	return ok;
}

/// Frees what decoding has made.
///
/// @param message  the message
void
fleet_clear(fleet_message *message)
{
	xdr_free((xdrproc_t)xdr_fleet_message, (char *)message);
}

/// Points a wire item at an item of the store.
///
/// @param item  outlives the wire item
/// @return the wire item; nothing of it is to be freed
fleet_item
fleet_item_from(const struct site_item *item)
{
	fleet_item wire = {
	    .kind = (int)item->kind,
	    .name = item->name,
	    .revision = item->revision,
	    .deleted = item->value == NULL,
	};
	gsize len = 0;

	if (item->value != NULL)
		wire.value.value_val =
		    (char *)g_bytes_get_data(item->value, &len);
	wire.value.value_len = (u_int)len;
	return wire;
}

/// Makes items of the store from wire items, without the store's keys.
///
/// @param items    wire items
/// @param n_items  how many
/// @return struct site_item *; free with g_ptr_array_unref()
GPtrArray *
fleet_items_to_site(const fleet_item *items, size_t n_items)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(site_item_free);

	for (size_t i = 0; i < n_items; i++) {
		const fleet_item *wire = &items[i];
		struct site_item *item;

		if (wire->kind < SITE_ITEM_CONFIG ||
		    wire->kind > SITE_ITEM_EVACUATION)
			continue;
		item = g_new0(struct site_item, 1);
		item->kind = (enum site_item_kind)wire->kind;
		item->name = g_strdup(wire->name);
		item->revision = wire->revision;
		if (!wire->deleted)
			item->value = g_bytes_new(
			    wire->value.value_val, wire->value.value_len);
		g_ptr_array_add(list, item);
	}
	return list;
}

/// Encodes a snapshot.
///
/// @param snapshot  the snapshot
/// @return its bytes, or NULL when it is too large
GBytes *
fleet_snapshot_encode(const fleet_snapshot *snapshot)
{
	u_int size = (u_int)xdr_sizeof(
	    (xdrproc_t)xdr_fleet_snapshot, (fleet_snapshot *)snapshot);
	char *bytes;
	XDR xdr;
	bool ok;

	if (size > SNAPSHOT_BYTES_MAX)
		return NULL;
	bytes = g_malloc(size);
	xdrmem_create(&xdr, bytes, size, XDR_ENCODE);
	ok = xdr_fleet_snapshot(&xdr, (fleet_snapshot *)snapshot);
	xdr_destroy(&xdr);
	if (!ok) {
		g_free(bytes);
		return NULL;
	}
	return g_bytes_new_take(bytes, size);
}

/// Decodes a snapshot.
///
/// @param bytes     as received
/// @param len       how many
/// @param snapshot  filled in; free by xdr_free()
/// @return false when it is none; nothing is to be freed then
bool
fleet_snapshot_decode(const char *bytes, size_t len, fleet_snapshot *snapshot)
{
	XDR xdr;
	bool ok;

	memset(snapshot, 0, sizeof(*snapshot));
	if (len > SNAPSHOT_BYTES_MAX)
		return false;
	xdrmem_create(&xdr, (char *)bytes, (u_int)len, XDR_DECODE);
	ok = xdr_fleet_snapshot(&xdr, snapshot);
	xdr_destroy(&xdr);
	if (!ok)
		xdr_free((xdrproc_t)xdr_fleet_snapshot, (char *)snapshot);
	return ok;
}
