/* Converts the limits of upstreams to and from their message. */
#include "godwitvale/fleet/limit_sync.h"

#include <glib.h>

#include "godwitvale/fleet/fleet_codec.h"

G_STATIC_ASSERT(FLEET_LIMITS_MAX == RATE_LIMIT_STATEMENTS_MAX);

/// Requests in 1000 s for each request a second.
#define MILLIRATE 1000.0

/// Converts a time in the past to its age.
static u_int
encode_age(usec_t now, usec_t at)
{
	return (u_int)CLAMP((now - at) / USEC_PER_MSEC, 0, G_MAXINT32);
}

/// Encodes all limits that this instance knows as a message.
///
/// @param limits  table of limits
/// @param now     current time
/// @param bytes   receives the message
/// @param size    size of `bytes`
/// @return number of bytes written; 0 if there is no limit
size_t
limit_sync_encode(
    struct rate_limits *limits, usec_t now, char *bytes, size_t size)
{
	struct rate_limit_statement statements[FLEET_LIMITS_MAX];
	fleet_limit wire[FLEET_LIMITS_MAX];
	fleet_message message = {.kind = FLEET_LIMITS};
	fleet_limits *sent = &message.fleet_message_u.limits;
	size_t n = rate_limits_list(limits, statements, FLEET_LIMITS_MAX);

	if (n == 0)
		return 0;
	for (size_t i = 0; i < n; i++) {
		const struct rate_limit_statement *statement = &statements[i];

		wire[i] = (fleet_limit){.upstream = statement->upstream,
		    .millirate = statement->rate < 0
			? FLEET_NO_LIMIT
			: (u_int)(statement->rate * MILLIRATE),
		    .age_ms = encode_age(now, statement->at)};
	}
	sent->limits.limits_len = (u_int)n;
	sent->limits.limits_val = wire;
	return fleet_message_encode(&message, bytes, size);
}

/// Adds the limits that another instance knows.
///
/// @param limits    table of limits
/// @param now       current time
/// @param received  a decoded message
/// @param listener  called for each change
/// @param owner     passed to the listener
void
limit_sync_apply(struct rate_limits *limits, usec_t now,
    const fleet_limits *received, limit_sync_listener listener, void *owner)
{
	for (u_int i = 0; i < received->limits.limits_len; i++) {
		const fleet_limit *wire = &received->limits.limits_val[i];
		const struct rate_limit_statement statement = {
		    .upstream = wire->upstream,
		    .rate = wire->millirate == FLEET_NO_LIMIT
			? -1
			: wire->millirate / MILLIRATE,
		    .at = now - (usec_t)wire->age_ms * USEC_PER_MSEC,
		};
		enum rate_limit_change change =
		    rate_limits_merge(limits, now, &statement);

		if (change != RATE_LIMIT_SAME)
			listener(owner, change, &statement);
	}
}

/// Encodes a request to an upstream with a low limit as a message.
///
/// @param turn    the request
/// @param sender  hash of the name of this instance
/// @param now     current time
/// @param bytes   receives the message
/// @param size    size of `bytes`
/// @return number of bytes written
size_t
limit_sync_encode_turn(const struct rate_limit_turn *turn, uint64_t sender,
    usec_t now, char *bytes, size_t size)
{
	fleet_message message = {.kind = FLEET_TURN};

	message.fleet_message_u.turn = (fleet_turn){
	    .upstream = turn->upstream,
	    .sender = sender,
	    .number = turn->number,
	    .age_ms = encode_age(now, turn->at),
	};
	return fleet_message_encode(&message, bytes, size);
}

/// Notes the request of another instance to an upstream with a low limit.
///
/// @param limits    table of limits
/// @param now       current time
/// @param received  a decoded message
void
limit_sync_apply_turn(
    struct rate_limits *limits, usec_t now, const fleet_turn *received)
{
	const struct rate_limit_turn turn = {
	    .upstream = received->upstream,
	    .sender = received->sender,
	    .number = received->number,
	    .at = now - (usec_t)received->age_ms * USEC_PER_MSEC,
	};

	rate_limits_hear_turn(limits, &turn);
}
