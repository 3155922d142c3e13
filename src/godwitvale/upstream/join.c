/*
 * Repeats of a call that must run at most once: asks the instance that holds
 * the call's grant for its answer until that is there or given up.
 */
#include "godwitvale/upstream/join.h"

#include <string.h>

#include "godwitvale/core/verdict.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/peer/peer_http.h"
#include "godwitvale/registry/ask.h"
#include "godwitvale/registry/members.h"
#include "godwitvale/serve/request.h"
#include "godwitvale/upstream/call.h"

/// The holder is asked this often.
#define JOIN_INTERVAL (100 * USEC_PER_MSEC)
/// A question that takes longer is given up.
#define JOIN_TIMEOUT (1 * USEC_PER_SEC)
/// When a caller may ask again for an outcome that is not known here.
#define JOIN_RETRY (1 * USEC_PER_SEC)

/// One question to the holder; the repeat may be gone when it is answered.
struct join_question {
	struct instance *instance;
	request_handle handle;
};

/// Gives up: the outcome can't be had here.
///
/// @param request  the repeat
static void
give_up(struct request *request)
{
	request->join_holder = 0;
	request_refuse(request, REFUSAL_REPEATED,
	    g_get_monotonic_time() + JOIN_RETRY, NULL);
}

/// Gives the caller the answer that the holder kept: a line with status and
/// content type, then the body.
///
/// @param request  the repeat
/// @param kept     what the holder sent
/// @return false when it is malformed
static bool
pass_kept(struct request *request, GBytes *kept)
{
	gsize len = 0;
	const char *text = g_bytes_get_data(kept, &len);
	const char *end = len == 0 ? NULL : memchr(text, '\n', len);
	char *line;
	char *type = NULL;
	uint64_t status;
	GBytes *body;

	if (end == NULL)
		return false;
	line = g_strndup(text, (gsize)(end - text));
	status = g_ascii_strtoull(line, &type, 10);
	if (*type != ' ' || status < SOUP_STATUS_OK || status > 999) {
		g_free(line);
		return false;
	}
	type++;
	body = g_bytes_new_from_bytes(
	    kept, (gsize)(end + 1 - text), len - (gsize)(end + 1 - text));
	request->join_holder = 0;
	request->verdict = VERDICT_RAN;
	request_answer(
	    request, (unsigned)status, *type == '\0' ? NULL : type, body);
	g_bytes_unref(body);
	g_free(line);
	return true;
}

/// Takes the holder's answer.
///
/// @param status  HTTP status, 0 on failure
/// @param body    the call's answer, or NULL
/// @param data    the question; released
static void
on_answer(unsigned status, GBytes *body, gpointer data)
{
	struct join_question *question = data;
	struct request *request =
	    request_find(question->instance, question->handle);

	g_free(question);
	if (request == NULL || request->answered)
		return;
	request->join_pending = false;
	if (status == SOUP_STATUS_ACCEPTED ||
	    (status == SOUP_STATUS_OK && pass_kept(request, body)))
		return;
	give_up(request);
}

/// Looks for the answer at this instance.
///
/// @param request  the repeat
static void
look_here(struct request *request)
{
	const struct kept_answer *answer =
	    call_find_answer(request->instance, &request->key);

	if (answer != NULL) {
		request->join_holder = 0;
		request->verdict = VERDICT_RAN;
		request_answer(request, answer->status, answer->content_type,
		    answer->body);
	} else if (!call_in_progress(request->instance, &request->key)) {
		give_up(request);
	}
}

/// Lets a repeat wait for the answer of the call that holds the grant.
///
/// @param request  the repeat
/// @param holder   the instance that holds the grant; 0: not known
/// @return false when that instance is not known or not listed
bool
join_start(struct request *request, node_id holder)
{
	struct instance *instance = request->instance;
	usec_t now = g_get_monotonic_time();

	if (holder == 0 ||
	    (holder != peer_self(instance->peer) &&
		member_list_find(instance->members, holder) == NULL))
		return false;
	request->join_holder = holder;
	request->next_join_poll_at = now;
	request->call_deadline = now + request->call_timeout;
	return true;
}

/// Asks for the answer when that is due.
///
/// @param request  a repeat
/// @param now      current time
void
join_tick(struct request *request, usec_t now)
{
	struct instance *instance = request->instance;
	const struct member *member;
	struct join_question *question;
	struct settings_address address;
	char *path;

	if (request->join_pending || request->answered ||
	    now < request->next_join_poll_at)
		return;
	if (now >= request->call_deadline) {
		give_up(request);
		return;
	}
	request->next_join_poll_at = now + JOIN_INTERVAL;
	if (request->join_holder == peer_self(instance->peer)) {
		look_here(request);
		return;
	}
	member = member_list_find(instance->members, request->join_holder);
	if (member == NULL) {
		give_up(request);
		return;
	}
	question = g_new0(struct join_question, 1);
	question->instance = instance;
	question->handle = request->handle;
	address.ip = member->ip;
	address.port = member->peer_port;
	path = peer_http_answer_path(instance, &request->key);
	request->join_pending = true;
	ask_get(instance, &address, path, JOIN_TIMEOUT, on_answer, question);
	g_free(path);
}
