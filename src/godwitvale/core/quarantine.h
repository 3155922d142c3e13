/*
 * Finds the prompt segments that crash engines, and quarantines them.
 *
 * Load pattern: every engine that begins to answer a request with a certain
 * segment crashes, together with all other generations that it runs. Such
 * requests arrive at all instances, and no two of them are alike otherwise.
 * Each instance sees few of the crashes, so instances exchange what they have
 * seen. Safe requests share the other segments and must still be served.
 *
 * Evidence against a segment is a crash while the engine began to answer a
 * request with that segment. If it had begun no answer, the crash is weaker
 * evidence against the request that had waited there longest, as an engine
 * begins its requests in order. A request that it was answering then explains
 * the crash instead only if another of its segments recurs in as many crashes:
 * it may have been there by chance. Evidence for a segment is an answer whose
 * beginning the engine has survived; it outweighs all earlier crashes. A rule
 * names the segments that all crashes in question have in common, and covers
 * the requests that have all of these segments. Each further piece of evidence
 * narrows it. A rule is lifted when one of the few trial requests is answered;
 * rules that it had hidden take its place. It expires when it has covered no
 * request for QUARANTINE_IDLE_SPAN.
 */
#ifndef GODWITVALE_CORE_QUARANTINE_H
#define GODWITVALE_CORE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/core/segment_set.h"
#include "godwitvale/core/time_defs.h"

/// Maximum number of crashes that are remembered; the oldest are forgotten.
#define QUARANTINE_CRASHES_MAX 16
/// Maximum number of rules in force.
#define QUARANTINE_RULES_MAX 8
/// Maximum number of segments that quarantine_list_safe() returns.
#define QUARANTINE_SAFE_MAX 32
/// A rule expires when it has covered no request for this long.
#define QUARANTINE_IDLE_SPAN (10 * 60 * USEC_PER_SEC)
/// Trials of a rule. Each may crash one more engine, or two if instances that
/// don't see each other both send it. A rule takes four crashes at most, or six
/// while no answer is known, so that at most three requests are late after the
/// fifth crash.
#define QUARANTINE_TRIALS_MAX 2

/// Crash of an engine that began to answer a request, or was about to.
struct quarantine_crash {
	uint64_t id;       /// the same at all instances
	uint64_t upstream; /// hash of the engine's id
	usec_t at;
	bool is_early; /// no answer had begun
	usec_t span;   /// if early: time from the sending to the crash
	struct segment_set segments; /// of the request
};

/// Time at which an engine last answered a request with a segment.
struct quarantine_safe {
	uint64_t segment;
	usec_t at;
};

/// Decision to refuse the requests that have all segments of a set.
struct quarantine_rule {
	struct segment_set segments;
	unsigned n_crashes; /// number of crashes that it is based on
	unsigned n_trials;  /// number of trials so far
	usec_t crashed_at;  /// time of the last of these crashes
	usec_t matched_at;  /// time at which it last covered a request
	usec_t trial_at;    /// time of the next trial; USEC_NEVER: none is left
};

/// Change of a rule, as reported to the listener.
enum quarantine_change {
	QUARANTINE_FORMED = 1,
	QUARANTINE_NARROWED, /// it names fewer segments, so it covers more
	QUARANTINE_LIFTED,   /// a request that it covers was answered
	QUARANTINE_EXPIRED,  /// it has covered no request for long
};

/// Called on each change. `rule` is valid during the call only.
typedef void (*quarantine_listener)(void *owner, enum quarantine_change change,
    const struct quarantine_rule *rule);

struct quarantine;

struct quarantine *quarantine_new(quarantine_listener listener, void *owner);
void quarantine_free(struct quarantine *quarantine);
bool quarantine_add_crash(struct quarantine *quarantine, usec_t now,
    const struct quarantine_crash *crash);
bool quarantine_add_safe(struct quarantine *quarantine, usec_t at,
    const uint64_t *segments, unsigned n_segments);
void quarantine_merge_safe(
    struct quarantine *quarantine, uint64_t segment, usec_t at);
void quarantine_merge_rule(struct quarantine *quarantine, usec_t now,
    const struct quarantine_rule *rule);
const struct quarantine_rule *quarantine_match(struct quarantine *quarantine,
    usec_t now, const uint64_t *segments, unsigned n_segments);
void quarantine_begin_trial(struct quarantine *quarantine, usec_t now,
    const uint64_t *segments, unsigned n_segments);
void quarantine_tick(struct quarantine *quarantine, usec_t now);
size_t quarantine_list_crashes(const struct quarantine *quarantine,
    struct quarantine_crash *crashes, size_t max);
size_t quarantine_count_rules(const struct quarantine *quarantine);
size_t quarantine_list_rules(const struct quarantine *quarantine,
    struct quarantine_rule *rules, size_t max);
size_t quarantine_list_safe(const struct quarantine *quarantine,
    struct quarantine_safe *safe, size_t max);
usec_t quarantine_safe_at(
    const struct quarantine *quarantine, uint64_t segment);
uint64_t quarantine_rule_key(const struct quarantine_rule *rule);

#endif
