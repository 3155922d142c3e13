/*
 * Handles duplicates of a call that must run at most once. Polls the holder
 * (the instance that was granted the call) until the holder returns the
 * response, no longer has it, or the timeout of the duplicate passes.
 */
#include "godwitvale/upstream/join.h"

#include <string.h>

#include "godwitvale/core/verdict.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/peer/peer_http.h"
#include "godwitvale/registry/http_get.h"
#include "godwitvale/registry/member_list.h"
#include "godwitvale/serve/request.h"
#include "godwitvale/upstream/call.h"

/// Interval between two polls of the holder.
#define POLL_INTERVAL (100 * USEC_PER_MSEC)
/// Timeout of a single query to the holder.
#define QUERY_TIMEOUT (1 * USEC_PER_SEC)
/// Delay after which the caller of a refused duplicate may retry.
#define RETRY_DELAY (1 * USEC_PER_SEC)

/// One query to the holder. The duplicate is referenced by its handle, as it
/// may have ended when the holder responds.
struct join_query {
	struct instance *instance;
	request_handle handle;
};

/// Refuses a duplicate call because the response of the granted call can't be
/// obtained.
///
/// @param request  the duplicate call
static void
refuse_duplicate(struct request *request)
{
	request->join_holder = 0;
	request_refuse(request, REFUSAL_REPEATED,
	    g_get_monotonic_time() + RETRY_DELAY, NULL);
}

/// Forwards the response that the holder has cached to the caller of a
/// duplicate call.
///
/// @param request  the duplicate call
/// @param payload  payload from the holder: a line with HTTP status and content
///                 type, then the body of the response
/// @return false if the payload is malformed
static bool
forward_response(struct request *request, GBytes *payload)
{
	gsize len = 0;
	const char *text = g_bytes_get_data(payload, &len);
	const char *line_end = len == 0 ? NULL : memchr(text, '\n', len);
	char *line;
	char *content_type = NULL;
	uint64_t status;
	GBytes *body;

	if (line_end == NULL)
		return false;
	line = g_strndup(text, (gsize)(line_end - text));
	status = g_ascii_strtoull(line, &content_type, 10);
	if (*content_type != ' ' || status < SOUP_STATUS_OK || status > 999) {
		g_free(line);
		return false;
	}
	content_type++;
	body = g_bytes_new_from_bytes(payload, (gsize)(line_end + 1 - text),
	    len - (gsize)(line_end + 1 - text));
	request->join_holder = 0;
	request->verdict = VERDICT_RAN;
	request_answer(request, (unsigned)status,
	    *content_type == '\0' ? NULL : content_type, body);
	g_bytes_unref(body);
	g_free(line);
	return true;
}

/// Handles the holder's reply to a query. The holder replies 202 while the call
/// is in progress.
///
/// @param status  HTTP status, or 0 if the query failed
/// @param body    payload for forward_response(), or NULL
/// @param data    the struct join_query; freed
static void
on_holder_response(unsigned status, GBytes *body, gpointer data)
{
	struct join_query *query = data;
	struct request *request = request_find(query->instance, query->handle);

	g_free(query);
	if (request == NULL || request->answered)
		return;
	request->join_pending = false;
	if (status == SOUP_STATUS_ACCEPTED ||
	    (status == SOUP_STATUS_OK && forward_response(request, body)))
		return;
	refuse_duplicate(request);
}

/// Handles a duplicate call whose holder is this instance: answers it from the
/// local cache, leaves it waiting while the granted call is in progress, and
/// refuses it otherwise.
///
/// @param request  the duplicate call
static void
check_local_call(struct request *request)
{
	const struct cached_response *response =
	    call_find_response(request->instance, &request->key);

	if (response != NULL) {
		request->join_holder = 0;
		request->verdict = VERDICT_RAN;
		request_answer(request, response->status,
		    response->content_type, response->body);
	} else if (!call_in_progress(request->instance, &request->key)) {
		refuse_duplicate(request);
	}
}

/// Makes a duplicate call wait for the response of the granted call.
///
/// @param request  the duplicate call
/// @param holder   instance that holds the grant; 0 if unknown
/// @return false if the holder is unknown or isn't in the member list
bool
join_start(struct request *request, node_id holder)
{
	struct instance *instance = request->instance;
	usec_t now = g_get_monotonic_time();

	if (holder == 0 ||
	    (holder != peer_get_own_id(instance->peer) &&
		member_list_find(instance->members, holder) == NULL))
		return false;
	request->join_holder = holder;
	request->next_join_poll_at = now;
	request->call_deadline = now + request->call_timeout;
	return true;
}

/// Polls the holder for the response of the granted call if a poll is due.
/// Refuses the duplicate call once its timeout has passed or the holder is no
/// longer a member.
///
/// @param request  a duplicate call that join_start() accepted
/// @param now      current monotonic time, in microseconds
void
join_poll_holder(struct request *request, usec_t now)
{
	struct instance *instance = request->instance;
	const struct member *member;
	struct join_query *query;
	struct settings_address address;
	char *path;

	if (request->join_pending || request->answered ||
	    now < request->next_join_poll_at)
		return;
	if (now >= request->call_deadline) {
		refuse_duplicate(request);
		return;
	}
	request->next_join_poll_at = now + POLL_INTERVAL;
	if (request->join_holder == peer_get_own_id(instance->peer)) {
		check_local_call(request);
		return;
	}
	member = member_list_find(instance->members, request->join_holder);
	if (member == NULL) {
		refuse_duplicate(request);
		return;
	}
	query = g_new0(struct join_query, 1);
	query->instance = instance;
	query->handle = request->handle;
	address.ip = member->ip;
	address.port = member->peer_port;
	path = peer_http_format_answer_path(instance, &request->key);
	request->join_pending = true;
	http_get_start(
	    instance, &address, path, QUERY_TIMEOUT, on_holder_response, query);
	g_free(path);
}
