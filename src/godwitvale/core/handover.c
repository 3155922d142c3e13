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
	    [HANDOVER_REFRESH] = "refresh",
	    [HANDOVER_STOP] = "stop",
	    [HANDOVER_RESUME] = "resume",
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
	handover->stop_at = USEC_NEVER;
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

/// Takes it that the generation's upstream leaves. May be told again once
/// more is known.
///
/// @param handover   the handover
/// @param now        time
/// @param leaves_at  when the upstream will be gone; 0: not known
/// @param chance     from 0 to 1, for the spread
void
handover_notice(
    struct handover *handover, usec_t now, usec_t leaves_at, double chance)
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
	    now + (usec_t)(chance * (double)handover->options.spread_span);
}

/// What follows a cut stream. A copy that stands is used at once: one under
/// way won't be finished by an upstream that is gone, unless the run was
/// stopped for it.
static enum handover_step
step_after_cut(struct handover *handover, usec_t now)
{
	usec_t answer_deadline =
	    handover->cut_at + handover->options.answer_span;
	bool is_awaited = handover->state == HANDOVER_STOPPING ||
	    (handover->state == HANDOVER_COPYING && !handover->has_copy);

	if (is_awaited && now < answer_deadline) {
		handover->wake_at = answer_deadline;
		return HANDOVER_WAIT;
	}
	return handover->has_copy ? HANDOVER_RESUME : HANDOVER_BREAK;
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
/// @param step      HANDOVER_COPY, HANDOVER_REFRESH or HANDOVER_STOP
void
handover_began(struct handover *handover, enum handover_step step)
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
		handover->state = HANDOVER_COPYING;
		break;
	}
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
	bool was_stopping = handover->state == HANDOVER_STOPPING;

	g_strlcpy(handover->handle, handle, sizeof(handover->handle));
	handover->has_copy = true;
	handover->state = HANDOVER_COPIED;
	handover->wake_at = MIN(handover->refresh_at, handover->stop_at);
	if (was_stopping && handover->cut_at == 0)
		handover->cut_at = now; /* its stream ends by itself */
}

/// Takes it that a copy was not made.
///
/// @param handover  the handover
/// @param now       time
/// @param refusal   why
void
handover_refused(
    struct handover *handover, usec_t now, enum handover_refusal refusal)
{
	if (handover->has_copy) {
		/* The first copy stands. */
		handover->state = HANDOVER_COPIED;
		handover->wake_at =
		    MIN(handover->refresh_at, handover->stop_at);
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
