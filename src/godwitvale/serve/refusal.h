/* Why a request gets no answer of its upstream: typed, with words. */
#ifndef GODWITVALE_SERVE_REFUSAL_H
#define GODWITVALE_SERVE_REFUSAL_H

#include "godwitvale/core/router_defs.h"
#include "godwitvale/ops/metrics.h"

enum refusal {
	REFUSAL_OVERLOADED = 0,
	REFUSAL_QUEUE_FULL,
	REFUSAL_NO_UPSTREAM,
	REFUSAL_RETRIES,
	REFUSAL_EXCEEDS_ENGINES,
	REFUSAL_NO_SUCH_PATH,
	REFUSAL_METHOD,
	REFUSAL_BAD_REQUEST,
	REFUSAL_BODY_TOO_LARGE,
	REFUSAL_TOO_MANY,
	REFUSAL_NO_BUNDLE,
	REFUSAL_ORGANISATION,
	REFUSAL_NO_MODEL,
	REFUSAL_NO_SERVICE,
	REFUSAL_NO_REQUEST_ID,
	REFUSAL_LEAVING,
	REFUSAL_ISOLATED,
	REFUSAL_REPEATED,
	REFUSAL_NO_GRANT,
	REFUSAL_ENGINE_FAILED,
	REFUSAL_ENGINE_REFUSED,
	REFUSAL_GENERATION_LOST,
	REFUSAL_SERVICE_FAILED,
	REFUSAL_CALLER_GONE,
};

/// What a refusal says.
struct refusal_words {
	const char *type;    /// one word, for programs
	const char *message; /// for a person
	unsigned status;     /// HTTP
	bool retry;          /// coming back can help
	enum metric metric;  /// what it is counted as
};

const struct refusal_words *refusal_words(enum refusal refusal);
enum refusal refusal_of_router(enum router_refusal refusal);

#endif
