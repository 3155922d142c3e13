/*
 * Requests of callers: judged, placed, sent, and ended with exactly one final
 * answer. What comes back is taken by answer.c, what becomes of a generation
 * whose upstream leaves by continuation.c.
 */
#include "godwitvale/entry/rq.h"

#include <string.h>

#include "godwitvale/core/shutdown_admission.h"
#include "godwitvale/core/hash.h"
#include "godwitvale/entry/entry.h"
#include "godwitvale/entry/meters.h"
#include "godwitvale/entry/rq_defs.h"
#include "godwitvale/ops/log.h"

/// Longest wait for room, as a part of the route's target latency: what
/// waits longer is better off being told when to come back.
#define REQUEST_WAIT_PARTS 2
/// An upstream that takes no connection for this long can't be reached.
#define REQUEST_CONNECT_SPAN (600 * USEC_PER_MSEC)

/// Takes a reference.
///
/// @param request  a request
/// @return the same
struct entry_request *
rq_ref(struct entry_request *request)
{
	request->refs++;
	return request;
}

/// Drops a reference; the last one frees it.
///
/// @param request  a request
void
rq_unref(struct entry_request *request)
{
	if (--request->refs > 0)
		return;
	if (request->timer != 0)
		g_source_remove(request->timer);
	dispatch_target_clear(&request->target);
	http_head_clear(&request->answer);
	g_string_free(request->body, true);
	event_splitter_clear(&request->splitter);
	deployment_unref(request->deployment);
	g_free((char *)request->facts.id);
	g_free(request);
}

/// @return how long the caller still waits
static usec_t
patience_left(const struct entry_request *request)
{
	return request->deadline - g_get_monotonic_time();
}

/// Says how many tokens of a request's output have been passed on.
///
/// @param request  a request
/// @return tokens
uint32_t
rq_tokens_made(const struct entry_request *request)
{
	const struct service *service =
	    deployment_find_service(request->deployment, request->service);

	if (service == NULL || !service->has_engine)
		return 0;
	return request->events * service->engine.tokens_per_event;
}

/// Says how many tokens a request's output is expected to have in the end:
/// what outputs of its route had that were at least as long. Callers' own
/// estimates are off by more than the lengths of a route vary.
///
/// @param request  a request
/// @return tokens
int32_t
rq_expected_output(const struct entry_request *request)
{
	uint32_t made;

	if (request->series == NULL)
		return request->facts.max_output_tokens;
	made = rq_tokens_made(request);
	return MIN((int32_t)estimate_mean(request->series, made),
	    request->facts.max_output_tokens);
}

/// Finds the lengths of outputs of a request's route.
static struct estimate_series *
series_of(const struct entry_request *request)
{
	const struct estimate_key key = {
	    .organisation = ESTIMATE_ALL,
	    .service = (uint32_t)hash_name(request->service),
	    .class_id = (uint32_t)hash_name(request->route->name),
	};

	return estimate_get_series(request->entry->estimate, &key);
}

/// Brings the load up to date that a generation is charged with: the longer
/// it is, the longer it will be.
///
/// @param request  a request that runs
void
rq_grow(struct entry_request *request)
{
	struct load more = {0};

	if (!request->is_charged || !request->route->is_generation)
		return;
	more.tokens = rq_size(request).tokens - request->charged.tokens;
	request->charged.tokens += more.tokens;
	dispatch_adjust_load(
	    request->entry->dispatch, &request->target, &more, 1);
}

/// Says how large a request is, for placement.
///
/// @param request  a request
/// @return its size
struct place_request
rq_size(const struct entry_request *request)
{
	const struct site_request *facts = &request->facts;
	struct place_request size = {
	    .is_generation = request->route->is_generation,
	    .prompt_tokens = facts->prompt_tokens,
	    .tokens = facts->prompt_tokens + rq_expected_output(request),
	};

	return size;
}

