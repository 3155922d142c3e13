/* TCP connections on the main loop, over non-blocking sockets. */
#include "godwitvale/http/conn.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "godwitvale/http/buffer.h"
#include "godwitvale/http/fd_watch.h"

/// Bytes read from a socket in one call.
#define CONN_READ_BYTES 16384
/// Reads from the socket of an upstream per loop callback, so that other
/// sockets are served in between. From a caller there is one: its bytes cost
/// more, as each may be a chunk of its own.
#define CONN_READS_PER_WAKEUP 4
/// TCP keep-alive: idle time and probe interval in seconds, and the number of
/// probes. A peer that no longer responds is detected after about three
/// seconds, the longest loss of contact that the deployments' bounds allow.
#define CONN_PROBE_IDLE_S 1
#define CONN_PROBE_INTERVAL_S 1
#define CONN_PROBE_COUNT 2
/// Time after which few unacknowledged bytes end a connection, and after which
/// many do, in milliseconds. The kernel counts it also while the peer's window
/// is closed, so a peer that is there but reads late is under the second one.
#define CONN_DETECTION_MS 3000
#define CONN_PATIENCE_MS 30000
/// Bytes that fit into the initial window of any upstream: ten segments.
#define CONN_INITIAL_WINDOW_BYTES 14600

/// Factor by which the kernel exceeds the size that is set for a socket's
/// buffer, to account for its own overhead.
#define CONN_KERNEL_BUFFER_FACTOR 2

/// Limits on how long bytes may stay unacknowledged.
struct conn_limits {
	unsigned detection_ms; /// while few are
	unsigned patience_ms;  /// from when more are to be sent, until none is
	size_t few_bytes;
	int reads_per_wakeup;
};

/// Callers may read late; how long a response may take is bounded elsewhere.
static const struct conn_limits caller_limits = {
    .detection_ms = CONN_DETECTION_MS,
    .patience_ms = CONN_PATIENCE_MS,
    .few_bytes = 0,
    .reads_per_wakeup = 1,
};

/// A dead upstream is detected soon, by a small request.
static const struct conn_limits upstream_limits = {
    .detection_ms = CONN_DETECTION_MS,
    .patience_ms = CONN_PATIENCE_MS,
    .few_bytes = CONN_INITIAL_WINDOW_BYTES,
    .reads_per_wakeup = CONN_READS_PER_WAKEUP,
};

struct conn {
	const struct conn_vtable *vtable;
	void *owner;
	const struct conn_limits *limits;
	struct buffer unsent;
	fd_watch watch;
	guint failure_source; /// reports that it could not be opened
	int fd;
	int ref_count;
	GIOCondition watched;
	uint64_t sent;     /// bytes handed to the kernel
	size_t buffer_max; /// unacknowledged bytes in the kernel; 0: any
	bool connecting;
	bool paused;
	bool is_patient;         /// `patience_ms` holds
	bool reports_half_close; /// also while reading is paused
	bool is_half_closed;     /// by the peer, which `half_closed` has told
	bool input_ended;        /// all that the peer sent has been read
	bool send_failed;        /// the peer has reset the connection
	bool closed;             /// released by its owner
	bool ended;              /// `ended` has been called
};

/// Drops a reference and frees the connection with the last one.
static void
conn_unref(struct conn *conn)
{
	if (--conn->ref_count > 0)
		return;
	buffer_clear(&conn->unsent);
	g_free(conn);
}

/// Removes the event source and closes the socket.
static void
release_socket(struct conn *conn)
{
	fd_watch_remove(conn->watch);
	conn->watch = 0;
	if (conn->failure_source != 0)
		g_source_remove(conn->failure_source);
	conn->failure_source = 0;
	if (conn->fd >= 0)
		close(conn->fd);
	conn->fd = -1;
}

