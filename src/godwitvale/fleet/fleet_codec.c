/* Encodes and decodes the messages between instances, in XDR. */
#include "godwitvale/fleet/fleet_codec.h"

#include <string.h>

/// Maximum size of a snapshot, in bytes.
#define SNAPSHOT_BYTES_MAX (8u * 1024 * 1024)

/// Encodes a message.
///
/// @param message  not changed
/// @param bytes    buffer that receives the encoded message
/// @param size     size of the buffer, in bytes
/// @return number of bytes written; 0 when the buffer is too small
size_t
fleet_message_encode(const fleet_message *message, char *bytes, size_t size)
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
/// @param bytes    received data
/// @param len      number of bytes
/// @param message  filled in; free with fleet_message_clear()
/// @return false when the bytes are not a valid message; nothing is to be freed
///         then
bool
fleet_message_decode(const char *bytes, size_t len, fleet_message *message)
{
	XDR xdr;
	bool ok;

	memset(message, 0, sizeof(*message));
	xdrmem_create(&xdr, (char *)bytes, (u_int)len, XDR_DECODE);
	ok = xdr_fleet_message(&xdr, message);
	xdr_destroy(&xdr);
	if (!ok)
		fleet_message_clear(message);
	return ok;
}

/// Frees the contents of a decoded message.
///
/// @param message  filled in by fleet_message_decode()
void
fleet_message_clear(fleet_message *message)
{
	xdr_free((xdrproc_t)xdr_fleet_message, (char *)message);
}

/// Creates a wire item that refers to the name and value of a store item.
///
/// @param item  must outlive the wire item
/// @return the wire item; its contents must not be freed
fleet_item
fleet_item_from_store_item(const struct site_item *item)
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

/// Converts wire items to store items, whose keys stay NULL. Items of an
/// unknown kind are left out.
///
/// @param items    wire items; copied
/// @param n_items  number of items
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
/// @param snapshot  not changed
/// @return the encoded bytes, or NULL when the snapshot is too large
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
/// @param bytes     received data
/// @param len       number of bytes
/// @param snapshot  filled in; free with xdr_free()
/// @return false when the bytes are not a valid snapshot; nothing is to be
///         freed then
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
