/* The pool of connections to upstreams. */
#include "godwitvale/http/pool.h"

#include "godwitvale/http/address.h"

struct pool {
	GHashTable *places; /// address -> struct place
};

/// The connections to one address.
struct place {
	struct pool *pool;
	GQueue idle; /// struct idle, the last used first
	unsigned lent;
};

/// A connection that waits for its next request.
struct idle {
	struct place *place;
	struct conn *conn;
	usec_t deadline; /// the upstream may close it from then on
};

/// Closes a connection that is no longer in its place.
static void
idle_drop(struct idle *idle)
{
	conn_close(idle->conn);
	g_free(idle);
}

/// Forgets an idle connection.
static void
idle_free(struct idle *idle)
{
	g_queue_remove(&idle->place->idle, idle);
	idle_drop(idle);
}

/// Forgets every idle connection of a place.
static void
place_empty(struct place *place)
{
	struct idle *idle;

	while ((idle = g_queue_pop_head(&place->idle)) != NULL)
		idle_drop(idle);
}

/// An idle connection said something that nobody asked for.
static void
on_idle_received(void *owner, const char *data, size_t len)
{
	(void)data;
	(void)len;
	idle_free(owner);
}

/// An idle connection was closed by the upstream.
static void
on_idle_ended(void *owner, enum conn_end end)
{
	(void)end;
	idle_free(owner);
}

static const struct conn_vtable idle_vtable = {
    .received = on_idle_received,
    .ended = on_idle_ended,
};

/// Frees a place with its idle connections.
static void
place_free(void *data)
{
	struct place *place = data;

	place_empty(place);
	g_free(place);
}

/// Makes a pool.
///
/// @return the pool; free with pool_free()
struct pool *
pool_new(void)
{
	struct pool *pool = g_new0(struct pool, 1);

	pool->places =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, place_free);
	return pool;
}

/// Frees a pool; connections that are lent out must be back.
///
/// @param pool  the pool
void
pool_free(struct pool *pool)
{
	g_hash_table_unref(pool->places);
	g_free(pool);
}

/// Finds the place of an address, making it.
static struct place *
place_of(struct pool *pool, const char *address)
{
	struct place *place = g_hash_table_lookup(pool->places, address);

	if (place != NULL)
		return place;
	place = g_new0(struct place, 1);
	place->pool = pool;
	g_queue_init(&place->idle);
	g_hash_table_insert(pool->places, g_strdup(address), place);
	return place;
}

/// Takes a connection: an idle one that can be written to in this step, else
/// a new one.
///
/// @param pool     the pool
/// @param address  IP:PORT
/// @param vtable   told of events from here on
/// @param owner    passed to it
/// @return the connection; hand it to pool_keep() or pool_drop() afterwards
struct pool_lease
pool_take(struct pool *pool, const char *address,
    const struct conn_vtable *vtable, void *owner)
{
	struct place *place = place_of(pool, address);
	struct pool_lease lease = {.reused = false};
	struct address parts;
	struct idle *idle;

	while (lease.conn == NULL &&
	    (idle = g_queue_pop_head(&place->idle)) != NULL) {
		if (g_get_monotonic_time() >= idle->deadline ||
		    !conn_is_quiet(idle->conn)) {
			idle_drop(idle);
			continue;
		}
		lease.conn = idle->conn;
		lease.reused = true;
		conn_set_owner(lease.conn, vtable, owner);
		g_free(idle);
	}
	if (lease.conn == NULL) {
		if (!address_parse(address, &parts))
			parts = (struct address){.ip = "", .port = 0};
		lease.conn = conn_open(parts.ip, parts.port, vtable, owner);
	}
	place->lent++;
	return lease;
}

/// Puts a connection back for a later request.
///
/// @param pool           the pool
/// @param address        IP:PORT
/// @param conn           between two messages
/// @param idle_deadline  until when it may be used
void
pool_keep(struct pool *pool, const char *address, struct conn *conn,
    usec_t idle_deadline)
{
	struct place *place = place_of(pool, address);
	struct idle *idle = g_new0(struct idle, 1);

	place->lent--;
	idle->place = place;
	idle->conn = conn;
	idle->deadline = idle_deadline;
	conn_set_owner(conn, &idle_vtable, idle);
	g_queue_push_head(&place->idle, idle);
}

/// Gives a connection up.
///
/// @param pool     the pool
/// @param address  IP:PORT
/// @param conn     the connection
/// @param abort    resets it: the upstream is to stop work at once
void
pool_drop(struct pool *pool, const char *address, struct conn *conn, bool abort)
{
	place_of(pool, address)->lent--;
	if (abort)
		conn_abort(conn);
	else
		conn_close(conn);
}

/// Counts the connections to an address.
///
/// @param pool     the pool
/// @param address  IP:PORT
/// @return idle ones and those lent out
unsigned
pool_count(const struct pool *pool, const char *address)
{
	const struct place *place = g_hash_table_lookup(pool->places, address);

	return place == NULL ? 0 : place->lent + place->idle.length;
}

/// Counts the idle connections to an address.
///
/// @param pool     the pool
/// @param address  IP:PORT
/// @return how many wait for a request
unsigned
pool_idle(const struct pool *pool, const char *address)
{
	const struct place *place = g_hash_table_lookup(pool->places, address);

	return place == NULL ? 0 : place->idle.length;
}

/// Closes the idle connections to an address whose upstream is gone.
///
/// @param pool     the pool
/// @param address  IP:PORT
void
pool_forget(struct pool *pool, const char *address)
{
	struct place *place = g_hash_table_lookup(pool->places, address);

	if (place != NULL)
		place_empty(place);
}

/// Closes idle connections whose time is over, and forgets empty places.
///
/// @param pool  the pool
/// @param now   time
void
pool_sweep(struct pool *pool, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, pool->places);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct place *place = value;

		/* The last used stands first, the first to lapse last. */
		while (place->idle.tail != NULL &&
		    now >= ((struct idle *)place->idle.tail->data)->deadline)
			idle_drop(g_queue_pop_tail(&place->idle));
		if (place->lent == 0 && place->idle.length == 0)
			g_hash_table_iter_remove(&iter);
	}
}
