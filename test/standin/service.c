/* Stand-in for plain services: orders, which count runs, and lookups. */
#include "standin.h"

#include <stdlib.h>
#include <string.h>

struct service {
	struct standin base;
	GHashTable *runs; /// request id -> number of runs
	uint64_t start_epoch;
	uint64_t total_runs;
	uint64_t lookups;
	uint64_t overloads;
	int64_t started_ms;
	int running;
	int max_running_seen;
	int max_running_cold;
	int work_ms;
	int cold_ms;
	int cold_limit;
	int64_t close_after_read;
	int64_t close_mid_body;
};

/// A call that is being worked on.
struct call {
	struct service *service;
	SoupServerMessage *message;
	char *id;
	int64_t run; /// 0 for a lookup
	uint64_t start_epoch;
	bool half;
};

static void
restart(struct standin *standin)
{
	struct service *service = (struct service *)standin;

	service->start_epoch = (uint64_t)g_random_int() + 1;
	service->started_ms = standin_now_ms();
	service->running = 0;
}

static gboolean
finish_call(gpointer data)
{
	struct call *call = data;
	struct service *service = call->service;
	json_object *object = json_object_new_object();
	const char *text = NULL;

	if (call->run > 0) {
		json_object_object_add(
		    object, "order", json_object_new_string(call->id));
		json_object_object_add(
		    object, "run", json_object_new_int64(call->run));
	} else {
		json_object_object_add(
		    object, "stock", json_object_new_string(call->id));
	}
	text = json_object_to_json_string_ext(
	    object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
	if (call->start_epoch != service->start_epoch) {
		standin_close(call->message);
	} else {
		service->running--;
		if (standin_silenced(&service->base, call->message))
			;
		else if (call->half)
			standin_answer_half(call->message, text, strlen(text));
		else
			standin_answer_json(call->message, SOUP_STATUS_OK,
			    json_object_get(object));
	}
	json_object_put(object);
	g_object_unref(call->message);
	g_free(call->id);
	g_free(call);
	return G_SOURCE_REMOVE;
}

/// Counts a call in. Returns false when the service fell over under it.
static bool
enter(struct service *service)
{
	service->running++;
	service->max_running_seen =
	    MAX(service->max_running_seen, service->running);
	if (standin_now_ms() >= service->started_ms + service->cold_ms)
		return true;
	service->max_running_cold =
	    MAX(service->max_running_cold, service->running);
	return service->running <= service->cold_limit;
}

static void
answer_load(struct service *service, SoupServerMessage *message)
{
	json_object *load = json_object_new_object();

	json_object_object_add(
	    load, "start_epoch", json_object_new_uint64(service->start_epoch));
	json_object_object_add(load, "uptime_ms",
	    json_object_new_int64(standin_now_ms() - service->started_ms));
	json_object_object_add(
	    load, "running", json_object_new_int(service->running));
	standin_answer_json(message, SOUP_STATUS_OK, load);
}

static struct call *
start_order(struct service *service, struct call *call)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(call->message);
	const char *id = soup_message_headers_get_one(headers, "X-Request-Id");

	call->id = g_strdup(id != NULL ? id : "");
	call->run =
	    GPOINTER_TO_INT(g_hash_table_lookup(service->runs, call->id)) + 1;
	g_hash_table_replace(
	    service->runs, g_strdup(call->id), GINT_TO_POINTER((int)call->run));
	service->total_runs++;
	return call;
}

static void
request(struct standin *standin, SoupServerMessage *message)
{
	struct service *service = (struct service *)standin;
	const char *path = g_uri_get_path(soup_server_message_get_uri(message));
	bool order =
	    strstr(path, "order") != NULL || strstr(path, "booking") != NULL;
	struct call *call = NULL;

	if (strcmp(path, "/load") == 0) {
		answer_load(service, message);
		return;
	}
	if (!enter(service)) {
		service->overloads++;
		restart(standin);
		standin_close_all(standin);
		standin_close(message);
		return;
	}
	call = g_new0(struct call, 1);
	call->service = service;
	call->message = g_object_ref(message);
	call->start_epoch = service->start_epoch;
	if (!order) {
		call->id = g_strdup(path);
		service->lookups++;
	} else {
		start_order(service, call);
		if (service->close_after_read > 0) {
			service->close_after_read--;
			standin_close(message);
		} else if (service->close_mid_body > 0) {
			service->close_mid_body--;
			call->half = true;
		}
	}
	g_timeout_add((guint)service->work_ms, finish_call, call);
}

static bool
control(struct standin *standin, SoupServerMessage *message, const char *path,
    json_object *body)
{
	struct service *service = (struct service *)standin;

	(void)message;
	if (strcmp(path, "/control") != 0)
		return false;
	service->close_after_read =
	    standin_number(body, "close_after_read", service->close_after_read);
	service->close_mid_body =
	    standin_number(body, "close_mid_body", service->close_mid_body);
	return true;
}

static void
stats(struct standin *standin, json_object *object)
{
	struct service *service = (struct service *)standin;
	json_object *runs = json_object_new_object();
	GHashTableIter iter;
	gpointer id = NULL;
	gpointer count = NULL;

	g_hash_table_iter_init(&iter, service->runs);
	while (g_hash_table_iter_next(&iter, &id, &count))
		json_object_object_add(
		    runs, id, json_object_new_int(GPOINTER_TO_INT(count)));
	json_object_object_add(object, "runs", runs);
	json_object_object_add(
	    object, "total_runs", json_object_new_uint64(service->total_runs));
	json_object_object_add(
	    object, "lookups", json_object_new_uint64(service->lookups));
	json_object_object_add(
	    object, "overloads", json_object_new_uint64(service->overloads));
	json_object_object_add(object, "max_running_seen",
	    json_object_new_int(service->max_running_seen));
	json_object_object_add(object, "max_running_cold",
	    json_object_new_int(service->max_running_cold));
}

int
service_main(int argc, char **argv)
{
	static const struct standin_kind kind = {.request = request,
	    .control = control,
	    .restart = restart,
	    .stats = stats};
	static struct service service = {
	    .base = {.kind = &kind}, .cold_limit = 4};
	static char *listen = NULL;
	const GOptionEntry entries[] = {
	    {"listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address",
		"IP:PORT"},
	    {"work-ms", 0, 0, G_OPTION_ARG_INT, &service.work_ms,
		"Length of a call", "MS"},
	    {"cold-ms", 0, 0, G_OPTION_ARG_INT, &service.cold_ms,
		"Cold for this long after a start", "MS"},
	    {"cold-limit", 0, 0, G_OPTION_ARG_INT, &service.cold_limit,
		"Most calls that a cold service bears", "N"},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};

	if (!standin_parse(argc, argv, entries, "plain service") ||
	    listen == NULL)
		return EXIT_FAILURE;
	service.runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	service.start_epoch = (uint64_t)g_random_int() + 1;
	service.started_ms = standin_now_ms();
	return standin_run(&service.base, listen);
}
