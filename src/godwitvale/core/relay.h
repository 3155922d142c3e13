/*
 * Relay of the tokens of one generation (one run of a model for a request) from
 * an upstream to the caller, each once and in order. After a failure of the
 * stream, the relay decides whether to resume, restart or fail. It performs no
 * I/O and reads no clock.
 */
#ifndef GODWITVALE_CORE_RELAY_H
#define GODWITVALE_CORE_RELAY_H

#include "godwitvale/core/relay_defs.h"

/// State of the relay of one generation; embedded by value.
struct relay {
	/// id of the relayed generation; 0 before the first event
	uint64_t generation_id;
	uint32_t next_offset; /// offset of the next token to pass on
	bool delivered;       /// bytes were sent to the caller
	bool done;            /// the end event was accepted
	bool resuming;        /// a resume was requested, no progress since then
	unsigned n_resumes;   /// resumes requested since the last progress
	unsigned resume_limit;    /// maximum value of n_resumes
	usec_t progress_timeout;  /// longest time without progress
	usec_t progress_deadline; /// latest time of the next progress
	/// number of discarded events: repeated, late or of another generation
	uint64_t n_dropped;
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
