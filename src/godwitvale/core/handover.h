/*
 * Handover of a running generation to another upstream, when its own leaves.
 *
 * Load pattern: a leaving upstream runs several generations of several
 * instances, and all their memory goes over its one link within the second or
 * two until it is gone. Memory is copied while the generation runs, and what
 * is new is copied once more shortly before the end, when the first copies of
 * the others are through. Then the run is stopped with a last copy of a few
 * tokens, so that it goes on elsewhere without reading anything. Where the
 * upstream is gone before that, the copy still serves, and what was generated
 * since is read again.
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
	HANDOVER_REFRESH,  /// copy what is new to the same target
	HANDOVER_STOP,     /// stop the run and copy the rest
	HANDOVER_RESUME,   /// go on at the target, from the copy
	HANDOVER_BREAK,    /// it can't go on from memory
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
	HANDOVER_REFRESHING,
	HANDOVER_STOPPING,
};

/// How handovers are timed.
struct handover_options {
	usec_t refresh_delay;  /// from the notice to the refresh
	usec_t refresh_margin; /// from it to the upstream's end, if known
	usec_t spread_span;    /// over which first tries for a copy are spread
	usec_t stop_margin;    /// from the stop to the upstream's end
	usec_t retry_span;     /// between tries for a copy
	usec_t answer_span;    /// for a copy's answer after the cut
	unsigned max_tries;    /// of copies, until a target has taken one
};

/// One generation's handover; embedded by value.
struct handover {
	struct handover_options options;
	enum handover_state state;
	usec_t refresh_at; /// USEC_NEVER: done
	usec_t stop_at;    /// USEC_NEVER: done, or not known
	usec_t wake_at;
	usec_t cut_at; /// when the stream was cut; 0: it runs
	unsigned tries;
	bool has_copy;
	char handle[HANDOVER_HANDLE_BYTES];
};

void handover_init(
    struct handover *handover, const struct handover_options *options);
void handover_reset(struct handover *handover);
void handover_notice(
    struct handover *handover, usec_t now, usec_t leaves_at, double chance);
enum handover_step handover_next(struct handover *handover, usec_t now);
usec_t handover_wake(const struct handover *handover);
void handover_began(struct handover *handover, enum handover_step step);
void handover_no_target(struct handover *handover, usec_t now);
void handover_made(struct handover *handover, usec_t now, const char *handle);
void handover_refused(
    struct handover *handover, usec_t now, enum handover_refusal refusal);
void handover_cut(struct handover *handover, usec_t now);
bool handover_holds_copy(const struct handover *handover);
const char *handover_step_name(enum handover_step step);

#endif
