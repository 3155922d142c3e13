/* Sends requests to other instances, and takes theirs. */
#include "godwitvale/entry/forwarding.h"

#include <stdlib.h>
#include <string.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/entry_request.h"
#include "godwitvale/entry/forward_fields.h"
#include "godwitvale/entry/reach_monitor.h"
#include "godwitvale/ops/log.h"

/// The other instance must have answered this long before the deadline, so that
/// its answer arrives in time.
#define FORWARDING_MARGIN (10 * USEC_PER_MSEC)
/// Share of the connections of callers that may be in use at an instance that
/// takes requests of others.
#define FORWARDING_MAX_CALLERS_SHARE 0.8
/// Longest pause that is taken from a refusal of another instance, in seconds.
#define FORWARDING_RETRY_MAX_SECONDS 86400.0

/// Checks whether a request must not be sent to upstreams by this instance.
///
/// @param request  request with a service
/// @return true if this instance is cut off from the service
bool
forwarding_is_needed(const struct entry_request *request)
{
	return reachability_is_cut_off(
	    reach_monitor_reachability(request->entry->reach_monitor),
	    request->service);
}

/// Checks whether a request was sent to another instance before.
static bool
was_asked(const struct entry_request *request, uint64_t member)
{
	for (unsigned i = 0; i < request->n_helpers; i++)
		if (request->helpers[i] == member)
			return true;
	return false;
}

/// Checks whether another instance may serve a request.
static bool
is_candidate(const struct entry_request *request, const struct member *member)
{
	return (member->features & MEMBER_FEATURE_FORWARDS) &&
	    !member->leaving && !was_asked(request, member->name_hash) &&
	    !reachability_is_member_cut_off(
		reach_monitor_reachability(request->entry->reach_monitor),
		g_get_monotonic_time(), member->name_hash, request->service);
}

/// Picks the instance that is asked next: a random one of this zone, or, if
/// there is none, of the others.
///
/// @return NULL: there is none
static const struct member *
pick_member(const struct entry_request *request)
{
	struct entry *entry = request->entry;
	GPtrArray *members = membership_list(peers_membership(entry->peers));
	uint64_t zone = hash_name(entry->settings->zone);
	const struct member *picked = NULL;
	unsigned n_alike = 0;

	for (guint i = 0; i < members->len; i++) {
		const struct member *member = members->pdata[i];
		bool is_near = member->zone == zone;

		if (!is_candidate(request, member))
			continue;
		if (picked != NULL && is_near != (picked->zone == zone)) {
			if (!is_near)
				continue;
			n_alike = 0;
		}
		n_alike++;
		if (g_random_int_range(0, (gint32)n_alike) == 0)
			picked = member;
	}
	g_ptr_array_unref(members);
	return picked;
}

/// Writes the head of a request to another instance.
static void
write_head(const struct entry_request *request, struct http_head *head)
{
	struct entry *entry = request->entry;
	const struct organisation *organisation = request->organisation;
	const struct site_upstream_request send = {
	    .timeout = entry_request_time_left(request) - FORWARDING_MARGIN,
	    .last_event = request->last_event_id,
	};
	const struct forward_request fields = {
	    .sender = entry->settings->instance,
	    .incarnation = peers_incarnation(entry->peers),
	    .organisation = organisation == NULL ? NULL : organisation->name,
	    .config_version = request->deployment->version,
	    .attempts = request->attempts,
	    .is_counted = request->is_counted,
	    .has_version = request->has_version,
	    .version_key = request->version_key,
	};

	entry->site->write_request(http_call_head(request->call), &send, head);
	forward_fields_remove(head);
	forward_fields_write_request(head, &fields);
}

/// Notes an answer of the other instance's own.
static void
note_own_answer(struct entry_request *request, const struct http_head *head,
    const struct forward_answer *answer)
{
	const char *text = http_head_get(head, "Retry-After");
	double seconds = text == NULL ? 0 : g_ascii_strtod(text, NULL);
	double pause = MIN(seconds, FORWARDING_RETRY_MAX_SECONDS);

	request->is_own_answer = true;
	request->own_verdict = answer->verdict;
	/* Only a refusal says that it hasn't run. */
	if (head->status != 503)
		request->own_verdict =
		    verdict_raise(request->own_verdict, VERDICT_MAY_HAVE_RUN);
	request->own_reason = answer->reason;
	request->own_status = head->status;
	request->own_retry_at = seconds > 0
	    ? g_get_monotonic_time() + (usec_t)(pause * (double)USEC_PER_SEC)
	    : USEC_NEVER;
}