/// Says what a request adds to an upstream's load while its first event is
/// awaited.
///
/// @param request  a request
/// @return the load
struct load
rq_load(const struct entry_request *request)
{
	struct place_request size = rq_size(request);
	struct load load = {.requests = 1};

	if (size.is_generation) {
		load.tokens = size.tokens;
		load.prompt_tokens = size.prompt_tokens;
	}
	return load;
}

/// Remembers that a request was sent to an upstream.
///
/// @param request  a request
/// @param key      hash of the upstream's id
void
rq_note_tried(struct entry_request *request, uint64_t key)
{
	if (request->n_tried < DISPATCH_TRIED_MAX)
		request->tried[request->n_tried++] = key;
}

/// Gives the current exchange up, if there is one, and what it was charged.
///
/// @param request  a request
void
rq_drop_exchange(struct entry_request *request)
{
	g_clear_pointer(&request->exchange, exchange_cancel);
	if (request->is_charged)
		dispatch_adjust_load(request->entry->dispatch, &request->target,
		    &request->charged, -1);
	request->is_charged = false;
}

/// Takes a request out of all tables; its answer is out.
static void
finish(struct entry_request *request)
{
	struct entry *entry = request->entry;

	request->done = true;
	rq_drop_exchange(request);
	continuation_clear(request);
	wait_queue_remove(entry->waiting, request);
	request->is_waiting = false;
	if (request->timer != 0)
		g_source_remove(request->timer);
	request->timer = 0;
	g_hash_table_remove(entry->requests, request);
	entry_schedule_waiting(entry);
	/* Whoever ends a request holds a reference beside the table's. */
	g_assert(request->refs > 1);
	rq_unref(request);
}

/// Writes the line that ends a request's story.
static void
log_end(
    const struct entry_request *request, unsigned status, const char *outcome)
{
	usec_t now = g_get_monotonic_time();

	log_event(status < 500 && status != 0 ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
	    "request-ended",
	    "id=%s route=%s upstream=%s status=%u outcome=%s verdict=%s "
	    "attempts=%u handovers=%u events=%u last_event=%" G_GINT64_FORMAT
	    " first_ms=%" G_GINT64_FORMAT " gap_ms=%" G_GINT64_FORMAT
	    " total_ms=%" G_GINT64_FORMAT " prompt=%d output=%d hint=%d",
	    request->facts.id == NULL ? "-" : request->facts.id,
	    request->route == NULL ? "-" : request->route->name,
	    request->target.id == NULL ? "-" : request->target.id, status,
	    outcome, verdict_name(request->verdict), request->attempts,
	    request->handovers, request->events, request->last_event,
	    request->first_event_at == 0
		? -1
		: (request->first_event_at - request->arrived_at) /
		    USEC_PER_MSEC,
	    request->longest_gap / USEC_PER_MSEC,
	    (now - request->arrived_at) / USEC_PER_MSEC,
	    request->facts.prompt_tokens, request->facts.max_output_tokens,
	    request->facts.output_hint);
}

/// Counts a request that has ended, and how long it took.
static void
measure(const struct entry_request *request, const char *outcome)
{
	const char *route =
	    request->route == NULL ? "none" : request->route->name;

	series_add(&meter_ended, route, outcome, 1);
	if (request->service == NULL)
		return;
	series_observe(&meter_whole, route, request->service,
	    g_get_monotonic_time() - request->arrived_at);
	if (request->first_event_at != 0)
		series_observe(&meter_first, route, request->service,
		    request->first_event_at - request->arrived_at);
	if (request->events > 1)
		series_observe(
		    &meter_gap, route, request->service, request->longest_gap);
}

/// Takes it that what is under way may have run, if its bytes have left.
static void
note_under_way(struct entry_request *request)
{
	if (request->exchange != NULL &&
	    exchange_may_have_left(request->exchange))
		request->verdict =
		    verdict_raise(request->verdict, VERDICT_MAY_HAVE_RUN);
}