/// Reports to the owner, once, that the connection has ended. The kernel
/// reports a reset only once: after send() has failed, recv() reports an
/// orderly end.
static void
report_end(struct conn *conn, enum conn_end end)
{
	if (conn->ended || conn->closed)
		return;
	if (conn->send_failed && end == CONN_END_ORDERLY)
		end = CONN_END_RESET;
	conn->ended = true;
	release_socket(conn);
	conn->vtable->ended(conn->owner, end);
}

/// @return bytes that the kernel has accepted and the peer's has not
///         acknowledged; 0 where the kernel doesn't tell
static size_t
kernel_unacked_bytes(const struct conn *conn)
{
	int len = 0;

	if (conn->fd < 0 || conn->connecting ||
	    ioctl(conn->fd, SIOCOUTQ, &len) != 0 || len < 0)
		return 0;
	return (size_t)len;
}

/// Limits how long sent bytes may stay unacknowledged.
static void
set_user_timeout(int fd, unsigned timeout_ms)
{
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
}

static void on_socket_ready(GIOCondition condition, void *data);

/// Reports that the peer has closed its sending side: once to an owner that
/// goes on, as the end to any other.
static void
report_half_close(struct conn *conn)
{
	if (conn->vtable->half_closed == NULL || conn->send_failed) {
		report_end(conn, CONN_END_ORDERLY);
		return;
	}
	if (conn->is_half_closed || conn->closed)
		return;
	conn->is_half_closed = true;
	conn->vtable->half_closed(conn->owner);
}

/// Updates the socket events that the loop watches for. A half close by a
/// caller is still reported while reading is paused.
static void
update_watch(struct conn *conn)
{
	GIOCondition wanted = G_IO_HUP | G_IO_ERR;

	if (conn->fd < 0)
		return;
	if (!conn->paused && !conn->input_ended)
		wanted |= G_IO_IN;
	else if (conn->reports_half_close && !conn->is_half_closed)
		wanted |= (GIOCondition)POLLRDHUP;
	if (conn->connecting || conn->unsent.len > 0)
		wanted |= G_IO_OUT;
	if (conn->watch == 0)
		conn->watch =
		    fd_watch_add(conn->fd, wanted, on_socket_ready, conn);
	else if (wanted != conn->watched)
		fd_watch_set_events(conn->watch, wanted);
	conn->watched = wanted;
}

/// Returns how many of the unsent bytes the kernel is given next. By itself it
/// would take up to 64 KiB more than the size of the socket's buffer.
static size_t
sendable_bytes(const struct conn *conn)
{
	size_t unacked;

	if (conn->buffer_max == 0)
		return conn->unsent.len;
	unacked = kernel_unacked_bytes(conn);
	return MIN(conn->unsent.len,
	    conn->buffer_max - MIN(unacked, conn->buffer_max));
}

/// Sends buffered bytes until the kernel accepts no more. It doesn't report
/// the socket as writable while `buffer_max` bytes are unacknowledged.
static void
flush_unsent(struct conn *conn)
{
	while (conn->unsent.len > 0 && conn->fd >= 0) {
		size_t len = sendable_bytes(conn);
		ssize_t n;

		if (len == 0)
			return;
		n = send(conn->fd, buffer_bytes(&conn->unsent), len,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n > 0) {
			conn->sent += (uint64_t)n;
			buffer_consume(&conn->unsent, (size_t)n);
			continue;
		}
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return;
		/*
		 * Sending failed. The socket stays open so that bytes that
		 * the peer sent before the failure are still read.
		 */
		conn->send_failed = true;
		buffer_clear(&conn->unsent);
		return;
	}
}

/// Reads available bytes and passes them to the owner.
static void
receive_data(struct conn *conn)
{
	char buffer[CONN_READ_BYTES];

	for (int i = 0; i < conn->limits->reads_per_wakeup; i++) {
		ssize_t n;

		if (conn->fd < 0 || conn->paused || conn->closed ||
		    conn->input_ended)
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
		conn->input_ended = n == 0;
		if (n == 0)
			report_half_close(conn);
		else
			report_end(conn, CONN_END_RESET);
		return;
	}
}