/// Exchange callback: the head of an answer has arrived.
static void
on_head(void *owner, const struct http_head *head)
{
	struct entry_request *request = entry_request_ref(owner);
	struct forward_answer answer;
	struct site_answer info;

	request->heard_at = g_get_monotonic_time();
	forward_fields_read_answer(head, &answer);
	if (answer.is_own) {
		note_own_answer(request, head, &answer);
		goto out;
	}
	request->entry->site->read_answer(head, &info);
	request->target.version_key = answer.version_key;
	answer_accept_head(request, head, &info);
out:
	entry_request_unref(request);
}

/// Exchange callback: bytes of an answer's body have arrived.
static void
on_body(void *owner, const char *data, size_t len)
{
	struct entry_request *request = owner;

	if (!request->is_own_answer)
		answer_vtable()->body(request, data, len);
}

/// Checks whether another instance may serve a request that one has refused. A
/// refusal because of its upstreams' state would be the same there.
static bool
is_refused_here_only(const struct entry_request *request)
{
	return request->own_reason == RETRY_AFTER_NO_UPSTREAM ||
	    request->own_reason == RETRY_AFTER_STARTING ||
	    request->own_reason == RETRY_AFTER_LEAVING;
}

/// Asks the next instance, if that makes sense, or refuses the request as the
/// last one has.
static void
handle_refusal(struct entry_request *request)
{
	enum retry_after_reason reason = request->own_reason;

	if (is_refused_here_only(request) && forwarding_start(request))
		return;
	if (reason == RETRY_AFTER_NO_UPSTREAM)
		reachability_note_helpless(
		    reach_monitor_reachability(request->entry->reach_monitor),
		    g_get_monotonic_time(), request->service);
	entry_request_refuse_until(request, request->own_retry_at,
	    reason == 0 ? RETRY_AFTER_NO_UPSTREAM : reason, "forward-refused");
}

/// Handles a complete answer of the other instance's own.
static void
handle_own_answer(struct entry_request *request)
{
	unsigned status = request->own_status;

	log_event(LOG_LEVEL_INFO, "forward-not-served",
	    "id=%s to=%s status=%u verdict=%s reason=%s "
	    "age_ms=%" G_GINT64_FORMAT,
	    request->params.id, request->target.id, status,
	    verdict_name(request->own_verdict),
	    request->own_reason == 0
		? "-"
		: retry_after_reason_name(request->own_reason),
	    (g_get_monotonic_time() - request->sent_at) / USEC_PER_MSEC);
	series_add(&entry_metric_forwards, request->service, "not-served", 1);
	request->verdict =
	    verdict_raise(request->verdict, request->own_verdict);
	entry_request_cancel_exchange(request);
	request->is_forwarding = false;
	if (request->own_verdict == VERDICT_NOT_RUN)
		handle_refusal(request);
	else
		entry_request_fail(
		    request, status >= 500 ? status : 502, "forward-failed");
}

/// Exchange callback: the answer is complete.
static void
on_complete(void *owner)
{
	struct entry_request *request = owner;

	if (!request->is_own_answer) {
		series_add(
		    &entry_metric_forwards, request->service, "served", 1);
		answer_vtable()->complete(request);
		return;
	}
	entry_request_ref(request);
	request->exchange = NULL;
	handle_own_answer(request);
	entry_request_unref(request);
}

/// Exchange callback: the exchange ended without a complete answer.
static void
on_failed(void *owner, enum exchange_failure failure)
{
	answer_vtable()->failed(owner, failure);
}

static const struct exchange_vtable vtable = {
    .head = on_head,
    .body = on_body,
    .complete = on_complete,
    .failed = on_failed,
};

