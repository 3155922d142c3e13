/*
 * Runs generations: sends a request to its engine, relays the tokens of the
 * engine's stream to the caller, and resumes a stream that broke off, stalled
 * or has a gap.
 */
#include "godwitvale/upstream/generation.h"

#include <string.h>

#include <json-c/json.h>

#include "godwitvale/core/verdict.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/serve/actions.h"
#include "godwitvale/serve/parse.h"
#include "godwitvale/serve/request.h"
#include "godwitvale/upstream/sse.h"
#include "godwitvale/upstream/upstream.h"

/// Size of a read from an engine's stream, in bytes.
#define READ_BYTES (32 * 1024)
/// Number of resumes without a new token after which a generation fails.
#define RESUME_LIMIT 4
/// HTTP status 429, for which libsoup has no constant.
#define STATUS_TOO_MANY_REQUESTS 429
/// Delay after which a caller may retry a failed generation.
#define FAILURE_RETRY_DELAY (2 * USEC_PER_SEC)

/// One HTTP exchange with an engine. A stream may outlive its request or its
/// attempt. Its events are then ignored, as find_stream_request() returns NULL.
struct stream {
	struct instance *instance;
	request_handle handle;
	unsigned attempt; /// request->attempt when the stream was opened
	bool resume;      /// the message resumes a generation
	bool stopped;     /// the end of the stream needs no recovery
	SoupMessage *message;
	GInputStream *input;
	GCancellable *cancellable;
	struct sse_parser parser;
	char buffer[READ_BYTES];
};

static void open_stream(struct request *request, bool resume);

/// Finds the request that a stream serves.
///
/// @param stream  the stream
/// @return the request, or NULL if it has ended or started another attempt
static struct request *
find_stream_request(const struct stream *stream)
{
	struct request *request =
	    request_find(stream->instance, stream->handle);

	if (request == NULL || request->answered ||
	    request->attempt != stream->attempt)
		return NULL;
	return request;
}

/// Frees a stream.
///
/// @param stream  a stream without a pending operation
static void
stream_free(struct stream *stream)
{
	g_clear_object(&stream->input);
	g_object_unref(stream->message);
	g_object_unref(stream->cancellable);
	sse_clear(&stream->parser);
	g_free(stream);
}

/// Cancels a generation and runs it again from the start, on any engine, if the
/// retry budget allows. Refuses the request otherwise.
///
/// @param request  a request whose caller has received no token
/// @param outcome  outcome of the failed attempt, for the router
static void
restart_generation(struct request *request, enum router_outcome outcome)
{
	usec_t now = g_get_monotonic_time();

	generation_cancel(request);
	g_string_truncate(request->answer_text, 0);
	if (request_retry(request, outcome, request->verdict)) {
		metrics_add(METRIC_REGENERATIONS, 1);
		return;
	}
	request_refuse(
	    request, REFUSAL_ENGINE_FAILED, now + FAILURE_RETRY_DELAY, NULL);
}

/// Carries out the relay's decision on a generation whose stream failed:
/// resume, restart or fail. Ignores other actions.
///
/// @param request  the request
/// @param action   decision of the relay
static void
recover_generation(struct request *request, enum relay_action action)
{
	usec_t now = g_get_monotonic_time();

	switch (action) {
	case RELAY_RESUME:
		metrics_add(METRIC_RESUMES, 1);
		log_event(LOG_LEVEL_INFO, "resume",
		    "generation=%" G_GUINT64_FORMAT " offset=%u",
		    request->relay.generation_id, request->relay.next_offset);
		open_stream(request, true);
		return;
	case RELAY_RESTART:
		restart_generation(request, ROUTER_OUTCOME_FAILED);
		return;
	case RELAY_FAIL:
		generation_cancel(request);
		request_refuse(request, REFUSAL_GENERATION_LOST,
		    now + FAILURE_RETRY_DELAY, NULL);
		return;
	default:
		return;
	}
}

/// Appends the text of a completion chunk to the text of a request. Ignores a
/// chunk without text.
///
/// @param request  a request for a whole response
/// @param event    the event with the chunk as JSON
static void
append_text(struct request *request, const struct sse_event *event)
{
	struct json_object *root =
	    parse_json(event->data, event->data_len, NULL);
	struct json_object *value = NULL;

	if (!json_object_object_get_ex(root, "choices", &value) ||
	    !json_object_is_type(value, json_type_array))
		goto out;
	value = json_object_array_get_idx(value, 0);
	if (request->chat && !json_object_object_get_ex(value, "delta", &value))
		goto out;
	if (json_object_object_get_ex(
		value, request->chat ? "content" : "text", &value))
		g_string_append_len(request->answer_text,
		    json_object_get_string(value),
		    json_object_get_string_len(value));
out:
	json_object_put(root);
}

