/* The pool of connections to upstreams, grouped by address. */
#include "godwitvale/http/pool.h"

#include "godwitvale/http/address.h"

struct pool {
	GHashTable *endpoints; /// address -> struct pool_endpoint
	char *source;          /// address that connections come from; NULL: any
	struct client_limits *limits; /// counts unsent bytes; NULL: none does
};

/// The connections to one address.
struct pool_endpoint {
	struct pool *pool;
	GQueue idle; /// struct idle_conn, most recently used first
	unsigned leased_count;
	/// when the first of the connections was opened that have followed one
	/// another without a gap; valid while there is one
	usec_t connected_since;
};

/// A connection that is available for the next request.
struct idle_conn {
	struct pool_endpoint *endpoint;
	struct conn *conn;
	usec_t deadline; /// not used from then on: the upstream may close it
};

/// Closes an idle connection that was removed from its endpoint's queue.
static void
idle_conn_close(struct idle_conn *idle)
{
	conn_close(idle->conn);
	g_free(idle);
}

/// Removes an idle connection from its endpoint's queue and closes it.
static void
idle_conn_remove(struct idle_conn *idle)
{
	g_queue_remove(&idle->endpoint->idle, idle);
	idle_conn_close(idle);
}

/// Closes all idle connections of an endpoint.
static void
endpoint_close_idle(struct pool_endpoint *endpoint)
{
	struct idle_conn *idle;

	while ((idle = g_queue_pop_head(&endpoint->idle)) != NULL)
		idle_conn_close(idle);
}

/// Connection callback: the upstream sent bytes on an idle connection, which
/// belong to no request.
static void
on_idle_received(void *owner, const char *data, size_t len)
{
	(void)data;
	(void)len;
	idle_conn_remove(owner);
}

/// Connection callback: the upstream closed an idle connection.
static void
on_idle_ended(void *owner, enum conn_end end)
{
	(void)end;
	idle_conn_remove(owner);
}

static const struct conn_vtable idle_vtable = {
    .received = on_idle_received,
    .ended = on_idle_ended,
};

/// Frees an endpoint and its idle connections.
static void
endpoint_free(void *data)
{
	struct pool_endpoint *endpoint = data;

	endpoint_close_idle(endpoint);
	g_free(endpoint);
}

/// Creates an empty pool.
///
/// @return the pool; free with pool_free()
struct pool *
pool_new(void)
{
	struct pool *pool = g_new0(struct pool, 1);

	pool->endpoints = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, endpoint_free);
	return pool;
}

/// Frees a pool and its idle connections.
///
/// @param pool  a pool without leased connections
void
pool_free(struct pool *pool)
{
	g_hash_table_unref(pool->endpoints);
	g_free(pool->source);
	g_free(pool);
}

/// Sets the address that new connections come from.
///
/// @param pool    a pool
/// @param source  numeric address of this machine
void
pool_set_source(struct pool *pool, const char *source)
{
	g_free(pool->source);
	pool->source = g_strdup(source);
}

/// Sets the account that counts the bytes of requests until they are sent.
///
/// @param pool    a pool
/// @param limits  must outlive the pool; NULL: they are not counted
void
pool_set_account(struct pool *pool, struct client_limits *limits)
{
	pool->limits = limits;
}

/// @param pool  a pool
/// @return the account that counts unsent bytes; NULL if none does
struct client_limits *
pool_account(const struct pool *pool)
{
	return pool->limits;
}

/// Finds the endpoint of an address, or creates it.
static struct pool_endpoint *
get_endpoint(struct pool *pool, const char *address)
{
	struct pool_endpoint *endpoint =
	    g_hash_table_lookup(pool->endpoints, address);

	if (endpoint != NULL)
		return endpoint;
	endpoint = g_new0(struct pool_endpoint, 1);
	endpoint->pool = pool;
	g_queue_init(&endpoint->idle);
	g_hash_table_insert(pool->endpoints, g_strdup(address), endpoint);
	return endpoint;
}

/// @return the number of idle and leased connections
static unsigned
count_connections(const struct pool_endpoint *endpoint)
{
	return endpoint->leased_count + endpoint->idle.length;
}

/// Leases a new connection.
///
/// @param pool     counts the lease
/// @param address  IP:PORT
/// @param vtable   the connection's callbacks during the lease
/// @param owner    passed to the callbacks
/// @return the connection; end the lease with pool_release() or pool_discard()
struct pool_lease
pool_open(struct pool *pool, const char *address,
    const struct conn_vtable *vtable, void *owner)
{
	struct pool_endpoint *endpoint = get_endpoint(pool, address);
	struct pool_lease lease = {.reused = false};
	struct address parsed;

	if (!address_parse(address, &parsed))
		parsed = (struct address){.ip = "", .port = 0};
	lease.conn =
	    conn_open(pool->source, parsed.ip, parsed.port, vtable, owner);
	conn_set_account(lease.conn, pool->limits);
	if (count_connections(endpoint) == 0)
		endpoint->connected_since = g_get_monotonic_time();
	endpoint->leased_count++;
	return lease;
}

