/*
 * Filters that process every caller's request, in order: parse, identify,
 * authorise, admit (waits until the router has placed the request), confirm,
 * claim and forward.
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

/// Retry-After delay of the refusals that filters send.
#define RETRY_DELAY (1 * USEC_PER_SEC)
/// Maximum wait for a start if the bundle has no class for the request.
#define DEFAULT_PATIENCE (30 * USEC_PER_SEC)

/// Refuses a request. If the refusal is retryable, the caller is told to retry
/// after RETRY_DELAY.
///
/// @param request  a request without an answer; may be freed
/// @param refusal  reason sent to the caller
/// @return FILTER_DONE
static enum filter_result
reject_request(struct request *request, enum refusal refusal)
{
	request_refuse(
	    request, refusal, g_get_monotonic_time() + RETRY_DELAY, NULL);
	return FILTER_DONE;
}

/// Refuses a request whose organisation, model or service is missing from the
/// bundle in force. Unless that bundle is known to be the newest, the reason
/// is REFUSAL_ISOLATED, because a newer bundle may contain the missing entry.
///
/// @param request  a request without an answer; may be freed
/// @param refusal  reason if the bundle in force is the newest
/// @return FILTER_DONE
static enum filter_result
reject_not_in_bundle(struct request *request, enum refusal refusal)
{
	bool bundle_is_newest = bundle_freshness_may_admit(
	    &request->instance->bundle_freshness, g_get_monotonic_time());

	return reject_request(
	    request, bundle_is_newest ? refusal : REFUSAL_ISOLATED);
}

/// Splits the path of a call of a plain service into the service's name and
/// the path that is sent to the service.
///
/// @param request  the call; its target and path are set
/// @param path     the caller's path, which starts with SERVICE_PREFIX
/// @param query    the caller's query without "?", or NULL
/// @return false if the path contains no service name
static bool
split_service_path(struct request *request, const char *path, const char *query)
{
	const char *name = path + strlen(SERVICE_PREFIX);
	const char *service_path = strchr(name, '/');

	if (service_path == name || *name == '\0')
		return false;
	if (service_path == NULL)
		service_path = name + strlen(name);
	request->target = g_strndup(name, (gsize)(service_path - name));
	request->path = g_strconcat(*service_path == '\0' ? "/" : service_path,
	    query == NULL ? "" : "?", query == NULL ? "" : query, NULL);
	return true;
}

/// Filter: determines whether the request is a generation or a call of a plain
/// service, and reads its target.
///
/// @param request  a request whose body has been received
/// @return FILTER_NEXT, or FILTER_DONE if the request is invalid
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
			return reject_request(request, REFUSAL_UNKNOWN_SERVICE);
		return FILTER_NEXT;
	}
	request->kind = REQUEST_GENERATION;
	request->chat = strcmp(path, "/v1/chat/completions") == 0;
	if (!request->chat && strcmp(path, "/v1/completions") != 0)
		return reject_request(request, REFUSAL_NO_SUCH_PATH);
	if (strcmp(method, "POST") != 0)
		return reject_request(request, REFUSAL_WRONG_METHOD);
	if (!parse_generation_request(request, &error)) {
		request_refuse(request, REFUSAL_BAD_REQUEST, 0, error->message);
		g_error_free(error);
		return FILTER_DONE;
	}
	return FILTER_NEXT;
}

/// Looks up the caller's organisation and workload class in the bundle. Uses
/// the class "default" if the request names no known class.
///
/// @param request  its organisation, class and start deadline are set
/// @param bundle   the bundle in force
/// @return false if the request has no token of a known organisation
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

/// Sets the quorum key of a call that must run at most once. The key is a hash
/// of the organisation, the service and the request id. If the service uses no
/// request id header, the method, path and body replace the request id.
///
/// @param request  the call; its key is set
/// @param service  the service's entry in the bundle
/// @return false if the required request id header is missing
static bool
set_call_key(struct request *request, const struct bundle_service *service)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(request->message);
	GString *identity =
	    g_string_new(g_quark_to_string(request->organisation));
	const char *header_value = NULL;
	gsize len = 0;
	const void *bytes;

	g_string_append_c(identity, '\0');
	g_string_append(identity, request->target);
	g_string_append_c(identity, '\0');
	if (service->identity == BUNDLE_IDENTITY_HEADER) {
		header_value = soup_message_headers_get_one(
		    headers, service->identity_header);
		if (header_value == NULL || *header_value == '\0') {
			g_string_free(identity, TRUE);
			return false;
		}
		g_string_append(identity, header_value);
	} else {
		g_string_append(
		    identity, soup_server_message_get_method(request->message));
		g_string_append(identity, request->path);
		g_string_append_c(identity, '\0');
		bytes = g_bytes_get_data(request->body, &len);
		g_string_append_len(identity, bytes, (gssize)len);
	}
	request->key =
	    quorum_key_make(QUORUM_ONCE, "call", identity->str, identity->len);
	g_string_free(identity, TRUE);
	return true;
}

/// Filter: identifies the caller, and reads the options of the model or
/// service from the bundle.
///
/// @param request  a parsed request
/// @return FILTER_NEXT, or FILTER_DONE if the request was refused
static enum filter_result
filter_identify(struct request *request)
{
	const struct bundle *bundle = request->instance->bundle;
	const struct bundle_service *service;
	const struct bundle_model *model;

	if (bundle == NULL)
		return reject_request(request, REFUSAL_NO_BUNDLE);
	if (!identify_caller(request, bundle))
		return reject_not_in_bundle(
		    request, REFUSAL_UNKNOWN_ORGANISATION);
	if (request->kind == REQUEST_GENERATION) {
		request->idempotent = true;
		model = bundle_find_model(bundle, request->target);
		if (model == NULL)
			return reject_not_in_bundle(
			    request, REFUSAL_UNKNOWN_MODEL);
		if (request->max_tokens == 0 ||
		    request->max_tokens > model->max_tokens)
			request->max_tokens = model->max_tokens;
		return FILTER_NEXT;
	}
	service = bundle_find_service(bundle, request->target);
	if (service == NULL)
		return reject_not_in_bundle(request, REFUSAL_UNKNOWN_SERVICE);
	request->idempotent = service->idempotent;
	request->call_timeout = service->timeout;
	if (!service->idempotent && !set_call_key(request, service))
		return reject_request(request, REFUSAL_NO_REQUEST_ID);
	return FILTER_NEXT;
}

/// Refuses a request unless the bundle in force is known to be the newest one,
/// because a newer bundle may no longer allow the request.
///
/// @param request  a request that has not been sent
/// @return FILTER_NEXT, or FILTER_DONE if the request was refused
static enum filter_result
check_bundle_freshness(struct request *request)
{
	usec_t now = g_get_monotonic_time();

	if (bundle_freshness_may_admit(
		&request->instance->bundle_freshness, now))
		return FILTER_NEXT;
	metrics_add(METRIC_STALE_BUNDLE_REFUSALS, 1);
	return reject_request(request, REFUSAL_ISOLATED);
}

/// Filter: refuses new work unless the bundle in force is known to be the
/// newest accepted one and this instance is in service.
///
/// @param request  an identified request
/// @return FILTER_NEXT, FILTER_DONE if the request was refused because of the
///         bundle, or FILTER_WAIT if it is refused because this instance is
///         leaving or out of service
static enum filter_result
filter_authorise(struct request *request)
{
	struct instance *instance = request->instance;

	if (!bundle_freshness_may_admit(
		&instance->bundle_freshness, g_get_monotonic_time()))
		return check_bundle_freshness(request);
	if (!instance->draining && !instance->out_of_service)
		return FILTER_NEXT;
	request_refuse_unsent(
	    request, REFUSAL_LEAVING, g_get_monotonic_time() + RETRY_DELAY);
	return FILTER_WAIT;
}

/// Filter: submits the request to the router. The router's SEND action
/// continues the request; its REFUSE action ends it.
///
/// @param request  an authorised request
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
	request->router_handle = router_submit(
	    request->instance->router, g_get_monotonic_time(), &options);
	return FILTER_WAIT;
}

/// Filter: checks the bundle again before the request is sent, because the
/// request may have waited in the router's queue.
///
/// @param request  a request that the router has placed
/// @return FILTER_NEXT, or FILTER_DONE if the request was refused
static enum filter_result
filter_confirm(struct request *request)
{
	return check_bundle_freshness(request);
}

/// Filter: claims the grant that a call needs if it must run at most once.
///
/// @param request  a confirmed request
/// @return FILTER_NEXT if the request is idempotent, otherwise FILTER_WAIT
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
/// @param request  a placed request, with a grant if one is needed
/// @return FILTER_WAIT
static enum filter_result
filter_forward(struct request *request)
{
	if (request->kind == REQUEST_GENERATION)
		generation_start(request);
	else
		call_send(request);
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

const struct filter *const request_filter_after_placement = &request_filters[4];
