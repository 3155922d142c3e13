/* TCP connections on the main loop, over non-blocking sockets. */
#include "godwitvale/http/conn.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

/// Bytes taken from a socket in one call.
#define CONN_READ_BYTES 16384
/// Calls on one socket before others get their turn.
#define CONN_READS_A_TURN 4
/// Keep-alive probes: idle time, spacing (seconds) and count. A dark peer is
/// noticed in about three seconds, the longest span of lost contact that the
/// deployments' bounds name.
#define CONN_PROBE_IDLE_S 1
#define CONN_PROBE_SPACING_S 1
#define CONN_PROBE_COUNT 2
/// Unacknowledged bytes for this long end a connection, in milliseconds.
#define CONN_USER_TIMEOUT_MS 3000

struct conn {
	const struct conn_vtable *vtable;
	void *owner;
	GByteArray *unsent;
	guint source;
	int fd;
	int refs;
	GIOCondition watched;
	uint64_t sent; /// bytes handed to the kernel
	bool opening;
	bool paused;
	bool notes_half_close; /// also while it is paused
	bool closed;           /// given back by its owner
	bool ended;            /// the owner has been told
};

/// Drops a reference; the last one frees it.
static void
conn_unref(struct conn *conn)
{
	if (--conn->refs > 0)
		return;
	g_byte_array_unref(conn->unsent);
	g_free(conn);
}

/// Stops watching and closes the socket.
static void
release_socket(struct conn *conn)
{
	if (conn->source != 0)
		g_source_remove(conn->source);
	conn->source = 0;
	if (conn->fd >= 0)
		close(conn->fd);
	conn->fd = -1;
}

/// Tells the owner, once, that the connection has ended.
static void
tell_end(struct conn *conn, enum conn_end end)
{
	if (conn->ended || conn->closed)
		return;
	conn->ended = true;
	release_socket(conn);
	conn->vtable->ended(conn->owner, end);
}

static gboolean on_ready(gint fd, GIOCondition condition, gpointer data);

/// Watches for what the connection waits for now. While a caller's is paused
/// its half close is still noticed.
static void
watch(struct conn *conn)
{
	GIOCondition wanted = G_IO_HUP | G_IO_ERR;

	if (conn->fd < 0)
		return;
	if (!conn->paused)
		wanted |= G_IO_IN;
	else if (conn->notes_half_close)
		wanted |= (GIOCondition)POLLRDHUP;
	if (conn->opening || conn->unsent->len > 0)
		wanted |= G_IO_OUT;
	if (conn->source != 0 && wanted == conn->watched)
		return;
	if (conn->source != 0)
		g_source_remove(conn->source);
	conn->watched = wanted;
	conn->source = g_unix_fd_add(conn->fd, wanted, on_ready, conn);
}

/// Sends what is kept, as far as the peer takes it.
static void
flush(struct conn *conn)
{
	while (conn->unsent->len > 0 && conn->fd >= 0) {
		ssize_t n = send(conn->fd, conn->unsent->data,
		    conn->unsent->len, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n > 0) {
			conn->sent += (uint64_t)n;
			g_byte_array_remove_range(conn->unsent, 0, (guint)n);
			continue;
		}
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return;
		/* What the peer sent before it broke off is still read. */
		g_byte_array_set_size(conn->unsent, 0);
		return;
	}
}

/// Reads what has come.
static void
receive(struct conn *conn)
{
	char buffer[CONN_READ_BYTES];

	for (int i = 0; i < CONN_READS_A_TURN; i++) {
		ssize_t n;

		if (conn->fd < 0 || conn->paused || conn->closed)
			return;
		n = recv(conn->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		if (n > 0) {
			conn->vtable->received(conn->owner, buffer, (size_t)n);
			if ((size_t)n < sizeof(buffer))
				return;
			continue;
		}
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return;
		tell_end(conn, n == 0 ? CONN_END_ORDERLY : CONN_END_RESET);
		return;
	}
}

/// Takes the outcome of opening the connection.
static void
finish_opening(struct conn *conn)
{
	int error = 0;
	socklen_t len = sizeof(error);

	conn->opening = false;
	if (getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
		error = errno;
	if (error != 0) {
		tell_end(conn, CONN_END_REFUSED);
		return;
	}
	if (conn->vtable->opened != NULL)
		conn->vtable->opened(conn->owner);
}

/// Loop callback: the socket can be read or written, or has ended.
static gboolean
on_ready(gint fd, GIOCondition condition, gpointer data)
{
	struct conn *conn = data;
	bool had_unsent;

	(void)fd;
	conn->refs++;
	if (conn->opening && (condition & (G_IO_OUT | G_IO_ERR | G_IO_HUP)))
		finish_opening(conn);
	had_unsent = conn->unsent->len > 0;
	if (condition & G_IO_OUT)
		flush(conn);
	if (had_unsent && conn->unsent->len == 0 && !conn->closed &&
	    conn->fd >= 0 && conn->vtable->drained != NULL)
		conn->vtable->drained(conn->owner);
	if (conn->paused && !conn->closed &&
	    (condition & ((GIOCondition)POLLRDHUP | G_IO_ERR | G_IO_HUP)))
		tell_end(conn,
		    condition & G_IO_ERR ? CONN_END_RESET : CONN_END_ORDERLY);
	else if (condition & (G_IO_IN | G_IO_HUP | G_IO_ERR))
		receive(conn);
	if (!conn->closed)
		watch(conn);
	conn_unref(conn);
	return G_SOURCE_CONTINUE;
}

/// Sets what every connection has: no delay, probes, a bound on silence.
static void
set_options(int fd)
{
	const int on = 1;
	const int idle = CONN_PROBE_IDLE_S;
	const int spacing = CONN_PROBE_SPACING_S;
	const int count = CONN_PROBE_COUNT;
	const int user_timeout = CONN_USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &spacing, sizeof(spacing));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
	    sizeof(user_timeout));
}

