/*
 * Serves data to other instances over HTTP that is too large for a datagram:
 * the bundle and the stored answers of calls. The bundle is signed and served
 * to anyone. An answer is served only to clients that prove knowledge of the
 * shared key of the instances.
 */
#include "godwitvale/peer/peer_http.h"

#include <string.h>

#include <sodium.h>

#include "godwitvale/caller/listener.h"
#include "godwitvale/ops/settings.h"
#include "godwitvale/upstream/call.h"

/// Path of the stored answers of calls.
#define ANSWER_PATH "/peer/answer"

/// Computes the HMAC with the shared key that authorises a request for the
/// answer of a call.
///
/// @param instance  instance whose settings hold the shared key
/// @param key       key of the call
/// @param hex       filled in with the HMAC as hexadecimal text
static void
compute_answer_tag(const struct instance *instance,
    const struct quorum_key *key, char hex[crypto_auth_BYTES * 2 + 1])
{
	unsigned char tag[crypto_auth_BYTES];
	char *signed_path = g_strdup_printf(ANSWER_PATH
	    "?%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
	    key->high, key->low);

	crypto_auth(tag, (const unsigned char *)signed_path,
	    strlen(signed_path), instance->settings->peer_key);
	sodium_bin2hex(hex, crypto_auth_BYTES * 2 + 1, tag, sizeof(tag));
	g_free(signed_path);
}

/// Serves the signed bundle in force. Responds with 404 when this instance has
/// no bundle.
///
/// @param server   unused
/// @param message  HTTP exchange to respond to
/// @param path     unused
/// @param query    unused
/// @param data     the instance
static void
on_bundle_request(SoupServer *server, SoupServerMessage *message,
    const char *path, GHashTable *query, gpointer data)
{
	struct instance *instance = data;

	(void)server;
	(void)path;
	(void)query;
	if (instance->bundle_text == NULL) {
		soup_server_message_set_status(
		    message, SOUP_STATUS_NOT_FOUND, NULL);
		return;
	}
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_message_headers_replace(
	    soup_server_message_get_response_headers(message), "Content-Type",
	    "application/json");
	soup_message_body_append_bytes(
	    soup_server_message_get_response_body(message),
	    instance->bundle_text);
}

/// Parses the key of a call from the fields "high" and "low" of a query.
///
/// @param query  query fields of the request, or NULL
/// @param key    filled in on success
/// @return false when a field is missing
static bool
parse_call_key(GHashTable *query, struct quorum_key *key)
{
	const char *high =
	    query == NULL ? NULL : g_hash_table_lookup(query, "high");
	const char *low =
	    query == NULL ? NULL : g_hash_table_lookup(query, "low");

	if (high == NULL || low == NULL)
		return false;
	key->kind = QUORUM_ONCE;
	key->high = g_ascii_strtoull(high, NULL, 16);
	key->low = g_ascii_strtoull(low, NULL, 16);
	return true;
}

/// Appends a stored answer to a response body: a line with the HTTP status and
/// content type that the service returned, then the body that it returned.
///
/// @param out     response body to append to
/// @param answer  stored answer
static void
append_answer(SoupMessageBody *out, const struct cached_response *answer)
{
	char *status_line = g_strdup_printf("%u %s\n", answer->status,
	    answer->content_type == NULL ? "" : answer->content_type);

	soup_message_body_append(
	    out, SOUP_MEMORY_TAKE, status_line, strlen(status_line));
	soup_message_body_append_bytes(out, answer->body);
}

/// Serves the answer of a call. Responds with 200 and the text that
/// append_answer() writes, 202 while the call runs, 400 when the key of the
/// call is missing, 403 when the tag is wrong, and 404 when this instance
/// doesn't know the call.
///
/// @param server   unused
/// @param message  HTTP exchange to respond to
/// @param path     unused
/// @param query    key of the call, and tag that authorises the request
/// @param data     the instance
static void
on_answer_request(SoupServer *server, SoupServerMessage *message,
    const char *path, GHashTable *query, gpointer data)
{
	struct instance *instance = data;
	const struct cached_response *answer;
	struct quorum_key key;
	char tag[crypto_auth_BYTES * 2 + 1];
	const char *given_tag;

	(void)server;
	(void)path;
	if (!parse_call_key(query, &key)) {
		soup_server_message_set_status(
		    message, SOUP_STATUS_BAD_REQUEST, NULL);
		return;
	}
	compute_answer_tag(instance, &key, tag);
	given_tag = g_hash_table_lookup(query, "tag");
	if (given_tag == NULL || strlen(given_tag) != strlen(tag) ||
	    sodium_memcmp(given_tag, tag, strlen(tag)) != 0) {
		soup_server_message_set_status(
		    message, SOUP_STATUS_FORBIDDEN, NULL);
		return;
	}
	answer = call_find_response(instance, &key);
	if (answer == NULL) {
		soup_server_message_set_status(message,
		    call_in_progress(instance, &key) ? SOUP_STATUS_ACCEPTED
						     : SOUP_STATUS_NOT_FOUND,
		    NULL);
		return;
	}
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	append_answer(soup_server_message_get_response_body(message), answer);
}

/// Starts the HTTP server for other instances.
///
/// @param instance  instance that serves; receives the listener
/// @param error     set when the server can't listen on the peer address
/// @return false on failure
bool
peer_http_open(struct instance *instance, GError **error)
{
	const struct connections_options options = {
	    .name = "peer",
	    .limits = instance->client_limits,
	    .max_connections = instance->client_connections.members,
	};
	SoupServer *server;

	instance->peer_listener =
	    listener_new(&instance->settings->peer, &options, error);
	if (instance->peer_listener == NULL)
		return false;
	server = listener_get_server(instance->peer_listener);
	soup_server_add_handler(
	    server, "/peer/bundle", on_bundle_request, instance, NULL);
	soup_server_add_handler(
	    server, ANSWER_PATH, on_answer_request, instance, NULL);
	return true;
}

/// Formats the path of a request for the answer of a call, with its tag.
///
/// @param instance  instance whose settings hold the shared key
/// @param key       key of the call
/// @return path and query; the caller frees the string
char *
peer_http_format_answer_path(
    const struct instance *instance, const struct quorum_key *key)
{
	char tag[crypto_auth_BYTES * 2 + 1];

	compute_answer_tag(instance, key, tag);
	return g_strdup_printf(ANSWER_PATH "?high=%016" G_GINT64_MODIFIER
					   "x&low=%016" G_GINT64_MODIFIER
					   "x&tag=%s",
	    key->high, key->low, tag);
}
