/* The stand-in's workers: engines that stream events, and plain services. */
#include "test/site/site.h"

#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

/// Interval of an engine's events, in milliseconds.
#define EVENT_MS 20
/// Bytes of a large answer.
#define BIG_BYTES (16 * 1024 * 1024)
/// Time of a plain request, in milliseconds.
#define PLAIN_MS 5
/// Tokens of an event.
#define EVENT_TOKENS 4
/// How long a worker says it stays once it leaves, in milliseconds.
#define LEAVES_MS 1500

/// One worker.
struct worker {
	struct site_world *world;
	char *id;
	char *service;
	char *zone;
	char *address;
	uint16_t port;
	struct http_server *server;
	GHashTable *runs; /// struct run * as a set
	bool draining;
	char mode[16];
	unsigned born;
};

/// One request that a worker works on.
struct run {
	struct worker *worker;
	struct http_call *call;
	char *id;
	unsigned made;  /// events
	unsigned total; /// events
	guint timer;
	bool is_stream;
};

/// Frees a run whose call has been answered or has gone.
static void
run_free(struct run *run)
{
	g_hash_table_remove(run->worker->runs, run);
	if (run->timer != 0)
		g_source_remove(run->timer);
	g_free(run->id);
	g_free(run);
}

/// Breaks a run off.
static void
run_abort(struct run *run)
{
	http_call_abort(run->call);
	run_free(run);
}

static void
on_caller_gone(void *owner)
{
	run_abort(owner);
}

/// Fills in the fields that every answer of a worker has.
static void
fill_head(const struct run *run, struct http_head *head)
{
	head->status = 200;
	http_head_add(head, "Attempt-Id", run->id);
	http_head_add(head, "Response-Seal", run->worker->id);
	http_head_add(head, "Keep-Alive", "timeout=5");
}

static gboolean
on_event(gpointer data)
{
	struct run *run = data;
	char *text;

	run->made++;
	text = g_strdup_printf(
	    "id: %u\ndata: %s %u\n\n", run->made, run->id, run->made);
	http_call_write_body(run->call, text, strlen(text));
	g_free(text);
	if (run->made < run->total)
		return G_SOURCE_CONTINUE;
	run->timer = 0;
	http_call_finish_response(run->call);
	run_free(run);
	return G_SOURCE_REMOVE;
}

static gboolean
on_plain_done(gpointer data)
{
	struct run *run = data;
	struct http_head head;
	char *body =
	    g_strdup_printf("%s ran at %s\n", run->id, run->worker->service);

	run->timer = 0;
	http_head_init(&head);
	fill_head(run, &head);
	if (strcmp(run->worker->mode, "errors") == 0)
		head.status = 500;
	if (strcmp(run->worker->mode, "big") == 0) {
		g_free(body);
		body = g_strnfill(BIG_BYTES, 'x');
	}
	if (strcmp(run->worker->mode, "cut") == 0) {
		http_call_start_response(run->call, &head);
		http_call_write_body(run->call, body, 3);
		run_abort(run);
	} else {
		http_call_respond(run->call, &head, body, strlen(body));
		run_free(run);
	}
	http_head_clear(&head);
	g_free(body);
	return G_SOURCE_REMOVE;
}

/// Counts a run's beginning.
static void
count_run(struct worker *worker, const char *id, const char *how)
{
	GHashTable *runs = worker->world->runs;
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(runs, id));

	if (strcmp(how, "resumed") != 0)
		g_hash_table_replace(
		    runs, g_strdup(id), GUINT_TO_POINTER(n + 1));
	printf("run %s %s %s\n", id, worker->id, how);
	fflush(stdout);
}

/// Begins a stream of events.
static void
begin_stream(struct run *run)
{
	struct http_head head;

	http_head_init(&head);
	fill_head(run, &head);
	http_head_add(&head, "Content-Type", "text/event-stream");
	http_call_start_response(run->call, &head);
	http_head_clear(&head);
	run->is_stream = true;
	run->timer = g_timeout_add(EVENT_MS, on_event, run);
}

/// Uses a copy up.
///
/// @return false when there is none
static bool
use_copy(struct worker *worker, const char *copy)
{
	char *key = g_strdup_printf("%s %s", worker->address, copy);
	bool found = g_hash_table_remove(worker->world->copies, key);

	g_free(key);
	return found;
}

/// Refuses what has not run and won't.
static void
shed(struct http_call *call, const char *id)
{
	struct http_head head;

	http_head_init(&head);
	head.status = 503;
	http_head_add(&head, "Not-Executed", "1");
	if (id != NULL)
		http_head_add(&head, "Attempt-Id", id);
	http_call_respond(call, &head, "", 0);
	http_head_clear(&head);
}

