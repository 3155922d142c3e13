/*
 * The pipe that every request goes through: parse, identify, authorise,
 * admit, place (waits for the router), claim, forward.
 */
#include "godwitvale/serve/request.h"

#include <string.h>

#include <json-c/json.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/serve/parse.h"
#include "godwitvale/upstream/call.h"
#include "godwitvale/upstream/generation.h"
#include "godwitvale/upstream/upstream.h"

/// When to come back while this instance leaves or lacks authority.
#define RETRY_SOON (1 * USEC_PER_SEC)
/// Default longest wait for a start where no class says it.
#define DEFAULT_PATIENCE (30 * USEC_PER_SEC)

/// Refuses a request.
///
/// @param request  the request
/// @param refusal  why
/// @return FILTER_DONE
static enum filter_result
reject(struct request *request, enum refusal refusal)
{
	request_refuse(
	    request, refusal, g_get_monotonic_time() + RETRY_SOON, NULL);
	return FILTER_DONE;
}

/// Refuses what the bundle in force does not know; a newer one may know it.
///
/// @param request  the request
/// @param refusal  why
/// @return FILTER_DONE
static enum filter_result
reject_unknown(struct request *request, enum refusal refusal)
{
	bool newest = authority_may_admit(
	    &request->instance->authority, g_get_monotonic_time());

	return reject(request, newest ? refusal : REFUSAL_ISOLATED);
}

/// Splits the path of a plain service's call into name and rest.
///
/// @param request  the request; target and path are filled in
/// @param path     the caller's path
/// @param query    the caller's query, or NULL
/// @return false when it names no service
static bool
split_service_path(struct request *request, const char *path, const char *query)
{
	const char *name = path + strlen(SERVICE_PREFIX);
	const char *rest = strchr(name, '/');

	if (rest == name || *name == '\0')
		return false;
	if (rest == NULL)
		rest = name + strlen(name);
	request->target = g_strndup(name, (gsize)(rest - name));
	request->path = g_strconcat(*rest == '\0' ? "/" : rest,
	    query == NULL ? "" : "?", query == NULL ? "" : query, NULL);
	return true;
}

/// Filter: tells what is asked for.
///
/// @param request  the request
/// @return FILTER_NEXT, or FILTER_DONE on bad input
static enum filter_result
filter_parse(struct request *request)
{
	GUri *uri = soup_server_message_get_uri(request->message);
	const char *path = g_uri_get_path(uri);
	const char *method = soup_server_message_get_method(request->message);
	GError *error = NULL;

	if (g_str_has_prefix(path, SERVICE_PREFIX)) {
		request->kind = REQUEST_CALL;
		if (!split_service_path(request, path, g_uri_get_query(uri)))
			return reject(request, REFUSAL_NO_SERVICE);
		return FILTER_NEXT;
	}
	request->kind = REQUEST_GENERATION;
	request->chat = strcmp(path, "/v1/chat/completions") == 0;
	if (!request->chat && strcmp(path, "/v1/completions") != 0)
		return reject(request, REFUSAL_NO_SUCH_PATH);
	if (strcmp(method, "POST") != 0)
		return reject(request, REFUSAL_METHOD);
	if (!parse_generation(request, &error)) {
		request_refuse(request, REFUSAL_BAD_REQUEST, 0, error->message);
		g_error_free(error);
		return FILTER_DONE;
	}
	return FILTER_NEXT;
}

/// Looks up the organisation and the workload class.
///
/// @param request  the request
/// @param bundle   the bundle in force
/// @return false when the organisation is not known
static bool
identify_caller(struct request *request, const struct bundle *bundle)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(request->message);
	const char *token =
	    soup_message_headers_get_one(headers, "Authorization");
	const char *class_name =
	    soup_message_headers_get_one(headers, "X-Class");
	const struct bundle_organisation *organisation;
	const struct bundle_class *workload;
	usec_t patience = DEFAULT_PATIENCE;

	if (token == NULL || !g_str_has_prefix(token, "Bearer "))
		return false;
	organisation = bundle_find_organisation_by_token(
	    bundle, token + strlen("Bearer "));
	if (organisation == NULL)
		return false;
	request->organisation = g_quark_from_string(organisation->name);
	request->weight = organisation->weight;
	workload =
	    class_name == NULL ? NULL : bundle_find_class(bundle, class_name);
	if (workload == NULL)
		workload = bundle_find_class(bundle, "default");
	if (workload != NULL) {
		request->priority = workload->priority;
		request->class_id = g_quark_from_string(workload->name);
		patience = workload->patience;
	}
	request->start_deadline = g_get_monotonic_time() + patience;
	return true;
}

/// Works out the identity of a call that must not be repeated.
///
/// @param request  the request; its key is filled in
/// @param service  the service's part of the bundle
/// @return false when the caller sent none and the bundle demands one
static bool
identify_call(struct request *request, const struct bundle_service *service)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(request->message);
	GString *name = g_string_new(g_quark_to_string(request->organisation));
	const char *id = NULL;
	gsize len = 0;
	const void *bytes;

	g_string_append_c(name, '\0');
	g_string_append(name, request->target);
	g_string_append_c(name, '\0');
	if (service->identity == BUNDLE_IDENTITY_HEADER) {
		id = soup_message_headers_get_one(
		    headers, service->identity_header);
		if (id == NULL || *id == '\0') {
			g_string_free(name, TRUE);
			return false;
		}
		g_string_append(name, id);
	} else {
		g_string_append(
		    name, soup_server_message_get_method(request->message));
		g_string_append(name, request->path);
		g_string_append_c(name, '\0');
		bytes = g_bytes_get_data(request->body, &len);
		g_string_append_len(name, bytes, (gssize)len);
	}
	request->key =
	    quorum_key_make(QUORUM_ONCE, "call", name->str, name->len);
	g_string_free(name, TRUE);
	return true;
}

