/*
 * Types of the relay, which passes the tokens of one generation (one run of a
 * model for a request) from an upstream to the caller.
 */
#ifndef GODWITVALE_CORE_RELAY_DEFS_H
#define GODWITVALE_CORE_RELAY_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// What the owner of the relay has to do after an event or a failure of an
/// upstream's stream.
enum relay_action {
	RELAY_PASS = 1, /// pass the token on to the caller
	RELAY_DROP,     /// discard the event if there is one; do nothing else
	RELAY_RESUME, /// resume the generation from the token at `next_offset`
	RELAY_DONE,   /// the generation is complete: end the response
	/// the generation is lost, but no bytes of it were sent to the caller:
	/// start another generation
	RELAY_RESTART,
	/// the response cannot be completed: report the failure to the caller
	RELAY_FAIL,
};

/// Settings of a relay.
struct relay_options {
	usec_t now;              /// current time when the relay is initialised
	usec_t progress_timeout; /// longest time without progress
	unsigned resume_limit;   /// maximum number of resumes without progress
};

#endif
