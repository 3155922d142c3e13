/* Stand-in for the configuration service: one signed bundle, with watches. */
#include "standin.h"

#include <stdlib.h>
#include <string.h>

/// A call that waits for a newer version.
struct watch {
	struct config *config;
	SoupServerMessage *message;
	uint64_t after;
	guint timer;
};

struct config {
	struct standin base;
	GBytes *bundle; /// NULL while there is none
	GBytes *served; /// what readers see; older than bundle when stale
	uint64_t version;
	uint64_t served_version;
	GPtrArray *watches;
	struct standin_rate rate;
	uint64_t limited;
};

static void
answer_bundle(struct config *config, SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_response_headers(message);
	gsize len = 0;
	const char *data = NULL;
	char *tag = NULL;

	if (config->served == NULL) {
		standin_refuse(message, SOUP_STATUS_NOT_FOUND, "no bundle");
		return;
	}
	data = g_bytes_get_data(config->served, &len);
	tag = g_strdup_printf(
	    "\"%" G_GUINT64_FORMAT "\"", config->served_version);
	soup_message_headers_replace(headers, "ETag", tag);
	standin_answer(message, SOUP_STATUS_OK, "application/json", data, len);
	g_free(tag);
}

static void
watch_free(gpointer data)
{
	struct watch *watch = data;

	if (watch->timer != 0)
		g_source_remove(watch->timer);
	g_signal_handlers_disconnect_by_data(watch->message, watch);
	g_object_unref(watch->message);
	g_free(watch);
}

static void
watch_gone(SoupServerMessage *message, gpointer data)
{
	struct watch *watch = data;

	(void)message;
	g_ptr_array_remove_fast(watch->config->watches, watch);
}

static gboolean
watch_expired(gpointer data)
{
	struct watch *watch = data;
	SoupServerMessage *message = g_object_ref(watch->message);
	bool silent = standin_silenced(&watch->config->base, message);

	watch->timer = 0;
	g_ptr_array_remove_fast(watch->config->watches, watch);
	if (!silent)
		standin_answer(message, SOUP_STATUS_NOT_MODIFIED, NULL, "", 0);
	g_object_unref(message);
	return G_SOURCE_REMOVE;
}

static void
publish(struct config *config)
{
	if (config->base.fault == STANDIN_FAULT_STALE)
		return;
	if (config->served != NULL)
		g_bytes_unref(config->served);
	config->served =
	    config->bundle != NULL ? g_bytes_ref(config->bundle) : NULL;
	config->served_version = config->version;
	for (guint i = config->watches->len; i-- > 0;) {
		struct watch *watch = g_ptr_array_index(config->watches, i);
		SoupServerMessage *message = NULL;

		if (config->served_version <= watch->after ||
		    standin_silenced(&config->base, watch->message))
			continue;
		message = g_object_ref(watch->message);
		g_ptr_array_remove_index_fast(config->watches, i);
		answer_bundle(config, message);
		g_object_unref(message);
	}
}

static void
request(struct standin *standin, SoupServerMessage *message)
{
	struct config *config = (struct config *)standin;
	const char *path = g_uri_get_path(soup_server_message_get_uri(message));
	int64_t after = standin_query_number(message, "after", -1);
	int64_t wait_ms = standin_query_number(message, "wait_ms", 0);
	struct watch *watch = NULL;

	if (strcmp(path, "/config/bundle") != 0) {
		standin_refuse(message, SOUP_STATUS_NOT_FOUND, "no such path");
		return;
	}
	if (!standin_rate_take(&config->rate)) {
		config->limited++;
		standin_refuse(
		    message, STANDIN_TOO_MANY_REQUESTS, "too many reads");
		return;
	}
	publish(config);
	if (after < 0 || config->served_version > (uint64_t)after) {
		answer_bundle(config, message);
		return;
	}
	watch = g_new0(struct watch, 1);
	watch->config = config;
	watch->message = g_object_ref(message);
	watch->after = (uint64_t)after;
	watch->timer =
	    g_timeout_add((guint)MAX(wait_ms, 0), watch_expired, watch);
	g_signal_connect(message, "finished", G_CALLBACK(watch_gone), watch);
	g_ptr_array_add(config->watches, watch);
}

static uint64_t
bundle_version(const char *text, gsize len)
{
	json_tokener *tokener = json_tokener_new();
	json_object *outer = json_tokener_parse_ex(tokener, text, (int)len);
	const char *encoded = standin_string(outer, "bundle", "");
	gsize inner_len = 0;
	guchar *inner_text = g_base64_decode(encoded, &inner_len);
	json_object *inner = NULL;
	uint64_t version = 0;

	json_tokener_reset(tokener);
	json_tokener_set_flags(tokener, 0);
	inner = json_tokener_parse_ex(
	    tokener, (const char *)inner_text, (int)inner_len);
	version = (uint64_t)standin_number(inner, "version", 0);
	json_object_put(inner);
	json_object_put(outer);
	json_tokener_free(tokener);
	g_free(inner_text);
	return version;
}

static void
set_bundle(
    struct config *config, const char *text, gsize len, const char *version)
{
	if (config->bundle != NULL)
		g_bytes_unref(config->bundle);
	config->bundle = g_bytes_new(text, len);
	config->version = version != NULL ? g_ascii_strtoull(version, NULL, 10)
					  : bundle_version(text, len);
	publish(config);
}

static bool
control(struct standin *standin, SoupServerMessage *message, const char *path,
    json_object *body)
{
	struct config *config = (struct config *)standin;
	SoupMessageBody *text = soup_server_message_get_request_body(message);

	(void)body;
	if (strcmp(path, "/control/bundle") != 0)
		return false;
	set_bundle(config, text->data, (gsize)text->length,
	    soup_message_headers_get_one(
		soup_server_message_get_request_headers(message), "X-Version"));
	return true;
}

static void
stats(struct standin *standin, json_object *object)
{
	struct config *config = (struct config *)standin;

	json_object_object_add(
	    object, "version", json_object_new_uint64(config->version));
	json_object_object_add(
	    object, "watches", json_object_new_int64(config->watches->len));
	json_object_object_add(
	    object, "limited", json_object_new_uint64(config->limited));
}

int
config_main(int argc, char **argv)
{
	static const struct standin_kind kind = {
	    .request = request, .control = control, .stats = stats};
	static struct config config = {.base = {.kind = &kind}};
	static char *listen = NULL;
	static char *file = NULL;
	const GOptionEntry entries[] = {
	    {"listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address",
		"IP:PORT"},
	    {"bundle-file", 0, 0, G_OPTION_ARG_FILENAME, &file,
		"First signed bundle", "FILE"},
	    {"rate", 0, 0, G_OPTION_ARG_INT, &config.rate.per_second,
		"Most reads a second", "N"},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	char *text = NULL;
	gsize len = 0;

	if (!standin_parse(argc, argv, entries, "configuration service") ||
	    listen == NULL)
		return EXIT_FAILURE;
	config.watches = g_ptr_array_new_with_free_func(watch_free);
	if (file != NULL) {
		if (!g_file_get_contents(file, &text, &len, NULL))
			return EXIT_FAILURE;
		set_bundle(&config, text, len, NULL);
		g_free(text);
	}
	return standin_run(&config.base, listen);
}
