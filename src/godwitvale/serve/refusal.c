/* Defines the error type, message, HTTP status and metric of each refusal. */
#include "godwitvale/serve/refusal.h"

static const struct refusal_info refusal_table[] = {
    [REFUSAL_OVERLOADED] = {"overloaded", "it can't start in time", 503, true,
	METRIC_REFUSED_DEADLINE},
    [REFUSAL_QUEUE_FULL] = {"queue-full", "too many of your requests wait", 429,
	true, METRIC_REFUSED_QUEUE_FULL},
    [REFUSAL_NO_UPSTREAM] = {"no-upstream", "no upstream serves it at present",
	503, true, METRIC_REFUSED_NO_UPSTREAM},
    [REFUSAL_RETRIES_EXHAUSTED] = {"retries", "the retry budget is used up",
	503, true, METRIC_REFUSED_RETRIES},
    [REFUSAL_EXCEEDS_ENGINES] = {"exceeds-engines",
	"prompt and output exceed every engine", 413, false,
	METRIC_REFUSED_TOO_LARGE},
    [REFUSAL_NO_SUCH_PATH] = {"no-such-path",
	"expected /v1/completions, /v1/chat/completions or "
	"/services/NAME",
	404, false, METRIC_REFUSED_INVALID},
    [REFUSAL_WRONG_METHOD] = {"method", "expected POST", 405, false,
	METRIC_REFUSED_INVALID},
    [REFUSAL_BAD_REQUEST] = {"bad-request", "the body is malformed", 400, false,
	METRIC_REFUSED_INVALID},
    [REFUSAL_BODY_TOO_LARGE] = {"too-large", "the request's body is too large",
	413, false, METRIC_REFUSED_TOO_LARGE},
    [REFUSAL_TOO_MANY_REQUESTS] = {"full", "too many requests are in progress",
	503, true, METRIC_REFUSED_LIMIT},
    [REFUSAL_NO_BUNDLE] = {"no-bundle", "no bundle is in force yet", 503, true,
	METRIC_REFUSED_STALE_BUNDLE},
    [REFUSAL_UNKNOWN_ORGANISATION] = {"organisation", "unknown organisation",
	401, false, METRIC_REFUSED_UNAUTHORISED},
    [REFUSAL_UNKNOWN_MODEL] = {"no-model", "unknown model", 404, false,
	METRIC_REFUSED_INVALID},
    [REFUSAL_UNKNOWN_SERVICE] = {"no-service", "unknown service", 404, false,
	METRIC_REFUSED_INVALID},
    [REFUSAL_NO_REQUEST_ID] = {"no-request-id",
	"a call of this service needs its request id", 400, false,
	METRIC_REFUSED_INVALID},
    [REFUSAL_LEAVING] = {"leaving", "this instance takes no new work", 503,
	true, METRIC_REFUSED_LEAVING},
    [REFUSAL_ISOLATED] = {"isolated", "the newest bundle can't be confirmed",
	503, true, METRIC_REFUSED_STALE_BUNDLE},
    [REFUSAL_REPEATED] = {"repeated",
	"this request was taken before; its outcome is not here", 409, true,
	METRIC_REFUSED_NO_MAJORITY},
    [REFUSAL_NO_GRANT] = {"no-grant", "it can't be made sure that it runs once",
	503, true, METRIC_REFUSED_NO_MAJORITY},
    [REFUSAL_ENGINE_FAILED] = {"engine-failed",
	"the engine failed and the retries are used up", 502, true,
	METRIC_REFUSED_RETRIES},
    [REFUSAL_ENGINE_REFUSED] = {"engine-refused",
	"the engine refused the request", 400, false, METRIC_REFUSED_INVALID},
    [REFUSAL_GENERATION_LOST] = {"generation-lost",
	"the engine lost the generation part way", 502, true,
	METRIC_REFUSED_RETRIES},
    [REFUSAL_SERVICE_FAILED] = {"service-failed",
	"the service gave no whole answer", 502, true, METRIC_REFUSED_RETRIES},
    [REFUSAL_CALLER_DISCONNECTED] = {"caller-gone",
	"the connection was closed before the answer was there", 408, false,
	METRIC_REFUSED_DEADLINE},
};

/// Returns the properties of a refusal.
///
/// @param refusal  reason for the refusal
/// @return an entry of a static table
const struct refusal_info *
refusal_get_info(enum refusal refusal)
{
	g_assert((unsigned)refusal < G_N_ELEMENTS(refusal_table));
	return &refusal_table[refusal];
}

/// Converts a refusal of the router into the refusal sent to the caller.
///
/// @param refusal  reason given by the router
/// @return the corresponding refusal
enum refusal
refusal_from_router(enum router_refusal refusal)
{
	static const enum refusal refusals[] = {
	    [ROUTER_REFUSE_NONE] = REFUSAL_OVERLOADED,
	    [ROUTER_REFUSE_DEADLINE] = REFUSAL_OVERLOADED,
	    [ROUTER_REFUSE_QUEUE_FULL] = REFUSAL_QUEUE_FULL,
	    [ROUTER_REFUSE_NO_UPSTREAM] = REFUSAL_NO_UPSTREAM,
	    [ROUTER_REFUSE_RETRIES] = REFUSAL_RETRIES_EXHAUSTED,
	    [ROUTER_REFUSE_TOO_LARGE] = REFUSAL_EXCEEDS_ENGINES,
	};

	g_assert((unsigned)refusal < G_N_ELEMENTS(refusals));
	return refusals[refusal];
}
