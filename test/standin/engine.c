/* Stand-in for a model engine: streams, load reports, cache events, orders. */
#include "standin.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "engine_batch.h"

#define DEFAULT_LENGTH 16

/// What a load report says, kept until it is old enough to be told.
struct report {
	int64_t at_ms;
	json_object *load;
};

struct engine {
	struct standin base;
	struct batch batch;
	GPtrArray *streams;
	GQueue reports; /// oldest first
	json_object *orders;
	char *model;
	uint64_t fence;
	int step_ms;
	int orphan_ms;
	int report_lag_ms;
	int event_lag_ms;
	int load_ms;
	gboolean ignore_fence;
	bool paused;       /// no step is made
	int64_t cut_after; /// the next stream ends after so many; 0 for off
	int64_t repeat_every;
};

/// A reader of one generation.
struct stream {
	struct engine *engine;
	SoupServerMessage *message;
	uint64_t id;
	uint32_t offset;   /// next token to be sent
	uint32_t sent;     /// tokens sent
	int64_t cut_after; /// 0 for off
	bool silent;
	bool ended;
	guint chunks; /// not yet written
};

static void
stream_free(gpointer data)
{
	struct stream *stream = data;

	g_signal_handlers_disconnect_by_data(stream->message, stream);
	g_object_unref(stream->message);
	g_free(stream);
}

/// A generation without a reader is cancelled after a while.
static void
leave_generation(struct stream *stream)
{
	struct engine *engine = stream->engine;
	struct generation *generation = batch_find(&engine->batch, stream->id);

	for (guint i = 0; i < engine->streams->len; i++) {
		struct stream *other = g_ptr_array_index(engine->streams, i);

		if (other != stream && other->id == stream->id &&
		    !other->silent)
			return;
	}
	if (generation != NULL)
		generation->orphan_deadline_ms =
		    standin_now_ms() + engine->orphan_ms;
}

static void
stream_finished(SoupServerMessage *message, gpointer data)
{
	struct stream *stream = data;

	(void)message;
	if (!stream->silent)
		leave_generation(stream);
	g_ptr_array_remove_fast(stream->engine->streams, stream);
}

/// @return whether the reader has closed its end
static bool
reader_left(struct stream *stream)
{
	GSocket *socket = soup_server_message_get_socket(stream->message);
	char byte = 0;

	return socket == NULL ||
	    recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) ==
	    0;
}

static void
stream_wrote(SoupServerMessage *message, gpointer data)
{
	struct stream *stream = data;

	(void)message;
	stream->chunks--;
}

static void
send_chunk(struct stream *stream, char *text)
{
	SoupMessageBody *body =
	    soup_server_message_get_response_body(stream->message);

	soup_message_body_append_take(body, (guchar *)text, strlen(text));
	stream->chunks++;
	soup_server_message_unpause(stream->message);
}

static void
send_token(struct stream *stream, bool chat, uint32_t offset)
{
	send_chunk(stream,
	    g_strdup_printf("id: %" G_GUINT64_FORMAT ":%u\n"
			    "data: {\"choices\":[{%s\" w%u\"%s}]}\n\n",
		stream->id, offset,
		chat ? "\"delta\":{\"content\":" : "\"text\":", offset,
		chat ? "}" : ""));
}

static void
send_end(struct stream *stream, const struct generation *generation)
{
	stream->ended = true;
	send_chunk(stream,
	    g_strdup_printf("event: end\nid: %" G_GUINT64_FORMAT ":%u\n"
			    "data: {\"choices\":[{%s,\"finish_reason\":"
			    "\"%s\"}]}\n\ndata: [DONE]\n\n",
		stream->id, generation->produced,
		generation->chat ? "\"delta\":{}" : "\"text\":\"\"",
		generation->state == GENERATION_FINISHED ? "stop"
							 : "cancelled"));
	soup_message_body_complete(
	    soup_server_message_get_response_body(stream->message));
	soup_server_message_unpause(stream->message);
}

static void
pump_stream(struct stream *stream)
{
	struct engine *engine = stream->engine;
	struct generation *generation = batch_find(&engine->batch, stream->id);

	if (stream->silent || stream->ended || standin_gone(stream->message))
		return;
	if (standin_silenced(&engine->base, stream->message)) {
		stream->silent = true;
		leave_generation(stream);
		return;
	}
	if (reader_left(stream)) {
		standin_close(stream->message);
		return;
	}
	while (generation != NULL && stream->offset < generation->produced) {
		if (stream->cut_after > 0 &&
		    stream->sent >= (uint64_t)stream->cut_after)
			break;
		send_token(stream, generation->chat, stream->offset);
		stream->sent++;
		if (engine->repeat_every > 0 &&
		    stream->sent % (uint64_t)engine->repeat_every == 0)
			send_token(stream, generation->chat, stream->offset);
		stream->offset++;
	}
	if (stream->cut_after > 0 &&
	    stream->sent >= (uint64_t)stream->cut_after) {
		if (stream->chunks == 0)
			standin_close(stream->message);
		return;
	}
	if (generation == NULL)
		standin_close(stream->message);
	else if (generation->expiry_ms != 0)
		send_end(stream, generation);
}

