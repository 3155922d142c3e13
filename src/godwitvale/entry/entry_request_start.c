/*
 * Start of a caller's request: finds its route, its organisation and its
 * deadline, and has it placed.
 */
#include "godwitvale/core/hash.h"
#include "godwitvale/entry/entry_request.h"
#include "godwitvale/entry/entry_request_defs.h"
#include "godwitvale/entry/forward_fields.h"
#include "godwitvale/entry/forwarding.h"
#include "godwitvale/entry/resumption.h"
#include "godwitvale/entry/shutdown.h"
#include "godwitvale/entry/stream_lookup.h"

/// Returns the series of output lengths of a request's service and route.
static struct estimate_series *
find_output_series(const struct entry_request *request)
{
	const struct estimate_key key = {
	    .organisation = ESTIMATE_ALL,
	    .service = (uint32_t)hash_name(request->service),
	    .class_id = (uint32_t)hash_name(request->route->name),
	};

	return estimate_get_series(request->entry->estimate, &key);
}

/// Server callback: the caller has disconnected. Ends the work for it.
static void
on_caller_disconnected(void *owner)
{
	struct entry_request *request = entry_request_ref(owner);

	http_call_abort(request->call);
	entry_request_finish(request, 0, "caller-gone");
	entry_request_unref(request);
}

/// Finds a request's route and the organisation that sends it.
///
/// @param fields  of a request that another instance has forwarded, which knows
///                the organisation; else NULL
/// @return 0, or the HTTP status of the refusal
static unsigned
find_route_and_organisation(
    struct entry_request *request, const struct forward_request *fields)
{
	const struct http_head *head = http_call_head(request->call);
	const char *key = request->params.key;

	request->route = deployment_find_route(
	    request->deployment, request->params.host, head->target);
	if (request->route == NULL)
		return 404;
	if (fields != NULL && fields->organisation != NULL)
		request->organisation = deployment_find_organisation_by_name(
		    request->deployment, fields->organisation);
	else if (fields == NULL && key != NULL)
		request->organisation =
		    deployment_find_organisation(request->deployment, key);
	if (request->deployment->needs_keys && !request->route->is_public &&
	    request->organisation == NULL)
		return 401;
	return 0;
}

/// Computes the fingerprint of a request whose organisation is known. A caller
/// may hold several keys, so the organisation stands for it.
static uint64_t
compute_fingerprint(const struct entry_request *request)
{
	const char *caller = request->params.key;
	uint64_t fingerprint = hash_name(http_call_head(request->call)->target);
	size_t len;
	const char *body = http_call_body(request->call, &len);

	if (request->organisation != NULL)
		caller = request->organisation->name;
	fingerprint =
	    hash_pair(fingerprint, hash_name(caller == NULL ? "" : caller));
	return hash_pair(fingerprint, hash_bytes(body, len, 0));
}

/// Computes the deadline for the final answer: the earlier of the route's
/// timeout and the end of the time that the caller waits.
static usec_t
compute_deadline(const struct entry_request *request)
{
	usec_t deadline = request->arrived_at + request->route->timeout;

	if (request->params.timeout > 0)
		deadline = MIN(
		    deadline, request->arrived_at + request->params.timeout);
	return deadline;
}

/// Creates the request for a call.
static struct entry_request *
entry_request_new(struct entry *entry, struct http_call *call)
{
	struct entry_request *request = g_new0(struct entry_request, 1);

	request->entry = entry;
	request->call = call;
	request->connection = http_call_connection(call);
	request->refs = 1;
	request->arrived_at = http_call_begun_at(call);
	request->received_at = http_call_received_at(call);
	request->deadline = USEC_NEVER;
	request->answer_body = g_string_new(NULL);
	request->answer_hold.limits = http_call_account(call);
	http_head_init(&request->answer_head);
	event_splitter_init(&request->splitter);
	entry->site->read_request(http_call_head(call), &request->params);
	/* The call's head is freed before the last log line is written. */
	request->params.id = g_strdup(request->params.id);
	request->last_event_id = request->params.last_event;
	if (request->params.resumes != NULL)
		request->resumed_stream = hash_name(request->params.resumes);
	request->named_limit = -1;
	continuation_init(request);
	g_hash_table_add(entry->requests, request);
	http_call_on_disconnect(call, on_caller_disconnected, request);
	return request;
}

