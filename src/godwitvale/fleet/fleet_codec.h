/*
 * Encoding and decoding of the messages between instances, and conversion
 * between store items and the items of these messages.
 */
#ifndef GODWITVALE_FLEET_FLEET_CODEC_H
#define GODWITVALE_FLEET_FLEET_CODEC_H

#include "godwitvale/fleet/fleet_wire_xdr.h"
#include "godwitvale/site/site.h"

size_t fleet_message_encode(
    const fleet_message *message, char *bytes, size_t size);
bool fleet_message_decode(
    const char *bytes, size_t len, fleet_message *message);
void fleet_message_clear(fleet_message *message);
fleet_item fleet_item_from_store_item(const struct site_item *item);
GPtrArray *fleet_items_to_site(const fleet_item *items, size_t n_items);
GBytes *fleet_snapshot_encode(const fleet_snapshot *snapshot);
bool fleet_snapshot_decode(
    const char *bytes, size_t len, fleet_snapshot *snapshot);

#endif