static void
open_stream(struct engine *engine, SoupServerMessage *message,
    struct generation *generation, uint32_t offset)
{
	struct stream *stream = g_new0(struct stream, 1);
	SoupMessageHeaders *headers =
	    soup_server_message_get_response_headers(message);

	stream->engine = engine;
	stream->message = g_object_ref(message);
	stream->id = generation->id;
	stream->offset = offset;
	stream->cut_after = engine->cut_after;
	engine->cut_after = 0;
	generation->orphan_deadline_ms = 0;
	g_ptr_array_add(engine->streams, stream);
	g_signal_connect(
	    message, "finished", G_CALLBACK(stream_finished), stream);
	g_signal_connect(
	    message, "wrote-chunk", G_CALLBACK(stream_wrote), stream);
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_message_headers_set_content_type(
	    headers, "text/event-stream", NULL);
	soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(
	    soup_server_message_get_response_body(message), FALSE);
	soup_server_message_unpause(message);
}

/// A chat's prompt is its messages' contents, one after another.
static char *
read_prompt(json_object *body)
{
	GString *prompt = g_string_new(standin_string(body, "prompt", ""));
	json_object *list = NULL;

	if (json_object_object_get_ex(body, "messages", &list) &&
	    json_object_is_type(list, json_type_array)) {
		for (size_t i = 0; i < json_object_array_length(list); i++) {
			json_object *item = json_object_array_get_idx(list, i);

			g_string_append_printf(
			    prompt, " %s", standin_string(item, "content", ""));
		}
	}
	return g_string_free(prompt, FALSE);
}

static void
handle_completions(struct engine *engine, SoupServerMessage *message, bool chat)
{
	json_object *body = standin_body(message);
	char *prompt = read_prompt(body);
	const char *mark = strstr(prompt, "length:");
	const char *priority = soup_message_headers_get_one(
	    soup_server_message_get_request_headers(message), "X-Priority");
	int64_t length = DEFAULT_LENGTH;
	struct generation *generation = NULL;

	if (mark != NULL)
		length = g_ascii_strtoll(mark + strlen("length:"), NULL, 10);
	length = standin_number(body, "max_tokens", length);
	if (body == NULL || length < 0 || length > UINT32_MAX) {
		standin_refuse(message, SOUP_STATUS_BAD_REQUEST, "bad request");
	} else {
		generation = batch_add(&engine->batch, prompt,
		    priority ? g_ascii_strtoll(priority, NULL, 10) : 0,
		    (uint32_t)length);
		generation->chat = chat;
		open_stream(engine, message, generation, 0);
	}
	g_free(prompt);
	json_object_put(body);
}

static void
handle_generation(
    struct engine *engine, SoupServerMessage *message, const char *id)
{
	struct generation *generation =
	    batch_find(&engine->batch, g_ascii_strtoull(id, NULL, 10));
	int64_t offset = standin_query_number(message, "offset", 0);

	if (generation == NULL || generation->state == GENERATION_CANCELLED ||
	    offset < 0 || offset > generation->length) {
		standin_refuse(
		    message, SOUP_STATUS_NOT_FOUND, "no such generation");
	} else if (soup_server_message_get_method(message) ==
	    SOUP_METHOD_DELETE) {
		batch_cancel(&engine->batch, generation, standin_now_ms());
		standin_answer_json(
		    message, SOUP_STATUS_OK, json_object_new_object());
	} else {
		open_stream(engine, message, generation, (uint32_t)offset);
	}
}

static json_object *
load_report(struct engine *engine)
{
	struct batch *batch = &engine->batch;
	json_object *load = json_object_new_object();

	json_object_object_add(
	    load, "start_epoch", json_object_new_uint64(batch->start_epoch));
	json_object_object_add(load, "uptime_ms",
	    json_object_new_int64(standin_now_ms() - batch->started_ms));
	json_object_object_add(
	    load, "used_tokens", json_object_new_uint64(batch->used_tokens));
	json_object_object_add(load, "memory_tokens",
	    json_object_new_int(batch->options.memory_tokens));
	json_object_object_add(
	    load, "running", json_object_new_int64(batch->running.length));
	json_object_object_add(
	    load, "waiting", json_object_new_int64(batch->waiting.length));
	json_object_object_add(
	    load, "preemptions", json_object_new_uint64(batch->preemptions));
	json_object_object_add(
	    load, "model", json_object_new_string(engine->model));
	json_object_object_add(
	    load, "fence", json_object_new_uint64(engine->fence));
	return load;
}

