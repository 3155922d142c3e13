/* State machine of the handover of one running generation. */
#include "godwitvale/core/handover.h"

#include <glib.h>

/// @param step  any step of a handover
/// @return the name of the step, one word; used as the label of a metric
const char *
handover_step_name(enum handover_step step)
{
	static const char *const names[] = {
	    [HANDOVER_WAIT] = "wait",
	    [HANDOVER_COPY] = "copy",
	    [HANDOVER_REFRESH] = "refresh",
	    [HANDOVER_STOP] = "stop",
	    [HANDOVER_RESUME] = "resume",
	    [HANDOVER_BREAK] = "break",
	    [HANDOVER_FINISH] = "finish",
	};

	return names[step];
}

/// Initialises the handover of a generation whose upstream isn't leaving.
///
/// @param handover  state to initialise
/// @param options   timing; copied
void
handover_init(struct handover *handover, const struct handover_options *options)
{
	*handover = (struct handover){.options = *options};
	handover->wake_at = USEC_NEVER;
	handover->stop_at = USEC_NEVER;
}

/// Resets the state of a handover after the generation has resumed at another
/// upstream.
///
/// @param handover  state to reset; its options are kept
void
handover_reset(struct handover *handover)
{
	struct handover_options options = handover->options;

	handover_init(handover, &options);
}

/// Notes that the generation's upstream is leaving. May be called again when
/// the time at which the upstream will be gone becomes known or changes.
///
/// @param handover   handover of the generation
/// @param now        current time
/// @param leaves_at  when the upstream will be gone; 0 if unknown
/// @param jitter     random number from 0 to 1 that sets the delay of the first
///                   copy; used by the first call only
void
handover_note_leaving(
    struct handover *handover, usec_t now, usec_t leaves_at, double jitter)
{
	if (leaves_at != 0 && handover->state != HANDOVER_STOPPING)
		handover->stop_at = leaves_at - handover->options.stop_margin;
	if (handover->refresh_at != USEC_NEVER && leaves_at != 0)
		handover->refresh_at =
		    leaves_at - handover->options.refresh_margin;
	else if (handover->state == HANDOVER_IDLE)
		handover->refresh_at = now + handover->options.refresh_delay;
	if (handover->state == HANDOVER_COPIED)
		handover->wake_at =
		    MIN(handover->refresh_at, handover->stop_at);
	if (handover->state != HANDOVER_IDLE)
		return;
	handover->state = HANDOVER_NOTICED;
	handover->wake_at =
	    now + (usec_t)(jitter * (double)handover->options.spread_span);
}

/// Returns the step after the stream was cut. A complete copy is used at once,
/// because an upstream that is gone won't finish a copy in progress. The
/// outcome of a copy request is awaited, for `answer_timeout`, only if it is
/// for the first copy or for the copy that stopped the generation.
static enum handover_step
step_after_cut(struct handover *handover, usec_t now)
{
	usec_t answer_deadline =
	    handover->cut_at + handover->options.answer_timeout;
	bool awaits_copy = handover->state == HANDOVER_STOPPING ||
	    (handover->state == HANDOVER_COPYING && !handover->has_copy);

	if (handover->is_complete)
		return HANDOVER_FINISH;
	if (awaits_copy && now < answer_deadline) {
		handover->wake_at = answer_deadline;
		return HANDOVER_WAIT;
	}
	if (handover->has_copy && now < handover->resume_at) {
		handover->wake_at = handover->resume_at;
		return HANDOVER_WAIT;
	}
	return handover->has_copy ? HANDOVER_RESUME : HANDOVER_BREAK;
}

/// Returns the step that is due now.
///
/// @param handover  handover of the generation
/// @param now       current time
/// @return the step; after HANDOVER_WAIT, call again at handover_wake_time()
enum handover_step
handover_next_step(struct handover *handover, usec_t now)
{
	if (handover->cut_at != 0)
		return step_after_cut(handover, now);
	switch (handover->state) {
	case HANDOVER_NOTICED:
		if (handover->n_no_room_failures >=
		    handover->options.max_no_room_failures)
			handover->wake_at = USEC_NEVER;
		else if (now >= handover->wake_at)
			return HANDOVER_COPY;
		return HANDOVER_WAIT;
	case HANDOVER_COPIED:
		if (now >= handover->stop_at)
			return HANDOVER_STOP;
		if (now >= handover->refresh_at)
			return HANDOVER_REFRESH;
		handover->wake_at =
		    MIN(handover->refresh_at, handover->stop_at);
		return HANDOVER_WAIT;
	default:
		handover->wake_at = USEC_NEVER;
		return HANDOVER_WAIT;
	}
}

/// @param handover  handover of the generation
/// @return when to call handover_next_step() again; USEC_NEVER: only after the
///         next call that notes an event
usec_t
handover_wake_time(const struct handover *handover)
{
	return handover->wake_at;
}