/// Sets whether the longer time for unacknowledged bytes holds.
static void
set_patient(struct conn *conn, bool patient)
{
	if (conn->fd < 0 || patient == conn->is_patient)
		return;
	conn->is_patient = patient;
	set_user_timeout(conn->fd,
	    patient ? conn->limits->patience_ms : conn->limits->detection_ms);
}

/// Notes that bytes are about to be sent. The longer time for unacknowledged
/// bytes doesn't hold while the connection is being opened.
static void
note_sending(struct conn *conn)
{
	if (!conn->connecting && conn->unsent.len > conn->limits->few_bytes)
		set_patient(conn, true);
}

/// Handles the result of a non-blocking connect().
static void
finish_connecting(struct conn *conn)
{
	int error = 0;
	socklen_t len = sizeof(error);

	conn->connecting = false;
	if (getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
		error = errno;
	if (error != 0) {
		report_end(conn, CONN_END_REFUSED);
		return;
	}
	note_sending(conn);
	if (conn->vtable->opened != NULL)
		conn->vtable->opened(conn->owner);
}

/// Loop callback: the socket is readable or writable, or has failed.
static void
on_socket_ready(GIOCondition condition, void *data)
{
	struct conn *conn = data;
	bool had_unsent;

	conn->ref_count++;
	if (conn->connecting && (condition & (G_IO_OUT | G_IO_ERR | G_IO_HUP)))
		finish_connecting(conn);
	had_unsent = conn->unsent.len > 0;
	if (condition & G_IO_OUT)
		flush_unsent(conn);
	if (had_unsent && conn->unsent.len == 0 && !conn->closed &&
	    conn->fd >= 0 && conn->vtable->drained != NULL)
		conn->vtable->drained(conn->owner);
	if ((conn->paused || conn->input_ended) && !conn->closed &&
	    (condition & (G_IO_ERR | G_IO_HUP)))
		report_end(conn,
		    condition & G_IO_ERR ? CONN_END_RESET : CONN_END_ORDERLY);
	else if (conn->paused && !conn->closed &&
	    (condition & (GIOCondition)POLLRDHUP))
		report_half_close(conn);
	else if (condition & (G_IO_IN | G_IO_HUP | G_IO_ERR))
		receive_data(conn);
	if (!conn->closed)
		update_watch(conn);
	conn_unref(conn);
}

/// Sets the options of every socket: no send delay, keep-alive probes and a
/// limit on how long sent bytes may stay unacknowledged.
static void
set_options(int fd, const struct conn_limits *limits)
{
	const int on = 1;
	const int idle = CONN_PROBE_IDLE_S;
	const int interval = CONN_PROBE_INTERVAL_S;
	const int count = CONN_PROBE_COUNT;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	set_user_timeout(fd, limits->detection_ms);
}

/// Creates a connection from an open socket.
///
/// @param fd      a connected, non-blocking socket; the connection owns it
/// @param vtable  callbacks; must outlive the connection
/// @param owner   passed to the callbacks
/// @return the connection; release it with conn_close() or conn_abort()
struct conn *
conn_adopt(int fd, const struct conn_vtable *vtable, void *owner)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->vtable = vtable;
	conn->owner = owner;
	conn->fd = fd;
	conn->ref_count = 1;
	conn->reports_half_close = true;
	conn->limits = &caller_limits;
	set_options(fd, conn->limits);
	update_watch(conn);
	return conn;
}

/// Loop callback: the connection failed inside conn_open(). The owner learns
/// of it from the loop, never from within conn_open().
static gboolean
on_open_failed(gpointer data)
{
	struct conn *conn = data;

	conn->failure_source = 0;
	report_end(conn, CONN_END_REFUSED);
	return G_SOURCE_REMOVE;
}

