/* Refusals: reasons why this instance ends a request with an error. */
#ifndef GODWITVALE_SERVE_REFUSAL_H
#define GODWITVALE_SERVE_REFUSAL_H

#include "godwitvale/core/router_defs.h"
#include "godwitvale/ops/metrics.h"

enum refusal {
	REFUSAL_OVERLOADED = 0,
	REFUSAL_QUEUE_FULL,
	REFUSAL_NO_UPSTREAM,
	REFUSAL_RETRIES_EXHAUSTED,
	REFUSAL_EXCEEDS_ENGINES,
	REFUSAL_NO_SUCH_PATH,
	REFUSAL_WRONG_METHOD,
	REFUSAL_BAD_REQUEST,
	REFUSAL_BODY_TOO_LARGE,
	REFUSAL_TOO_MANY_REQUESTS,
	REFUSAL_NO_BUNDLE,
	REFUSAL_UNKNOWN_ORGANISATION,
	REFUSAL_UNKNOWN_MODEL,
	REFUSAL_UNKNOWN_SERVICE,
	REFUSAL_NO_REQUEST_ID,
	REFUSAL_LEAVING,
	REFUSAL_ISOLATED,
	REFUSAL_REPEATED,
	REFUSAL_NO_GRANT,
	REFUSAL_ENGINE_FAILED,
	REFUSAL_ENGINE_REFUSED,
	REFUSAL_GENERATION_LOST,
	REFUSAL_SERVICE_FAILED,
	REFUSAL_CALLER_DISCONNECTED,
};

/// Properties of a refusal.
struct refusal_info {
	const char *type;     /// error type for programs
	const char *message;  /// default error message for people
	unsigned http_status; /// HTTP status of the answer
	bool retryable;       /// a later retry may succeed; sends Retry-After
	enum metric metric;   /// counter of refusals with this cause
};

const struct refusal_info *refusal_get_info(enum refusal refusal);
enum refusal refusal_from_router(enum router_refusal refusal);

#endif
