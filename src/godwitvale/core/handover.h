/*
 * Handover of a running generation to another upstream when the upstream that
 * runs it is leaving.
 *
 * Load pattern: a leaving upstream runs generations of several instances, and
 * the memory of all of them must pass its one link within the second or two
 * until it is gone. So the memory of a generation is copied while the
 * generation still runs. Shortly before the upstream is gone, when the first
 * copies of the other generations are complete, the copy is refreshed with the
 * tokens added since. Then the generation is stopped and its last few tokens
 * are copied, so that it resumes at the target without reading any token
 * again. If the upstream is gone before that, the generation resumes from the
 * last complete copy, and the target reads the tokens generated since.
 */
#ifndef GODWITVALE_CORE_HANDOVER_H
#define GODWITVALE_CORE_HANDOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Size of the buffer for a copy's handle, with its NUL.
#define HANDOVER_HANDLE_BYTES 80

/// The caller's next action.
enum handover_step {
	HANDOVER_WAIT = 1, /// until handover_wake_time() or the next input
	HANDOVER_COPY,     /// choose a target and copy the running generation
	HANDOVER_REFRESH,  /// copy the tokens added since to the same target
	HANDOVER_STOP,     /// stop the generation and copy its last tokens
	HANDOVER_RESUME,   /// resume at the target from the copy
	HANDOVER_BREAK,    /// the stream was cut, and there is no copy
};

/// Why a copy failed.
enum handover_copy_failure {
	HANDOVER_NO_ROOM = 1, /// the target is full or unreachable
	HANDOVER_NOT_RUNNING, /// the generation hasn't started or has ended
	HANDOVER_IN_PROGRESS, /// another copy of the generation is in progress
	HANDOVER_UNKNOWN,     /// the source didn't answer
};

/// Progress of a handover.
enum handover_state {
	HANDOVER_IDLE = 0,   /// the upstream isn't leaving
	HANDOVER_NOTICED,    /// the upstream is leaving; there is no copy yet
	HANDOVER_COPYING,    /// the first copy is in progress
	HANDOVER_COPIED,     /// a complete copy exists, and none is in progress
	HANDOVER_REFRESHING, /// the refresh of the copy is in progress
	HANDOVER_STOPPING, /// the copy that stops the generation is in progress
};

/// Timing of a handover.
struct handover_options {
	usec_t refresh_delay;  /// from the leave notice to the refresh
	usec_t refresh_margin; /// from the refresh to the upstream's end
	usec_t spread_span;    /// longest random delay of the first copy
	usec_t stop_margin;    /// from the stop to the upstream's end
	usec_t retry_delay;    /// between attempts to copy
	usec_t answer_timeout; /// for a copy, after the stream was cut
	unsigned max_tries; /// copies that fail with HANDOVER_NO_ROOM, at most
};

/// State of one generation's handover; embedded by value.
struct handover {
	struct handover_options options;
	enum handover_state state;
	usec_t refresh_at; /// USEC_NEVER once requested
	usec_t stop_at;    /// USEC_NEVER once requested, or while unknown
	usec_t wake_at;    /// when to ask for the next step; may be USEC_NEVER
	usec_t cut_at;     /// when the stream was cut; 0 while it is open
	unsigned tries;    /// copies that failed with HANDOVER_NO_ROOM
	bool has_copy;     /// a target holds a complete copy
	char handle[HANDOVER_HANDLE_BYTES]; /// of the last complete copy
};

void handover_init(
    struct handover *handover, const struct handover_options *options);
void handover_reset(struct handover *handover);
void handover_note_leaving(
    struct handover *handover, usec_t now, usec_t leaves_at, double jitter);
enum handover_step handover_next_step(struct handover *handover, usec_t now);
usec_t handover_wake_time(const struct handover *handover);
void handover_copy_requested(
    struct handover *handover, enum handover_step step);
void handover_target_unavailable(struct handover *handover, usec_t now);
void handover_copy_completed(
    struct handover *handover, usec_t now, const char *handle);
void handover_copy_failed(
    struct handover *handover, usec_t now, enum handover_copy_failure failure);
void handover_stream_cut(struct handover *handover, usec_t now);
bool handover_has_copy(const struct handover *handover);
const char *handover_step_name(enum handover_step step);

#endif
