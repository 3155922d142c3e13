/*
 * The relay part: passes each token of one generation on once and in order,
 * and decides on resuming, starting anew or failing. Pure.
 */
#ifndef GODWITVALE_CORE_RELAY_H
#define GODWITVALE_CORE_RELAY_H

#include "godwitvale/core/relay_defs.h"

/// State of one generation's delivery; embedded by value.
struct relay {
	uint64_t generation;  /// 0 until the first event names one
	uint32_t next_offset; /// the only offset to be passed on next
	bool delivered;       /// a byte has left for the caller
	bool done;
	bool resuming;    /// RELAY_RESUME was answered, not yet met
	unsigned resumes; /// since the last progress
	unsigned resume_limit;
	usec_t progress_span;
	usec_t progress_deadline;
	uint64_t dropped; /// repeated, late or crossed events
};

void relay_init(struct relay *relay, const struct relay_options *options);
enum relay_step relay_token(
    struct relay *relay, usec_t now, uint64_t generation, uint32_t offset);
enum relay_step relay_end(
    struct relay *relay, usec_t now, uint64_t generation, uint32_t n_tokens);
enum relay_step relay_lost(struct relay *relay, usec_t now);
enum relay_step relay_tick(struct relay *relay, usec_t now);
enum relay_step relay_resume_refused(struct relay *relay, usec_t now);
void relay_restart(struct relay *relay, usec_t now);
void relay_mark_delivered(struct relay *relay);

#endif
