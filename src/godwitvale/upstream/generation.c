/*
 * Generations: sends a request to its engine, relays the stream's tokens,
 * resumes a stream that broke off, went silent or has a gap.
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

/// Bytes asked for at a time from an engine's stream.
#define READ_BYTES (32 * 1024)
/// Resumes without any progress before a generation is given up.
#define RESUME_LIMIT 4
/// HTTP status that libsoup has no name for.
#define STATUS_TOO_MANY_REQUESTS 429
/// When a caller may ask again after a failure.
#define RETRY_AFTER_FAILURE (2 * USEC_PER_SEC)

/// One HTTP exchange with an engine. It outlives a request that has ended or
/// moved on to another attempt; its events then find nothing.
struct stream {
	struct instance *instance;
	request_handle handle;
	unsigned attempt;
	bool resume;
	bool stopped;
	SoupMessage *message;
	GInputStream *input;
	GCancellable *cancellable;
	struct sse_parser parser;
	char buffer[READ_BYTES];
};

static void start_stream(struct request *request, bool resume);

/// Finds the request that a stream still serves.
///
/// @param stream  the stream
/// @return the request, or NULL when it has ended or moved on
static struct request *
stream_request(const struct stream *stream)
{
	struct request *request =
	    request_find(stream->instance, stream->handle);

	if (request == NULL || request->answered ||
	    request->attempt != stream->attempt)
		return NULL;
	return request;
}

/// Releases a stream.
///
/// @param stream  the stream
static void
stream_free(struct stream *stream)
{
	g_clear_object(&stream->input);
	g_object_unref(stream->message);
	g_object_unref(stream->cancellable);
	sse_clear(&stream->parser);
	g_free(stream);
}

/// Starts a lost generation anew, elsewhere, where the budget allows it.
///
/// @param request  a request of which nothing was delivered
/// @param end      how the attempt ended
static void
restart(struct request *request, enum router_outcome end)
{
	usec_t now = g_get_monotonic_time();

	generation_abandon(request);
	g_string_truncate(request->answer_text, 0);
	if (request_retry(request, end)) {
		metrics_add(METRIC_REGENERATIONS, 1);
		return;
	}
	request_refuse(
	    request, REFUSAL_ENGINE_FAILED, now + RETRY_AFTER_FAILURE, NULL);
}

/// Does what the relay decided after a stream was lost.
///
/// @param request  the request
/// @param step     the relay's decision
static void
recover(struct request *request, enum relay_action step)
{
	usec_t now = g_get_monotonic_time();

	switch (step) {
	case RELAY_RESUME:
		metrics_add(METRIC_RESUMES, 1);
		log_event(LOG_LEVEL_INFO, "resume",
		    "generation=%" G_GUINT64_FORMAT " offset=%u",
		    request->relay.generation, request->relay.next_offset);
		start_stream(request, true);
		return;
	case RELAY_RESTART:
		restart(request, ROUTER_OUTCOME_FAILED);
		return;
	case RELAY_FAIL:
		generation_abandon(request);
		request_refuse(request, REFUSAL_GENERATION_LOST,
		    now + RETRY_AFTER_FAILURE, NULL);
		return;
	default:
		return;
	}
}

/// Extracts the text of a completions chunk.
///
/// @param request  its text is extended
/// @param event    the event
static void
collect_text(struct request *request, const struct sse_event *event)
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

/// Writes an event's data to the caller, as an event without id.
///
/// @param request  the request
/// @param data     first byte
/// @param len      number of bytes
static void
write_data(struct request *request, const char *data, size_t len)
{
	request_stream_write(request, "data: ", 6);
	request_stream_write(request, data, len);
	request_stream_write(request, "\n\n", 2);
}

/// Delivers the whole answer to a caller that asked for no stream.
///
/// @param request  a request whose generation is complete
static void
answer_whole(struct request *request)
{
	struct json_object *root = json_object_new_object();
	struct json_object *choice = json_object_new_object();
	struct json_object *choices = json_object_new_array();
	struct json_object *usage = json_object_new_object();
	struct json_object *text = json_object_new_string_len(
	    request->answer_text->str, (int)request->answer_text->len);
	const char *out;
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
	out = json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);
	body = g_bytes_new(out, strlen(out));
	request_answer(request, SOUP_STATUS_OK, "application/json", body);
	g_bytes_unref(body);
	json_object_put(root);
}

/// Ends the delivery of a complete generation.
///
/// @param request  the request
/// @param event    the end event
static void
finish(struct request *request, const struct sse_event *event)
{
	request->verdict = verdict_raise(request->verdict, VERDICT_RAN);
	if (!request->stream) {
		answer_whole(request);
		return;
	}
	if (event->data_len > 0)
		write_data(request, event->data, event->data_len);
	write_data(request, "[DONE]", 6);
	request_stream_end(request);
}

/// Takes a token that is to be delivered.
///
/// @param request  the request
/// @param event    the token's event
static void
deliver(struct request *request, const struct sse_event *event)
{
	request->verdict = verdict_raise(request->verdict, VERDICT_RAN);
	metrics_add(METRIC_TOKENS_RELAYED, 1);
	router_report_progress(request->instance->router,
	    g_get_monotonic_time(), request->router_handle,
	    request->relay.next_offset);
	if (!request->stream) {
		collect_text(request, event);
		return;
	}
	relay_mark_delivered(&request->relay);
	write_data(request, event->data, event->data_len);
}

/// Takes one event of a stream.
///
/// @param event    the event
/// @param context  the stream
/// @return false when the stream is of no more use
static bool
on_event(const struct sse_event *event, void *context)
{
	struct stream *stream = context;
	struct request *request = stream_request(stream);
	usec_t now = g_get_monotonic_time();
	enum relay_action step;

	if (request == NULL)
		return false;
	if (event->type == SSE_MARK)
		return true;
	if (event->type == SSE_TOKEN)
		step = relay_handle_token(
		    &request->relay, now, event->generation, event->offset);
	else
		step = relay_handle_end(
		    &request->relay, now, event->generation, event->offset);
	switch (step) {
	case RELAY_PASS:
		deliver(request, event);
		return true;
	case RELAY_DROP:
		metrics_add(METRIC_TOKENS_DROPPED, 1);
		return true;
	case RELAY_DONE:
		finish(request, event);
		break;
	default:
		request_stream_flush(request);
		recover(request, step);
		break;
	}
	stream->stopped = true;
	return false;
}

/// Takes the loss of a stream.
///
/// @param stream  the stream; released
static void
stream_lost(struct stream *stream)
{
	struct request *request = stream_request(stream);
	struct instance *instance = stream->instance;

	if (request != NULL && !stream->stopped) {
		enum relay_action step =
		    relay_handle_loss(&request->relay, g_get_monotonic_time());

		recover(request, step);
	}
	stream_free(stream);
	actions_execute_pending(instance);
}

/// Takes bytes of a stream.
///
/// @param source  its input
/// @param result  how reading went
/// @param data    the stream
static void
on_bytes(GObject *source, GAsyncResult *result, gpointer data)
{
	struct stream *stream = data;
	struct instance *instance = stream->instance;
	gssize len =
	    g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);
	struct request *request;
	bool good;

	if (len <= 0 || stream_request(stream) == NULL) {
		stream_lost(stream);
		return;
	}
	good = sse_feed(
	    &stream->parser, stream->buffer, (size_t)len, on_event, stream);
	request = stream_request(stream);
	if (request != NULL)
		request_stream_flush(request);
	if (!good) {
		stream_lost(stream);
		return;
	}
	g_input_stream_read_async(stream->input, stream->buffer, READ_BYTES,
	    G_PRIORITY_DEFAULT, stream->cancellable, on_bytes, stream);
	actions_execute_pending(instance);
}

/// Takes an engine's refusal.
///
/// @param stream   the stream
/// @param request  its request
/// @param status   HTTP status
static void
take_refusal(struct stream *stream, struct request *request, unsigned status)
{
	usec_t now = g_get_monotonic_time();
	bool busy = status == STATUS_TOO_MANY_REQUESTS ||
	    status == SOUP_STATUS_SERVICE_UNAVAILABLE;

	if (stream->resume && status == SOUP_STATUS_NOT_FOUND) {
		recover(
		    request, relay_handle_resume_refusal(&request->relay, now));
		return;
	}
	if (stream->resume) {
		recover(request, relay_handle_loss(&request->relay, now));
		return;
	}
	if (busy || status >= SOUP_STATUS_INTERNAL_SERVER_ERROR) {
		restart(request,
		    busy ? ROUTER_OUTCOME_BUSY : ROUTER_OUTCOME_FAILED);
		return;
	}
	request_refuse(request, REFUSAL_ENGINE_REFUSED, now, NULL);
}

/// Takes the head of an engine's answer.
///
/// @param source  the session
/// @param result  the answer
/// @param data    the stream
static void
on_head(GObject *source, GAsyncResult *result, gpointer data)
{
	struct stream *stream = data;
	struct request *request = stream_request(stream);
	unsigned status;

	stream->input =
	    soup_session_send_finish(SOUP_SESSION(source), result, NULL);
	if (stream->input == NULL || request == NULL) {
		stream_lost(stream);
		return;
	}
	status = soup_message_get_status(stream->message);
	if (status != SOUP_STATUS_OK) {
		take_refusal(stream, request, status);
		stream->stopped = true;
		stream_lost(stream);
		return;
	}
	g_input_stream_read_async(stream->input, stream->buffer, READ_BYTES,
	    G_PRIORITY_DEFAULT, stream->cancellable, on_bytes, stream);
}

/// Makes the message of a new or a resumed generation.
///
/// @param request   the request
/// @param upstream  its engine
/// @param resume    from the next offset, of the same generation
/// @return the message
static SoupMessage *
make_message(
    const struct request *request, const struct upstream *upstream, bool resume)
{
	SoupMessage *message;
	char *uri;
	char priority[16];

	if (resume) {
		uri = g_strdup_printf("%s/generations/%" G_GUINT64_FORMAT
				      "?offset=%u",
		    upstream->base, request->relay.generation,
		    request->relay.next_offset);
		message = soup_message_new("GET", uri);
		soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
		g_free(uri);
		return message;
	}
	uri = g_strconcat(upstream->base,
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

/// Checks, in the step that sends, that a new generation may still leave;
/// from here on it may have run.
///
/// @param message  the exchange's message
/// @param data     the stream
static void
on_starting(SoupMessage *message, gpointer data)
{
	struct stream *stream = data;
	struct instance *instance = stream->instance;
	struct request *request = stream_request(stream);
	struct upstream *upstream;

	(void)message;
	if (request == NULL) {
		g_cancellable_cancel(stream->cancellable);
		return;
	}
	upstream = upstream_find(instance->upstreams, request->upstream);
	if (!stream->resume &&
	    (upstream == NULL || !upstream->in_service ||
		!authority_may_admit(
		    &instance->authority, g_get_monotonic_time()))) {
		g_cancellable_cancel(stream->cancellable);
		return;
	}
	request->verdict =
	    verdict_raise(request->verdict, VERDICT_MAY_HAVE_RUN);
}

/// Opens a new exchange with the engine; events of earlier ones are dropped.
///
/// @param request  the request
/// @param resume   whether the same generation goes on
static void
start_stream(struct request *request, bool resume)
{
	struct instance *instance = request->instance;
	struct upstream *upstream =
	    upstream_find(instance->upstreams, request->upstream);
	struct stream *stream;

	if (upstream == NULL) {
		recover(request,
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
	stream->message = make_message(request, upstream, resume);
	sse_init(&stream->parser);
	g_signal_connect(
	    stream->message, "starting", G_CALLBACK(on_starting), stream);
	soup_session_send_async(instance->session, stream->message,
	    G_PRIORITY_DEFAULT, stream->cancellable, on_head, stream);
}

/// Ignores the answer to a cancel order.
///
/// @param source  the session
/// @param result  the answer
/// @param data    unused
static void
on_cancelled(GObject *source, GAsyncResult *result, gpointer data)
{
	GBytes *body = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, NULL);

	(void)data;
	g_clear_pointer(&body, g_bytes_unref);
}

/// Sends a placed request to its engine.
///
/// @param request  the request
void
generation_start(struct request *request)
{
	struct relay_options options = {
	    .now = g_get_monotonic_time(),
	    .progress_timeout = request->instance->settings->progress_timeout,
	    .resume_limit = RESUME_LIMIT,
	};

	relay_init(&request->relay, &options);
	start_stream(request, false);
}

/// Looks whether a generation has gone silent.
///
/// @param request  a generation that was sent
/// @param now      current time
void
generation_tick(struct request *request, usec_t now)
{
	enum relay_action step;

	if (request->upstream == 0 || request->answered)
		return;
	step = relay_check_timeout(&request->relay, now);
	if (step == RELAY_DROP)
		return;
	recover(request, step);
}

/// Cancels the generation at its engine, once its caller needs it no more.
///
/// @param request  the request
void
generation_abandon(struct request *request)
{
	struct upstream *upstream =
	    upstream_find(request->instance->upstreams, request->upstream);
	SoupMessage *message;
	char *uri;

	request->attempt++;
	g_cancellable_cancel(request->cancellable);
	if (upstream == NULL || request->relay.generation == 0 ||
	    request->relay.done)
		return;
	uri = g_strdup_printf("%s/generations/%" G_GUINT64_FORMAT,
	    upstream->base, request->relay.generation);
	message = soup_message_new("DELETE", uri);
	soup_session_send_and_read_async(request->instance->session, message,
	    G_PRIORITY_DEFAULT, NULL, on_cancelled, NULL);
	g_object_unref(message);
	g_free(uri);
}
