/* Converts the base intervals of engines to and from their message. */
#include "godwitvale/fleet/pace_sync.h"

#include <glib.h>

#include "godwitvale/fleet/fleet_codec.h"

G_STATIC_ASSERT(FLEET_PACES_MAX == ENGINE_PACE_REPORTS_MAX);

/// Encodes what this instance knows of the engines of uneven services.
///
/// @param pace   table of engines
/// @param now    current time
/// @param bytes  receives the message
/// @param size   size of `bytes`
/// @return number of bytes written; 0 if there is nothing to tell
size_t
pace_sync_encode(struct engine_pace *pace, usec_t now, char *bytes, size_t size)
{
	struct engine_pace_report reports[FLEET_PACES_MAX];
	fleet_pace wire[FLEET_PACES_MAX];
	fleet_message message = {.kind = FLEET_PACES};
	fleet_paces *sent = &message.fleet_message_u.paces;
	size_t n = engine_pace_list(pace, now, reports, FLEET_PACES_MAX);

	if (n == 0)
		return 0;
	for (size_t i = 0; i < n; i++)
		wire[i] = (fleet_pace){reports[i].service, reports[i].engine,
		    (u_int)CLAMP(reports[i].base_interval, 0, G_MAXINT32),
		    (u_int)CLAMP(
			(now - reports[i].at) / USEC_PER_MSEC, 0, G_MAXINT32)};
	sent->paces.paces_len = (u_int)n;
	sent->paces.paces_val = wire;
	return fleet_message_encode(&message, bytes, size);
}

/// Adds what another instance knows of engines.
///
/// @param pace      table of engines
/// @param now       current time
/// @param received  a decoded message
void
pace_sync_apply(
    struct engine_pace *pace, usec_t now, const fleet_paces *received)
{
	for (u_int i = 0; i < received->paces.paces_len; i++) {
		const fleet_pace *wire = &received->paces.paces_val[i];
		const struct engine_pace_report report = {
		    .service = wire->service,
		    .engine = wire->engine,
		    .base_interval = (usec_t)wire->base_us,
		    .at = now - (usec_t)wire->age_ms * USEC_PER_MSEC,
		};

		engine_pace_merge(pace, now, &report);
	}
}
