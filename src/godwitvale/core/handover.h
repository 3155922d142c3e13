/*
 * Handover of a running generation to another upstream, when its own leaves.
 *
 * Load pattern: a leaving upstream runs several generations of several
 * instances, and all their memory goes over its one link within the second or
 * two until it is gone. Memory is copied while the generation runs, so that
 * stopping it moves only the last tokens and the caller sees no pause. If the
 * upstream is gone before that, the copy still serves: the other upstream
 * reads only what was generated since.
 */
#ifndef GODWITVALE_CORE_HANDOVER_H
#define GODWITVALE_CORE_HANDOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Room for the name of a copy.
#define HANDOVER_HANDLE_BYTES 80

/// What is to be done next.
enum handover_step {
	HANDOVER_WAIT = 1, /// until handover_wake() or the next input
	HANDOVER_COPY,     /// find a target and copy while the run goes on
	HANDOVER_STOP,     /// copy the rest to the same target and stop the run
	HANDOVER_RESUME,   /// go on at the target, from the copy
	HANDOVER_RESUME_SOURCE, /// go on at the source, which has stopped
	HANDOVER_BREAK,         /// it can't go on from memory
};

/// Why a copy was not made.
enum handover_refusal {
	HANDOVER_NO_ROOM = 1, /// or the target can't be reached
	HANDOVER_NOT_RUNNING, /// not begun yet, or already ended
	HANDOVER_IN_PROGRESS, /// another copy of it is under way
	HANDOVER_UNKNOWN,     /// no answer from the source
};

/// How far it is.
enum handover_state {
	HANDOVER_IDLE = 0, /// its upstream stays
	HANDOVER_NOTICED,
	HANDOVER_COPYING,
	HANDOVER_COPIED,
	HANDOVER_STOPPING,
	HANDOVER_STOPPED,
	HANDOVER_REFUSED_LAST, /// stopped at the source, not at the target
};

/// How handovers are timed.
struct handover_options {
	usec_t stop_delay;  /// from the notice to the stop
	usec_t retry_span;  /// between tries for a copy
	usec_t close_span;  /// for the stopped run's stream to end
	usec_t answer_span; /// for a copy's answer once the stream was cut
	unsigned max_tries; /// of copies, until a target has taken one
};

/// One generation's handover; embedded by value.
struct handover {
	struct handover_options options;
	enum handover_state state;
	usec_t stop_at;
	usec_t wake_at;
	usec_t cut_at; /// when the stream was cut; 0: it runs
	unsigned tries;
	bool has_copy;
	char handle[HANDOVER_HANDLE_BYTES];
};

void handover_init(
    struct handover *handover, const struct handover_options *options);
void handover_reset(struct handover *handover);
void handover_notice(struct handover *handover, usec_t now, usec_t changed_at);
enum handover_step handover_next(struct handover *handover, usec_t now);
usec_t handover_wake(const struct handover *handover);
void handover_began(struct handover *handover, bool stop);
void handover_no_target(struct handover *handover, usec_t now);
void handover_made(struct handover *handover, usec_t now, const char *handle);
void handover_refused(struct handover *handover, usec_t now,
    enum handover_refusal refusal, const char *handle);
void handover_cut(struct handover *handover, usec_t now);
bool handover_holds_copy(const struct handover *handover);
const char *handover_step_name(enum handover_step step);

#endif