/// Sends a request to another instance.
static void
send_to_member(struct entry_request *request, const struct member *member)
{
	struct entry *entry = request->entry;
	struct http_head head;
	struct exchange_options options = {
	    .vtable = &vtable,
	    .owner = request,
	    .pool = entry->pool,
	    .head = &head,
	    .needs_new_connection = true,
	    .echo_field = entry->site->id_field,
	    .echo_value = request->params.id,
	};

	request->wait_deadline = 0;
	dispatch_target_clear(&request->target);
	request->target.id = g_strdup(member->name);
	request->target.address =
	    g_strdup_printf("%s:%u", member->ip, entry->settings->control.port);
	request->helper_incarnation = member->incarnation;
	options.address = request->target.address;
	options.body = http_call_body(request->call, &options.body_len);
	http_head_init(&head);
	write_head(request, &head);
	if (options.body_len > 0 || strcmp(head.method, "GET") != 0)
		http_head_add_number(&head, "Content-Length", options.body_len);
	request->sent_at = g_get_monotonic_time();
	request->heard_at = request->sent_at;
	event_splitter_reset(&request->splitter);
	g_string_truncate(request->answer_body, 0);
	request->events_of_attempt = 0;
	request->answer_began = false;
	request->has_survived = false;
	request->is_own_answer = false;
	request->is_forwarding = true;
	request->exchange = exchange_start(&options);
	http_head_clear(&head);
	entry_request_set_timer(request);
}

/// Checks whether there is another instance to ask.
///
/// @param request  request with a service
/// @return whether forwarding_start() would forward it
bool
forwarding_is_possible(const struct entry_request *request)
{
	return !request->is_forwarded &&
	    entry_request_time_left(request) > 2 * FORWARDING_MARGIN &&
	    request->n_helpers < ENTRY_REQUEST_HELPERS_MAX &&
	    reachability_can_be_helped(
		reach_monitor_reachability(request->entry->reach_monitor),
		g_get_monotonic_time(), request->service) &&
	    pick_member(request) != NULL;
}

/// Forwards a request to another instance.
///
/// @param request  request without an exchange, which isn't itself forwarded
/// @return false if there is no instance to ask
bool
forwarding_start(struct entry_request *request)
{
	struct entry *entry = request->entry;
	const struct member *member;

	if (!forwarding_is_possible(request))
		return false;
	member = pick_member(request);
	request->helpers[request->n_helpers++] = member->name_hash;
	entry_request_stop_waiting(request);
	log_event(LOG_LEVEL_INFO, "request-forwarded",
	    "id=%s route=%s service=%s to=%s near=%d attempts=%u "
	    "left_ms=%" G_GINT64_FORMAT,
	    request->params.id, request->route->name, request->service,
	    member->name, member->zone == hash_name(entry->settings->zone),
	    request->attempts,
	    entry_request_time_left(request) / USEC_PER_MSEC);
	series_add(&entry_metric_forwards, request->service, "sent", 1);
	send_to_member(request, member);
	return true;
}

/// Finds out who counts the next attempt of a request that another instance
/// may have sent: this instance, or, if it has no permit left, the next one
/// that it asks.
///
/// @return false if there is no permit
static bool
acquire_retry(struct entry_request *request)
{
	return entry_request_take_retry_permit(request) ||
	    (forwarding_is_needed(request) && forwarding_is_possible(request));
}

/// Places a request that another instance has accepted no connection for.
static void
handle_unreachable(struct entry_request *request)
{
	if (request->attempts == 0 || request->is_counted ||
	    acquire_retry(request))
		entry_request_place(request);
	else
		entry_request_fail(request, 502, "no-retry-permit");
}

/// Handles the failure of an exchange with another instance: it has served the
/// request, or not, or in part.
///
/// @param request  request without an exchange; the caller holds a reference
/// @param failure  why there is no complete answer
void
forwarding_handle_failure(
    struct entry_request *request, enum exchange_failure failure)
{
	bool may_go_on = !request->response_started || request->is_stream;

	request->is_forwarding = false;
	series_add(&entry_metric_forwards, request->service, "failed", 1);
	if (failure == EXCHANGE_UNREACHABLE) {
		handle_unreachable(request);
		return;
	}
	request->attempts++;
	request->verdict =
	    verdict_raise(request->verdict, VERDICT_MAY_HAVE_RUN);
	g_string_truncate(request->answer_body, 0);
	if (may_go_on && entry_request_is_repeatable(request) &&
	    request->attempts < request->route->max_attempts &&
	    acquire_retry(request))
		entry_request_place(request);
	else
		entry_request_fail(
		    request, 502, exchange_failure_name(failure));
}

/// Checks whether a request may be sent once more although the instance that
/// it was forwarded to may still answer, and whether there is a way to.
static bool
can_go_on_elsewhere(const struct entry_request *request)
{
	if (!exchange_may_have_sent(request->exchange))
		return true;
	if (!entry_request_is_repeatable(request) ||
	    request->attempts + 1 >= request->route->max_attempts)
		return false;
	return forwarding_is_needed(request)
	    ? forwarding_is_possible(request)
	    : dispatch_has_retry_permit(
		  request->entry->dispatch, request->service);
}