/// Takes over an open socket.
///
/// @param fd      a connected, non-blocking socket; owned from here on
/// @param vtable  told of events
/// @param owner   passed to it
/// @return the connection; give it back by conn_close() or conn_abort()
struct conn *
conn_adopt(int fd, const struct conn_vtable *vtable, void *owner)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->vtable = vtable;
	conn->owner = owner;
	conn->fd = fd;
	conn->refs = 1;
	conn->unsent = g_byte_array_new();
	conn->notes_half_close = true;
	set_options(fd);
	watch(conn);
	return conn;
}

/// Loop callback: opening failed at once; the owner is told from the loop.
static gboolean
on_open_failed(gpointer data)
{
	struct conn *conn = data;

	conn->source = 0;
	tell_end(conn, CONN_END_REFUSED);
	return G_SOURCE_REMOVE;
}

/// Opens a connection. What is written meanwhile leaves once it is open.
///
/// @param ip      address, in numbers
/// @param port    port
/// @param vtable  told of events
/// @param owner   passed to it
/// @return the connection; a failure is told later, by `ended`
struct conn *
conn_open(const char *ip, uint16_t port, const struct conn_vtable *vtable,
    void *owner)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct conn *conn = g_new0(struct conn, 1);

	conn->vtable = vtable;
	conn->owner = owner;
	conn->fd = fd;
	conn->refs = 1;
	conn->unsent = g_byte_array_new();
	conn->opening = true;
	address.sin_port = htons(port);
	if (fd < 0 || inet_pton(AF_INET, ip, &address.sin_addr) != 1)
		goto fail;
	set_options(fd);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
	    errno != EINPROGRESS)
		goto fail;
	watch(conn);
	return conn;
fail:
	conn->source = g_idle_add(on_open_failed, conn);
	return conn;
}

/// Hands a connection to another owner.
///
/// @param conn    the connection
/// @param vtable  told of events from here on
/// @param owner   passed to it
void
conn_set_owner(struct conn *conn, const struct conn_vtable *vtable, void *owner)
{
	conn->vtable = vtable;
	conn->owner = owner;
}

/// Closes a connection in order and gives it back. What is unsent is lost.
///
/// @param conn  the connection
void
conn_close(struct conn *conn)
{
	conn->closed = true;
	release_socket(conn);
	conn_unref(conn);
}

/// Resets a connection and gives it back, so that the peer can't take what
/// it got for complete.
///
/// @param conn  the connection
void
conn_abort(struct conn *conn)
{
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};

	if (conn->fd >= 0)
		setsockopt(
		    conn->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	conn_close(conn);
}

/// Writes bytes. A failure is told later, by `ended`.
///
/// @param conn  the connection
/// @param data  bytes, copied
/// @param len   how many
void
conn_write(struct conn *conn, const char *data, size_t len)
{
	if (conn->fd < 0)
		return;
	g_byte_array_append(conn->unsent, (const guint8 *)data, (guint)len);
	if (!conn->opening)
		flush(conn);
	watch(conn);
}

/// Sends the end of the stream, once all is written. The peer may go on
/// sending, so that it can read the answer before the connection closes.
///
/// @param conn  the connection
void
conn_finish(struct conn *conn)
{
	if (conn->fd >= 0)
		shutdown(conn->fd, SHUT_WR);
}

/// Stops or resumes reading, to hold back a peer that sends too fast.
///
/// @param conn    the connection
/// @param paused  whether to read no more
void
conn_pause(struct conn *conn, bool paused)
{
	conn->paused = paused;
	watch(conn);
}

/// @param conn  a connection
/// @return bytes written and not yet taken by the kernel
size_t
conn_unsent(const struct conn *conn)
{
	return conn->unsent->len;
}

/// @param conn  a connection
/// @return bytes that may have reached the peer
uint64_t
conn_sent(const struct conn *conn)
{
	return conn->sent;
}

/// Whether an idle connection can still be written to: it is open, and the
/// peer has neither sent anything nor closed it.
///
/// @param conn  a connection without a message under way
/// @return false when it must not be used
bool
conn_is_quiet(const struct conn *conn)
{
	char byte;
	ssize_t n;

	if (conn->fd < 0 || conn->ended || conn->opening)
		return false;
	n = recv(conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
