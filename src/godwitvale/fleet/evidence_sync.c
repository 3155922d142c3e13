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

/// Fills in the parts of a message.
static void
fill_evidence(const struct quarantine *quarantine, usec_t now,
    struct evidence_buffers *buffers, fleet_evidence *evidence)
{
	evidence->crashes.crashes_len = (u_int)quarantine_list_crashes(
	    quarantine, buffers->crashes, FLEET_CRASHES);
	evidence->crashes.crashes_val = buffers->wire_crashes;
	for (u_int i = 0; i < evidence->crashes.crashes_len; i++) {
		struct quarantine_crash *crash = &buffers->crashes[i];

		buffers->wire_crashes[i] = (fleet_crash){crash->id,
		    crash->upstream, encode_age(now, crash->at),
		    {crash->segments.n, crash->segments.ids}};
	}
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
	evidence->safe.safe_len =
	    (u_int)quarantine_list_safe(quarantine, buffers->safe, FLEET_SAFE);
	evidence->safe.safe_val = buffers->wire_safe;
	for (u_int i = 0; i < evidence->safe.safe_len; i++)
		buffers->wire_safe[i] = (fleet_safe){buffers->safe[i].segment,
		    encode_age(now, buffers->safe[i].at)};
}

/// Encodes all evidence of this instance as a message.
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
	for (u_int i = 0; i < evidence->safe.safe_len; i++) {
		const fleet_safe *safe = &evidence->safe.safe_val[i];

		quarantine_merge_safe(
		    quarantine, safe->segment, decode_age(now, safe->age_ms));
	}
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
		const fleet_crash *wire = &evidence->crashes.crashes_val[i];
		const struct quarantine_crash crash = {
		    .id = wire->id,
		    .upstream = wire->upstream,
		    .at = decode_age(now, wire->age_ms),
		    .segments = decode_segments(wire->segments.segments_val,
			wire->segments.segments_len),
		};

		quarantine_add_crash(quarantine, now, &crash);
	}
}
