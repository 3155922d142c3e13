/*
 * Decides when to copy, stop and resume a running generation (one run of a
 * model) in order to hand it over to another upstream, the target, when the
 * upstream that runs the generation, the source, is leaving.
 *
 * Load pattern: a leaving upstream runs generations of several instances, and
 * the memory of all generations must pass through its one network link within
 * the second or two until the upstream is gone. So the memory of a generation
 * is copied while the generation still runs. Shortly before the upstream is
 * gone, when the first copies of the other generations are complete, the copy
 * is refreshed with the tokens generated since the first copy. Then the
 * generation is stopped and its last few tokens are copied, so that it resumes
 * at the target without reading any token again. If the upstream is gone before
 * the stop, the generation resumes from the last complete copy, and the target
 * reads the tokens generated after that copy. A target that begins to drain is
 * replaced, while there is time.
 *
 * The stop closes the stream without its end. A stream whose end only the
 * connection marks then looks complete, until the outcome of the stop is known.
 */
#ifndef GODWITVALE_CORE_HANDOVER_H
#define GODWITVALE_CORE_HANDOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Size of the buffer for the handle that names a copy, including the NUL.
#define HANDOVER_HANDLE_BYTES 80

/// The caller's next action.
enum handover_step {
	/// wait until handover_wake_time() or until the next call that notes an
	/// event, such as handover_copy_completed()
	HANDOVER_WAIT = 1,
	HANDOVER_COPY, /// choose a target and copy the running generation
	/// copy the tokens generated since the last copy to the same target
	HANDOVER_REFRESH,
	HANDOVER_STOP,   /// stop the generation and copy its last tokens
	HANDOVER_RESUME, /// resume the generation at the target from the copy
	HANDOVER_BREAK,  /// give up: the stream was cut, and there is no copy
	/// the stream is complete: the generation had ended before the stop
	HANDOVER_FINISH,
};

/// Why a copy failed.
enum handover_copy_failure {
	HANDOVER_NO_ROOM = 1, /// the target is full or unreachable
	HANDOVER_NOT_RUNNING, /// the generation hasn't started or has ended
	HANDOVER_IN_PROGRESS, /// another copy of the generation is in progress
	HANDOVER_UNKNOWN,     /// the source didn't answer, or not validly
};

/// Progress of a handover.
enum handover_state {
	HANDOVER_IDLE = 0,   /// the upstream isn't leaving
	HANDOVER_NOTICED,    /// the upstream is leaving; there is no copy yet
	HANDOVER_COPYING,    /// the first copy is in progress
	HANDOVER_COPIED,     /// a copy is complete, and no other is in progress
	HANDOVER_REFRESHING, /// the refresh of the copy is in progress
	HANDOVER_STOPPING, /// the copy that stops the generation is in progress
};

/// Timing of a handover.
struct handover_options {
	/// from the leave notice to the refresh, while it is unknown when the
	/// upstream will be gone
	usec_t refresh_delay;
	usec_t refresh_margin; /// from the refresh until the upstream is gone
	usec_t spread_span;    /// maximum random delay of the first copy
	usec_t stop_margin;    /// from the stop until the upstream is gone
	/// from a failed first copy, or a failed search for a target, to the
	/// next attempt
	usec_t retry_delay;
	/// how long the outcome of a copy request is awaited after the stream
	/// was cut
	usec_t answer_timeout;
	/// how long a target that didn't take the request is tried again
	usec_t resume_span;
	/// least time before the stop for a copy to a new target, when the
	/// target that has one may get no requests any more
	usec_t recopy_span;
	/// failures with HANDOVER_NO_ROOM after which no copy is tried any more
	unsigned max_no_room_failures;
};

/// State of one generation's handover; embedded by value.
struct handover {
	struct handover_options options;
	enum handover_state state;
	/// when the refresh is due; USEC_NEVER once it was requested
	usec_t refresh_at;
	/// when the stop is due; USEC_NEVER once it was requested, or while it
	/// is unknown when the upstream will be gone
	usec_t stop_at;
	usec_t wake_at;   /// when to ask for the next step; may be USEC_NEVER
	usec_t cut_at;    /// when the stream was cut; 0 while it is open
	usec_t resume_at; /// not to be resumed before; 0: at once
	usec_t resume_until; /// when to give the target up; 0: not tried yet
	usec_t resume_delay; /// from the last failed try to the next
	unsigned n_no_room_failures; /// copies failed with HANDOVER_NO_ROOM
	bool has_copy;               /// a target holds a complete copy
	/// the stream ended where a complete one may end, so that the outcome
	/// of the stop tells whether the generation ended or was stopped
	bool may_be_complete;
	bool is_complete; /// the generation had ended before the stop
	char handle[HANDOVER_HANDLE_BYTES]; /// names the last complete copy
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
void handover_target_lost(struct handover *handover, usec_t now);
bool handover_has_recopy_time(const struct handover *handover, usec_t now);
bool handover_defer_resume(struct handover *handover, usec_t now, usec_t until);
void handover_copy_completed(
    struct handover *handover, usec_t now, const char *handle);
void handover_copy_failed(
    struct handover *handover, usec_t now, enum handover_copy_failure failure);
void handover_stream_cut(struct handover *handover, usec_t now);
bool handover_stream_ended(struct handover *handover, usec_t now);
bool handover_resume_failed(struct handover *handover, usec_t now);
bool handover_has_copy(const struct handover *handover);
const char *handover_step_name(enum handover_step step);

#endif
