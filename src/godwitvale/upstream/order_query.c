/*
 * Distributes open model orders from the lease holder to the other instances,
 * which query for them. With this information, no instance sends new
 * generations to an engine that loads weights, and the next lease holder
 * doesn't repeat an order that is open.
 */
#include "godwitvale/upstream/order_query.h"

#include <string.h>

#include <json-c/json.h>
#include <sodium.h>

#include "godwitvale/caller/listener.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/registry/http_get.h"
#include "godwitvale/registry/member_list.h"
#include "godwitvale/serve/parse.h"
#include "godwitvale/upstream/upstream.h"

/// Path of a query, also the message that the tag authenticates.
#define QUERY_PATH "/peer/model-orders"
/// Interval between two queries while the plan isn't complete.
#define QUERY_INTERVAL (200 * USEC_PER_MSEC)
/// Timeout of a query.
#define QUERY_TIMEOUT (1 * USEC_PER_SEC)

/// Computes the authentication tag of a query, which proves that the sender has
/// the key that the instances share.
///
/// @param instance  the local instance
/// @param hex       overwritten with the tag in hexadecimal
static void
compute_tag(
    const struct instance *instance, char hex[crypto_auth_BYTES * 2 + 1])
{
	unsigned char tag[crypto_auth_BYTES];

	crypto_auth(tag, (const unsigned char *)QUERY_PATH, strlen(QUERY_PATH),
	    instance->settings->peer_key);
	sodium_bin2hex(hex, crypto_auth_BYTES * 2 + 1, tag, sizeof(tag));
}

/// Lists the open orders of the lease holder.
///
/// @param orders  the model orders of the lease holder
/// @return a JSON array with one object for each open order
static struct json_object *
list_open_orders(const struct model_orders *orders)
{
	GPtrArray *upstreams = upstream_list(orders->instance->upstreams);
	struct json_object *list = json_object_new_array();
	usec_t now = g_get_monotonic_time();

	for (guint i = 0; i < upstreams->len; i++) {
		const struct upstream *upstream =
		    g_ptr_array_index(upstreams, i);
		usec_t open_until = 0;
		const char *target = model_plan_get_open_order(
		    orders->plan, now, upstream->handle, &open_until);
		struct json_object *entry;

		if (target == NULL)
			continue;
		entry = json_object_new_object();
		json_object_object_add(
		    entry, "upstream", json_object_new_string(upstream->name));
		json_object_object_add(
		    entry, "target", json_object_new_string(target));
		json_object_object_add(entry, "open_ms",
		    json_object_new_int64((open_until - now) / USEC_PER_MSEC));
		json_object_array_add(list, entry);
	}
	return list;
}

/// Handles a query. The lease holder responds with its open orders, and other
/// instances only with the last known holder.
///
/// @param server   unused
/// @param message  the HTTP exchange with the querying instance
/// @param path     unused
/// @param query    query parameters, with the tag
/// @param data     the model orders
static void
on_query(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct model_orders *orders = data;
	char tag[crypto_auth_BYTES * 2 + 1];
	const char *received_tag =
	    query == NULL ? NULL : g_hash_table_lookup(query, "tag");
	bool holds_lease = quorum_may_act(
	    orders->instance->quorum, g_get_monotonic_time(), orders->ticket);
	struct json_object *root;
	const char *text;

	(void)server;
	(void)path;
	compute_tag(orders->instance, tag);
	if (received_tag == NULL || strlen(received_tag) != strlen(tag) ||
	    sodium_memcmp(received_tag, tag, strlen(tag)) != 0) {
		soup_server_message_set_status(
		    message, SOUP_STATUS_FORBIDDEN, NULL);
		return;
	}
	root = json_object_new_object();
	json_object_object_add(root, "holder",
	    json_object_new_uint64(holds_lease
		    ? peer_get_own_id(orders->instance->peer)
		    : orders->holder));
	if (holds_lease)
		json_object_object_add(root, "open", list_open_orders(orders));
	text = json_object_to_json_string(root);
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(
	    message, "application/json", SOUP_MEMORY_COPY, text, strlen(text));
	json_object_put(root);
}

