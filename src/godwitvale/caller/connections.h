/*
 * Connections of clients to one HTTP server: gathers the bodies of their
 * requests, and closes clients when the memory for them is used up.
 *
 * Load pattern: clients that nobody controls begin bodies and don't finish
 * them. The library would keep each piece of them for as long as the connection
 * is open.
 */
#ifndef GODWITVALE_CALLER_CONNECTIONS_H
#define GODWITVALE_CALLER_CONNECTIONS_H

#include <libsoup/soup.h>

#include "godwitvale/core/client_limits.h"

struct connections;

/// What the connections of a server may use.
struct connections_options {
	const char *name; /// of the server, for logs; static
	/// account that all servers of an instance share; outlives the result
	struct client_limits *limits;
	/// longest body of a request, in bytes; 0: bodies are discarded
	uint64_t max_body;
};

struct connections *connections_new(
    SoupServer *server, const struct connections_options *options);
void connections_free(struct connections *connections);
GBytes *connections_take_body(SoupServerMessage *message);

#endif
