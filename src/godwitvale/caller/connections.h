/*
 * Connections of clients to one HTTP server: gathers the bodies of their
 * requests, and closes clients when the memory or the connections for them are
 * used up.
 *
 * Load pattern: clients that nobody controls open connections and begin bodies,
 * and don't finish them. The library would accept connections until the process
 * has no descriptor left, and keep each piece of a body for as long as its
 * connection is open.
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
	unsigned max_connections;
};

struct connections *connections_new(
    SoupServer *server, const struct connections_options *options);
void connections_free(struct connections *connections);
GBytes *connections_take_body(SoupServerMessage *message);

#endif
