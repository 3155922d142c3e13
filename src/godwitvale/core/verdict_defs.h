/* Defines the verdict type: whether an upstream has executed a request. */
#ifndef GODWITVALE_CORE_VERDICT_DEFS_H
#define GODWITVALE_CORE_VERDICT_DEFS_H

/// Whether an upstream has executed a request. The values ascend, and the
/// verdict on a request never decreases.
enum verdict {
	VERDICT_NOT_RUN = 0,      /// no byte was sent to an upstream
	VERDICT_MAY_HAVE_RUN = 1, /// an upstream may have read the request
	VERDICT_RAN = 2,          /// an upstream answered the request
};

#endif
