/* Decides before each send whether the upstream may still get the request. */
#include "godwitvale/entry/send_check.h"

#include "godwitvale/entry/resumption.h"
#include "godwitvale/ops/log.h"

/// @param request  request that is about to be sent to a chosen upstream,
///                 without a copy
/// @return how it comes to be sent
enum send_path
send_check_attempt_path(const struct entry_request *request)
{
	if (request->checked_key != 0 &&
	    request->checked_key == request->target.incarnation_key)
		return SEND_CHECKED;
	if (request->response_started)
		return SEND_CONTINUATION;
	if (request->attempts > 0)
		return SEND_RETRY;
	if (request->is_forwarded)
		return SEND_FORWARDED;
	return resumption_is_needed(request) ? SEND_TAKE_UP : SEND_FIRST;
}

/// Decides whether a request may be sent to an upstream now, and logs the
/// reason if it may not. Between the choice of an upstream and the send, the
/// upstream may have begun to drain or been removed. Asked by:
///
/// - entry_request_start_attempt(): first attempts, retries, streams that go on
///   without a copy, streams that callers take up, requests of other instances,
///   and all of these after version_check_start() has asked the engine
/// - reservation.c: before a request uses the place that an engine has reserved
/// - continuation.c: resumes from a copy, first and repeated ones, and the
///   copies, refreshes and last copies to a target
///
/// Forwarding to another instance chooses no upstream; the other instance asks
/// here, with SEND_FORWARDED. Reports and crash probes aren't requests: they
/// may go to an upstream that drains.
///
/// @param request  request that is about to be sent
/// @param target   the upstream, as it was when it was chosen
/// @param path     how the request comes to be sent
/// @return ELIGIBLE, or why not and until when
struct eligibility
send_check(const struct entry_request *request,
    const struct dispatch_target *target, enum send_path path)
{
	struct eligibility result =
	    dispatch_check_send(request->entry->dispatch, target, path);

	if (result.reason != ELIGIBLE)
		log_event(LOG_LEVEL_INFO, "send-ineligible",
		    "id=%s upstream=%s path=%s reason=%s",
		    request->params.id == NULL ? "-" : request->params.id,
		    target->id, eligibility_path_name(path),
		    eligibility_reason_name(result.reason));
	return result;
}
