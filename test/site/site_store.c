/* The stand-in's store: items, revisions, pages, watches, outages. */
#include "test/site/site.h"

#include <string.h>

#include <json-c/json.h>

/// Changes that a watch can still be told of.
#define HISTORY_MAX 1000

/// One item.
struct item {
	char *value;
	uint64_t revision;
};

/// One change.
struct change {
	char *key;
	char *value; /// NULL: deleted
	uint64_t revision;
};

/// A watch that waits.
struct watcher {
	struct site_store *store;
	struct http_call *call;
	char *prefix;
	uint64_t after;
	guint timer;
};

struct site_store {
	struct site_world *world;
	struct http_server *server;
	GHashTable *items;  /// key -> struct item *
	GPtrArray *changes; /// struct change *
	GList *watchers;
	uint64_t revision;
	uint64_t oldest; /// revision before which history is lost
	unsigned calls;
	bool busy;
	bool silent;
};

static void
item_free(void *data)
{
	struct item *item = data;

	g_free(item->value);
	g_free(item);
}

static void
change_free(void *data)
{
	struct change *change = data;

	g_free(change->key);
	g_free(change->value);
	g_free(change);
}

/// Answers with a JSON object, which is freed.
static void
answer_json(struct http_call *call, json_object *root)
{
	site_answer(call, 200,
	    json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
}

/// Describes one item.
static json_object *
describe(const char *key, const char *value, uint64_t revision)
{
	json_object *object = json_object_new_object();

	json_object_object_add(object, "key", json_object_new_string(key));
	json_object_object_add(
	    object, "revision", json_object_new_uint64(revision));
	if (value == NULL) {
		json_object_object_add(
		    object, "deleted", json_object_new_boolean(true));
		return object;
	}
	char *encoded = g_base64_encode((const guchar *)value, strlen(value));

	json_object_object_add(
	    object, "value", json_object_new_string(encoded));
	g_free(encoded);
	return object;
}

/// Answers a watch if there is anything to tell.
static bool
answer_watch(struct watcher *watcher, bool is_over)
{
	struct site_store *store = watcher->store;
	json_object *root;
	json_object *events = json_object_new_array();

	for (guint i = 0; i < store->changes->len; i++) {
		const struct change *change = store->changes->pdata[i];

		if (change->revision > watcher->after &&
		    g_str_has_prefix(change->key, watcher->prefix))
			json_object_array_add(events,
			    describe(
				change->key, change->value, change->revision));
	}
	if (!is_over && json_object_array_length(events) == 0) {
		json_object_put(events);
		return false;
	}
	root = json_object_new_object();
	json_object_object_add(root, "events", events);
	json_object_object_add(
	    root, "as_of", json_object_new_uint64(store->revision));
	answer_json(watcher->call, root);
	return true;
}

/// Ends a watch whose call was answered or has gone.
static void
watcher_free(struct watcher *watcher)
{
	watcher->store->watchers =
	    g_list_remove(watcher->store->watchers, watcher);
	if (watcher->timer != 0)
		g_source_remove(watcher->timer);
	g_free(watcher->prefix);
	g_free(watcher);
}

static void
on_watcher_gone(void *owner)
{
	struct watcher *watcher = owner;

	http_call_abort(watcher->call);
	watcher_free(watcher);
}

static gboolean
on_watch_over(gpointer data)
{
	struct watcher *watcher = data;

	watcher->timer = 0;
	answer_watch(watcher, true);
	watcher_free(watcher);
	return G_SOURCE_REMOVE;
}

static void
on_watch(struct site_store *store, struct http_call *call, const char *target)
{
	char *prefix = site_query(target, "prefix");
	char *after = site_query(target, "after");
	char *wait = site_query(target, "wait_ms");
	struct watcher *watcher;

	if (g_ascii_strtoull(after, NULL, 10) < store->oldest) {
		site_answer(call, 410, "{}");
		goto out;
	}
	watcher = g_new0(struct watcher, 1);
	watcher->store = store;
	watcher->call = call;
	watcher->prefix = g_strdup(prefix);
	watcher->after = g_ascii_strtoull(after, NULL, 10);
	store->watchers = g_list_prepend(store->watchers, watcher);
	if (answer_watch(watcher, false)) {
		watcher_free(watcher);
		goto out;
	}
	http_call_on_disconnect(call, on_watcher_gone, watcher);
	watcher->timer = g_timeout_add(
	    (guint)g_ascii_strtoull(wait, NULL, 10), on_watch_over, watcher);
out:
	g_free(prefix);
	g_free(after);
	g_free(wait);
}

static void
on_range(struct site_store *store, struct http_call *call, const char *target)
{
	char *prefix = site_query(target, "prefix");
	json_object *root = json_object_new_object();
	json_object *entries = json_object_new_array();
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, store->items);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct item *item = value;

		if (g_str_has_prefix(key, prefix))
			json_object_array_add(entries,
			    describe(key, item->value, item->revision));
	}
	json_object_object_add(root, "entries", entries);
	json_object_object_add(
	    root, "as_of", json_object_new_uint64(store->revision));
	answer_json(call, root);
	g_free(prefix);
}