/// Writes an event without an id to the caller's stream.
///
/// @param request  a request for a stream
/// @param data     first byte of the event's data
/// @param len      number of bytes
static void
write_event(struct request *request, const char *data, size_t len)
{
	request_stream_write(request, "data: ", 6);
	request_stream_write(request, data, len);
	request_stream_write(request, "\n\n", 2);
}

/// Sends the whole text as one response to a caller that didn't request a
/// stream.
///
/// @param request  a request whose generation is complete
static void
send_whole_response(struct request *request)
{
	struct json_object *root = json_object_new_object();
	struct json_object *choice = json_object_new_object();
	struct json_object *choices = json_object_new_array();
	struct json_object *usage = json_object_new_object();
	struct json_object *text = json_object_new_string_len(
	    request->answer_text->str, (int)request->answer_text->len);
	const char *json_text;
	GBytes *body;

	if (request->chat) {
		struct json_object *message = json_object_new_object();

		json_object_object_add(
		    message, "role", json_object_new_string("assistant"));
		json_object_object_add(message, "content", text);
		json_object_object_add(choice, "message", message);
	} else {
		json_object_object_add(choice, "text", text);
	}
	json_object_object_add(choice, "index", json_object_new_int(0));
	json_object_object_add(
	    choice, "finish_reason", json_object_new_string("stop"));
	json_object_array_add(choices, choice);
	json_object_object_add(root, "object",
	    json_object_new_string(
		request->chat ? "chat.completion" : "text_completion"));
	json_object_object_add(
	    root, "model", json_object_new_string(request->target));
	json_object_object_add(root, "choices", choices);
	json_object_object_add(usage, "completion_tokens",
	    json_object_new_int64(request->relay.next_offset));
	json_object_object_add(root, "usage", usage);
	json_text =
	    json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);
	body = g_bytes_new(json_text, strlen(json_text));
	request_answer(request, SOUP_STATUS_OK, "application/json", body);
	g_bytes_unref(body);
	json_object_put(root);
}

/// Completes the response of a request whose generation has ended.
///
/// @param request  the request
/// @param event    the end event of the engine's stream
static void
finish_generation(struct request *request, const struct sse_event *event)
{
	request->verdict = verdict_raise(request->verdict, VERDICT_RAN);
	if (!request->stream) {
		send_whole_response(request);
		return;
	}
	if (event->data_len > 0)
		write_event(request, event->data, event->data_len);
	write_event(request, "[DONE]", 6);
	request_stream_end(request);
}

/// Delivers a token: writes it to the caller's stream, or appends it to the
/// text of a whole response.
///
/// @param request  the request
/// @param event    the token's event
static void
deliver_token(struct request *request, const struct sse_event *event)
{
	request->verdict = verdict_raise(request->verdict, VERDICT_RAN);
	metrics_add(METRIC_TOKENS_RELAYED, 1);
	router_report_progress(request->instance->router,
	    g_get_monotonic_time(), request->router_handle,
	    request->relay.next_offset);
	if (!request->stream) {
		append_text(request, event);
		return;
	}
	relay_mark_delivered(&request->relay);
	write_event(request, event->data, event->data_len);
}

/// Handles one event of an engine's stream.
///
/// @param event    the event
/// @param context  the stream
/// @return false if no further events of the stream are needed
static bool
on_event(const struct sse_event *event, void *context)
{
	struct stream *stream = context;
	struct request *request = find_stream_request(stream);
	usec_t now = g_get_monotonic_time();
	enum relay_action action;

	if (request == NULL)
		return false;
	if (event->type == SSE_NO_ID)
		return true;
	if (event->type == SSE_TOKEN)
		action = relay_handle_token(
		    &request->relay, now, event->generation, event->offset);
	else
		action = relay_handle_end_event(
		    &request->relay, now, event->generation, event->offset);
	switch (action) {
	case RELAY_PASS:
		deliver_token(request, event);
		return true;
	case RELAY_DROP:
		metrics_add(METRIC_TOKENS_DROPPED, 1);
		return true;
	case RELAY_DONE:
		finish_generation(request, event);
		break;
	default:
		request_stream_flush(request);
		recover_generation(request, action);
		break;
	}
	stream->stopped = true;
	return false;
}

