/*
 * A pool of connections to upstreams that stay open between requests, grouped
 * by address. The pool owns the idle connections and counts the leased ones.
 */
#ifndef GODWITVALE_HTTP_POOL_H
#define GODWITVALE_HTTP_POOL_H

#include "godwitvale/core/time_defs.h"
#include "godwitvale/http/conn.h"

struct pool;

/// A connection that is leased from the pool.
struct pool_lease {
	struct conn *conn;
	bool reused; /// the connection has carried requests before
};

struct pool *pool_new(void);
void pool_free(struct pool *pool);
void pool_set_source(struct pool *pool, const char *source);
void pool_set_account(struct pool *pool, struct client_limits *limits);
struct client_limits *pool_account(const struct pool *pool);
struct pool_lease pool_acquire(struct pool *pool, const char *address,
    const struct conn_vtable *vtable, void *owner);
struct pool_lease pool_open(struct pool *pool, const char *address,
    const struct conn_vtable *vtable, void *owner);
void pool_release(struct pool *pool, const char *address, struct conn *conn,
    usec_t idle_deadline);
void pool_discard(
    struct pool *pool, const char *address, struct conn *conn, bool abort);
usec_t pool_connected_since(const struct pool *pool, const char *address);
unsigned pool_count_connections(const struct pool *pool, const char *address);
unsigned pool_count_idle(const struct pool *pool, const char *address);
void pool_close_idle(struct pool *pool, const char *address);
void pool_expire_idle(struct pool *pool, usec_t now);

#endif
