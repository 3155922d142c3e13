/* Handover of a running generation: a state machine. */
#include "godwitvale/core/handover.h"

#include <glib.h>

/// @param step  of a handover
/// @return one word
const char *
handover_step_name(enum handover_step step)
{
	static const char *const names[] = {
	    [HANDOVER_WAIT] = "wait",
	    [HANDOVER_COPY] = "copy",
	    [HANDOVER_STOP] = "stop",
	    [HANDOVER_RESUME] = "resume",
	    [HANDOVER_RESUME_SOURCE] = "resume-source",
	    [HANDOVER_BREAK] = "break",
	};

	return names[step];
}

/// Makes the handover of a generation whose upstream stays, for now.
///
/// @param handover  filled in
/// @param options   copied
void
handover_init(struct handover *handover, const struct handover_options *options)
{
	*handover = (struct handover){.options = *options};
	handover->wake_at = USEC_NEVER;
}

/// Starts anew: the generation runs at another upstream now.
///
/// @param handover  the handover
void
handover_reset(struct handover *handover)
{
	struct handover_options options = handover->options;

	handover_init(handover, &options);
}

/// Takes it that the generation's upstream leaves.
///
/// @param handover    the handover
/// @param now         time
/// @param changed_at  when it began to leave, as far as is known
void
handover_notice(struct handover *handover, usec_t now, usec_t changed_at)
{
	if (handover->state != HANDOVER_IDLE)
		return;
	handover->state = HANDOVER_NOTICED;
	handover->stop_at = changed_at + handover->options.stop_delay;
	handover->wake_at = now;
}

/// What follows a cut stream.
static enum handover_step
step_after_cut(struct handover *handover, usec_t now)
{
	usec_t answer_deadline =
	    handover->cut_at + handover->options.answer_span;

	switch (handover->state) {
	case HANDOVER_COPIED:
	case HANDOVER_STOPPED:
		return HANDOVER_RESUME;
	case HANDOVER_REFUSED_LAST:
		return HANDOVER_RESUME_SOURCE;
	case HANDOVER_COPYING:
	case HANDOVER_STOPPING:
		handover->wake_at = answer_deadline;
		if (now < answer_deadline)
			return HANDOVER_WAIT;
		return handover->has_copy ? HANDOVER_RESUME : HANDOVER_BREAK;
	default:
		return HANDOVER_BREAK;
	}
}

/// Says what is to be done now.
///
/// @param handover  the handover
/// @param now       time
/// @return the step; HANDOVER_WAIT: ask again at handover_wake()
enum handover_step
handover_next(struct handover *handover, usec_t now)
{
	if (handover->cut_at != 0)
		return step_after_cut(handover, now);
	switch (handover->state) {
	case HANDOVER_NOTICED:
		if (handover->tries >= handover->options.max_tries)
			handover->wake_at = USEC_NEVER;
		else if (now >= handover->wake_at)
			return HANDOVER_COPY;
		return HANDOVER_WAIT;
	case HANDOVER_COPIED:
		if (now >= handover->stop_at)
			return HANDOVER_STOP;
		handover->wake_at = handover->stop_at;
		return HANDOVER_WAIT;
	case HANDOVER_STOPPED:
		return now >= handover->wake_at ? HANDOVER_RESUME
						: HANDOVER_WAIT;
	case HANDOVER_REFUSED_LAST:
		return now >= handover->wake_at ? HANDOVER_RESUME_SOURCE
						: HANDOVER_WAIT;
	default:
		handover->wake_at = USEC_NEVER;
		return HANDOVER_WAIT;
	}
}

/// @param handover  the handover
/// @return when to ask for the next step, USEC_NEVER: after an input only
usec_t
handover_wake(const struct handover *handover)
{
	return handover->wake_at;
}

/// Takes it that a copy was asked for.
///
/// @param handover  the handover
/// @param stop      it is the last one, which stops the run
void
handover_began(struct handover *handover, bool stop)
{
	handover->state = stop ? HANDOVER_STOPPING : HANDOVER_COPYING;
	handover->wake_at = USEC_NEVER;
}

/// Takes it that there is no target now.
///
/// @param handover  the handover
/// @param now       time
void
handover_no_target(struct handover *handover, usec_t now)
{
	handover->wake_at = now + handover->options.retry_span;
}

/// Takes it that a copy is complete.
///
/// @param handover  the handover
/// @param now       time
/// @param handle    its name
void
handover_made(struct handover *handover, usec_t now, const char *handle)
{
	bool stopped = handover->state == HANDOVER_STOPPING;

	g_strlcpy(handover->handle, handle, sizeof(handover->handle));
	handover->has_copy = true;
	handover->state = stopped ? HANDOVER_STOPPED : HANDOVER_COPIED;
	handover->wake_at =
	    stopped ? now + handover->options.close_span : handover->stop_at;
}

/// Takes it that a copy was not made.
///
/// @param handover  the handover
/// @param now       time
/// @param refusal   why
/// @param handle    its name at the source, or NULL
void
handover_refused(struct handover *handover, usec_t now,
    enum handover_refusal refusal, const char *handle)
{
	bool was_stopping = handover->state == HANDOVER_STOPPING;

	if (was_stopping && refusal == HANDOVER_NO_ROOM && handle != NULL) {
		g_strlcpy(handover->handle, handle, sizeof(handover->handle));
		handover->state = HANDOVER_REFUSED_LAST;
		handover->wake_at = now + handover->options.close_span;
		return;
	}
	if (was_stopping && handover->has_copy) {
		/* Ended, or about to be cut: the copy stands either way. */
		handover->state = HANDOVER_COPIED;
		handover->stop_at = USEC_NEVER;
		handover->wake_at = USEC_NEVER;
		return;
	}
	if (refusal == HANDOVER_NO_ROOM)
		handover->tries++;
	handover->state = HANDOVER_NOTICED;
	handover->wake_at = now + handover->options.retry_span;
}

/// Takes it that the stream was cut before its end.
///
/// @param handover  the handover
/// @param now       time
void
handover_cut(struct handover *handover, usec_t now)
{
	handover->cut_at = now;
}

/// @param handover  the handover
/// @return whether a target keeps memory for it
bool
handover_holds_copy(const struct handover *handover)
{
	return handover->has_copy;
}