/// Handles the end of a stream, and recovers the generation if the stream ended
/// too early.
///
/// @param stream  the stream; freed
static void
handle_stream_loss(struct stream *stream)
{
	struct request *request = find_stream_request(stream);
	struct instance *instance = stream->instance;

	if (request != NULL && !stream->stopped) {
		enum relay_action action = relay_handle_stream_loss(
		    &request->relay, g_get_monotonic_time());

		recover_generation(request, action);
	}
	stream_free(stream);
	actions_execute_pending(instance);
}

/// Handles the result of a read from an engine's stream.
///
/// @param source  input stream of the exchange
/// @param result  result of the read
/// @param data    the stream
static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	struct stream *stream = data;
	struct instance *instance = stream->instance;
	gssize len =
	    g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);
	struct request *request;
	bool ok;

	if (len <= 0 || find_stream_request(stream) == NULL) {
		handle_stream_loss(stream);
		return;
	}
	ok = sse_feed(
	    &stream->parser, stream->buffer, (size_t)len, on_event, stream);
	request = find_stream_request(stream);
	if (request != NULL)
		request_stream_flush(request);
	if (!ok) {
		handle_stream_loss(stream);
		return;
	}
	g_input_stream_read_async(stream->input, stream->buffer, READ_BYTES,
	    G_PRIORITY_DEFAULT, stream->cancellable, on_read, stream);
	actions_execute_pending(instance);
}

/// Handles an engine's error response. For a resume, the relay decides how to
/// recover. A new generation is run again if the engine is overloaded or
/// failed, and refused otherwise.
///
/// @param stream   the stream
/// @param request  the request that the stream serves
/// @param status   HTTP status, other than 200
static void
handle_engine_refusal(
    struct stream *stream, struct request *request, unsigned status)
{
	usec_t now = g_get_monotonic_time();
	bool busy = status == STATUS_TOO_MANY_REQUESTS ||
	    status == SOUP_STATUS_SERVICE_UNAVAILABLE;

	if (stream->resume && status == SOUP_STATUS_NOT_FOUND) {
		recover_generation(
		    request, relay_handle_resume_refusal(&request->relay, now));
		return;
	}
	if (stream->resume) {
		recover_generation(
		    request, relay_handle_stream_loss(&request->relay, now));
		return;
	}
	if (busy || status >= SOUP_STATUS_INTERNAL_SERVER_ERROR) {
		restart_generation(request,
		    busy ? ROUTER_OUTCOME_BUSY : ROUTER_OUTCOME_FAILED);
		return;
	}
	request_refuse(request, REFUSAL_ENGINE_REFUSED, now, NULL);
}

/// Handles the status and the headers of an engine's response.
///
/// @param source  the HTTP session
/// @param result  input stream of the response, or an error
/// @param data    the stream
static void
on_response_head(GObject *source, GAsyncResult *result, gpointer data)
{
	struct stream *stream = data;
	struct request *request = find_stream_request(stream);
	unsigned status;

	stream->input =
	    soup_session_send_finish(SOUP_SESSION(source), result, NULL);
	if (stream->input == NULL || request == NULL) {
		handle_stream_loss(stream);
		return;
	}
	status = soup_message_get_status(stream->message);
	if (status != SOUP_STATUS_OK) {
		handle_engine_refusal(stream, request, status);
		stream->stopped = true;
		handle_stream_loss(stream);
		return;
	}
	g_input_stream_read_async(stream->input, stream->buffer, READ_BYTES,
	    G_PRIORITY_DEFAULT, stream->cancellable, on_read, stream);
}

/// Creates the HTTP message that starts or resumes a generation.
///
/// @param request   the request
/// @param upstream  the engine that the request was placed on
/// @param resume    whether to resume the generation at the next offset
/// @return the message
static SoupMessage *
create_message(
    const struct request *request, const struct upstream *upstream, bool resume)
{
	SoupMessage *message;
	char *uri;
	char priority[16];

	if (resume) {
		uri = g_strdup_printf("%s/generations/%" G_GUINT64_FORMAT
				      "?offset=%u",
		    upstream->base_uri, request->relay.generation_id,
		    request->relay.next_offset);
		message = soup_message_new("GET", uri);
		soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
		g_free(uri);
		return message;
	}
	uri = g_strconcat(upstream->base_uri,
	    request->chat ? "/v1/chat/completions" : "/v1/completions", NULL);
	message = soup_message_new("POST", uri);
	g_free(uri);
	soup_message_set_request_body_from_bytes(
	    message, "application/json", request->body);
	g_snprintf(priority, sizeof(priority), "%d", request->priority);
	soup_message_headers_replace(
	    soup_message_get_request_headers(message), "X-Priority", priority);
	return message;
}

