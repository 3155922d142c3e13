/*
 * Delivery of one generation's tokens: each once and in order, never mixed
 * with tokens of another generation.
 */
#include "godwitvale/core/relay.h"

#include <string.h>

#include <glib.h>

/// Records progress of the stream and sets the deadline for the next one.
///
/// @param relay  updated
/// @param now    current time
static void
record_progress(struct relay *relay, usec_t now)
{
	relay->resuming = false;
	relay->n_resumes = 0;
	relay->progress_deadline = now + relay->progress_timeout;
}

/// Decides how to recover from a stream that ended early, fell silent or has a
/// gap.
///
/// @param relay  updated
/// @param now    current time
/// @return RELAY_RESUME, RELAY_RESTART or RELAY_FAIL
static enum relay_action
choose_recovery(struct relay *relay, usec_t now)
{
	bool has_generation = relay->generation_id != 0;

	relay->progress_deadline = now + relay->progress_timeout;
	if (has_generation && relay->n_resumes < relay->resume_limit) {
		relay->n_resumes++;
		relay->resuming = true;
		return RELAY_RESUME;
	}
	return relay->delivered ? RELAY_FAIL : RELAY_RESTART;
}

/// Initialises the delivery of a new request.
///
/// @param relay    filled in
/// @param options  spans in microseconds
void
relay_init(struct relay *relay, const struct relay_options *options)
{
	memset(relay, 0, sizeof(*relay));
	relay->resume_limit = options->resume_limit;
	relay->progress_timeout = options->progress_timeout;
	relay->progress_deadline = options->now + options->progress_timeout;
}

/// Handles a token event of an upstream.
///
/// @param relay       updated
/// @param now         current time
/// @param generation_id  the event's generation, never 0
/// @param offset      position of the token in the generation, from 0
/// @return RELAY_PASS, RELAY_DROP, or RELAY_RESUME on a gap
enum relay_action
relay_handle_token(
    struct relay *relay, usec_t now, uint64_t generation_id, uint32_t offset)
{
	g_assert(generation_id != 0);
	if (relay->generation_id == 0)
		relay->generation_id = generation_id;
	if (relay->done || generation_id != relay->generation_id ||
	    offset < relay->next_offset) {
		relay->n_dropped++;
		return RELAY_DROP;
	}
	if (offset > relay->next_offset) {
		if (relay->resuming)
			return RELAY_DROP;
		return choose_recovery(relay, now);
	}
	relay->next_offset++;
	record_progress(relay, now);
	return RELAY_PASS;
}

/// Handles the end event of an upstream's stream.
///
/// @param relay       updated
/// @param now         current time
/// @param generation_id  the event's generation
/// @param n_tokens    number of tokens in the whole generation
/// @return RELAY_DONE, RELAY_DROP, or RELAY_RESUME where tokens are missing
enum relay_action
relay_handle_end_event(
    struct relay *relay, usec_t now, uint64_t generation_id, uint32_t n_tokens)
{
	if (relay->generation_id == 0)
		relay->generation_id = generation_id;
	if (relay->done || generation_id != relay->generation_id) {
		relay->n_dropped++;
		return RELAY_DROP;
	}
	if (n_tokens != relay->next_offset) {
		if (relay->resuming)
			return RELAY_DROP;
		return choose_recovery(relay, now);
	}
	relay->done = true;
	relay->progress_deadline = USEC_NEVER;
	return RELAY_DONE;
}

/// Handles the loss of the stream before its end event.
///
/// @param relay  updated
/// @param now    current time
/// @return RELAY_RESUME, RELAY_RESTART, RELAY_FAIL, or RELAY_DROP when done
enum relay_action
relay_handle_stream_loss(struct relay *relay, usec_t now)
{
	if (relay->done)
		return RELAY_DROP;
	return choose_recovery(relay, now);
}

/// Checks whether the stream made no progress before its deadline.
///
/// @param relay  updated when the deadline has passed
/// @param now    current time
/// @return RELAY_DROP when nothing is to be done, else as
/// relay_handle_stream_loss()
enum relay_action
relay_check_timeout(struct relay *relay, usec_t now)
{
	if (relay->done || now < relay->progress_deadline)
		return RELAY_DROP;
	return choose_recovery(relay, now);
}

/// Handles an upstream's answer that it no longer has the generation.
///
/// @param relay  updated
/// @param now    current time
/// @return RELAY_RESTART while nothing was delivered, else RELAY_FAIL;
///         RELAY_DROP when done
enum relay_action
relay_handle_resume_refusal(struct relay *relay, usec_t now)
{
	if (relay->done)
		return RELAY_DROP;
	relay->progress_deadline = now + relay->progress_timeout;
	return relay->delivered ? RELAY_FAIL : RELAY_RESTART;
}

/// Resets the delivery before another generation is requested.
///
/// @param relay  reset; nothing may have been sent to the caller yet
/// @param now    current time
void
relay_restart(struct relay *relay, usec_t now)
{
	g_assert(!relay->delivered);
	relay->generation_id = 0;
	relay->next_offset = 0;
	record_progress(relay, now);
}

/// Records that bytes of the generation were sent to the caller. From then on
/// no other generation may take its place.
///
/// @param relay  updated
void
relay_mark_delivered(struct relay *relay)
{
	relay->delivered = true;
}
