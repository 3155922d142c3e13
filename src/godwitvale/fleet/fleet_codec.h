/*
 * Encoding and decoding of the messages between instances, and conversion
 * between store items and the items of these messages.
 */
#ifndef GODWITVALE_FLEET_FLEET_CODEC_H
#define GODWITVALE_FLEET_FLEET_CODEC_H

#include "godwitvale/fleet/fleet_wire_xdr.h"
#include "godwitvale/site/site.h"

/// What follows a message or a snapshot. Earlier builds send and read only the
/// first fields, or none.
struct fleet_trailer {
	/// store era of the revisions in the message; 0: unknown, unless
	/// fleet_trailer_names_era()
	uint64_t era;
	uint64_t config_version; /// of the sender; 0: unknown
	uint64_t features;       /// MEMBER_FEATURE_... of the sender's build
	uint64_t zone;           /// hash of the sender's zone; 0: unknown
	/// grows with each numbered message of the sender; 0: not numbered
	uint64_t sequence;
	uint64_t link_mbps; /// of the sender's link; 0: unknown
};

size_t fleet_trailer_append(
    const struct fleet_trailer *trailer, char *bytes, size_t len, size_t size);
void fleet_trailer_read(
    const char *bytes, size_t len, size_t end, struct fleet_trailer *trailer);
bool fleet_trailer_names_era(const struct fleet_trailer *trailer);
size_t fleet_message_encode(
    const fleet_message *message, char *bytes, size_t size);
bool fleet_message_decode(const char *bytes, size_t len, fleet_message *message,
    struct fleet_trailer *trailer);
void fleet_message_clear(fleet_message *message);
fleet_item fleet_item_from_store_item(const struct site_item *item);
GPtrArray *fleet_items_to_site(const fleet_item *items, size_t n_items,
    const struct fleet_trailer *trailer, uint64_t era);
GBytes *fleet_snapshot_encode(
    const fleet_snapshot *snapshot, const struct fleet_trailer *trailer);
bool fleet_snapshot_decode(const char *bytes, size_t len,
    fleet_snapshot *snapshot, struct fleet_trailer *trailer);

#endif
