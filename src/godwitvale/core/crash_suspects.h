/*
 * Finds the requests that crash the upstreams that run them.
 *
 * Load pattern: one request, which its callers and instances send again under
 * new ids, crashes each upstream that begins to run it, together with all other
 * requests there. Each instance sees few of the crashes. The requests that were
 * beside it are sound: some are sent once more and meet it again; others are
 * asked for all the time, so that some of them are present at each crash.
 *
 * A request is known by its fingerprint. It is exposed to a crash if an
 * upstream crashed while it was there, unanswered. What counts against it is
 * the number of crashes in a series: it was sent to the next upstream after the
 * one before had crashed. Upstreams that crash at the same moment count as one
 * therefore. An answer clears a request of all earlier crashes. Three crashes
 * suffice that nothing else explains; incident 7 derives the bounds from that.
 * A crash is explained
 * - by another request that was there and has seen more crashes in series;
 * - by an earlier crash of the same upstream, before the request was sent;
 * - by a prompt segment of other requests: see core/crash_causes.h.
 */
#ifndef GODWITVALE_CORE_CRASH_SUSPECTS_H
#define GODWITVALE_CORE_CRASH_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/core/quarantine.h"
#include "godwitvale/core/time_defs.h"

/// Maximum number of requests that are suspected.
#define CRASH_SUSPECTS_MAX 128
/// Maximum number of crashes that are remembered of one request.
#define CRASH_EXPOSURES_MAX 4
/// Maximum number of suspects that crash_suspects_list() returns.
#define CRASH_SUSPECTS_LISTED_MAX 24
/// Trials of a request in quarantine that was never answered, and of one that
/// was. Each may crash one more upstream.
#define CRASH_SUSPECT_TRIALS_UNKNOWN 1
#define CRASH_SUSPECT_TRIALS_KNOWN 2
/// A request in quarantine that hasn't come for this long is forgotten.
#define CRASH_SUSPECT_IDLE_SPAN (10 * 60 * USEC_PER_SEC)

/// A crash of an upstream to which a request had been sent.
struct crash_exposure {
	uint64_t upstream; /// hash of the upstream's id
	usec_t crashed_at;
	usec_t span; /// from the sending of the request to the crash
	/// The request may have been waiting at the upstream, not running, or
	/// may have come too late to be the cause. Only builds before the
	/// threshold of three crashes use it.
	bool is_weak;
	/// Segment that explains the crash; 0: none does. Not exchanged.
	uint64_t cause;
};

/// What is known of one request.
struct crash_suspect {
	uint64_t fingerprint;
	struct crash_exposure exposures[CRASH_EXPOSURES_MAX];
	struct segment_set segments; /// empty if this instance never had it
	usec_t answered_at;          /// 0: never
	usec_t news_at;    /// when this instance last learnt of a crash
	usec_t trial_at;   /// time of the next trial; USEC_NEVER: none is left
	usec_t matched_at; /// time at which such a request last came
	unsigned n_exposures; /// since it was last answered; oldest first
	unsigned n_trials;
	bool is_quarantined;
	/// Another instance reports a crash that was followed by an answer
	/// here.
	bool is_answer_untold;
};

/// Change of a suspect, as reported to the listener.
enum crash_suspect_change {
	CRASH_SUSPECT_QUARANTINED = 1,
	CRASH_SUSPECT_LIFTED,  /// it was answered, or another one is the cause
	CRASH_SUSPECT_EXPIRED, /// it hasn't come for long
};

/// Called on each change. `suspect` is valid during the call only.
typedef void (*crash_suspect_listener)(void *owner,
    enum crash_suspect_change change, const struct crash_suspect *suspect);

struct crash_suspects;

struct crash_suspects *crash_suspects_new(crash_suspect_listener listener,
    void *owner, const struct quarantine *evidence);
void crash_suspects_free(struct crash_suspects *suspects);
bool crash_suspects_add(struct crash_suspects *suspects, usec_t now,
    uint64_t fingerprint, const struct crash_exposure *exposure);
void crash_suspects_set_segments(struct crash_suspects *suspects,
    uint64_t fingerprint, const uint64_t *segments, unsigned n_segments);
bool crash_suspects_note_answered(
    struct crash_suspects *suspects, usec_t at, uint64_t fingerprint);
void crash_suspects_merge(struct crash_suspects *suspects, usec_t now,
    const struct crash_suspect *reported);
const struct crash_suspect *crash_suspects_match(
    struct crash_suspects *suspects, usec_t now, uint64_t fingerprint);
void crash_suspects_begin_trial(
    struct crash_suspects *suspects, usec_t now, uint64_t fingerprint);
void crash_suspects_tick(struct crash_suspects *suspects, usec_t now);
size_t crash_suspects_list(const struct crash_suspects *suspects, usec_t now,
    struct crash_suspect *listed, size_t max);

#endif
