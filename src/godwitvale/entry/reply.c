/*
 * Heads of the answers that callers get. Only this module writes them, so that
 * a status by which callers take a request as not run is never sent if one of
 * the request's attempts may have run.
 */
#include "godwitvale/entry/reply.h"

#include "godwitvale/entry/entry.h"
#include "godwitvale/entry/entry_request_defs.h"
#include "godwitvale/entry/forward_fields.h"

/// Status of an answer that says nothing about whether the request has run.
#define REPLY_STATUS_UNKNOWN 502

/// Checks whether an answer may have a status.
///
/// @return false if callers would take the request as not run, which isn't
///         known of all its attempts
static bool
is_status_true(const struct entry_request *request, unsigned status)
{
	return request->verdict == VERDICT_NOT_RUN ||
	    !request->entry->site->means_not_run(status);
}

/// Takes the head of an upstream's answer for the caller.
///
/// @param request  request whose verdict includes this answer
/// @param head     head as the upstream, or the instance that the request was
///                 forwarded to, has sent it
/// @return false if the caller must not get this answer, as its status would
///         say that the request has not run
bool
reply_take_head(struct entry_request *request, const struct http_head *head)
{
	if (!is_status_true(request, head->status))
		return false;
	http_head_clear(&request->answer_head);
	http_head_init(&request->answer_head);
	request->answer_head.status = head->status;
	http_head_copy_end_to_end(&request->answer_head, head);
	forward_fields_remove(&request->answer_head);
	return true;
}

/// Writes the head that was taken, unless that was done before.
///
/// @param request  request whose body follows in parts
void
reply_start(struct entry_request *request)
{
	if (request->response_started)
		return;
	request->response_started = true;
	http_call_start_response(request->call, &request->answer_head);
}

/// Ends the answer of an upstream: after its last part, or, if it wasn't
/// started, with the head that was taken and the buffered body.
///
/// @param request  request whose call ends
void
reply_finish(struct entry_request *request)
{
	if (request->response_started)
		http_call_finish_response(request->call);
	else
		http_call_respond(request->call, &request->answer_head,
		    request->answer_body->str, request->answer_body->len);
}

/// Sends an answer of this instance itself, without a body. It says nothing
/// about whether the request has run if its status would say so falsely.
///
/// @param request      request without an answer; its call ends
/// @param status       HTTP status
/// @param reason       why the request is refused; 0: it fails
/// @param retry_after  time after which the caller may retry, in microseconds;
///                     0: no Retry-After header
/// @return the status that was sent
unsigned
reply_send_own(struct entry_request *request, unsigned status,
    enum retry_after_reason reason, usec_t retry_after)
{
	struct http_head head;
	char seconds[32];

	entry_request_note_sent(request);
	http_head_init(&head);
	head.status =
	    is_status_true(request, status) ? status : REPLY_STATUS_UNKNOWN;
	if (request->params.id != NULL)
		http_head_add(
		    &head, request->entry->site->id_field, request->params.id);
	/* The verdict is part of what another instance gets. */
	if (request->is_forwarded)
		forward_fields_write_own(&head, request->verdict, reason);
	if (retry_after > 0) {
		g_snprintf(seconds, sizeof(seconds), "%.2f",
		    (double)retry_after / (double)USEC_PER_SEC);
		http_head_add(&head, "Retry-After", seconds);
	}
	status = head.status;
	http_call_respond(request->call, &head, "", 0);
	http_head_clear(&head);
	return status;
}