/// Notes that a copy was requested from the upstream that runs the generation.
///
/// @param handover  handover of the generation
/// @param step      HANDOVER_COPY, HANDOVER_REFRESH or HANDOVER_STOP
void
handover_copy_requested(struct handover *handover, enum handover_step step)
{
	handover->wake_at = USEC_NEVER;
	switch (step) {
	case HANDOVER_REFRESH:
		handover->state = HANDOVER_REFRESHING;
		handover->refresh_at = USEC_NEVER;
		break;
	case HANDOVER_STOP:
		handover->state = HANDOVER_STOPPING;
		handover->refresh_at = USEC_NEVER;
		handover->stop_at = USEC_NEVER;
		break;
	default:
		/* A copy at a former target can't be used any more. */
		handover->has_copy = false;
		handover->state = HANDOVER_COPYING;
		break;
	}
}

/// Notes that no target was found for the copy. The search is due again after
/// `retry_delay`.
///
/// @param handover  handover of the generation
/// @param now       current time
void
handover_target_unavailable(struct handover *handover, usec_t now)
{
	handover->wake_at = now + handover->options.retry_delay;
}

/// Notes that the target that has the copy may get no requests any more.
/// Another target is searched at once. Until one is found, the copy is kept:
/// the target may still take the generation if the source is gone before.
///
/// @param handover  handover of the generation; a copy is complete, and no
///                  other is in progress
/// @param now       current time
void
handover_target_lost(struct handover *handover, usec_t now)
{
	handover->state = HANDOVER_NOTICED;
	handover->n_no_room_failures = 0;
	handover->wake_at = now;
}

/// @param handover  handover of the generation
/// @param now       current time
/// @return whether the generation runs for long enough for a copy to a new
///         target
bool
handover_has_recopy_time(const struct handover *handover, usec_t now)
{
	return handover->cut_at == 0 &&
	    now + handover->options.recopy_span < handover->stop_at;
}

/// Defers the resumption of the generation, because its target wants no
/// requests for a while.
///
/// @param handover  handover of the generation
/// @param now       current time
/// @param until     when the target takes requests again
/// @return false if that is more than `resume_span` from the first try
bool
handover_defer_resume(struct handover *handover, usec_t now, usec_t until)
{
	if (handover->resume_until == 0) {
		handover->resume_until = now + handover->options.resume_span;
		handover->resume_delay = handover->options.retry_delay;
	}
	if (until > handover->resume_until)
		return false;
	handover->resume_at = until;
	return true;
}

/// Notes that a copy is complete.
///
/// @param handover  handover of the generation
/// @param now       current time
/// @param handle    names the copy; the string is copied
void
handover_copy_completed(
    struct handover *handover, usec_t now, const char *handle)
{
	bool was_stopping = handover->state == HANDOVER_STOPPING;

	g_strlcpy(handover->handle, handle, sizeof(handover->handle));
	handover->has_copy = true;
	handover->state = HANDOVER_COPIED;
	handover->wake_at = MIN(handover->refresh_at, handover->stop_at);
	if (was_stopping && handover->cut_at == 0)
		handover->cut_at = now; /* the source has ended the stream */
}

/// Notes that a copy failed.
///
/// @param handover  handover of the generation
/// @param now       current time
/// @param failure   why the copy failed; only a HANDOVER_NO_ROOM counts towards
///                  `max_no_room_failures`
void
handover_copy_failed(
    struct handover *handover, usec_t now, enum handover_copy_failure failure)
{
	handover->is_complete = handover->may_be_complete &&
	    handover->state == HANDOVER_STOPPING &&
	    failure == HANDOVER_NOT_RUNNING;
	if (handover->has_copy) {
		/* The earlier copy can still be used. */
		handover->state = HANDOVER_COPIED;
		handover->wake_at =
		    MIN(handover->refresh_at, handover->stop_at);
		return;
	}
	if (failure == HANDOVER_NO_ROOM)
		handover->n_no_room_failures++;
	handover->state = HANDOVER_NOTICED;
	handover->wake_at = now + handover->options.retry_delay;
}

/// Notes that the stream of the generation's events was cut before its end.
///
/// @param handover  handover of the generation
/// @param now       current time
void
handover_stream_cut(struct handover *handover, usec_t now)
{
	handover->cut_at = now;
}

/// Notes that the stream of the generation's events has ended with its
/// connection, between two events.
///
/// @param handover  handover of the generation
/// @param now       current time
/// @return false if the stream is complete; true if the stop of the generation
///         may have ended it, so that handover_next_step() decides
bool
handover_stream_ended(struct handover *handover, usec_t now)
{
	if (handover->state != HANDOVER_STOPPING)
		return false;
	handover->may_be_complete = true;
	handover->cut_at = now;
	return true;
}

/// Notes that the target didn't take the request that was to resume the
/// generation, so that the copy is unused. It is to be sent there again after
/// `retry_delay`, which doubles each time.
///
/// @param handover  handover of the generation
/// @param now       current time
/// @return false once `resume_span` has passed since this was first noted
bool
handover_resume_failed(struct handover *handover, usec_t now)
{
	if (handover->resume_until == 0) {
		handover->resume_until = now + handover->options.resume_span;
		handover->resume_delay = handover->options.retry_delay;
	}
	if (now >= handover->resume_until)
		return false;
	handover->resume_at = now + handover->resume_delay;
	handover->resume_delay *= 2;
	return true;
}

/// @param handover  handover of the generation
/// @return whether a target holds a complete copy
bool
handover_has_copy(const struct handover *handover)
{
	return handover->has_copy;
}
