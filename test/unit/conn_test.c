/* Unit tests of TCP connections on the main loop, over loopback. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "godwitvale/http/conn.h"

/// Bytes that don't fit into the kernel's buffers.
#define LARGE_BYTES (16 * 1024 * 1024)
/// Connections that fill the backlog of a listener in these tests.
#define FULL_BACKLOG 4
/// Time for which a peer reads nothing, longer than the detection of a dead
/// one.
#define STALL_US (4 * G_USEC_PER_SEC)
/// Longest time that a test waits, in microseconds.
#define WAIT_US (20 * G_USEC_PER_SEC)

/// What a connection's callbacks have reported.
struct events {
	bool drained;
	enum conn_end end;
};

static void
on_received(void *owner, const char *data, size_t len)
{
	(void)owner;
	(void)data;
	(void)len;
}

static void
on_ended(void *owner, enum conn_end end)
{
	struct events *events = owner;

	events->end = end;
}

static void
on_drained(void *owner)
{
	struct events *events = owner;

	events->drained = true;
}

static const struct conn_vtable vtable = {
    .received = on_received,
    .ended = on_ended,
    .drained = on_drained,
};

/// Listens on a free port of loopback.
static int
listen_on_loopback(uint16_t *port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(listen(fd, 1), 0);
	getsockname(fd, (struct sockaddr *)&address, &len);
	*port = ntohs(address.sin_port);
	return fd;
}

static void
run_loop(gint64 duration)
{
	gint64 until = g_get_monotonic_time() + duration;

	while (g_get_monotonic_time() < until)
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(500);
}

/// Reads from a peer's socket until so many bytes came.
static size_t
read_at_peer(int peer, size_t wanted)
{
	static char bytes[65536];
	gint64 until = g_get_monotonic_time() + WAIT_US;
	size_t got = 0;

	while (got < wanted && g_get_monotonic_time() < until) {
		ssize_t n = recv(peer, bytes, sizeof(bytes), MSG_DONTWAIT);

		if (n == 0)
			break;
		if (n > 0)
			got += (size_t)n;
		while (g_main_context_iteration(NULL, FALSE))
			continue;
	}
	return got;
}

/// Writes much to a peer that reads nothing for a while and then all.
static void
assert_late_reader_gets_all(struct conn *conn, int peer, struct events *events)
{
	char *bytes = g_malloc0(LARGE_BYTES);

	conn_write(conn, bytes, LARGE_BYTES);
	run_loop(STALL_US);
	assert_int_equal(events->end, 0);
	assert_int_equal(read_at_peer(peer, LARGE_BYTES), LARGE_BYTES);
	assert_true(events->drained);
	assert_int_equal(events->end, 0);
	conn_close(conn);
	close(peer);
	g_free(bytes);
}

static void
upstreams_that_read_late_get_all_of_a_request(void **state)
{
	struct events events = {0};
	uint16_t port;
	int listener = listen_on_loopback(&port);
	struct conn *conn =
	    conn_open(NULL, "127.0.0.1", port, &vtable, &events);
	int peer = accept(listener, NULL, NULL);

	(void)state;
	assert_true(peer >= 0);
	run_loop(20 * 1000);
	assert_late_reader_gets_all(conn, peer, &events);
	close(listener);
}

static void
callers_that_read_late_get_all_of_a_response(void **state)
{
	struct events events = {0};
	struct sockaddr_in address = {.sin_family = AF_INET};
	uint16_t port;
	int listener = listen_on_loopback(&port);
	int peer = socket(AF_INET, SOCK_STREAM, 0);
	struct conn *conn;

	(void)state;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(port);
	assert_int_equal(
	    connect(peer, (struct sockaddr *)&address, sizeof(address)), 0);
	conn = conn_adopt(
	    accept4(listener, NULL, NULL, SOCK_NONBLOCK), &vtable, &events);
	assert_late_reader_gets_all(conn, peer, &events);
	close(listener);
}

/// An upstream that doesn't reply to connection attempts is detected soon, also
/// when a large request waits to be sent.
static void
large_requests_do_not_delay_a_failed_connect(void **state)
{
	struct events events = {0};
	uint16_t port;
	int listener = listen_on_loopback(&port);
	struct events others[FULL_BACKLOG] = {{0}};
	struct conn *full[FULL_BACKLOG];
	struct conn *conn;
	char *bytes = g_malloc0(LARGE_BYTES);
	gint64 until = g_get_monotonic_time() + WAIT_US;

	(void)state;
	for (int i = 0; i < FULL_BACKLOG; i++)
		full[i] =
		    conn_open(NULL, "127.0.0.1", port, &vtable, &others[i]);
	run_loop(100 * 1000);
	conn = conn_open(NULL, "127.0.0.1", port, &vtable, &events);
	conn_write(conn, bytes, LARGE_BYTES);
	while (events.end == 0 && g_get_monotonic_time() < until)
		run_loop(20 * 1000);
	assert_int_equal(events.end, CONN_END_REFUSED);
	conn_close(conn);
	for (int i = 0; i < FULL_BACKLOG; i++)
		conn_close(full[i]);
	close(listener);
	g_free(bytes);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(upstreams_that_read_late_get_all_of_a_request),
	    cmocka_unit_test(callers_that_read_late_get_all_of_a_response),
	    cmocka_unit_test(large_requests_do_not_delay_a_failed_connect),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