/// Begins to work on a request.
static void
work(struct worker *worker, struct http_call *call)
{
	const struct http_head *head = http_call_head(call);
	const char *id = http_head_get(head, "Attempt-Id");
	const char *tokens = http_head_get(head, "Token-Usage");
	const char *copy = http_head_get(head, "Kv-From");
	const char *last = http_head_get(head, "Last-Event-Id");
	const char *expected = http_head_get(head, "Expect-Instance");
	struct run *run;

	if (expected != NULL && strcmp(expected, worker->id) != 0) {
		site_answer(call, 421, "");
		return;
	}
	if (id == NULL || strcmp(worker->mode, "shed") == 0 ||
	    (copy != NULL && !use_copy(worker, copy))) {
		shed(call, id);
		return;
	}
	count_run(worker, id, copy == NULL ? "begun" : "resumed");
	if (last != NULL && strcmp(worker->mode, "wrongresume") == 0) {
		site_answer(call, 500, "error");
		return;
	}
	run = g_new0(struct run, 1);
	run->worker = worker;
	run->call = call;
	run->id = g_strdup(id);
	run->made = last == NULL ? 0 : (unsigned)atoi(last);
	g_hash_table_add(worker->runs, run);
	http_call_on_disconnect(call, on_caller_gone, run);
	if (strcmp(worker->mode, "reset") == 0) {
		run_abort(run);
	} else if (strcmp(worker->mode, "mute") == 0) {
		return;
	} else if (tokens != NULL) {
		tokens = strchr(tokens, ',');
		run->total = tokens == NULL
		    ? 1
		    : (unsigned)MAX(atoi(tokens + 1) / EVENT_TOKENS, 1);
		begin_stream(run);
	} else {
		run->timer = g_timeout_add(PLAIN_MS, on_plain_done, run);
	}
}

/// Finds a worker by its address.
static struct worker *
worker_at(struct site_world *world, const char *address)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, world->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		if (strcmp(worker->address, address) == 0 &&
		    worker->server != NULL)
			return worker;
	}
	return NULL;
}

/// Finds a run by its request's id.
static struct run *
run_of(const struct worker *worker, const char *id)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, worker->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct run *run = key;

		if (strcmp(run->id, id) == 0)
			return run;
	}
	return NULL;
}

/// Copies a run's memory to another worker.
static void
copy_run(struct worker *worker, struct http_call *call)
{
	size_t len;
	const char *body = http_call_body(call, &len);
	char *text = g_strndup(body, len);
	json_object *root = json_tokener_parse(text);
	json_object *id = NULL;
	json_object *to = NULL;
	json_object *last = NULL;
	struct run *run;
	char *key;
	char *answer;

	json_object_object_get_ex(root, "id", &id);
	json_object_object_get_ex(root, "to", &to);
	json_object_object_get_ex(root, "last", &last);
	run = run_of(worker, json_object_get_string(id));
	if (run == NULL || !run->is_stream) {
		site_answer(call, 404, "{}");
	} else if (worker_at(worker->world, json_object_get_string(to)) ==
	    NULL) {
		site_answer(call, 503, "{}");
	} else {
		key = g_strdup_printf("%s %s/h-%s", json_object_get_string(to),
		    worker->address, run->id);
		g_hash_table_replace(worker->world->copies, key,
		    GUINT_TO_POINTER(run->made + 1));
		answer = g_strdup_printf(
		    "{\"handle\":\"h-%s\",\"created\":%u}", run->id, run->made);
		if (json_object_get_boolean(last))
			run_abort(run);
		site_answer(call, 200, answer);
		g_free(answer);
	}
	json_object_put(root);
	g_free(text);
}

static void
on_mute_gone(void *owner)
{
	http_call_abort(owner);
}

static void
on_request(void *owner, struct http_call *call)
{
	struct worker *worker = owner;
	const struct http_head *head = http_call_head(call);
	char *text;

	if (strcmp(head->target, "/v1/report") == 0) {
		text = g_strdup_printf("{\"state\":\"%s\",\"leaves_ms\":%d}",
		    worker->draining ? "draining" : "ready", LEAVES_MS);
		site_answer(call, 200, text);
		g_free(text);
	} else if (strcmp(head->target, "/v1/kv-move") == 0) {
		if (strcmp(worker->mode, "mutecopy") == 0)
			http_call_on_disconnect(call, on_mute_gone, call);
		else
			copy_run(worker, call);
	} else if (strcmp(head->method, "DELETE") == 0) {
		site_answer(call, 200, "{}");
	} else {
		work(worker, call);
	}
}