/// Ends a request whose final answer is out.
///
/// @param request  a request
/// @param status   that was answered; 0: broken off
/// @param outcome  one word for the log
void
rq_done(struct entry_request *request, unsigned status, const char *outcome)
{
	note_under_way(request);
	log_end(request, status, outcome);
	measure(request, outcome);
	finish(request);
}

/// Answers with a status of our own.
static void
answer_own(struct entry_request *request, unsigned status, usec_t comeback)
{
	struct http_head head;
	char seconds[32];

	http_head_init(&head);
	head.status = status;
	if (request->facts.id != NULL)
		http_head_add(
		    &head, request->entry->site->id_field, request->facts.id);
	if (comeback > 0) {
		g_snprintf(seconds, sizeof(seconds), "%.2f",
		    (double)comeback / (double)USEC_PER_SEC);
		http_head_add(&head, "Retry-After", seconds);
	}
	http_call_answer(request->call, &head, "", 0);
	http_head_clear(&head);
}

/// Refuses a request that has not run and won't: tells when to come back.
///
/// @param request  a request whose verdict is VERDICT_NOT_RUN
/// @param reason   why
/// @param why      one word for the log
void
rq_refuse(struct entry_request *request, enum retry_after_reason reason,
    const char *why)
{
	usec_t target =
	    request->route == NULL ? 0 : request->route->target_latency;
	usec_t comeback;

	if (request->verdict != VERDICT_NOT_RUN) {
		rq_fail(request, 502, why);
		return;
	}
	comeback = retry_after_span(
	    reason, target, patience_left(request), g_random_double());
	answer_own(request, 503, comeback);
	rq_done(request, 503, why);
}

/// Ends a request without success. What was begun is broken off, so that it
/// can't look complete.
///
/// @param request  a request
/// @param status   for a caller that has got nothing yet
/// @param why      one word for the log
void
rq_fail(struct entry_request *request, unsigned status, const char *why)
{
	if (request->begun) {
		http_call_abort(request->call);
		status = 0;
	} else {
		answer_own(request, status, 0);
	}
	rq_done(request, status, why);
}

/// The caller has gone: work for it ends at once.
static void
on_caller_gone(void *owner)
{
	struct entry_request *request = rq_ref(owner);

	http_call_abort(request->call);
	rq_done(request, 0, "caller-gone");
	rq_unref(request);
}

/// The final answer is due and there is none.
static void
on_expired(struct entry_request *request)
{
	note_under_way(request);
	if (!request->begun && request->verdict == VERDICT_NOT_RUN)
		rq_refuse(
		    request, RETRY_AFTER_UPSTREAMS_FULL, "deadline-not-run");
	else
		rq_fail(request, 504, "deadline");
}

/// Loop callback: something is due.
static gboolean
on_timer(gpointer data)
{
	struct entry_request *request = rq_ref(data);
	usec_t now = g_get_monotonic_time();

	request->timer = 0;
	if (now >= request->deadline) {
		on_expired(request);
	} else if (request->is_waiting && now >= request->wait_deadline) {
		rq_refuse(request, RETRY_AFTER_UPSTREAMS_FULL, "no-room");
	} else {
		if (request->exchange != NULL &&
		    !exchange_may_have_left(request->exchange) &&
		    now >= request->sent_at + REQUEST_CONNECT_SPAN) {
			rq_drop_exchange(request);
			answer_vtable()->failed(request, EXCHANGE_UNREACHABLE);
		} else {
			continuation_run(request);
		}
		if (!request->done)
			rq_set_timer(request);
	}
	rq_unref(request);
	return G_SOURCE_REMOVE;
}

/// Sets the timer to whatever is due next.
///
/// @param request  a request
void
rq_set_timer(struct entry_request *request)
{
	usec_t now = g_get_monotonic_time();
	usec_t at =
	    MIN(request->deadline, handover_wake_time(&request->handover));

	if (request->is_waiting)
		at = MIN(at, request->wait_deadline);
	if (request->exchange != NULL &&
	    !exchange_may_have_left(request->exchange))
		at = MIN(at, request->sent_at + REQUEST_CONNECT_SPAN);
	if (request->timer != 0)
		g_source_remove(request->timer);
	request->timer = g_timeout_add(
	    at <= now ? 0 : (guint)((at - now) / USEC_PER_MSEC + 1), on_timer,
	    request);
}

