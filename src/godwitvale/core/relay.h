/*
 * Relays the tokens of one generation to the caller, each once and in order,
 * and decides whether to resume, restart or fail. It does no I/O and reads no
 * clock.
 */
#ifndef GODWITVALE_CORE_RELAY_H
#define GODWITVALE_CORE_RELAY_H

#include "godwitvale/core/relay_defs.h"

/// State of the delivery of one generation; embedded by value.
struct relay {
	uint64_t generation_id; /// 0 until the first event arrives
	uint32_t next_offset;   /// offset of the next token to pass on
	bool delivered;         /// bytes were sent to the caller
	bool done;              /// the end event was accepted
	bool resuming;          /// RELAY_RESUME returned, no progress since
	unsigned n_resumes;     /// resumes since the last progress
	unsigned resume_limit;
	usec_t progress_timeout;
	usec_t progress_deadline; /// for the next progress
	uint64_t n_dropped; /// events repeated, late or of another generation
};

void relay_init(struct relay *relay, const struct relay_options *options);
enum relay_action relay_handle_token(
    struct relay *relay, usec_t now, uint64_t generation_id, uint32_t offset);
enum relay_action relay_handle_end_event(
    struct relay *relay, usec_t now, uint64_t generation_id, uint32_t n_tokens);
enum relay_action relay_handle_stream_loss(struct relay *relay, usec_t now);
enum relay_action relay_check_timeout(struct relay *relay, usec_t now);
enum relay_action relay_handle_resume_refusal(struct relay *relay, usec_t now);
void relay_restart(struct relay *relay, usec_t now);
void relay_mark_delivered(struct relay *relay);

#endif