/// Ends a request's exchange with another instance, and handles that as a
/// failure.
static void
give_up_exchange(struct entry_request *request)
{
	enum exchange_failure failure =
	    exchange_may_have_sent(request->exchange) ? EXCHANGE_NO_ANSWER
						      : EXCHANGE_UNREACHABLE;

	entry_request_cancel_exchange(request);
	answer_vtable()->failed(request, failure);
}

/// Checks whether an exchange of a request with another instance must be given
/// up.
typedef bool (*give_up_check)(
    const struct entry_request *request, const struct member *member);

/// Gives up those exchanges with another instance that a check names.
static void
give_up_exchanges(
    struct entry *entry, const struct member *member, give_up_check check)
{
	GList *requests = g_hash_table_get_keys(entry->requests);

	for (GList *l = requests; l != NULL; l = l->next)
		entry_request_ref(l->data);
	for (GList *l = requests; l != NULL; l = l->next) {
		struct entry_request *request = l->data;

		if (!request->is_done && request->is_forwarding &&
		    strcmp(request->target.id, member->name) == 0 &&
		    check(request, member))
			give_up_exchange(request);
		entry_request_unref(request);
	}
	g_list_free(requests);
}

/// Give-up check for an instance that has fallen silent.
static bool
is_lost_to_silence(
    const struct entry_request *request, const struct member *member)
{
	(void)member;
	return can_go_on_elsewhere(request);
}

/// Handles an instance that has fallen silent: requests that were forwarded to
/// it go on elsewhere if they can. It may only stand still, so the others are
/// left to their connections and deadlines.
///
/// @param entry   instance that forwards requests
/// @param member  the other instance
void
forwarding_handle_silent_member(
    struct entry *entry, const struct member *member)
{
	give_up_exchanges(entry, member, is_lost_to_silence);
}

/// Give-up check for an instance that was started.
static bool
is_lost_to_restart(
    const struct entry_request *request, const struct member *member)
{
	return request->helper_incarnation != member->incarnation;
}

/// Handles an instance that is heard for the first time since it was started or
/// fell silent: no earlier incarnation of it answers any more.
///
/// @param entry   instance that forwards requests
/// @param member  the other instance
void
forwarding_handle_started_member(
    struct entry *entry, const struct member *member)
{
	give_up_exchanges(entry, member, is_lost_to_restart);
}

/// @param head  head of a request to this instance
/// @return whether another instance says that it forwards the request
bool
forwarding_is_forwarded(const struct http_head *head)
{
	struct forward_request fields;
	bool is_forwarded = forward_fields_read_request(head, &fields);

	forward_request_clear(&fields);
	return is_forwarded;
}

/// Checks whether this instance takes a request that another one forwards.
///
/// @return NULL, or the reason why it doesn't, in one word
static const char *
find_objection(const struct entry *entry, const struct forward_request *fields)
{
	const struct member *sender =
	    membership_find(peers_membership(entry->peers), fields->sender);
	unsigned n_callers = http_server_count_callers(entry->caller_server);

	if (sender == NULL || sender->incarnation != fields->incarnation)
		return "forward-unknown-sender";
	if (!view_is_complete(entry->view) ||
	    view_deployment(entry->view)->version < fields->config_version)
		return "forward-older-config";
	if (n_callers >
	    FORWARDING_MAX_CALLERS_SHARE * entry->settings->max_callers)
		return "forward-overload";
	return NULL;
}

/// Takes a request that another instance forwards, or refuses it.
///
/// @param entry  this instance
/// @param call   HTTP call of the other instance
void
forwarding_accept(struct entry *entry, struct http_call *call)
{
	struct forward_request fields;
	const char *objection;

	if (!forward_fields_read_request(http_call_head(call), &fields))
		return;
	objection = find_objection(entry, &fields);
	log_event(LOG_LEVEL_INFO, "forward-received",
	    "from=%s attempts=%u config=%" G_GUINT64_FORMAT " outcome=%s",
	    fields.sender, fields.attempts, fields.config_version,
	    objection == NULL ? "taken" : objection);
	entry_request_start_forwarded(entry, call, &fields, objection);
	forward_request_clear(&fields);
}
