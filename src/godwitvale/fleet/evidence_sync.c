/* Converts the evidence of a quarantine to and from its message. */
#include "godwitvale/fleet/evidence_sync.h"

#include <string.h>

#include <glib.h>

#include "godwitvale/fleet/fleet_codec.h"

G_STATIC_ASSERT(FLEET_SEGMENTS == QUARANTINE_SEGMENTS_MAX);
G_STATIC_ASSERT(FLEET_CRASHES == QUARANTINE_CRASHES_MAX);
G_STATIC_ASSERT(FLEET_SAFE == QUARANTINE_SAFE_MAX);
G_STATIC_ASSERT(FLEET_RULES == QUARANTINE_RULES_MAX);

/// Buffers for the parts of one message that is being encoded.
struct evidence_buffers {
	struct quarantine_crash crashes[FLEET_CRASHES];
	struct quarantine_rule rules[FLEET_RULES];
	struct quarantine_safe safe[FLEET_SAFE];
	fleet_crash wire_crashes[FLEET_CRASHES];
	fleet_early_crash wire_early_crashes[FLEET_CRASHES];
	fleet_rule wire_rules[FLEET_RULES];
	fleet_safe wire_safe[FLEET_SAFE];
};

/// Converts a time in the past to its age.
static u_int
encode_age(usec_t now, usec_t at)
{
	return (u_int)CLAMP((now - at) / USEC_PER_MSEC, 0, G_MAXINT32);
}

/// Converts an age to a time.
static usec_t
decode_age(usec_t now, u_int age_ms)
{
	return now - (usec_t)age_ms * USEC_PER_MSEC;
}

/// Converts the time of a rule's next trial.
static u_int
encode_trial(usec_t now, usec_t trial_at)
{
	if (trial_at == USEC_NEVER)
		return FLEET_NO_TRIAL;
	return (u_int)CLAMP((trial_at - now) / USEC_PER_MSEC, 0, G_MAXINT32);
}

/// Copies segments from a message.
static struct segment_set
decode_segments(const uint64_t *segments, u_int n_segments)
{
	struct segment_set set = {.n = n_segments};

	memcpy(set.ids, segments, n_segments * sizeof(set.ids[0]));
	return set;
}

/// Lists the crashes of one kind.
///
/// @return number of crashes in `crashes`
static u_int
list_crashes(const struct quarantine *quarantine, bool early,
    struct quarantine_crash *crashes)
{
	size_t n = quarantine_list_crashes(quarantine, crashes, FLEET_CRASHES);
	u_int n_listed = 0;

	for (size_t i = 0; i < n; i++)
		if (crashes[i].is_early == early)
			crashes[n_listed++] = crashes[i];
	return n_listed;
}

/// @return the crash as it is sent; refers to the segments of `crash`
static fleet_crash
encode_crash(usec_t now, struct quarantine_crash *crash)
{
	return (fleet_crash){crash->id, crash->upstream,
	    encode_age(now, crash->at),
	    {crash->segments.n, crash->segments.ids}};
}

/// @return the crash that another instance has sent
static struct quarantine_crash
decode_crash(usec_t now, const fleet_crash *wire)
{
	return (struct quarantine_crash){
	    .id = wire->id,
	    .upstream = wire->upstream,
	    .at = decode_age(now, wire->age_ms),
	    .segments = decode_segments(
		wire->segments.segments_val, wire->segments.segments_len),
	};
}

/// Fills in when segments were last answered.
///
/// @return number of segments
static u_int
fill_safe(const struct quarantine *quarantine, usec_t now,
    struct evidence_buffers *buffers)
{
	u_int n =
	    (u_int)quarantine_list_safe(quarantine, buffers->safe, FLEET_SAFE);

	for (u_int i = 0; i < n; i++)
		buffers->wire_safe[i] = (fleet_safe){buffers->safe[i].segment,
		    encode_age(now, buffers->safe[i].at)};
	return n;
}

/// Adds the segments that another instance has seen answered.
static void
apply_safe(
    struct quarantine *quarantine, usec_t now, const fleet_safe *safe, u_int n)
{
	for (u_int i = 0; i < n; i++)
		quarantine_merge_safe(quarantine, safe[i].segment,
		    decode_age(now, safe[i].age_ms));
}

/// Fills in the parts of a message.
static void
fill_evidence(const struct quarantine *quarantine, usec_t now,
    struct evidence_buffers *buffers, fleet_evidence *evidence)
{
	evidence->crashes.crashes_len =
	    list_crashes(quarantine, false, buffers->crashes);
	evidence->crashes.crashes_val = buffers->wire_crashes;
	for (u_int i = 0; i < evidence->crashes.crashes_len; i++)
		buffers->wire_crashes[i] =
		    encode_crash(now, &buffers->crashes[i]);
	evidence->rules.rules_len = (u_int)quarantine_list_rules(
	    quarantine, buffers->rules, FLEET_RULES);
	evidence->rules.rules_val = buffers->wire_rules;
	for (u_int i = 0; i < evidence->rules.rules_len; i++) {
		struct quarantine_rule *rule = &buffers->rules[i];

		buffers->wire_rules[i] = (fleet_rule){
		    {rule->segments.n, rule->segments.ids}, rule->n_crashes,
		    rule->n_trials, encode_age(now, rule->crashed_at),
		    encode_age(now, rule->matched_at),
		    encode_trial(now, rule->trial_at)};
	}
	evidence->safe.safe_len = fill_safe(quarantine, now, buffers);
	evidence->safe.safe_val = buffers->wire_safe;
}

