/*
 * Relay of the tokens that an upstream generates for one request. Passes each
 * token of one generation (one run of the model) to the caller once and in
 * order, and never mixes tokens of two generations.
 */
#include "godwitvale/core/relay.h"

#include <string.h>

#include <glib.h>

/// Records that the stream made progress: resets the count of resumes and sets
/// the deadline for the next progress.
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
/// gap. Resumes a known generation until resume_limit is reached. Otherwise
/// restarts if no bytes were sent to the caller, and fails if some were.
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

/// Initialises the relay of the response to a new request.
///
/// @param relay    filled in
/// @param options  settings, copied
void
relay_init(struct relay *relay, const struct relay_options *options)
{
	memset(relay, 0, sizeof(*relay));
	relay->resume_limit = options->resume_limit;
	relay->progress_timeout = options->progress_timeout;
	relay->progress_deadline = options->now + options->progress_timeout;
}

/// Handles a token event of an upstream's stream. The first event determines
/// which generation is relayed.
///
/// @param relay          updated
/// @param now            current time
/// @param generation_id  id of the generation that the token belongs to, not 0
/// @param offset         position of the token in the generation, from 0
/// @return RELAY_PASS for the next token; RELAY_DROP for a token that is
///         repeated, belongs to another generation, or follows a gap while a
///         resume is pending; for the first token after a gap RELAY_RESUME, or
///         RELAY_RESTART or RELAY_FAIL if resume_limit is reached
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
/// @param relay          updated
/// @param now            current time
/// @param generation_id  id of the generation that has ended
/// @param n_tokens       number of tokens in the whole generation
/// @return RELAY_DONE if all tokens were passed on; RELAY_DROP for an event
/// that
///         is repeated, belongs to another generation, or shows missing tokens
///         while a resume is pending; otherwise, if tokens are missing,
///         RELAY_RESUME, or RELAY_RESTART or RELAY_FAIL if resume_limit is
///         reached
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

/// Handles the loss of the connection to the upstream, or another failure that
/// ends the stream.
///
/// @param relay  updated
/// @param now    current time
/// @return RELAY_DROP if the end event has been accepted; else RELAY_RESUME,
///         RELAY_RESTART or RELAY_FAIL
enum relay_action
relay_handle_stream_loss(struct relay *relay, usec_t now)
{
	if (relay->done)
		return RELAY_DROP;
	return choose_recovery(relay, now);
}

/// Checks whether the deadline for progress of the stream has passed.
///
/// @param relay  updated if the deadline has passed
/// @param now    current time
/// @return RELAY_DROP if the deadline has not passed or the end event has been
///         accepted; else RELAY_RESUME, RELAY_RESTART or RELAY_FAIL
enum relay_action
relay_check_timeout(struct relay *relay, usec_t now)
{
	if (relay->done || now < relay->progress_deadline)
		return RELAY_DROP;
	return choose_recovery(relay, now);
}

/// Handles the upstream's response that the generation cannot be resumed
/// because the upstream no longer has it.
///
/// @param relay  updated
/// @param now    current time
/// @return RELAY_DROP if the end event has been accepted; RELAY_RESTART if no
///         bytes were sent to the caller; else RELAY_FAIL
enum relay_action
relay_handle_resume_refusal(struct relay *relay, usec_t now)
{
	if (relay->done)
		return RELAY_DROP;
	relay->progress_deadline = now + relay->progress_timeout;
	return relay->delivered ? RELAY_FAIL : RELAY_RESTART;
}

/// Resets the relay before the caller's request is sent again and starts
/// another generation.
///
/// @param relay  reset; no bytes may have been sent to the caller yet
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
/// no other generation may replace this generation.
///
/// @param relay  updated
void
relay_mark_delivered(struct relay *relay)
{
	relay->delivered = true;
}
