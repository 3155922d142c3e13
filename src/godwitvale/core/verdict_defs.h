/* The verdict type: what is known of whether a request has run. */
#ifndef GODWITVALE_CORE_VERDICT_DEFS_H
#define GODWITVALE_CORE_VERDICT_DEFS_H

/// Ordered: a verdict is only ever raised.
enum verdict {
	VERDICT_NOT_RUN = 0,      /// no byte of it left for an upstream
	VERDICT_MAY_HAVE_RUN = 1, /// an upstream may have read it
	VERDICT_RAN = 2,          /// an upstream answered it
};

#endif
