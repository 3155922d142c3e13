/*
 * Connections to upstreams that are kept open between requests, by address.
 * It owns the idle ones and counts those that are lent out.
 */
#ifndef GODWITVALE_HTTP_POOL_H
#define GODWITVALE_HTTP_POOL_H

#include "godwitvale/core/time_defs.h"
#include "godwitvale/http/conn.h"

struct pool;

/// A connection that was taken from the pool.
struct pool_lease {
	struct conn *conn;
	bool reused; /// it has carried requests before
};

struct pool *pool_new(void);
void pool_free(struct pool *pool);
struct pool_lease pool_take(struct pool *pool, const char *address,
    const struct conn_vtable *vtable, void *owner);
void pool_keep(struct pool *pool, const char *address, struct conn *conn,
    usec_t idle_deadline);
void pool_drop(
    struct pool *pool, const char *address, struct conn *conn, bool abort);
unsigned pool_count(const struct pool *pool, const char *address);
unsigned pool_idle(const struct pool *pool, const char *address);
void pool_forget(struct pool *pool, const char *address);
void pool_sweep(struct pool *pool, usec_t now);

#endif
