/*
 * Open model orders, from the holder of the lease to the other instances: an
 * engine that loads gets no new generations from any of them, and the next
 * holder does not repeat an order that is open.
 */
#include "godwitvale/upstream/model_share.h"

#include <string.h>

#include <json-c/json.h>
#include <sodium.h>

#include "godwitvale/caller/listener.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/registry/ask.h"
#include "godwitvale/registry/members.h"
#include "godwitvale/serve/parse.h"
#include "godwitvale/upstream/upstream.h"

#define SHARE_PATH "/peer/model-orders"
/// The holder is asked this often while orders are open or wanted.
#define SHARE_INTERVAL (200 * USEC_PER_MSEC)
/// A question that takes longer is given up.
#define SHARE_TIMEOUT (1 * USEC_PER_SEC)

/// Works out the tag that shows knowledge of the instances' key.
///
/// @param instance  the instance
/// @param hex       filled in
static void
make_tag(const struct instance *instance, char hex[crypto_auth_BYTES * 2 + 1])
{
	unsigned char tag[crypto_auth_BYTES];

	crypto_auth(tag, (const unsigned char *)SHARE_PATH, strlen(SHARE_PATH),
	    instance->settings->peer_key);
	sodium_bin2hex(hex, crypto_auth_BYTES * 2 + 1, tag, sizeof(tag));
}

/// Lists the orders that are open.
///
/// @param orders  of the holder
/// @return an array of objects
static struct json_object *
list_open(const struct model_orders *orders)
{
	GPtrArray *upstreams = upstream_list(orders->instance->upstreams);
	struct json_object *list = json_object_new_array();
	usec_t now = g_get_monotonic_time();

	for (guint i = 0; i < upstreams->len; i++) {
		const struct upstream *upstream =
		    g_ptr_array_index(upstreams, i);
		usec_t until = 0;
		const char *target = model_plan_get_open_order(
		    orders->plan, now, upstream->handle, &until);
		struct json_object *entry;

		if (target == NULL)
			continue;
		entry = json_object_new_object();
		json_object_object_add(
		    entry, "upstream", json_object_new_string(upstream->name));
		json_object_object_add(
		    entry, "target", json_object_new_string(target));
		json_object_object_add(entry, "open_ms",
		    json_object_new_int64((until - now) / USEC_PER_MSEC));
		json_object_array_add(list, entry);
	}
	return list;
}

/// Serves the open orders, at the holder; elsewhere only who that is.
///
/// @param server   unused
/// @param message  the exchange
/// @param path     unused
/// @param query    the tag
/// @param data     the model orders
static void
on_question(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct model_orders *orders = data;
	char tag[crypto_auth_BYTES * 2 + 1];
	const char *shown =
	    query == NULL ? NULL : g_hash_table_lookup(query, "tag");
	bool holds = quorum_may_act(
	    orders->instance->quorum, g_get_monotonic_time(), orders->ticket);
	struct json_object *root;
	const char *text;

	(void)server;
	(void)path;
	make_tag(orders->instance, tag);
	if (shown == NULL || strlen(shown) != strlen(tag) ||
	    sodium_memcmp(shown, tag, strlen(tag)) != 0) {
		soup_server_message_set_status(
		    message, SOUP_STATUS_FORBIDDEN, NULL);
		return;
	}
	root = json_object_new_object();
	json_object_object_add(root, "holder",
	    json_object_new_uint64(
		holds ? peer_self(orders->instance->peer) : orders->holder));
	if (holds)
		json_object_object_add(root, "open", list_open(orders));
	text = json_object_to_json_string(root);
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(
	    message, "application/json", SOUP_MEMORY_COPY, text, strlen(text));
	json_object_put(root);
}

/// Takes the holder's word on one engine.
///
/// @param orders    the model orders
/// @param upstream  the engine
/// @param list      the open orders
static void
take_word(struct model_orders *orders, const struct upstream *upstream,
    struct json_object *list)
{
	usec_t now = g_get_monotonic_time();
	const char *target = NULL;
	usec_t until = 0;

	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *entry = json_object_array_get_idx(list, i);
		struct json_object *name, *text, *span;

		if (!json_object_object_get_ex(entry, "upstream", &name) ||
		    !json_object_object_get_ex(entry, "target", &text) ||
		    !json_object_object_get_ex(entry, "open_ms", &span) ||
		    g_strcmp0(json_object_get_string(name), upstream->name) !=
			0)
			continue;
		target = json_object_get_string(text);
		until = now +
		    CLAMP(json_object_get_int64(span), 0, G_MAXINT32) *
			USEC_PER_MSEC;
	}
	model_plan_handle_peer_order(
	    orders->plan, now, upstream->handle, target, until);
}

/// Takes the answer to a question for open orders.
///
/// @param status  HTTP status, 0 on failure
/// @param body    the answer, or NULL
/// @param data    the model orders
static void
on_told(unsigned status, GBytes *body, gpointer data)
{
	struct model_orders *orders = data;
	GPtrArray *upstreams = upstream_list(orders->instance->upstreams);
	struct json_object *root = NULL, *holder, *list;
	gsize len = 0;
	const char *text;

	orders->share_pending = false;
	if (status == SOUP_STATUS_OK) {
		text = g_bytes_get_data(body, &len);
		root = parse_json(text, len, NULL);
	}
	if (!json_object_is_type(root, json_type_object) ||
	    !json_object_object_get_ex(root, "holder", &holder)) {
		orders->holder = 0;
		goto out;
	}
	orders->holder = json_object_get_uint64(holder);
	if (orders->fence != 0 ||
	    !json_object_object_get_ex(root, "open", &list) ||
	    !json_object_is_type(list, json_type_array))
		goto out;
	for (guint i = 0; i < upstreams->len; i++)
		take_word(orders, g_ptr_array_index(upstreams, i), list);
out:
	json_object_put(root);
}

/// Starts to answer other instances.
///
/// @param orders  the model orders
void
model_share_open(struct model_orders *orders)
{
	soup_server_add_handler(
	    listener_server(orders->instance->peer_listener), SHARE_PATH,
	    on_question, orders, NULL);
}

/// Asks the holder for its open orders; where it is not known, one of those
/// that may be. No question is pending.
///
/// @param orders      the model orders
/// @param candidates  members that claim the lease
/// @param now         current time
void
model_share_ask(
    struct model_orders *orders, const GPtrArray *candidates, usec_t now)
{
	struct instance *instance = orders->instance;
	const struct member *member;
	struct settings_address address;
	char tag[crypto_auth_BYTES * 2 + 1];
	char *path;

	orders->share_due = now + SHARE_INTERVAL;
	member = member_list_find(instance->members, orders->holder);
	if (member == NULL && candidates->len > 0)
		member = g_ptr_array_index(candidates,
		    g_rand_int_range(
			instance->random, 0, (gint32)candidates->len));
	if (member == NULL || member->id == peer_self(instance->peer))
		return;
	address.ip = member->ip;
	address.port = member->peer_port;
	make_tag(instance, tag);
	path = g_strconcat(SHARE_PATH "?tag=", tag, NULL);
	orders->share_pending = true;
	ask_get(instance, &address, path, SHARE_TIMEOUT, on_told, orders);
	g_free(path);
}