/// Checks, right before the first byte of the message is sent, whether a new
/// generation may still be sent, and cancels the exchange if not. Once the
/// first byte is sent, the engine may have run the generation.
///
/// @param message  unused
/// @param data     the stream
static void
on_starting(SoupMessage *message, gpointer data)
{
	struct stream *stream = data;
	struct instance *instance = stream->instance;
	struct request *request = find_stream_request(stream);
	struct upstream *upstream;

	(void)message;
	if (request == NULL) {
		g_cancellable_cancel(stream->cancellable);
		return;
	}
	upstream = upstream_find(instance->upstreams, request->upstream);
	if (!stream->resume &&
	    (upstream == NULL || !upstream->in_service ||
		!bundle_freshness_may_admit(
		    &instance->bundle_freshness, g_get_monotonic_time()))) {
		g_cancellable_cancel(stream->cancellable);
		return;
	}
	request->verdict =
	    verdict_raise(request->verdict, VERDICT_MAY_HAVE_RUN);
}

/// Opens a stream from the engine. Cancels the earlier stream of the request,
/// and its events are ignored from now on.
///
/// @param request  a request that has been placed
/// @param resume   whether to resume the generation or to start a new one
static void
open_stream(struct request *request, bool resume)
{
	struct instance *instance = request->instance;
	struct upstream *upstream =
	    upstream_find(instance->upstreams, request->upstream);
	struct stream *stream;

	if (upstream == NULL) {
		recover_generation(request,
		    relay_handle_resume_refusal(
			&request->relay, g_get_monotonic_time()));
		return;
	}
	g_cancellable_cancel(request->cancellable);
	g_object_unref(request->cancellable);
	request->cancellable = g_cancellable_new();
	stream = g_new0(struct stream, 1);
	stream->instance = instance;
	stream->handle = request->handle;
	stream->attempt = ++request->attempt;
	stream->resume = resume;
	stream->cancellable = g_object_ref(request->cancellable);
	stream->message = create_message(request, upstream, resume);
	sse_init(&stream->parser);
	g_signal_connect(
	    stream->message, "starting", G_CALLBACK(on_starting), stream);
	soup_session_send_async(instance->session, stream->message,
	    G_PRIORITY_DEFAULT, stream->cancellable, on_response_head, stream);
}

/// Ignores the response to a cancel message.
///
/// @param source  the HTTP session
/// @param result  result of sending the message and reading the response
/// @param data    unused
static void
on_cancel_response(GObject *source, GAsyncResult *result, gpointer data)
{
	GBytes *body = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, NULL);

	(void)data;
	g_clear_pointer(&body, g_bytes_unref);
}

/// Sends a request to the engine that it was placed on.
///
/// @param request  a request that has been placed
void
generation_start(struct request *request)
{
	struct relay_options options = {
	    .now = g_get_monotonic_time(),
	    .progress_timeout = request->instance->settings->progress_timeout,
	    .resume_limit = RESUME_LIMIT,
	};

	relay_init(&request->relay, &options);
	open_stream(request, false);
}

/// Recovers a generation whose stream has had no new token for too long.
///
/// @param request  a request for a generation
/// @param now      current monotonic time, in microseconds
void
generation_check_timeout(struct request *request, usec_t now)
{
	enum relay_action action;

	if (request->upstream == 0 || request->answered)
		return;
	action = relay_check_timeout(&request->relay, now);
	if (action == RELAY_DROP)
		return;
	recover_generation(request, action);
}

/// Cancels the generation of a request at its engine, and ignores all further
/// events of its stream.
///
/// @param request  a request for a generation
void
generation_cancel(struct request *request)
{
	struct upstream *upstream =
	    upstream_find(request->instance->upstreams, request->upstream);
	SoupMessage *message;
	char *uri;

	request->attempt++;
	g_cancellable_cancel(request->cancellable);
	if (upstream == NULL || request->relay.generation_id == 0 ||
	    request->relay.done)
		return;
	uri = g_strdup_printf("%s/generations/%" G_GUINT64_FORMAT,
	    upstream->base_uri, request->relay.generation_id);
	message = soup_message_new("DELETE", uri);
	soup_session_send_and_read_async(request->instance->session, message,
	    G_PRIORITY_DEFAULT, NULL, on_cancel_response, NULL);
	g_object_unref(message);
	g_free(uri);
}
