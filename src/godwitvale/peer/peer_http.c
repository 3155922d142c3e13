/*
 * HTTP between instances, for what is too large for a datagram. A bundle is
 * signed, so anyone may read it; the answer of a call goes only to one who
 * holds the instances' common key.
 */
#include "godwitvale/peer/peer_http.h"

#include <string.h>

#include <sodium.h>

#include "godwitvale/caller/listener.h"
#include "godwitvale/ops/settings.h"
#include "godwitvale/upstream/call.h"

#define ANSWER_PATH "/peer/answer"

/// Works out the tag that shows knowledge of the instances' key.
///
/// @param instance  the instance
/// @param key       the call's identity
/// @param hex       filled in
static void
make_tag(const struct instance *instance, const struct quorum_key *key,
    char hex[crypto_auth_BYTES * 2 + 1])
{
	unsigned char tag[crypto_auth_BYTES];
	char *text = g_strdup_printf(ANSWER_PATH "?%016" G_GINT64_MODIFIER
						 "x%016" G_GINT64_MODIFIER "x",
	    key->high, key->low);

	crypto_auth(tag, (const unsigned char *)text, strlen(text),
	    instance->settings->peer_key);
	sodium_bin2hex(hex, crypto_auth_BYTES * 2 + 1, tag, sizeof(tag));
	g_free(text);
}

/// Serves the signed bundle.
///
/// @param server   unused
/// @param message  the exchange
/// @param path     unused
/// @param query    unused
/// @param data     the instance
static void
on_bundle(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
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

/// Reads the identity out of a question for an answer.
///
/// @param query  the question's fields
/// @param key    filled in
/// @return false when malformed
static bool
read_key(GHashTable *query, struct quorum_key *key)
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

/// Writes a kept answer: a line with the service's status and content type,
/// then the body as it came.
///
/// @param out     the body that is extended
/// @param answer  the kept answer
static void
write_answer(SoupMessageBody *out, const struct cached_response *answer)
{
	char *line = g_strdup_printf("%u %s\n", answer->status,
	    answer->content_type == NULL ? "" : answer->content_type);

	soup_message_body_append(out, SOUP_MEMORY_TAKE, line, strlen(line));
	soup_message_body_append_bytes(out, answer->body);
}

/// Serves the answer of a call that ran: 200 with the answer as
/// write_answer() writes it, 202 while it runs, 404 when it is not known here.
///
/// @param server   unused
/// @param message  the exchange
/// @param path     unused
/// @param query    the call's identity and the tag
/// @param data     the instance
static void
on_answer(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct instance *instance = data;
	const struct cached_response *answer;
	struct quorum_key key;
	char tag[crypto_auth_BYTES * 2 + 1];
	const char *shown;

	(void)server;
	(void)path;
	if (!read_key(query, &key)) {
		soup_server_message_set_status(
		    message, SOUP_STATUS_BAD_REQUEST, NULL);
		return;
	}
	make_tag(instance, &key, tag);
	shown = g_hash_table_lookup(query, "tag");
	if (shown == NULL || strlen(shown) != strlen(tag) ||
	    sodium_memcmp(shown, tag, strlen(tag)) != 0) {
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
	write_answer(soup_server_message_get_response_body(message), answer);
}

/// Starts to serve peers.
///
/// @param instance  the instance
/// @param error     set when the address can't be listened on
/// @return false on failure
bool
peer_http_open(struct instance *instance, GError **error)
{
	SoupServer *server;

	instance->peer_listener =
	    listener_new(&instance->settings->peer, error);
	if (instance->peer_listener == NULL)
		return false;
	server = listener_get_server(instance->peer_listener);
	soup_server_add_handler(
	    server, "/peer/bundle", on_bundle, instance, NULL);
	soup_server_add_handler(server, ANSWER_PATH, on_answer, instance, NULL);
	return true;
}

/// Formats the question for a call's answer.
///
/// @param instance  the instance
/// @param key       the call's identity
/// @return path and query; the caller frees them
char *
peer_http_answer_path(
    const struct instance *instance, const struct quorum_key *key)
{
	char tag[crypto_auth_BYTES * 2 + 1];

	make_tag(instance, key, tag);
	return g_strdup_printf(ANSWER_PATH "?high=%016" G_GINT64_MODIFIER
					   "x&low=%016" G_GINT64_MODIFIER
					   "x&tag=%s",
	    key->high, key->low, tag);
}
