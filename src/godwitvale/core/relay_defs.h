/* Types of the relay of one generation's tokens. */
#ifndef GODWITVALE_CORE_RELAY_DEFS_H
#define GODWITVALE_CORE_RELAY_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// What to do after an event, or the loss, of an upstream's stream.
enum relay_action {
	RELAY_PASS = 1, /// pass the token on to the caller
	RELAY_DROP,     /// discard the event, or nothing to do
	RELAY_RESUME,   /// tokens are missing: resume from `next_offset`
	RELAY_DONE,     /// the generation is complete
	RELAY_RESTART,  /// lost before any delivery: generate again
	RELAY_FAIL,     /// can't be completed: report an explicit failure
};

/// Settings of a relay.
struct relay_options {
	usec_t now;              /// time of creation
	usec_t progress_timeout; /// a longer silence causes a resume
	unsigned resume_limit;   /// resumes without progress before giving up
};

#endif