/// Sends a request to the upstream in `target`.
///
/// @param request  a request without an exchange
/// @param how      what a continuation adds; the rest is filled in
void
rq_send(struct entry_request *request, const struct site_upstream_request *how)
{
	struct entry *entry = request->entry;
	struct site_upstream_request send = *how;
	struct http_head head;
	struct exchange_options options = {
	    .vtable = answer_vtable(),
	    .owner = request,
	    .pool = entry->pool,
	    .address = request->target.address,
	    .head = &head,
	    .echo_field = entry->site->id_field,
	    .echo_value = request->facts.id,
	};

	if (request->facts.id == NULL)
		options.echo_field = NULL;
	options.body = http_call_body(request->call, &options.body_len);
	send.timeout = patience_left(request);
	send.upstream_id = request->target.id;
	send.organisation =
	    request->organisation == NULL ? NULL : request->organisation->name;
	http_head_init(&head);
	entry->site->write_request(http_call_head(request->call), &send, &head);
	if (options.body_len > 0 || strcmp(head.method, "GET") != 0)
		http_head_add_number(&head, "Content-Length", options.body_len);
	request->sent_at = g_get_monotonic_time();
	request->charged = rq_load(request);
	request->is_charged = true;
	dispatch_adjust_load(
	    entry->dispatch, &request->target, &request->charged, 1);
	if (request->route->is_generation)
		peers_hurry(entry->peers);
	event_splitter_reset(&request->splitter);
	request->events_of_run = 0;
	request->exchange = exchange_start(&options);
	http_head_clear(&head);
	rq_set_timer(request);
}

/// Whether a request may be sent once more after it may have run.
///
/// @param request  a request
/// @return false for what must run at most once
bool
rq_may_repeat(const struct entry_request *request)
{
	return request->route->kind == ROUTE_IDEMPOTENT ||
	    (request->route->kind == ROUTE_STREAM && request->route->resumable);
}

/// Puts a request in the queue for room.
static void
wait_for_room(struct entry_request *request)
{
	const struct organisation *organisation = request->organisation;
	usec_t now = g_get_monotonic_time();
	const struct wait_queue_entry entry = {
	    .request = request,
	    .service = hash_name(request->service),
	    .priority = organisation != NULL && organisation->priority >= 0
		? (uint32_t)organisation->priority
		: request->route->priority,
	    .deadline = MIN(request->deadline,
		now + request->route->target_latency / REQUEST_WAIT_PARTS),
	};

	if (request->is_waiting)
		return;
	log_event(LOG_LEVEL_INFO, "request-waits",
	    "id=%s route=%s priority=%u waiting=%u until_ms=%" G_GINT64_FORMAT,
	    request->facts.id == NULL ? "-" : request->facts.id,
	    request->route->name, entry.priority,
	    wait_queue_length(request->entry->waiting),
	    (entry.deadline - now) / USEC_PER_MSEC);
	request->is_waiting = true;
	request->wait_deadline = entry.deadline;
	wait_queue_add(request->entry->waiting, &entry);
	rq_set_timer(request);
}