/// Finds the route of a request and the rest of what placement needs.
///
/// @return 0, or the HTTP status of the refusal
static unsigned
prepare(struct entry_request *request, const struct forward_request *fields)
{
	const char *id = request->params.id == NULL ? "" : request->params.id;
	unsigned status;

	request->deployment =
	    deployment_ref(view_deployment(request->entry->view));
	status = find_route_and_organisation(request, fields);
	if (status != 0)
		return status;
	request->fingerprint = compute_fingerprint(request);
	request->deadline = compute_deadline(request);
	request->target_at = request->arrived_at +
	    request->route->target_latency -
	    earlier_waits_note(request->entry->earlier_waits,
		hash_name(request->route->name),
		request->organisation == NULL
		    ? 0
		    : hash_name(request->organisation->name),
		request->params.timeout);
	request->service = route_pick_service(request->route, hash_name(id));
	if (request->route->is_generation && request->service != NULL)
		request->output_series = find_output_series(request);
	return 0;
}

/// Ends a request for which there is no route, or whose caller isn't known.
static void
fail_unknown(struct entry_request *request, unsigned status)
{
	const char *outcome = status == 404 ? "no-route" : "unknown-key";

	/* The sender's configuration decides; this instance's is newer. */
	if (request->is_forwarded)
		entry_request_refuse(request, RETRY_AFTER_STARTING, outcome);
	else
		entry_request_fail(request, status, outcome);
}

/// Refuses a request while this instance has no configuration or upstreams.
static void
refuse_while_starting(struct entry_request *request, const char *outcome)
{
	request->deadline = g_get_monotonic_time() +
	    (request->params.timeout > 0 ? request->params.timeout
					 : USEC_PER_SEC);
	entry_request_refuse(request, RETRY_AFTER_STARTING, outcome);
}

/// Counts the arrival of a request at its service, unless the instance that
/// forwards it has: as a first one, or as a retry of an attempt elsewhere.
///
/// @return false if there is no permit for the retry
static bool
count_arrival(struct entry_request *request)
{
	if (request->is_counted)
		return true;
	if (request->attempts > 0)
		return entry_request_take_retry_permit(request);
	if (!request->is_forwarded && forwarding_is_needed(request))
		return true;
	dispatch_record_first_request(
	    request->entry->dispatch, request->service);
	request->is_counted = true;
	return true;
}

/// Places a request that is prepared, or refuses it.
static void
begin(struct entry_request *request)
{
	if (request->service == NULL)
		entry_request_refuse(
		    request, RETRY_AFTER_NO_UPSTREAM, "no-service");
	else if (shutdown_refuse_if_late(request))
		return;
	else if (!count_arrival(request))
		entry_request_refuse(
		    request, RETRY_AFTER_UPSTREAMS_FULL, "no-retry-permit");
	else if (request->has_version)
		resumption_place_at_version(request);
	else if (resumption_is_needed(request))
		stream_lookup_start(request);
	else
		entry_request_place(request);
}

/// Handles a complete request of a caller: places it or refuses it.
///
/// @param entry  instance that received the request
/// @param call   HTTP call to answer
void
entry_request_start(struct entry *entry, struct http_call *call)
{
	struct entry_request *request =
	    entry_request_ref(entry_request_new(entry, call));
	unsigned status;

	if (!view_is_complete(entry->view)) {
		refuse_while_starting(request, "starting");
		goto out;
	}
	status = prepare(request, NULL);
	if (status != 0)
		fail_unknown(request, status);
	else
		begin(request);
out:
	entry_request_unref(request);
}

/// Handles a complete request that another instance forwards.
///
/// @param entry      this instance
/// @param call       HTTP call to answer
/// @param fields     what the other instance says of the request
/// @param objection  why it isn't taken, in one word; NULL: it is
void
entry_request_start_forwarded(struct entry *entry, struct http_call *call,
    const struct forward_request *fields, const char *objection)
{
	struct entry_request *request =
	    entry_request_ref(entry_request_new(entry, call));
	unsigned status;

	request->is_forwarded = true;
	request->attempts = fields->attempts;
	request->is_counted = fields->is_counted;
	request->has_version = fields->has_version;
	request->version_key = fields->version_key;
	if (objection != NULL) {
		refuse_while_starting(request, objection);
		goto out;
	}
	status = prepare(request, fields);
	if (status != 0)
		fail_unknown(request, status);
	else
		begin(request);
out:
	entry_request_unref(request);
}