/// Encodes the evidence of this instance as a message, without the crashes
/// before an answer had begun: see evidence_sync_encode_early().
///
/// @param quarantine  not changed
/// @param now         current time
/// @param sender      name of this instance
/// @param bytes       receives the message
/// @param size        size of `bytes`
/// @return number of bytes written; 0 if there is no evidence
size_t
evidence_sync_encode(const struct quarantine *quarantine, usec_t now,
    const char *sender, char *bytes, size_t size)
{
	fleet_message message = {.kind = FLEET_EVIDENCE};
	fleet_evidence *evidence = &message.fleet_message_u.evidence;
	struct evidence_buffers *buffers = g_new(struct evidence_buffers, 1);
	size_t len = 0;

	evidence->name = (char *)sender;
	fill_evidence(quarantine, now, buffers, evidence);
	if (evidence->crashes.crashes_len > 0 || evidence->rules.rules_len > 0)
		len = fleet_message_encode(&message, bytes, size);
	g_free(buffers);
	return len;
}

/// Adds the evidence of another instance.
///
/// @param quarantine  evidence to add to
/// @param now         current time
/// @param evidence    a decoded message
void
evidence_sync_apply(
    struct quarantine *quarantine, usec_t now, const fleet_evidence *evidence)
{
	/* Answers come first, so that no rule ignores them. */
	apply_safe(
	    quarantine, now, evidence->safe.safe_val, evidence->safe.safe_len);
	for (u_int i = 0; i < evidence->rules.rules_len; i++) {
		const fleet_rule *wire = &evidence->rules.rules_val[i];
		const struct quarantine_rule rule = {
		    .segments = decode_segments(wire->segments.segments_val,
			wire->segments.segments_len),
		    .n_crashes = wire->crashes,
		    .n_trials = wire->trials,
		    .crashed_at = decode_age(now, wire->crash_age_ms),
		    .matched_at = decode_age(now, wire->match_age_ms),
		    .trial_at = wire->trial_in_ms == FLEET_NO_TRIAL
			? USEC_NEVER
			: now + (usec_t)wire->trial_in_ms * USEC_PER_MSEC,
		};

		quarantine_merge_rule(quarantine, now, &rule);
	}
	for (u_int i = 0; i < evidence->crashes.crashes_len; i++) {
		const struct quarantine_crash crash =
		    decode_crash(now, &evidence->crashes.crashes_val[i]);

		quarantine_add_crash(quarantine, now, &crash);
	}
}

/// Encodes the crashes before an answer had begun as a message. Earlier builds
/// would take them for stronger evidence.
///
/// @param quarantine  not changed
/// @param now         current time
/// @param bytes       receives the message
/// @param size        size of `bytes`
/// @return number of bytes written; 0 if there is no such crash
size_t
evidence_sync_encode_early(
    const struct quarantine *quarantine, usec_t now, char *bytes, size_t size)
{
	fleet_message message = {.kind = FLEET_EARLY_CRASHES};
	fleet_early_crashes *early = &message.fleet_message_u.early_crashes;
	struct evidence_buffers *buffers = g_new(struct evidence_buffers, 1);
	size_t len = 0;

	early->crashes.crashes_len =
	    list_crashes(quarantine, true, buffers->crashes);
	early->crashes.crashes_val = buffers->wire_early_crashes;
	for (u_int i = 0; i < early->crashes.crashes_len; i++) {
		struct quarantine_crash *crash = &buffers->crashes[i];

		buffers->wire_early_crashes[i] = (fleet_early_crash){
		    encode_crash(now, crash),
		    (u_int)CLAMP(crash->span / USEC_PER_MSEC, 0, G_MAXINT32)};
	}
	early->safe.safe_len = fill_safe(quarantine, now, buffers);
	early->safe.safe_val = buffers->wire_safe;
	if (early->crashes.crashes_len > 0)
		len = fleet_message_encode(&message, bytes, size);
	g_free(buffers);
	return len;
}

/// Adds the crashes before an answer had begun that another instance knows.
///
/// @param quarantine  evidence to add to
/// @param now         current time
/// @param early       a decoded message
void
evidence_sync_apply_early(
    struct quarantine *quarantine, usec_t now, const fleet_early_crashes *early)
{
	/* Answers come first, so that no rule ignores them. */
	apply_safe(quarantine, now, early->safe.safe_val, early->safe.safe_len);
	for (u_int i = 0; i < early->crashes.crashes_len; i++) {
		const fleet_early_crash *wire = &early->crashes.crashes_val[i];
		struct quarantine_crash crash = decode_crash(now, &wire->crash);

		crash.is_early = true;
		crash.span = (usec_t)wire->span_ms * USEC_PER_MSEC;
		quarantine_add_crash(quarantine, now, &crash);
	}
}