/// Sends a request to the upstream that placement has found.
static void
send_first(struct entry_request *request)
{
	const struct site_upstream_request how = {
	    .last_event = request->last_event};

	wait_queue_remove(request->entry->waiting, request);
	request->is_waiting = false;
	request->attempts++;
	log_event(LOG_LEVEL_INFO, "request-placed",
	    "id=%s route=%s upstream=%s address=%s zone=%s attempt=%u "
	    "config=%" G_GUINT64_FORMAT " view_age_ms=%" G_GINT64_FORMAT
	    " waited_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT,
	    request->facts.id == NULL ? "-" : request->facts.id,
	    request->route->name, request->target.id, request->target.address,
	    request->target.zone, request->attempts,
	    request->deployment->version,
	    (g_get_monotonic_time() -
		view_confirmed_at(request->entry->view, SITE_SCOPE_UPSTREAMS)) /
		USEC_PER_MSEC,
	    (g_get_monotonic_time() - request->arrived_at) / USEC_PER_MSEC,
	    patience_left(request) / USEC_PER_MSEC);
	if (request->attempts == 1)
		series_observe(&meter_wait, request->route->name,
		    request->service,
		    g_get_monotonic_time() - request->arrived_at);
	rq_note_tried(request, request->target.key);
	rq_send(request, &how);
}

/// Tries to place a request.
///
/// @return the outcome
static enum place_outcome
try_place(struct entry_request *request)
{
	const struct dispatch_request wanted = {
	    .service = request->service,
	    .place = rq_size(request),
	    .tried = request->tried,
	    .n_tried = request->n_tried,
	};
	enum place_outcome outcome;

	dispatch_target_clear(&request->target);
	outcome =
	    dispatch_place(request->entry->dispatch, &wanted, &request->target);
	if (outcome == PLACE_FOUND)
		send_first(request);
	return outcome;
}

/// Places a request: sends it, lets it wait, or refuses it at once.
///
/// @param request  a request without an exchange
void
rq_place(struct entry_request *request)
{
	switch (try_place(request)) {
	case PLACE_FOUND:
		break;
	case PLACE_FULL:
		wait_for_room(request);
		break;
	default:
		rq_refuse(request, RETRY_AFTER_NO_UPSTREAM, "no-upstream");
		break;
	}
}

/// Queue callback: tries to place one that waits.
static bool
attempt_waiting(void *owner, void *data)
{
	struct entry_request *request = data;

	(void)owner;
	return try_place(request) == PLACE_FOUND;
}

/// Places what waits, as far as there is room now.
///
/// @param entry  the instance
void
rq_run_waiting(struct entry *entry)
{
	wait_queue_process(entry->waiting, attempt_waiting, entry);
}

/// Finds out who sends a request and where it goes.
///
/// @return 0, or the status with which it is refused
static unsigned
judge(struct entry_request *request)
{
	const struct http_head *head = http_call_head(request->call);
	const char *key = request->facts.key;

	request->route = deployment_find_route(
	    request->deployment, request->facts.host, head->target);
	if (request->route == NULL)
		return 404;
	if (key != NULL)
		request->organisation =
		    deployment_find_organisation(request->deployment, key);
	if (request->deployment->needs_keys && !request->route->is_public &&
	    request->organisation == NULL)
		return 401;
	return 0;
}

/// Works out when the final answer is due.
static usec_t
deadline_of(const struct entry_request *request)
{
	usec_t deadline = request->arrived_at + request->route->timeout;

	if (request->facts.timeout > 0)
		deadline =
		    MIN(deadline, request->arrived_at + request->facts.timeout);
	return deadline;
}

/// Whether a request is sure to end before this process does. Its caller is
/// served by another instance otherwise.
static bool
ends_before_leaving(const struct entry_request *request)
{
	const struct entry *entry = request->entry;
	const struct shutdown_work work = {
	    .is_generation = request->route->is_generation,
	    .max_output_tokens = (uint32_t)request->facts.max_output_tokens,
	    .expected_span = request->route->target_latency,
	};

	return !entry->leaving ||
	    shutdown_admission_accepts(
		&work, entry->leave_deadline - g_get_monotonic_time());
}

/// Makes the request of a call.
static struct entry_request *
rq_new(struct entry *entry, struct http_call *call)
{
	struct entry_request *request = g_new0(struct entry_request, 1);

	request->entry = entry;
	request->call = call;
	request->refs = 1;
	request->arrived_at = http_call_begun_at(call);
	request->deadline = USEC_NEVER;
	request->body = g_string_new(NULL);
	http_head_init(&request->answer);
	event_splitter_init(&request->splitter);
	entry->site->read_request(http_call_head(call), &request->facts);
	/* The call's head is gone before the last line is logged. */
	request->facts.id = g_strdup(request->facts.id);
	request->last_event = request->facts.last_event;
	continuation_init(request);
	g_hash_table_add(entry->requests, request);
	http_call_on_gone(call, on_caller_gone, request);
	return request;
}

