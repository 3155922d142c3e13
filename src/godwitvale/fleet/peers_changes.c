/* Sends the changes that this instance has read from the store. */
#include <glib.h>

#include "godwitvale/fleet/fleet_codec.h"
#include "godwitvale/fleet/peers_state.h"

/// Maximum total size of the items in one datagram with changes, in bytes. It
/// keeps the datagram to about the size of one Ethernet packet.
#define PEERS_CHANGE_BYTES_MAX 1400
/// Maximum length of a datagram with the operator's changes, in bytes. Longer
/// ones, sent to many, would fill the socket's buffer on a slow link.
#define PEERS_OPERATOR_BYTES_MAX 1400

/// Sends one batch of changes.
static void
send_change_batch(
    struct peers *peers, GArray *batch, uint64_t after, uint64_t as_of)
{
	char bytes[PEERS_BUFFER_BYTES];
	fleet_message message = {.kind = FLEET_NEWS};
	fleet_news *changes = &message.fleet_message_u.news;
	size_t len;

	*changes = (fleet_news){
	    .name = peers->name,
	    .incarnation = peers->incarnation,
	    .after = store_revision_number(after),
	    .as_of = store_revision_number(as_of),
	    .items = {.items_len = batch->len,
		.items_val = (fleet_item *)(void *)batch->data},
	};
	len = peers_encode(peers, &message, store_revision_era(as_of), 0, bytes,
	    sizeof(bytes));
	if (len > 0)
		peers_send_to_all(peers, HUB_TWO_COPIES, bytes, len);
}

/// Checks whether a change must be sent: it is significant, another reader's
/// datagram has brought it, which only this instance may have got, or it undoes
/// an earlier one of the same changes.
///
/// @param sent  names of the upstreams whose earlier changes are sent
static bool
must_be_sent(
    const struct peers *peers, const struct site_item *item, GHashTable *sent)
{
	const struct view *view = peers->options.view;

	return view_is_significant_change(view, item) ||
	    view_has_item(view, item) ||
	    g_hash_table_contains(sent, item->name);
}

/// Sends the significant changes of the upstreams to all instances. Changes
/// that don't fit into one datagram are split into several, each of which
/// starts at the revision at which the one before ends.
///
/// @param peers  sends the changes to all its targets
/// @param items  struct site_item *, in the order of their revisions
/// @param after  store revision before the changes
/// @param as_of  store revision after the changes
void
peers_send_changes(
    struct peers *peers, GPtrArray *items, uint64_t after, uint64_t as_of)
{
	GArray *batch = g_array_new(false, false, sizeof(fleet_item));
	GHashTable *sent = g_hash_table_new(g_str_hash, g_str_equal);
	size_t bytes = 0;

	for (guint i = 0; i < items->len; i++) {
		const struct site_item *item = items->pdata[i];
		fleet_item wire;
		size_t size;

		if (!must_be_sent(peers, item, sent))
			continue;
		g_hash_table_add(sent, item->name);
		wire = fleet_item_from_store_item(item);
		size = xdr_sizeof((xdrproc_t)xdr_fleet_item, &wire);
		if (batch->len > 0 && bytes + size > PEERS_CHANGE_BYTES_MAX) {
			uint64_t last_revision =
			    store_revision_make(store_revision_era(as_of),
				g_array_index(batch, fleet_item, batch->len - 1)
				    .revision);

			send_change_batch(peers, batch, after, last_revision);
			after = last_revision;
			g_array_set_size(batch, 0);
			bytes = 0;
		}
		g_array_append_val(batch, wire);
		bytes += size;
	}
	send_change_batch(peers, batch, after, as_of);
	g_hash_table_unref(sent);
	g_array_unref(batch);
}

/// Converts the operator's items to their wire format.
///
/// @return fleet_item, whose contents belong to the items; free with
///         g_array_unref()
static GArray *
encode_operator_items(const GPtrArray *items)
{
	GArray *wire = g_array_new(false, false, sizeof(fleet_item));

	for (guint i = 0; i < items->len; i++) {
		const struct site_item *item = items->pdata[i];
		fleet_item encoded;

		if (item->kind == SITE_ITEM_OTHER)
			continue;
		encoded = fleet_item_from_store_item(item);
		g_array_append_val(wire, encoded);
	}
	return wire;
}

/// Sends the operator's changes to all instances whose build takes them. An
/// empty list confirms that there are none. Changes that are too long are
/// only announced, and each instance reads them.
///
/// @param peers  sends the changes to its members
/// @param items  struct site_item *, in the order of their revisions
/// @param after  store revision before the changes
/// @param as_of  store revision after the changes
void
peers_send_operator_changes(
    struct peers *peers, GPtrArray *items, uint64_t after, uint64_t as_of)
{
	GArray *wire = encode_operator_items(items);
	uint64_t era = store_revision_era(as_of);
	char bytes[PEERS_OPERATOR_BYTES_MAX];
	fleet_message message = {.kind = FLEET_OPERATOR};
	fleet_operator *news = &message.fleet_message_u.operator_news;
	size_t len;

	*news = (fleet_operator){
	    .changes = {.name = peers->name,
		.incarnation = peers->incarnation,
		.after = store_revision_number(after),
		.as_of = store_revision_number(as_of),
		.items = {wire->len, (fleet_item *)(void *)wire->data}},
	    .complete = true,
	};
	len = peers_encode(peers, &message, era, 0, bytes, sizeof(bytes));
	if (len == 0) {
		news->changes.items.items_len = 0;
		news->complete = false;
		len =
		    peers_encode(peers, &message, era, 0, bytes, sizeof(bytes));
	}
	peers_send_to_featured(peers, MEMBER_FEATURE_OPERATOR, bytes, len);
	g_array_unref(wire);
}