static void
report_free(gpointer data)
{
	struct report *report = data;

	json_object_put(report->load);
	g_free(report);
}

/// Keeps a report; drops those that a newer one, old enough, replaces.
static void
keep_report(struct engine *engine, int64_t now_ms)
{
	struct report *report = g_new0(struct report, 1);

	report->at_ms = now_ms;
	report->load = load_report(engine);
	g_queue_push_tail(&engine->reports, report);
	while (engine->reports.length > 1) {
		struct report *next = g_queue_peek_nth(&engine->reports, 1);

		if (next->at_ms > now_ms - engine->report_lag_ms)
			return;
		report_free(g_queue_pop_head(&engine->reports));
	}
}

static void
handle_load(struct engine *engine, SoupServerMessage *message)
{
	struct report *report = g_queue_peek_head(&engine->reports);

	standin_answer_json(message, SOUP_STATUS_OK,
	    engine->report_lag_ms > 0 ? json_object_get(report->load)
				      : load_report(engine));
}

static void
handle_events(struct engine *engine, SoupServerMessage *message)
{
	uint64_t next = (uint64_t)standin_query_number(message, "after", 0);
	int64_t seen_ms = standin_now_ms() - engine->event_lag_ms;
	json_object *list = json_object_new_array();
	json_object *answer = json_object_new_object();

	for (GList *item = engine->batch.events.head; item; item = item->next) {
		struct cache_event *event = item->data;
		json_object *object = NULL;

		if (event->seq <= next || event->at_ms > seen_ms)
			continue;
		next = event->seq;
		object = json_object_new_object();
		json_object_object_add(
		    object, "seq", json_object_new_uint64(event->seq));
		json_object_object_add(
		    object, "block", json_object_new_uint64(event->block));
		json_object_object_add(object, "op",
		    json_object_new_string(
			event->stored ? "stored" : "evicted"));
		json_object_array_add(list, object);
	}
	json_object_object_add(answer, "events", list);
	json_object_object_add(answer, "next", json_object_new_uint64(next));
	standin_answer_json(message, SOUP_STATUS_OK, answer);
}

/// A model that is being loaded.
struct loading {
	struct engine *engine;
	char *model;
	uint64_t start_epoch;
};

static gboolean
loaded(gpointer data)
{
	struct loading *loading = data;

	if (loading->start_epoch == loading->engine->batch.start_epoch) {
		g_free(loading->engine->model);
		loading->engine->model = g_steal_pointer(&loading->model);
	}
	g_free(loading->model);
	g_free(loading);
	return G_SOURCE_REMOVE;
}

static void
handle_order(struct engine *engine, SoupServerMessage *message)
{
	json_object *order = standin_body(message);
	int64_t fence = standin_number(order, "fence", -1);
	struct loading *loading = NULL;

	if (fence < 0 || standin_string(order, "action", NULL) == NULL) {
		standin_refuse(message, SOUP_STATUS_BAD_REQUEST, "bad order");
	} else if (!engine->ignore_fence && (uint64_t)fence < engine->fence) {
		standin_refuse(message, SOUP_STATUS_CONFLICT, "old fence");
	} else {
		engine->fence = (uint64_t)fence;
		json_object_array_add(engine->orders, json_object_get(order));
		if (strcmp(standin_string(order, "action", ""), "load-model") ==
		    0) {
			loading = g_new0(struct loading, 1);
			loading->engine = engine;
			loading->start_epoch = engine->batch.start_epoch;
			loading->model = g_strdup_printf("%s/%s",
			    standin_string(order, "name", ""),
			    standin_string(order, "version", ""));
			g_timeout_add((guint)engine->load_ms, loaded, loading);
		}
		standin_answer_json(
		    message, SOUP_STATUS_OK, json_object_new_object());
	}
	json_object_put(order);
}

static void
request(struct standin *standin, SoupServerMessage *message)
{
	struct engine *engine = (struct engine *)standin;
	const char *path = g_uri_get_path(soup_server_message_get_uri(message));

	if (strcmp(path, "/v1/completions") == 0)
		handle_completions(engine, message, false);
	else if (strcmp(path, "/v1/chat/completions") == 0)
		handle_completions(engine, message, true);
	else if (g_str_has_prefix(path, "/generations/"))
		handle_generation(
		    engine, message, path + strlen("/generations/"));
	else if (strcmp(path, "/load") == 0)
		handle_load(engine, message);
	else if (strcmp(path, "/cache-events") == 0)
		handle_events(engine, message);
	else if (strcmp(path, "/orders") == 0)
		handle_order(engine, message);
	else
		standin_refuse(message, SOUP_STATUS_NOT_FOUND, "no such path");
}

