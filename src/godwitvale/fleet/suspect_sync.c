/* Converts evidence on requests to and from its message. */
#include "godwitvale/fleet/suspect_sync.h"

#include <glib.h>

#include "godwitvale/fleet/fleet_codec.h"

G_STATIC_ASSERT(FLEET_EXPOSURES == CRASH_EXPOSURES_MAX);
G_STATIC_ASSERT(FLEET_SUSPECTS_MAX == CRASH_SUSPECTS_LISTED_MAX);

/// Converts a span to milliseconds.
static u_int
encode_span(usec_t span)
{
	return (u_int)CLAMP(span / USEC_PER_MSEC, 0, G_MAXINT32);
}

/// Converts a time in the past, or 0 for never, to its age.
static u_int
encode_age(usec_t now, usec_t at)
{
	return at == 0 ? FLEET_NEVER : encode_span(now - at);
}

/// Converts an age to a time, or 0 for never.
static usec_t
decode_age(usec_t now, u_int age_ms)
{
	return age_ms == FLEET_NEVER ? 0 : now - (usec_t)age_ms * USEC_PER_MSEC;
}

/// Fills in the crashes of one suspect.
static void
encode_exposures(
    const struct crash_suspect *suspect, usec_t now, fleet_exposure *wire)
{
	for (unsigned i = 0; i < suspect->n_exposures; i++) {
		const struct crash_exposure *exposure = &suspect->exposures[i];

		wire[i] = (fleet_exposure){exposure->upstream,
		    encode_age(now, exposure->crashed_at),
		    encode_span(exposure->span), exposure->is_weak};
	}
}

/// Encodes what other instances need to hear, as a message.
///
/// @param suspects  not changed
/// @param now       current time
/// @param bytes     receives the message
/// @param size      size of `bytes`
/// @return number of bytes written; 0 if there is nothing to tell
size_t
suspect_sync_encode(
    const struct crash_suspects *suspects, usec_t now, char *bytes, size_t size)
{
	struct crash_suspect listed[FLEET_SUSPECTS_MAX];
	fleet_exposure exposures[FLEET_SUSPECTS_MAX][FLEET_EXPOSURES];
	fleet_suspect wire[FLEET_SUSPECTS_MAX];
	fleet_message message = {.kind = FLEET_SUSPECTS};
	size_t n =
	    crash_suspects_list(suspects, now, listed, FLEET_SUSPECTS_MAX);

	if (n == 0)
		return 0;
	for (size_t i = 0; i < n; i++) {
		const struct crash_suspect *suspect = &listed[i];

		encode_exposures(suspect, now, exposures[i]);
		wire[i] = (fleet_suspect){
		    .fingerprint = suspect->fingerprint,
		    .exposures = {suspect->n_exposures, exposures[i]},
		    .answer_age_ms = encode_age(now, suspect->answered_at),
		    .match_age_ms = encode_age(now, suspect->matched_at),
		    .trials = suspect->n_trials,
		    .trial_in_ms = suspect->trial_at == USEC_NEVER
			? FLEET_NEVER
			: encode_span(suspect->trial_at - now),
		};
	}
	message.fleet_message_u.suspects.suspects.suspects_len = (u_int)n;
	message.fleet_message_u.suspects.suspects.suspects_val = wire;
	return fleet_message_encode(&message, bytes, size);
}

/// Converts a suspect from its wire format.
static struct crash_suspect
decode_suspect(const fleet_suspect *wire, usec_t now)
{
	struct crash_suspect suspect = {
	    .fingerprint = wire->fingerprint,
	    .n_exposures = wire->exposures.exposures_len,
	    .answered_at = decode_age(now, wire->answer_age_ms),
	    .matched_at = decode_age(now, wire->match_age_ms),
	    .n_trials = wire->trials,
	    .trial_at = wire->trial_in_ms == FLEET_NEVER
		? USEC_NEVER
		: now + (usec_t)wire->trial_in_ms * USEC_PER_MSEC,
	};

	for (unsigned i = 0; i < suspect.n_exposures; i++) {
		const fleet_exposure *exposure =
		    &wire->exposures.exposures_val[i];

		suspect.exposures[i] = (struct crash_exposure){
		    .upstream = exposure->upstream,
		    .crashed_at = decode_age(now, exposure->age_ms),
		    .span = (usec_t)exposure->span_ms * USEC_PER_MSEC,
		    .is_weak = exposure->weak,
		};
	}
	return suspect;
}

/// Adds the evidence of another instance.
///
/// @param suspects  evidence to add to
/// @param now       current time
/// @param received  a decoded message
void
suspect_sync_apply(
    struct crash_suspects *suspects, usec_t now, const fleet_suspects *received)
{
	for (u_int i = 0; i < received->suspects.suspects_len; i++) {
		const struct crash_suspect suspect =
		    decode_suspect(&received->suspects.suspects_val[i], now);

		crash_suspects_merge(suspects, now, &suspect);
	}
}
