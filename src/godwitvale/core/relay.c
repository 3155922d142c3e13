/* Delivery of one generation's tokens: once, in order, never spliced. */
#include "godwitvale/core/relay.h"

#include <string.h>

#include <glib.h>

/// Notes that the stream moved, and when it must move again.
///
/// @param relay  the delivery
/// @param now    current time
static void
note_progress(struct relay *relay, usec_t now)
{
	relay->resuming = false;
	relay->resumes = 0;
	relay->progress_deadline = now + relay->progress_span;
}

/// Decides what follows on a stream that broke off or has a gap.
///
/// @param relay  the delivery
/// @param now    current time
/// @return RELAY_RESUME, RELAY_RESTART or RELAY_FAIL
static enum relay_step
recover(struct relay *relay, usec_t now)
{
	bool known = relay->generation != 0;

	relay->progress_deadline = now + relay->progress_span;
	if (known && relay->resumes < relay->resume_limit) {
		relay->resumes++;
		relay->resuming = true;
		return RELAY_RESUME;
	}
	return relay->delivered ? RELAY_FAIL : RELAY_RESTART;
}

/// Starts the delivery of a new request.
///
/// @param relay    filled in
/// @param options  spans in microseconds
void
relay_init(struct relay *relay, const struct relay_options *options)
{
	memset(relay, 0, sizeof(*relay));
	relay->resume_limit = options->resume_limit;
	relay->progress_span = options->progress_span;
	relay->progress_deadline = options->now + options->progress_span;
}

/// Takes one token event of an upstream.
///
/// @param relay       the delivery
/// @param now         current time
/// @param generation  the event's generation, never 0
/// @param offset      the token's place in it, from 0
/// @return RELAY_PASS, RELAY_DROP, or RELAY_RESUME on a gap
enum relay_step
relay_token(
    struct relay *relay, usec_t now, uint64_t generation, uint32_t offset)
{
	g_assert(generation != 0);
	if (relay->generation == 0)
		relay->generation = generation;
	if (relay->done || generation != relay->generation ||
	    offset < relay->next_offset) {
		relay->dropped++;
		return RELAY_DROP;
	}
	if (offset > relay->next_offset) {
		if (relay->resuming)
			return RELAY_DROP;
		return recover(relay, now);
	}
	relay->next_offset++;
	note_progress(relay, now);
	return RELAY_PASS;
}

/// Takes the end event of an upstream's stream.
///
/// @param relay       the delivery
/// @param now         current time
/// @param generation  the event's generation
/// @param n_tokens    tokens in the whole generation
/// @return RELAY_DONE, RELAY_DROP, or RELAY_RESUME where tokens are missing
enum relay_step
relay_end(
    struct relay *relay, usec_t now, uint64_t generation, uint32_t n_tokens)
{
	if (relay->generation == 0)
		relay->generation = generation;
	if (relay->done || generation != relay->generation) {
		relay->dropped++;
		return RELAY_DROP;
	}
	if (n_tokens != relay->next_offset) {
		if (relay->resuming)
			return RELAY_DROP;
		return recover(relay, now);
	}
	relay->done = true;
	relay->progress_deadline = USEC_NEVER;
	return RELAY_DONE;
}

/// Takes the loss of the stream before its end event.
///
/// @param relay  the delivery
/// @param now    current time
/// @return RELAY_RESUME, RELAY_RESTART, RELAY_FAIL, or RELAY_DROP when done
enum relay_step
relay_lost(struct relay *relay, usec_t now)
{
	if (relay->done)
		return RELAY_DROP;
	return recover(relay, now);
}

/// Looks whether the stream has gone silent.
///
/// @param relay  the delivery
/// @param now    current time
/// @return RELAY_DROP when nothing is to be done, else as relay_lost()
enum relay_step
relay_tick(struct relay *relay, usec_t now)
{
	if (relay->done || now < relay->progress_deadline)
		return RELAY_DROP;
	return recover(relay, now);
}

/// Takes an upstream's answer that it does not have the generation any more.
///
/// @param relay  the delivery
/// @param now    current time
/// @return RELAY_RESTART while nothing was delivered, else RELAY_FAIL
enum relay_step
relay_resume_refused(struct relay *relay, usec_t now)
{
	if (relay->done)
		return RELAY_DROP;
	relay->progress_deadline = now + relay->progress_span;
	return relay->delivered ? RELAY_FAIL : RELAY_RESTART;
}

/// Forgets the generation before another one is asked for.
///
/// @param relay  a delivery of which nothing has left yet
/// @param now    current time
void
relay_restart(struct relay *relay, usec_t now)
{
	g_assert(!relay->delivered);
	relay->generation = 0;
	relay->next_offset = 0;
	note_progress(relay, now);
}

/// Notes that bytes of the generation have left for the caller.
///
/// @param relay  the delivery
void
relay_mark_delivered(struct relay *relay)
{
	relay->delivered = true;
}
