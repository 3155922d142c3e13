/* Encodes and decodes the messages between instances, in XDR. */
#include "godwitvale/fleet/fleet_codec.h"

#include <string.h>

#include "godwitvale/core/membership.h"
#include "godwitvale/core/store_revision.h"

/// Size of a trailer, in bytes.
#define TRAILER_BYTES 48
/// Size of the trailer of the builds before hubs, in bytes.
#define TRAILER_ZONE_BYTES 32
/// Size of the trailer of the build before zones, in bytes.
#define TRAILER_FEATURES_BYTES 24
/// Size of the trailer of the build before features, in bytes.
#define TRAILER_BASE_BYTES 16
/// Maximum size of a snapshot, in bytes.
#define SNAPSHOT_BYTES_MAX (8u * 1024 * 1024)

G_STATIC_ASSERT(SITE_NAME_BYTES_MAX <= FLEET_NAME_BYTES);
G_STATIC_ASSERT(SITE_ENTRY_BYTES_MAX <= FLEET_VALUE_BYTES);

/// Encodes or decodes the fields of a trailer that all builds with one know.
static bool
convert_base(XDR *xdr, struct fleet_trailer *trailer)
{
	return xdr_u_quad_t(xdr, (u_quad_t *)&trailer->era) &&
	    xdr_u_quad_t(xdr, (u_quad_t *)&trailer->config_version);
}

/// Encodes or decodes the features, which all but the first builds with a
/// trailer know.
static bool
convert_features(XDR *xdr, struct fleet_trailer *trailer)
{
	return xdr_u_quad_t(xdr, (u_quad_t *)&trailer->features);
}

/// Encodes or decodes the hash of the zone.
static bool
convert_zone(XDR *xdr, struct fleet_trailer *trailer)
{
	return xdr_u_quad_t(xdr, (u_quad_t *)&trailer->zone);
}

/// Encodes or decodes a trailer.
static bool
convert_trailer(XDR *xdr, struct fleet_trailer *trailer)
{
	return convert_base(xdr, trailer) && convert_features(xdr, trailer) &&
	    convert_zone(xdr, trailer) &&
	    xdr_u_quad_t(xdr, (u_quad_t *)&trailer->sequence) &&
	    xdr_u_quad_t(xdr, (u_quad_t *)&trailer->link_mbps);
}

/// Appends a trailer to an encoded message.
///
/// @param trailer  not changed
/// @param bytes    the message
/// @param len      length of the message; 0: it could not be encoded
/// @param size     size of `bytes`
/// @return length with the trailer; 0 when it doesn't fit
size_t
fleet_trailer_append(
    const struct fleet_trailer *trailer, char *bytes, size_t len, size_t size)
{
	struct fleet_trailer copy = *trailer;
	XDR xdr;
	bool ok;

	if (len == 0 || len + TRAILER_BYTES > size)
		return 0;
	xdrmem_create(&xdr, bytes + len, TRAILER_BYTES, XDR_ENCODE);
	ok = convert_trailer(&xdr, &copy);
	xdr_destroy(&xdr);
	return ok ? len + TRAILER_BYTES : 0;
}

/// Reads the trailer after a message.
///
/// @param bytes    received data
/// @param len      length of the data
/// @param end      where the message ends
/// @param trailer  filled in; zeroes for what the sender's build doesn't send
void
fleet_trailer_read(
    const char *bytes, size_t len, size_t end, struct fleet_trailer *trailer)
{
	XDR xdr;
	bool has_features = end + TRAILER_FEATURES_BYTES <= len;
	bool has_zone = end + TRAILER_ZONE_BYTES <= len;
	bool is_whole = end + TRAILER_BYTES <= len;
	bool ok;

	memset(trailer, 0, sizeof(*trailer));
	if (end + TRAILER_BASE_BYTES > len)
		return;
	xdrmem_create(
	    &xdr, (char *)bytes + end, (u_int)(len - end), XDR_DECODE);
	if (is_whole)
		ok = convert_trailer(&xdr, trailer);
	else
		ok = convert_base(&xdr, trailer) &&
		    (!has_features || convert_features(&xdr, trailer)) &&
		    (!has_zone || convert_zone(&xdr, trailer));
	if (!ok)
		memset(trailer, 0, sizeof(*trailer));
	xdr_destroy(&xdr);
}