/// Starts anew and cold: all is forgotten.
static void
restart(struct standin *standin)
{
	struct engine *engine = (struct engine *)standin;

	batch_restart(&engine->batch, standin_now_ms());
	g_queue_clear_full(&engine->reports, report_free);
	keep_report(engine, standin_now_ms());
}

static gboolean
step(gpointer data)
{
	struct engine *engine = data;
	int64_t now_ms = standin_now_ms();

	if (engine->paused)
		return G_SOURCE_CONTINUE;
	if (!batch_step(&engine->batch, now_ms)) {
		restart(&engine->base);
		standin_close_all(&engine->base);
	}
	for (guint i = engine->streams->len; i-- > 0;)
		pump_stream(g_ptr_array_index(engine->streams, i));
	if (engine->report_lag_ms > 0)
		keep_report(engine, now_ms);
	return G_SOURCE_CONTINUE;
}

static bool
control(struct standin *standin, SoupServerMessage *message, const char *path,
    json_object *body)
{
	struct engine *engine = (struct engine *)standin;

	(void)message;
	if (strcmp(path, "/control") != 0 || body == NULL)
		return false;
	engine->cut_after =
	    standin_number(body, "cut_after", engine->cut_after);
	engine->repeat_every =
	    standin_number(body, "repeat_every", engine->repeat_every);
	engine->paused = standin_number(body, "paused", engine->paused) != 0;
	return true;
}

static void
stats(struct standin *standin, json_object *object)
{
	struct engine *engine = (struct engine *)standin;
	struct batch *batch = &engine->batch;
	const struct {
		const char *name;
		uint64_t value;
	} counters[] = {
	    {"started", batch->started},
	    {"finished", batch->finished},
	    {"cancelled", batch->cancelled},
	    {"preemptions", batch->preemptions},
	    {"overloads", batch->overloads},
	    {"cached_tokens", batch->cached_tokens},
	    {"max_running_seen", batch->max_running_seen},
	    {"max_running_cold", batch->max_running_cold},
	    {"streams", engine->streams->len},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(counters); i++)
		json_object_object_add(object, counters[i].name,
		    json_object_new_uint64(counters[i].value));
	json_object_object_add(
	    object, "orders", json_object_get(engine->orders));
}

int
engine_main(int argc, char **argv)
{
	static const struct standin_kind kind = {.request = request,
	    .control = control,
	    .restart = restart,
	    .stats = stats};
	static struct engine engine = {.base = {.kind = &kind},
	    .reports = G_QUEUE_INIT,
	    .step_ms = 5,
	    .orphan_ms = 10000};
	static struct batch_options batch = {.max_running = 32,
	    .memory_tokens = 65536,
	    .cache_blocks = 1024,
	    .cold_limit = 4};
	static char *listen = NULL;
	static char *model = NULL;
#define NUMBER(name, field, help)                                 \
	{                                                         \
		name, 0, 0, G_OPTION_ARG_INT, &(field), help, "N" \
	}
	const GOptionEntry entries[] = {
	    {"listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address",
		"IP:PORT"},
	    {"model", 0, 0, G_OPTION_ARG_STRING, &model, "Model at the start",
		"MODEL/VERSION"},
	    {"ignore-fence", 0, 0, G_OPTION_ARG_NONE, &engine.ignore_fence,
		"Take orders of any fence", NULL},
	    NUMBER("step-ms", engine.step_ms, "Time of one step"),
	    NUMBER("max-running", batch.max_running, "Most that run at once"),
	    NUMBER("memory-tokens", batch.memory_tokens, "Memory"),
	    NUMBER("cache-blocks", batch.cache_blocks, "Prefix cache"),
	    NUMBER("gap-every", batch.gap_every, "Lose every Nth cache event"),
	    NUMBER("event-lag-ms", engine.event_lag_ms, "Cache events' lag"),
	    NUMBER("cold-ms", batch.cold_ms, "Cold this long after a start"),
	    NUMBER("cold-limit", batch.cold_limit, "Most it bears when cold"),
	    NUMBER("report-lag-ms", engine.report_lag_ms, "Load reports' lag"),
	    NUMBER("orphan-ms", engine.orphan_ms, "Cancel the unread after"),
	    NUMBER("load-ms", engine.load_ms, "Time to load a model"),
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
#undef NUMBER

	if (!standin_parse(argc, argv, entries, "model engine") ||
	    listen == NULL)
		return EXIT_FAILURE;
	batch_init(&engine.batch, &batch, standin_now_ms());
	engine.model = g_strdup(model != NULL ? model : "");
	engine.orders = json_object_new_array();
	engine.streams = g_ptr_array_new_with_free_func(stream_free);
	keep_report(&engine, standin_now_ms());
	g_timeout_add((guint)MAX(engine.step_ms, 1), step, &engine);
	return standin_run(&engine.base, listen);
}