/// Takes a whole request of a caller.
///
/// @param entry  the instance
/// @param call   the caller's
void
rq_begin(struct entry *entry, struct http_call *call)
{
	struct entry_request *request = rq_ref(rq_new(entry, call));
	unsigned status;

	if (!view_is_complete(entry->view)) {
		request->deadline = g_get_monotonic_time() +
		    (request->facts.timeout > 0 ? request->facts.timeout
						: USEC_PER_SEC);
		rq_refuse(request, RETRY_AFTER_STARTING, "starting");
		goto out;
	}
	request->deployment = deployment_ref(view_deployment(entry->view));
	status = judge(request);
	if (status != 0) {
		rq_fail(request, status,
		    status == 404 ? "no-route" : "unknown-key");
		goto out;
	}
	request->deadline = deadline_of(request);
	request->service = route_pick_service(request->route,
	    hash_name(request->facts.id == NULL ? "" : request->facts.id));
	if (request->service == NULL) {
		rq_refuse(request, RETRY_AFTER_NO_UPSTREAM, "no-service");
		goto out;
	}
	if (request->route->is_generation)
		request->series = series_of(request);
	if (!ends_before_leaving(request)) {
		rq_refuse(request, RETRY_AFTER_LEAVING, "leaving");
		goto out;
	}
	dispatch_record_first_request(entry->dispatch, request->service);
	rq_place(request);
out:
	rq_unref(request);
}

/// Takes it that an upstream leaves: generations that run there are handed
/// over.
///
/// @param entry      the instance
/// @param id         the upstream's
/// @param leaves_at  when it will be gone; 0: not known
/// @return how many generations run there
unsigned
rq_upstream_leaves(struct entry *entry, const char *id, usec_t leaves_at)
{
	GList *requests = g_hash_table_get_keys(entry->requests);
	unsigned n = 0;

	for (GList *l = requests; l != NULL; l = l->next) {
		struct entry_request *request = l->data;

		if (request->done || request->exchange == NULL ||
		    request->target.id == NULL ||
		    strcmp(request->target.id, id) != 0)
			continue;
		rq_ref(request);
		continuation_notice(request, leaves_at);
		rq_unref(request);
		n++;
	}
	g_list_free(requests);
	return n;
}

/// Whether an upstream's entry is missing and the upstream still kept.
static bool
is_held(const struct entry *entry, const char *id)
{
	const struct upstream_record *record =
	    directory_find(view_directory(entry->view), id);

	return record != NULL && record->missing_deadline != 0;
}

/// Lists the engines that run generations of this instance which could be
/// handed over.
///
/// @param entry      the instance
/// @param held_only  only those whose entries are missing around an outage
/// @return id -> address; free with g_hash_table_unref()
GHashTable *
rq_engines(struct entry *entry, bool held_only)
{
	GHashTable *engines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, entry->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct entry_request *request = key;

		if (request->exchange != NULL &&
		    continuation_can_move(request) &&
		    (!held_only || is_held(entry, request->target.id)))
			g_hash_table_replace(engines,
			    g_strdup(request->target.id),
			    g_strdup(request->target.address));
	}
	return engines;
}

/// Breaks off every request: the process ends.
///
/// @param entry  the instance
void
rq_abort_all(struct entry *entry)
{
	GList *requests = g_hash_table_get_keys(entry->requests);

	for (GList *l = requests; l != NULL; l = l->next) {
		struct entry_request *request = l->data;

		rq_ref(request);
		if (!request->done)
			rq_fail(request, 502, "process-ends");
		rq_unref(request);
	}
	g_list_free(requests);
}