/// Checks whether the era in a trailer is that of the sender's store. Earlier
/// builds name 0 also if they know none.
///
/// @param trailer  as it was received
/// @return false: the era isn't known
bool
fleet_trailer_names_era(const struct fleet_trailer *trailer)
{
	return trailer->era != 0 ||
	    (trailer->features & MEMBER_FEATURE_ERAS) != 0;
}

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
/// @param trailer  filled in; zeroes when there is none
/// @return false when the bytes are not a valid message; nothing is to be freed
///         then
bool
fleet_message_decode(const char *bytes, size_t len, fleet_message *message,
    struct fleet_trailer *trailer)
{
	XDR xdr;
	bool ok;

	memset(message, 0, sizeof(*message));
	xdrmem_create(&xdr, (char *)bytes, (u_int)len, XDR_DECODE);
	ok = xdr_fleet_message(&xdr, message);
	if (ok)
		fleet_trailer_read(bytes, len, xdr_getpos(&xdr), trailer);
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

/// Creates a wire item that refers to the name and value of a store item. Its
/// revision holds the era, which earlier builds ignore.
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

/// Finds the revision of a wire item.
///
/// @param trailer  of the message
/// @param era      of a revision without one, as earlier builds send it
static uint64_t
find_revision(
    const fleet_item *wire, const struct fleet_trailer *trailer, uint64_t era)
{
	bool has_era = store_revision_era(wire->revision) != 0 ||
	    (trailer->features & MEMBER_FEATURE_ERAS) != 0;

	if (has_era)
		return wire->revision;
	return store_revision_make(era, wire->revision);
}

/// Converts wire items to store items, whose keys stay NULL. Items of an
/// unknown kind are left out.
///
/// @param items    wire items; copied
/// @param n_items  number of items
/// @param trailer  of the message
/// @param era      of revisions that name none
/// @return struct site_item *; free with g_ptr_array_unref()
GPtrArray *
fleet_items_to_site(const fleet_item *items, size_t n_items,
    const struct fleet_trailer *trailer, uint64_t era)
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
		item->revision = find_revision(wire, trailer, era);
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
/// @param trailer   not changed
/// @return the encoded bytes, or NULL when the snapshot is too large
GBytes *
fleet_snapshot_encode(
    const fleet_snapshot *snapshot, const struct fleet_trailer *trailer)
{
	u_int size = (u_int)xdr_sizeof(
	    (xdrproc_t)xdr_fleet_snapshot, (fleet_snapshot *)snapshot);
	char *bytes;
	size_t len;
	XDR xdr;
	bool ok;

	if (size > SNAPSHOT_BYTES_MAX)
		return NULL;
	bytes = g_malloc(size + TRAILER_BYTES);
	xdrmem_create(&xdr, bytes, size, XDR_ENCODE);
	ok = xdr_fleet_snapshot(&xdr, (fleet_snapshot *)snapshot);
	xdr_destroy(&xdr);
	len = ok
	    ? fleet_trailer_append(trailer, bytes, size, size + TRAILER_BYTES)
	    : 0;
	if (len == 0) {
		g_free(bytes);
		return NULL;
	}
	return g_bytes_new_take(bytes, len);
}

/// Decodes a snapshot.
///
/// @param bytes     received data
/// @param len       number of bytes
/// @param snapshot  filled in; free with xdr_free()
/// @param trailer   filled in; zeroes when there is none
/// @return false when the bytes are not a valid snapshot; nothing is to be
///         freed then
bool
fleet_snapshot_decode(const char *bytes, size_t len, fleet_snapshot *snapshot,
    struct fleet_trailer *trailer)
{
	XDR xdr;
	bool ok;

	memset(snapshot, 0, sizeof(*snapshot));
	if (len > SNAPSHOT_BYTES_MAX + TRAILER_BYTES)
		return false;
	xdrmem_create(&xdr, (char *)bytes, (u_int)len, XDR_DECODE);
	ok = xdr_fleet_snapshot(&xdr, snapshot);
	if (ok)
		fleet_trailer_read(bytes, len, xdr_getpos(&xdr), trailer);
	xdr_destroy(&xdr);
	if (!ok)
		xdr_free((xdrproc_t)xdr_fleet_snapshot, (char *)snapshot);
	return ok;
}