/// Passes the holder's open order of one engine, or the lack of one, to the
/// plan.
///
/// @param orders    the model orders
/// @param upstream  the engine
/// @param list      JSON array of the holder's open orders
static void
apply_open_order(struct model_orders *orders, const struct upstream *upstream,
    struct json_object *list)
{
	usec_t now = g_get_monotonic_time();
	const char *target = NULL;
	usec_t open_until = 0;

	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *entry = json_object_array_get_idx(list, i);
		struct json_object *name_field, *target_field, *open_ms;

		if (!json_object_object_get_ex(
			entry, "upstream", &name_field) ||
		    !json_object_object_get_ex(
			entry, "target", &target_field) ||
		    !json_object_object_get_ex(entry, "open_ms", &open_ms) ||
		    g_strcmp0(json_object_get_string(name_field),
			upstream->name) != 0)
			continue;
		target = json_object_get_string(target_field);
		open_until = now +
		    CLAMP(json_object_get_int64(open_ms), 0, G_MAXINT32) *
			USEC_PER_MSEC;
	}
	model_plan_handle_peer_order(
	    orders->plan, now, upstream->handle, target, open_until);
}

/// Handles the response to a query: updates the holder, and passes the holder's
/// open orders to the plan unless this instance holds the lease itself.
///
/// @param status  HTTP status, or 0 if the query failed
/// @param body    the response, or NULL
/// @param data    the model orders
static void
on_query_response(unsigned status, GBytes *body, gpointer data)
{
	struct model_orders *orders = data;
	GPtrArray *upstreams = upstream_list(orders->instance->upstreams);
	struct json_object *root = NULL, *holder_field, *list;
	gsize len = 0;
	const char *text;

	orders->query_pending = false;
	if (status == SOUP_STATUS_OK) {
		text = g_bytes_get_data(body, &len);
		root = parse_json(text, len, NULL);
	}
	if (!json_object_is_type(root, json_type_object) ||
	    !json_object_object_get_ex(root, "holder", &holder_field)) {
		orders->holder = 0;
		goto out;
	}
	orders->holder = json_object_get_uint64(holder_field);
	if (orders->fence != 0 ||
	    !json_object_object_get_ex(root, "open", &list) ||
	    !json_object_is_type(list, json_type_array))
		goto out;
	for (guint i = 0; i < upstreams->len; i++)
		apply_open_order(orders, g_ptr_array_index(upstreams, i), list);
out:
	json_object_put(root);
}

/// Registers the HTTP handler of queries on the peer listener.
///
/// @param orders  the model orders
void
order_query_add_handler(struct model_orders *orders)
{
	soup_server_add_handler(
	    listener_get_server(orders->instance->peer_listener), QUERY_PATH,
	    on_query, orders, NULL);
}

/// Sends a query for open orders to the lease holder, or to a random candidate
/// if the holder is unknown. Sends none if that member is this instance.
///
/// @param orders      the model orders; no query is in flight
/// @param candidates  members that claim the lease, as struct member pointers
/// @param now         current monotonic time, in microseconds
void
order_query_send(
    struct model_orders *orders, const GPtrArray *candidates, usec_t now)
{
	struct instance *instance = orders->instance;
	const struct member *member;
	struct settings_address address;
	char tag[crypto_auth_BYTES * 2 + 1];
	char *path;

	orders->query_due = now + QUERY_INTERVAL;
	member = member_list_find(instance->members, orders->holder);
	if (member == NULL && candidates->len > 0)
		member = g_ptr_array_index(candidates,
		    g_rand_int_range(
			instance->random, 0, (gint32)candidates->len));
	if (member == NULL || member->id == peer_get_own_id(instance->peer))
		return;
	address.ip = member->ip;
	address.port = member->peer_port;
	compute_tag(instance, tag);
	path = g_strconcat(QUERY_PATH "?tag=", tag, NULL);
	orders->query_pending = true;
	http_get_start(
	    instance, &address, path, QUERY_TIMEOUT, on_query_response, orders);
	g_free(path);
}