/// The test's own calls: /ctl/put/KEY with a body, /ctl/del/KEY,
/// /ctl/store/MODE, /ctl/worker/ID/MODE, /ctl/runs/ID, /ctl/calls.
static void
on_control(struct site_store *store, struct http_call *call, const char *path)
{
	char **parts = g_strsplit(path, "/", 3);
	const char *what = parts[0];
	const char *name = parts[1] == NULL ? "" : parts[1];
	char number[32] = "";
	size_t len;
	const char *body = http_call_body(call, &len);
	char *text = g_strndup(body, len);
	struct worker *worker;

	if (strcmp(what, "put") == 0) {
		site_store_put(store, path + strlen("put/"), text);
	} else if (strcmp(what, "del") == 0) {
		site_store_delete(store, path + strlen("del/"));
	} else if (strcmp(what, "store") == 0) {
		site_store_set_mode(store, name);
	} else if (strcmp(what, "runs") == 0) {
		g_snprintf(number, sizeof(number), "%u\n",
		    GPOINTER_TO_UINT(
			g_hash_table_lookup(store->world->runs, name)));
	} else if (strcmp(what, "calls") == 0) {
		g_snprintf(number, sizeof(number), "%u\n", store->calls);
	} else {
		worker = g_hash_table_lookup(store->world->workers, name);
		if (worker == NULL || parts[2] == NULL ||
		    !worker_set_mode(worker, parts[2]))
			g_strlcpy(number, "unknown\n", sizeof(number));
	}
	site_answer(call, 200, number);
	g_free(text);
	g_strfreev(parts);
}

static void
on_silent_gone(void *owner)
{
	http_call_abort(owner);
}

static void
on_request(void *owner, struct http_call *call)
{
	struct site_store *store = owner;
	const char *target = http_call_head(call)->target;

	if (g_str_has_prefix(target, "/ctl/")) {
		on_control(store, call, target + strlen("/ctl/"));
		return;
	}
	store->calls++;
	if (store->silent)
		http_call_on_disconnect(call, on_silent_gone, call);
	else if (store->busy)
		site_answer(call, 503, "{}");
	else if (g_str_has_prefix(target, "/v1/kv-watch"))
		on_watch(store, call, target);
	else if (g_str_has_prefix(target, "/v1/kv-range"))
		on_range(store, call, target);
	else
		site_answer(call, 404, "{}");
}

static void
on_refused(void *owner, unsigned status)
{
	(void)owner;
	g_printerr("store refused input: %u\n", status);
}

static const struct http_server_vtable vtable = {on_request, on_refused};

/// Starts the store.
///
/// @param world  the stand-in
/// @param port   on loopback
/// @return the store; it lives as long as the process
struct site_store *
site_store_new(struct site_world *world, uint16_t port)
{
	struct site_store *store = g_new0(struct site_store, 1);
	const struct http_server_options options = {
	    .vtable = &vtable,
	    .owner = store,
	    .ip = "127.0.0.1",
	    .port = port,
	    .limits = {.max_head = 16384,
		.max_body = 4194304,
		.head_timeout = 60 * USEC_PER_SEC,
		.idle_timeout = 600 * USEC_PER_SEC,
		.max_callers = 1000},
	};

	store->world = world;
	store->items =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, item_free);
	store->changes = g_ptr_array_new_with_free_func(change_free);
	store->revision = 1;
	store->server = http_server_new(&options, NULL);
	return store->server == NULL ? NULL : store;
}

/// Writes a change down and tells those who wait for it.
static void
note_change(struct site_store *store, const char *key, const char *value)
{
	struct change *change = g_new0(struct change, 1);

	change->key = g_strdup(key);
	change->value = g_strdup(value);
	change->revision = store->revision;
	g_ptr_array_add(store->changes, change);
	if (store->changes->len > HISTORY_MAX)
		g_ptr_array_remove_index(store->changes, 0);
	if (store->busy || store->silent)
		return;
	for (GList *l = store->watchers; l != NULL;) {
		struct watcher *watcher = l->data;

		l = l->next;
		if (answer_watch(watcher, false))
			watcher_free(watcher);
	}
}

/// Writes an item.
///
/// @param store  the store
/// @param key    its key
/// @param value  its value
void
site_store_put(struct site_store *store, const char *key, const char *value)
{
	struct item *item = g_new0(struct item, 1);

	item->value = g_strdup(value);
	item->revision = ++store->revision;
	g_hash_table_replace(store->items, g_strdup(key), item);
	note_change(store, key, value);
}

/// Deletes an item.
///
/// @param store  the store
/// @param key    its key
void
site_store_delete(struct site_store *store, const char *key)
{
	store->revision++;
	g_hash_table_remove(store->items, key);
	note_change(store, key, NULL);
}

/// Switches the store: up, busy, silent, or forgets its history.
///
/// @param store  the store
/// @param mode   one of up, busy, silent, forget
void
site_store_set_mode(struct site_store *store, const char *mode)
{
	GList *watchers;

	store->busy = strcmp(mode, "busy") == 0;
	store->silent = strcmp(mode, "silent") == 0;
	if (strcmp(mode, "forget") == 0)
		store->oldest = ++store->revision;
	if (strcmp(mode, "up") == 0)
		return;
	watchers = g_steal_pointer(&store->watchers);
	for (GList *l = watchers; l != NULL; l = l->next) {
		struct watcher *watcher = l->data;

		if (store->silent)
			http_call_on_disconnect(
			    watcher->call, on_silent_gone, watcher->call);
		else
			http_call_abort(watcher->call);
		watcher_free(watcher);
	}
	g_list_free(watchers);
}

/// @param store  the store
/// @return calls so far, the test's own left out
unsigned
site_store_calls(const struct site_store *store)
{
	return store->calls;
}
