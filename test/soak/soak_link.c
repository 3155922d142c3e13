/* A TCP link over loopback that can be late, one-way, silent, or reset. */
#include "test/soak/soak.h"

#include <string.h>

#include <arpa/inet.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "godwitvale/http/conn.h"

/// How late a slow link is, in milliseconds.
#define LINK_DELAY_MS 120

struct soak_link {
	GSocket *socket;
	guint source;
	uint16_t to_port;
	enum link_mode mode;
	GHashTable *pairs; /// struct pair * as a set
};

/// A connection and its counterpart.
struct pair {
	struct soak_link *link;
	struct conn *ends[2]; /// from the caller, to the target
	bool lossy[2];        /// bytes towards that end were lost
	unsigned late[2];     /// parcels on their way to that end
};

/// Bytes on their way over a slow link.
struct parcel {
	struct soak_link *link;
	struct pair *pair;
	int to;
	GBytes *bytes;
};

/// Ends both sides.
static void
pair_end(struct pair *pair, bool reset)
{
	g_hash_table_remove(pair->link->pairs, pair);
	for (int i = 0; i < 2; i++)
		if (reset)
			conn_abort(pair->ends[i]);
		else
			conn_close(pair->ends[i]);
	g_free(pair);
}

static gboolean
on_parcel_due(gpointer data)
{
	struct parcel *parcel = data;
	gsize len;
	const char *bytes = g_bytes_get_data(parcel->bytes, &len);

	if (g_hash_table_contains(parcel->link->pairs, parcel->pair)) {
		parcel->pair->late[parcel->to]--;
		if (!parcel->pair->lossy[parcel->to])
			conn_write(parcel->pair->ends[parcel->to], bytes, len);
	}
	g_bytes_unref(parcel->bytes);
	g_free(parcel);
	return G_SOURCE_REMOVE;
}

/// Passes bytes on, as the link's mode has it.
static void
pass(struct pair *pair, int to, const char *data, size_t len)
{
	struct soak_link *link = pair->link;
	struct parcel *parcel;

	/* A connection that has lost bytes never carries later ones. */
	if (link->mode == LINK_SILENT ||
	    (link->mode == LINK_ONE_WAY && to == 0))
		pair->lossy[to] = true;
	if (pair->lossy[to])
		return;
	/* Bytes keep their order, whatever the mode was before. */
	if (link->mode != LINK_SLOW && pair->late[to] == 0) {
		conn_write(pair->ends[to], data, len);
		return;
	}
	parcel = g_new0(struct parcel, 1);
	parcel->link = link;
	parcel->pair = pair;
	parcel->to = to;
	parcel->bytes = g_bytes_new(data, len);
	pair->late[to]++;
	g_timeout_add(LINK_DELAY_MS, on_parcel_due, parcel);
}

static void
on_from_caller(void *owner, const char *data, size_t len)
{
	pass(owner, 1, data, len);
}

static void
on_from_target(void *owner, const char *data, size_t len)
{
	pass(owner, 0, data, len);
}

static void
on_ended(void *owner, enum conn_end end)
{
	pair_end(owner, end != CONN_END_ORDERLY);
}

static const struct conn_vtable caller_vtable = {.received = on_from_caller,
    .ended = on_ended};
static const struct conn_vtable target_vtable = {.received = on_from_target,
    .ended = on_ended};

static gboolean
on_accept(gint fd, GIOCondition condition, gpointer data)
{
	struct soak_link *link = data;
	int peer = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct pair *pair;

	(void)condition;
	if (peer < 0)
		return G_SOURCE_CONTINUE;
	pair = g_new0(struct pair, 1);
	pair->link = link;
	pair->ends[0] = conn_adopt(peer, &caller_vtable, pair);
	pair->ends[1] =
	    conn_open("127.0.0.1", link->to_port, &target_vtable, pair);
	g_hash_table_add(link->pairs, pair);
	return G_SOURCE_CONTINUE;
}

/// Opens a link.
///
/// @param port     that it listens on
/// @param to_port  that it leads to
/// @return the link, or NULL when the port is taken
struct soak_link *
soak_link_new(uint16_t port, uint16_t to_port)
{
	GSocketAddress *address =
	    g_inet_socket_address_new_from_string("127.0.0.1", port);
	GSocket *listener = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	struct soak_link *link;
	bool ok;

	g_socket_set_blocking(listener, FALSE);
	ok = g_socket_bind(listener, address, TRUE, NULL) &&
	    g_socket_listen(listener, NULL);
	g_object_unref(address);
	if (!ok) {
		g_object_unref(listener);
		return NULL;
	}
	link = g_new0(struct soak_link, 1);
	link->socket = listener;
	link->to_port = to_port;
	link->pairs = g_hash_table_new(NULL, NULL);
	link->source = g_unix_fd_add(
	    g_socket_get_fd(link->socket), G_IO_IN, on_accept, link);
	return link;
}

/// Sets what a link does from here on.
///
/// @param link  the link
/// @param mode  what it does
void
soak_link_set(struct soak_link *link, enum link_mode mode)
{
	link->mode = mode;
}

/// Resets every connection over a link.
///
/// @param link  the link
void
soak_link_reset(struct soak_link *link)
{
	GList *pairs = g_hash_table_get_keys(link->pairs);

	for (GList *l = pairs; l != NULL; l = l->next)
		pair_end(l->data, true);
	g_list_free(pairs);
}

/// Closes a link.
///
/// @param link  the link, or NULL
void
soak_link_free(struct soak_link *link)
{
	if (link == NULL)
		return;
	soak_link_reset(link);
	g_source_remove(link->source);
	g_object_unref(link->socket);
	g_hash_table_unref(link->pairs);
	g_free(link);
}