/// Leases a connection: an idle one that can be written to right now, else a
/// new one.
///
/// @param pool     counts the lease
/// @param address  IP:PORT
/// @param vtable   the connection's callbacks during the lease
/// @param owner    passed to the callbacks
/// @return the connection; end the lease with pool_release() or pool_discard()
struct pool_lease
pool_acquire(struct pool *pool, const char *address,
    const struct conn_vtable *vtable, void *owner)
{
	struct pool_endpoint *endpoint = get_endpoint(pool, address);
	struct pool_lease lease = {.reused = true};
	struct idle_conn *idle;

	while ((idle = g_queue_pop_head(&endpoint->idle)) != NULL) {
		if (g_get_monotonic_time() >= idle->deadline ||
		    !conn_is_reusable(idle->conn)) {
			idle_conn_close(idle);
			continue;
		}
		lease.conn = idle->conn;
		conn_set_owner(lease.conn, vtable, owner);
		g_free(idle);
		endpoint->leased_count++;
		return lease;
	}
	return pool_open(pool, address, vtable, owner);
}

/// Ends a lease and keeps the connection for a later request.
///
/// @param pool           owns the connection afterwards
/// @param address        IP:PORT
/// @param conn           a connection with no message in flight
/// @param idle_deadline  time from which it must not be used any more
void
pool_release(struct pool *pool, const char *address, struct conn *conn,
    usec_t idle_deadline)
{
	struct pool_endpoint *endpoint = get_endpoint(pool, address);
	struct idle_conn *idle = g_new0(struct idle_conn, 1);

	endpoint->leased_count--;
	idle->endpoint = endpoint;
	idle->conn = conn;
	idle->deadline = idle_deadline;
	conn_set_owner(conn, &idle_vtable, idle);
	g_queue_push_head(&endpoint->idle, idle);
}

/// Ends a lease and closes the connection.
///
/// @param pool     the pool of the lease
/// @param address  IP:PORT
/// @param conn     invalid afterwards
/// @param abort    resets the connection, so that the upstream stops working
///                 on the request at once
void
pool_discard(
    struct pool *pool, const char *address, struct conn *conn, bool abort)
{
	get_endpoint(pool, address)->leased_count--;
	if (abort)
		conn_abort(conn);
	else
		conn_close(conn);
}

/// Finds out since when there has been a connection to an address at any
/// moment.
///
/// @param pool     searched
/// @param address  IP:PORT
/// @return the time; USEC_NEVER: there is none now
usec_t
pool_connected_since(const struct pool *pool, const char *address)
{
	const struct pool_endpoint *endpoint =
	    g_hash_table_lookup(pool->endpoints, address);

	if (endpoint == NULL || count_connections(endpoint) == 0)
		return USEC_NEVER;
	return endpoint->connected_since;
}

/// Counts the connections to an address.
///
/// @param pool     searched
/// @param address  IP:PORT
/// @return the number of idle and leased connections
unsigned
pool_count_connections(const struct pool *pool, const char *address)
{
	const struct pool_endpoint *endpoint =
	    g_hash_table_lookup(pool->endpoints, address);

	return endpoint == NULL ? 0 : count_connections(endpoint);
}

/// Counts the idle connections to an address.
///
/// @param pool     searched
/// @param address  IP:PORT
/// @return the number of idle connections
unsigned
pool_count_idle(const struct pool *pool, const char *address)
{
	const struct pool_endpoint *endpoint =
	    g_hash_table_lookup(pool->endpoints, address);

	return endpoint == NULL ? 0 : endpoint->idle.length;
}

/// Closes the idle connections to an address, when its upstream is gone.
///
/// @param pool     leased connections stay open
/// @param address  IP:PORT
void
pool_close_idle(struct pool *pool, const char *address)
{
	struct pool_endpoint *endpoint =
	    g_hash_table_lookup(pool->endpoints, address);

	if (endpoint != NULL)
		endpoint_close_idle(endpoint);
}

/// Closes idle connections past their deadline and removes endpoints that
/// have no connections.
///
/// @param pool  the pool to clean up
/// @param now   time on the monotonic clock
void
pool_expire_idle(struct pool *pool, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pool->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_endpoint *endpoint = value;

		/*
		 * The most recently used connection is at the head, so the
		 * deadlines that pass first are at the tail.
		 */
		while (endpoint->idle.tail != NULL &&
		    now >= ((struct idle_conn *)endpoint->idle.tail->data)
			       ->deadline)
			idle_conn_close(g_queue_pop_tail(&endpoint->idle));
		if (endpoint->leased_count == 0 && endpoint->idle.length == 0)
			g_hash_table_iter_remove(&iter);
	}
}