static void
on_refused(void *owner, unsigned status)
{
	(void)owner;
	g_printerr("worker refused input: %u\n", status);
}

static const struct http_server_vtable vtable = {on_request, on_refused};

/// Writes a worker's entry.
static void
put_entry(struct worker *worker)
{
	char *key = g_strdup_printf("servers/%s", worker->id);
	char *value = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"slots\":24,\"state\":\"%s\","
	    "\"cold_left_ms\":0,\"sequence\":1,\"born\":%u}",
	    worker->service, worker->address, worker->zone,
	    worker->draining ? "draining" : "ready", worker->born);

	site_store_put(worker->world->store, key, value);
	g_free(key);
	g_free(value);
}

/// Starts to listen.
static bool
worker_open(struct worker *worker)
{
	const struct http_server_options options = {
	    .vtable = &vtable,
	    .owner = worker,
	    .ip = "127.0.0.1",
	    .port = worker->port,
	    .limits = {.max_head = 65536,
		.max_body = 8388608,
		.head_timeout = 60 * USEC_PER_SEC,
		.idle_timeout = 5 * USEC_PER_SEC,
		.max_callers = 1000},
	};

	worker->server = http_server_new(&options, NULL);
	worker->born++;
	worker->draining = false;
	return worker->server != NULL;
}

/// Cuts every run of a worker.
static void
cut_runs(struct worker *worker)
{
	GList *runs = g_hash_table_get_keys(worker->runs);

	for (GList *l = runs; l != NULL; l = l->next)
		run_abort(l->data);
	g_list_free(runs);
}

/// Ends a worker: every run is cut.
static void
worker_close(struct worker *worker)
{
	cut_runs(worker);
	g_clear_pointer(&worker->server, http_server_free);
}

/// Starts a worker.
///
/// @param world  the stand-in
/// @param spec   ID,SERVICE,ZONE,PORT[,PORT THAT IT ANNOUNCES]
/// @return the worker, or NULL when its port can't be listened on
struct worker *
worker_new(struct site_world *world, const char *spec)
{
	char **parts = g_strsplit(spec, ",", 5);
	struct worker *worker = g_new0(struct worker, 1);

	worker->world = world;
	worker->id = g_strdup(parts[0]);
	worker->service = g_strdup(parts[1]);
	worker->zone = g_strdup(parts[2]);
	worker->port = (uint16_t)atoi(parts[3]);
	/* What it announces may be a link before it. */
	worker->address = g_strdup_printf(
	    "127.0.0.1:%s", parts[4] == NULL ? parts[3] : parts[4]);
	worker->runs = g_hash_table_new(NULL, NULL);
	g_strfreev(parts);
	if (!worker_open(worker))
		return NULL;
	g_hash_table_insert(world->workers, worker->id, worker);
	put_entry(worker);
	return worker;
}

/// Switches a worker: ready, draining, gone (without a word), leave (entry
/// deleted), back, cutruns, or how it answers: well, shed, mute, reset,
/// cut, errors, big.
///
/// @param worker  the worker
/// @param mode    one of these
/// @return false when it is none
bool
worker_set_mode(struct worker *worker, const char *mode)
{
	char *key = g_strdup_printf("servers/%s", worker->id);
	bool known = true;

	if (strcmp(mode, "ready") == 0 || strcmp(mode, "draining") == 0) {
		worker->draining = strcmp(mode, "draining") == 0;
		put_entry(worker);
	} else if (strcmp(mode, "gone") == 0) {
		worker_close(worker);
	} else if (strcmp(mode, "leave") == 0) {
		worker_close(worker);
		site_store_delete(worker->world->store, key);
	} else if (strcmp(mode, "cutruns") == 0) {
		cut_runs(worker);
	} else if (strcmp(mode, "back") == 0) {
		if (worker_open(worker))
			put_entry(worker);
	} else if (strstr(" well shed mute mutecopy reset cut errors big "
			  "wrongresume ",
		       mode) != NULL) {
		g_strlcpy(worker->mode, mode, sizeof(worker->mode));
	} else {
		known = false;
	}
	g_free(key);
	return known;
}

/// @param worker  a worker
/// @return IP:PORT
const char *
worker_address(const struct worker *worker)
{
	return worker->address;
}

/// @param worker  a worker
/// @return whether it runs
bool
worker_is_up(const struct worker *worker)
{
	return worker->server != NULL;
}
