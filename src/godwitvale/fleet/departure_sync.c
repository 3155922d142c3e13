/* Converts the departures of upstreams to and from their message. */
#include "godwitvale/fleet/departure_sync.h"

#include <glib.h>

#include "godwitvale/fleet/fleet_codec.h"

G_STATIC_ASSERT(FLEET_DEPARTURES_MAX == UPSTREAM_NOTICES_SENT_MAX);

/// Encodes the upstreams that have begun to leave lately, as a message.
///
/// @param notices  what upstreams have said
/// @param now      current time
/// @param bytes    receives the message
/// @param size     size of `bytes`
/// @return number of bytes written; 0 if none leaves
size_t
departure_sync_encode(const struct upstream_notices *notices, usec_t now,
    char *bytes, size_t size)
{
	struct upstream_departure departures[FLEET_DEPARTURES_MAX];
	fleet_departure wire[FLEET_DEPARTURES_MAX];
	fleet_message message = {.kind = FLEET_DEPARTURES};
	fleet_departures *sent = &message.fleet_message_u.departures;
	size_t n = upstream_notices_list_departures(
	    notices, now, departures, FLEET_DEPARTURES_MAX);

	if (n == 0)
		return 0;
	for (size_t i = 0; i < n; i++)
		wire[i] = (fleet_departure){departures[i].upstream,
		    (u_int)((now - departures[i].at) / USEC_PER_MSEC)};
	sent->departures.departures_len = (u_int)n;
	sent->departures.departures_val = wire;
	return fleet_message_encode(&message, bytes, size);
}

/// Reports the upstreams of which another instance has heard that they leave.
///
/// @param now       current time
/// @param received  a decoded message
/// @param listener  called for each upstream
/// @param owner     passed to the listener
void
departure_sync_apply(usec_t now, const fleet_departures *received,
    departure_sync_listener listener, void *owner)
{
	for (u_int i = 0; i < received->departures.departures_len; i++) {
		const fleet_departure *wire =
		    &received->departures.departures_val[i];

		listener(owner, wire->upstream,
		    now - (usec_t)wire->age_ms * USEC_PER_MSEC);
	}
}
