/* Types of the relay part: one generation's tokens, once and in order. */
#ifndef GODWITVALE_CORE_RELAY_DEFS_H
#define GODWITVALE_CORE_RELAY_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// What to do with one event of an upstream's stream.
enum relay_step {
	RELAY_PASS = 1, /// deliver it
	RELAY_DROP,     /// already delivered, or of another generation
	RELAY_RESUME,   /// tokens are missing: resume from relay_next_offset
	RELAY_DONE,     /// the generation is complete
	RELAY_RESTART,  /// lost before the first token left: generate anew
	RELAY_FAIL,     /// can't be completed: end with an explicit failure
};

/// How a relay is built.
struct relay_options {
	usec_t now;
	usec_t progress_span;  /// silence longer than this means a resume
	unsigned resume_limit; /// resumes without progress before giving up
};

#endif