/// Converts a numeric address to a socket address.
///
/// @return its length in bytes; 0 if `ip` is no IP address
static socklen_t
make_socket_address(
    const char *ip, uint16_t port, struct sockaddr_storage *storage)
{
	struct sockaddr_in *ipv4 = (struct sockaddr_in *)storage;
	struct sockaddr_in6 *ipv6 = (struct sockaddr_in6 *)storage;

	memset(storage, 0, sizeof(*storage));
	if (inet_pton(AF_INET, ip, &ipv4->sin_addr) == 1) {
		ipv4->sin_family = AF_INET;
		ipv4->sin_port = htons(port);
		return sizeof(*ipv4);
	}
	if (inet_pton(AF_INET6, ip, &ipv6->sin6_addr) == 1) {
		ipv6->sin6_family = AF_INET6;
		ipv6->sin6_port = htons(port);
		return sizeof(*ipv6);
	}
	return 0;
}

/// Binds a socket to an address of this machine, with any port.
///
/// @return false if the machine has no such address
static bool
bind_source(int fd, const char *source)
{
	struct sockaddr_storage address;
	socklen_t len = make_socket_address(source, 0, &address);

	return len > 0 && bind(fd, (struct sockaddr *)&address, len) == 0;
}

/// Opens a connection. Bytes that are written before it is established are
/// sent once it is.
///
/// @param source  numeric address that it comes from; NULL: any of this machine
/// @param ip      numeric IPv4 or IPv6 address
/// @param port    port in host byte order
/// @param vtable  callbacks; must outlive the connection
/// @param owner   passed to the callbacks
/// @return the connection, never NULL; a failure is reported later, by `ended`
struct conn *
conn_open(const char *source, const char *ip, uint16_t port,
    const struct conn_vtable *vtable, void *owner)
{
	struct sockaddr_storage address;
	socklen_t len = make_socket_address(ip, port, &address);
	struct conn *conn = g_new0(struct conn, 1);

	conn->vtable = vtable;
	conn->owner = owner;
	conn->fd = len == 0
	    ? -1
	    : socket(address.ss_family,
		  SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	conn->ref_count = 1;
	conn->connecting = true;
	conn->limits = &upstream_limits;
	if (conn->fd < 0)
		goto fail;
	set_options(conn->fd, conn->limits);
	if (source != NULL && !bind_source(conn->fd, source))
		goto fail;
	if (connect(conn->fd, (struct sockaddr *)&address, len) != 0 &&
	    errno != EINPROGRESS)
		goto fail;
	update_watch(conn);
	return conn;
fail:
	conn->failure_source = g_idle_add(on_open_failed, conn);
	return conn;
}

/// Restores the shorter time for unacknowledged bytes once there are none.
///
/// @param conn  a connection
void
conn_update_limits(struct conn *conn)
{
	if (conn->is_patient && conn_unacked_bytes(conn) == 0)
		set_patient(conn, false);
}

/// Sets the size of the kernel's send buffer. The receive buffer keeps the size
/// that the listening socket had: a peer that was told of a larger one would
/// send segments that don't fit, again and again.
///
/// @param conn   a connection without unacknowledged bytes
/// @param bytes  size; not 0
/// @return bytes that the kernel may take for both buffers
size_t
conn_set_send_buffer(struct conn *conn, size_t bytes)
{
	int size = (int)bytes;
	int received = 0;
	socklen_t len = sizeof(received);

	conn->buffer_max = CONN_KERNEL_BUFFER_FACTOR * bytes;
	setsockopt(conn->fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	if (getsockopt(conn->fd, SOL_SOCKET, SO_RCVBUF, &received, &len) != 0)
		received = 0;
	return conn->buffer_max + (size_t)MAX(received, 0);
}

/// Transfers a connection to another owner.
///
/// @param conn    a connection that has not ended
/// @param vtable  callbacks that replace the present ones
/// @param owner   passed to the new callbacks
void
conn_set_owner(struct conn *conn, const struct conn_vtable *vtable, void *owner)
{
	conn->vtable = vtable;
	conn->owner = owner;
	conn_update_limits(conn);
}

/// Closes and releases a connection. Buffered bytes are discarded.
///
/// @param conn  invalid afterwards
void
conn_close(struct conn *conn)
{
	conn->closed = true;
	release_socket(conn);
	conn_unref(conn);
}

/// Resets and releases a connection. The reset keeps the peer from mistaking
/// a truncated message for a complete one.
///
/// @param conn  invalid afterwards
void
conn_abort(struct conn *conn)
{
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};

	if (conn->fd >= 0)
		setsockopt(
		    conn->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	conn_close(conn);
}

/// Sends what was written, as far as the kernel accepts it.
static void
send_unsent(struct conn *conn)
{
	note_sending(conn);
	if (!conn->connecting)
		flush_unsent(conn);
	update_watch(conn);
}

/// Writes bytes. A failure is reported later, by `ended`.
///
/// @param conn  a connection; the bytes are discarded if it has ended
/// @param data  copied where the kernel doesn't accept it at once
/// @param len   length in bytes
void
conn_write(struct conn *conn, const char *data, size_t len)
{
	if (conn->fd < 0)
		return;
	buffer_append(&conn->unsent, data, len);
	send_unsent(conn);
}

/// Writes the bytes of a buffer, without a copy if no others are unsent.
///
/// @param conn    a connection; the bytes are discarded if it has ended
/// @param buffer  empty afterwards
void
conn_write_buffer(struct conn *conn, struct buffer *buffer)
{
	if (conn->fd < 0) {
		buffer_clear(buffer);
		return;
	}
	buffer_move(&conn->unsent, buffer);
	send_unsent(conn);
}

/// Sets the account that counts bytes which were written and which the kernel
/// hasn't accepted yet.
///
/// @param conn    a connection
/// @param limits  an account, which must outlive the connection; NULL: none
void
conn_set_account(struct conn *conn, struct client_limits *limits)
{
	buffer_set_account(&conn->unsent, limits);
}

/// Closes the sending side. The receiving side stays open, so that the peer
/// can read the response before the connection closes.
///
/// @param conn  a connection without unsent bytes
void
conn_shutdown_write(struct conn *conn)
{
	if (conn->fd >= 0)
		shutdown(conn->fd, SHUT_WR);
}

/// Reads bytes that have arrived, without waiting for the loop.
///
/// @param conn  a connection; its callbacks are called, and may release it
void
conn_receive(struct conn *conn)
{
	conn->ref_count++;
	receive_data(conn);
	conn_unref(conn);
}

/// Pauses or resumes reading, as backpressure on a peer that sends too fast.
///
/// @param conn    the connection
/// @param paused  true pauses, false resumes
void
conn_set_paused(struct conn *conn, bool paused)
{
	conn->paused = paused;
	update_watch(conn);
}

/// @param conn  a connection
/// @return bytes that were written and that the kernel has not accepted yet
size_t
conn_unsent_bytes(const struct conn *conn)
{
	return conn->unsent.len;
}

/// @param conn  a connection
/// @return bytes that were written and that the peer's kernel has not
///         acknowledged yet
size_t
conn_unacked_bytes(const struct conn *conn)
{
	return conn->unsent.len + kernel_unacked_bytes(conn);
}

/// @param conn  a connection
/// @return bytes that the peer's kernel has acknowledged
uint64_t
conn_acked_bytes(const struct conn *conn)
{
	/* The end of the sending side counts as one byte in the kernel. */
	return conn->sent -
	    MIN(conn->sent, (uint64_t)kernel_unacked_bytes(conn));
}

/// @param conn  a connection
/// @return bytes that may have reached the peer
uint64_t
conn_sent_bytes(const struct conn *conn)
{
	return conn->sent;
}

/// Checks whether an idle connection can carry another request: it is open,
/// and the peer has neither sent anything nor closed it.
///
/// @param conn  a connection with no message in flight
/// @return false when it must not be used
bool
conn_is_reusable(const struct conn *conn)
{
	char byte;
	ssize_t n;

	if (conn->fd < 0 || conn->ended || conn->connecting)
		return false;
	n = recv(conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