/// Filter: tells who asks, and what the bundle says of the target.
///
/// @param request  the request
/// @return FILTER_NEXT, or FILTER_DONE when refused
static enum filter_result
filter_identify(struct request *request)
{
	const struct bundle *bundle = request->instance->bundle;
	const struct bundle_service *service;
	const struct bundle_model *model;

	if (bundle == NULL)
		return reject(request, REFUSAL_NO_BUNDLE);
	if (!identify_caller(request, bundle))
		return reject_unknown(request, REFUSAL_ORGANISATION);
	if (request->kind == REQUEST_GENERATION) {
		request->idempotent = true;
		model = bundle_find_model(bundle, request->target);
		if (model == NULL)
			return reject_unknown(request, REFUSAL_NO_MODEL);
		if (request->max_tokens == 0 ||
		    request->max_tokens > model->max_tokens)
			request->max_tokens = model->max_tokens;
		return FILTER_NEXT;
	}
	service = bundle_find_service(bundle, request->target);
	if (service == NULL)
		return reject_unknown(request, REFUSAL_NO_SERVICE);
	request->idempotent = service->idempotent;
	request->call_timeout = service->timeout;
	if (!service->idempotent && !identify_call(request, service))
		return reject(request, REFUSAL_NO_REQUEST_ID);
	return FILTER_NEXT;
}

/// Refuses work that the newest bundle may not allow any more.
///
/// @param request  the request
/// @return FILTER_NEXT, or FILTER_DONE when refused
static enum filter_result
check_authority(struct request *request)
{
	usec_t now = g_get_monotonic_time();

	if (authority_may_admit(&request->instance->authority, now))
		return FILTER_NEXT;
	metrics_add(METRIC_STALE_BUNDLE_REFUSALS, 1);
	return reject(request, REFUSAL_ISOLATED);
}

/// Filter: takes new work only while the bundle in force is known to be the
/// newest accepted one and this instance is in service.
///
/// @param request  the request
/// @return FILTER_NEXT, or FILTER_DONE when refused
static enum filter_result
filter_authorise(struct request *request)
{
	struct instance *instance = request->instance;

	if (!authority_may_admit(&instance->authority, g_get_monotonic_time()))
		return check_authority(request);
	if (!instance->draining && !instance->taken_out)
		return FILTER_NEXT;
	request_refuse_checked(
	    request, REFUSAL_LEAVING, g_get_monotonic_time() + RETRY_SOON);
	return FILTER_WAIT;
}

/// Filter: hands the request to the router; its answer advances it.
///
/// @param request  the request
/// @return FILTER_WAIT
static enum filter_result
filter_admit(struct request *request)
{
	struct router_request_options options = {
	    .organisation = request->organisation,
	    .service = g_quark_from_string(request->target),
	    .class_id = request->class_id,
	    .weight = request->weight,
	    .priority = request->priority,
	    .prompt_tokens = request->prompt_tokens,
	    .max_tokens = request->max_tokens,
	    .start_deadline = request->start_deadline,
	    .idempotent = request->idempotent,
	    .n_prefix = request->n_prefix,
	};

	memcpy(options.prefix, request->prefix, sizeof(options.prefix));
	request->routed = router_submit(
	    request->instance->router, g_get_monotonic_time(), &options);
	return FILTER_WAIT;
}

/// Filter: asks again, at the moment of the send, whether work may go out.
///
/// @param request  a request that the router has placed
/// @return FILTER_NEXT, or FILTER_DONE when refused
static enum filter_result
filter_confirm(struct request *request)
{
	return check_authority(request);
}

/// Filter: gets the grant that a call which must not be repeated needs.
///
/// @param request  the request
/// @return FILTER_NEXT where none is needed, else FILTER_WAIT
static enum filter_result
filter_claim(struct request *request)
{
	struct instance *instance = request->instance;
	struct quorum_claim_options options = {0};

	if (request->idempotent)
		return FILTER_NEXT;
	request->ticket = quorum_start_claim(
	    instance->quorum, g_get_monotonic_time(), &request->key, &options);
	return FILTER_WAIT;
}

/// Filter: sends the request to its upstream.
///
/// @param request  the request
/// @return FILTER_WAIT
static enum filter_result
filter_forward(struct request *request)
{
	if (request->kind == REQUEST_GENERATION)
		generation_start(request);
	else
		call_start(request);
	return FILTER_WAIT;
}

const struct filter request_filters[] = {
    {filter_parse, "parse"},
    {filter_identify, "identify"},
    {filter_authorise, "authorise"},
    {filter_admit, "admit"},
    {filter_confirm, "confirm"},
    {filter_claim, "claim"},
    {filter_forward, "forward"},
    {NULL, NULL},
};

const struct filter *const request_placed_filter = &request_filters[4];
