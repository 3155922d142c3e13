/* Unit tests of the HTTP server, over loopback connections. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <errno.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "godwitvale/http/server.h"

/// Length in bytes of a response that doesn't fit into the kernel's buffers.
#define LARGE_RESPONSE_BYTES (16 * 1024 * 1024)

/// A server whose calls stay open until a test responds to them.
struct fixture {
	struct http_server *server;
	uint16_t port;
	GPtrArray *calls;
	GString *refused;
	GString *lost;
	GString *limited;
	struct client_limits *clients;
	unsigned disconnects;
};

static void
on_request(void *owner, struct http_call *call)
{
	struct fixture *fixture = owner;

	g_ptr_array_add(fixture->calls, call);
}

static void
on_refused(void *owner, unsigned status)
{
	struct fixture *fixture = owner;

	g_string_append_printf(fixture->refused, "%u ", status);
}

static void
on_disconnect(void *owner)
{
	struct fixture *fixture = owner;

	fixture->disconnects++;
}

static void
on_lost(void *owner, const struct http_loss *loss)
{
	struct fixture *fixture = owner;

	g_string_append_printf(fixture->lost, "%s open=%d; ",
	    http_loss_cause_name(loss->cause), loss->has_call);
}

static void
on_limited(void *owner, enum http_limit limit)
{
	struct fixture *fixture = owner;

	g_string_append_printf(fixture->limited, "%s ", http_limit_name(limit));
}

static const struct http_server_vtable vtable = {
    on_request, on_refused, on_lost, on_limited};

/// Returns a TCP port that is free at the moment.
static uint16_t
find_free_port(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	getsockname(fd, (struct sockaddr *)&address, &len);
	close(fd);
	return ntohs(address.sin_port);
}

static int
setup(void **state)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct http_server_options options = {
	    .vtable = &vtable,
	    .owner = fixture,
	    .ip = "127.0.0.1",
	    .limits = {.max_head = 512,
		.max_body = 64,
		.head_timeout = 200 * USEC_PER_MSEC,
		.idle_timeout = 400 * USEC_PER_MSEC,
		.stall_timeout = 3 * USEC_PER_SEC,
		.max_callers = 8},
	};

	fixture->port = find_free_port();
	options.port = fixture->port;
	fixture->calls = g_ptr_array_new();
	fixture->refused = g_string_new(NULL);
	fixture->lost = g_string_new(NULL);
	fixture->limited = g_string_new(NULL);
	fixture->clients = client_limits_new();
	options.clients = fixture->clients;
	fixture->server = http_server_new(&options, NULL);
	assert_non_null(fixture->server);
	*state = fixture;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *fixture = *state;

	http_server_free(fixture->server);
	g_ptr_array_unref(fixture->calls);
	g_string_free(fixture->refused, TRUE);
	g_string_free(fixture->lost, TRUE);
	g_string_free(fixture->limited, TRUE);
	client_limits_free(fixture->clients);
	g_free(fixture);
	return 0;
}

/// Runs the loop for a time, or until there are enough open calls.
///
/// @param n_calls   number of open calls to wait for; 0: runs the whole time
/// @param duration  longest time in microseconds
static void
run_loop(struct fixture *fixture, guint n_calls, usec_t duration)
{
	usec_t until = g_get_monotonic_time() + duration;

	while (g_get_monotonic_time() < until) {
		if (n_calls > 0 && fixture->calls->len >= n_calls)
			return;
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(500);
	}
}

static int
connect_to(const struct fixture *fixture)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(fixture->port);
	assert_int_equal(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static void
send_text(int fd, const char *text)
{
	assert_int_equal(
	    send(fd, text, strlen(text), MSG_NOSIGNAL), strlen(text));
}

/// Receives until the connection ends or the time is over. Returns the text,
/// followed by "|end" after an orderly end or "|reset" after a reset.
static char *
receive_text(struct fixture *fixture, int fd, usec_t duration)
{
	GString *text = g_string_new(NULL);
	usec_t until = g_get_monotonic_time() + duration;
	char bytes[65536];

	while (g_get_monotonic_time() < until) {
		ssize_t n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

		if (n > 0) {
			g_string_append_len(text, bytes, n);
		} else if (n == 0) {
			g_string_append(text, "|end");
			break;
		} else if (errno != EAGAIN) {
			g_string_append(text, "|reset");
			break;
		}
		run_loop(fixture, 0, 2 * USEC_PER_MSEC);
	}
	return g_string_free(text, FALSE);
}

static void
assert_received(struct fixture *fixture, int fd, const char *pattern)
{
	char *received = receive_text(fixture, fd, 10 * USEC_PER_SEC);

	if (!g_regex_match_simple(pattern, received, G_REGEX_DOTALL, 0))
		fail_msg("%s does not match %s", received, pattern);
	g_free(received);
}

/// Responds to the oldest open call.
static void
respond_to_first_call(
    struct fixture *fixture, unsigned status, const char *body)
{
	struct http_head head;

	http_head_init(&head);
	head.status = status;
	http_call_respond(fixture->calls->pdata[0], &head, body, strlen(body));
	g_ptr_array_remove_index(fixture->calls, 0);
	http_head_clear(&head);
}

static void
pipelined_requests_are_answered_in_order(void **state)
{
	struct fixture *fixture = *state;
	int fd = connect_to(fixture);
	size_t len;

	send_text(fd,
	    "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /b "
	    "HTTP/1.1\r\nConnection: close\r\n\r\n");
	run_loop(fixture, 1, USEC_PER_SEC);
	assert_int_equal(fixture->calls->len, 1);
	assert_string_equal(
	    http_call_head(fixture->calls->pdata[0])->target, "/a");
	assert_memory_equal(
	    http_call_body(fixture->calls->pdata[0], &len), "hi", 2);
	assert_int_equal(len, 2);
	respond_to_first_call(fixture, 200, "one");
	run_loop(fixture, 1, USEC_PER_SEC);
	assert_int_equal(fixture->calls->len, 1);
	respond_to_first_call(fixture, 200, "two");
	assert_received(fixture, fd,
	    "^HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: "
	    "close\r\n\r\ntwo\\|end$");
	close(fd);
}

static void
streams_end_with_last_chunk(void **state)
{
	struct fixture *fixture = *state;
	struct http_head head;
	int fd = connect_to(fixture);

	send_text(fd, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
	run_loop(fixture, 1, USEC_PER_SEC);
	http_head_init(&head);
	head.status = 200;
	http_call_start_response(fixture->calls->pdata[0], &head);
	http_call_write_body(fixture->calls->pdata[0], "abc", 3);
	http_call_finish_response(fixture->calls->pdata[0]);
	http_head_clear(&head);
	assert_received(fixture, fd, "\r\n\r\n3\r\nabc\r\n0\r\n\r\n\\|end$");
	close(fd);
}

static void
aborted_streams_reset_the_connection(void **state)
{
	struct fixture *fixture = *state;
	struct http_head head;
	int fd = connect_to(fixture);

	send_text(fd, "GET / HTTP/1.1\r\n\r\n");
	run_loop(fixture, 1, USEC_PER_SEC);
	http_head_init(&head);
	head.status = 200;
	http_call_start_response(fixture->calls->pdata[0], &head);
	http_call_write_body(fixture->calls->pdata[0], "abc", 3);
	run_loop(fixture, 0, 50 * USEC_PER_MSEC);
	http_call_abort(fixture->calls->pdata[0]);
	http_head_clear(&head);
	assert_received(fixture, fd, "(abc\r\n)?\\|reset$");
	close(fd);
	/*
	 * An HTTP/1.0 response ends with its connection, so the connection of
	 * an aborted one must not end in an orderly way.
	 */
	fd = connect_to(fixture);
	g_ptr_array_set_size(fixture->calls, 0);
	send_text(fd, "GET / HTTP/1.0\r\n\r\n");
	run_loop(fixture, 1, USEC_PER_SEC);
	http_head_init(&head);
	head.status = 200;
	http_call_start_response(fixture->calls->pdata[0], &head);
	http_call_write_body(fixture->calls->pdata[0], "abc", 3);
	run_loop(fixture, 0, 50 * USEC_PER_MSEC);
	http_call_abort(fixture->calls->pdata[0]);
	http_head_clear(&head);
	assert_received(fixture, fd, "\\|reset$");
	close(fd);
}

static void
reset_during_a_call_is_reported_as_a_loss(void **state)
{
	struct fixture *fixture = *state;
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};
	int fd = connect_to(fixture);

	send_text(fd, "GET / HTTP/1.1\r\n\r\n");
	run_loop(fixture, 1, USEC_PER_SEC);
	assert_string_equal(fixture->lost->str, "");
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	for (int i = 0; i < 1000 && fixture->lost->len == 0; i++)
		run_loop(fixture, 0, 10 * USEC_PER_MSEC);
	assert_string_equal(fixture->lost->str, "caller-reset open=1; ");
	respond_to_first_call(fixture, 200, "to nobody");
}

/// Responds to the oldest open call with a body of LARGE_RESPONSE_BYTES.
static void
respond_with_large_body(struct fixture *fixture)
{
	char *body = g_strnfill(LARGE_RESPONSE_BYTES, 'x');

	respond_to_first_call(fixture, 200, body);
	g_free(body);
}

/// Receives a large response, and nothing after it.
static void
assert_large_response(struct fixture *fixture, int fd, const char *end)
{
	char *received = receive_text(fixture, fd, 20 * USEC_PER_SEC);
	const char *body = strstr(received, "\r\n\r\n");

	assert_non_null(body);
	body += strlen("\r\n\r\n");
	assert_int_equal(strspn(body, "x"), LARGE_RESPONSE_BYTES);
	assert_string_equal(body + LARGE_RESPONSE_BYTES, end);
	g_free(received);
}

/// Longest time from a caller's close to its report.
#define CLOSE_REPORT_TIME (500 * USEC_PER_MSEC)

/// Waits until a disconnect is reported, for CLOSE_REPORT_TIME at most.
static void
assert_disconnect_is_reported(struct fixture *fixture)
{
	usec_t until = g_get_monotonic_time() + CLOSE_REPORT_TIME;

	while (fixture->disconnects == 0 && g_get_monotonic_time() < until)
		run_loop(fixture, 0, 2 * USEC_PER_MSEC);
	assert_int_equal(fixture->disconnects, 1);
	assert_true(http_call_is_disconnected(fixture->calls->pdata[0]));
}

/// Sends a request, and waits until it is an open call.
static int
open_call(struct fixture *fixture, const char *request)
{
	int fd = connect_to(fixture);

	send_text(fd, request);
	run_loop(fixture, 1, USEC_PER_SEC);
	assert_int_equal(fixture->calls->len, 1);
	http_call_on_disconnect(
	    fixture->calls->pdata[0], on_disconnect, fixture);
	run_loop(fixture, 0, 20 * USEC_PER_MSEC);
	assert_int_equal(fixture->disconnects, 0);
	return fd;
}

/// Starts a response to the first call, with one part of its body.
static void
start_stream(struct fixture *fixture)
{
	struct http_head head;

	http_head_init(&head);
	head.status = 200;
	http_call_start_response(fixture->calls->pdata[0], &head);
	http_call_write_body(fixture->calls->pdata[0], "abc", 3);
	http_head_clear(&head);
}

static void
close_while_waiting_is_reported(void **state)
{
	struct fixture *fixture = *state;
	int fd = open_call(fixture, "GET / HTTP/1.1\r\n\r\n");

	close(fd);
	assert_disconnect_is_reported(fixture);
	respond_to_first_call(fixture, 200, "to nobody");
	assert_int_equal(http_server_count_open_calls(fixture->server), 0);
}

/// A caller that had closed its sending side goes later.
static void
close_after_half_close_is_reported(void **state)
{
	struct fixture *fixture = *state;
	int fd = open_call(fixture, "GET / HTTP/1.1\r\n\r\n");

	shutdown(fd, SHUT_WR);
	run_loop(fixture, 0, 50 * USEC_PER_MSEC);
	assert_int_equal(fixture->disconnects, 0);
	while (recv(fd, (char[512]){0}, 512, MSG_DONTWAIT) > 0)
		continue;
	close(fd);
	for (int i = 0; i < 1000 && fixture->disconnects == 0; i++)
		run_loop(fixture, 0, 10 * USEC_PER_MSEC);
	assert_int_equal(fixture->disconnects, 1);
	respond_to_first_call(fixture, 200, "to nobody");
}

static void
close_while_streaming_is_reported(void **state)
{
	struct fixture *fixture = *state;
	int fd = open_call(fixture, "GET / HTTP/1.1\r\n\r\n");

	start_stream(fixture);
	run_loop(fixture, 0, 20 * USEC_PER_MSEC);
	while (recv(fd, (char[512]){0}, 512, MSG_DONTWAIT) > 0)
		continue;
	close(fd);
	run_loop(fixture, 0, 20 * USEC_PER_MSEC);
	http_call_write_body(fixture->calls->pdata[0], "def", 3);
	assert_disconnect_is_reported(fixture);
	http_call_finish_response(fixture->calls->pdata[0]);
	assert_int_equal(http_server_count_open_calls(fixture->server), 0);
}

static void
half_closed_callers_get_a_whole_response(void **state)
{
	static const struct {
		const char *request;
		const char *pattern;
	} rows[] = {
	    {"GET / HTTP/1.1\r\n\r\n",
		"^(HTTP/1.1 100 Continue\r\n\r\n){1,5}HTTP/1.1 200 "
		"OK\r\nContent-Length: 5\r\nConnection: "
		"close\r\n\r\nwhole\\|end$"},
	    {"GET / HTTP/1.0\r\n\r\n",
		"^HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: "
		"close\r\n\r\nwhole\\|end$"},
	};
	struct fixture *fixture = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		int fd = open_call(fixture, rows[i].request);

		shutdown(fd, SHUT_WR);
		run_loop(fixture, 0, USEC_PER_SEC);
		assert_int_equal(fixture->disconnects, 0);
		respond_to_first_call(fixture, 200, "whole");
		assert_received(fixture, fd, rows[i].pattern);
		assert_string_equal(fixture->lost->str, "");
		close(fd);
	}
	run_loop(fixture, 0, 50 * USEC_PER_MSEC);
	assert_int_equal(http_server_count_callers(fixture->server), 0);
}

static void
half_closed_callers_get_the_rest_of_a_stream(void **state)
{
	struct fixture *fixture = *state;
	int fd = open_call(fixture, "GET / HTTP/1.1\r\n\r\n");

	start_stream(fixture);
	shutdown(fd, SHUT_WR);
	run_loop(fixture, 0, 50 * USEC_PER_MSEC);
	http_call_write_body(fixture->calls->pdata[0], "def", 3);
	run_loop(fixture, 0, 50 * USEC_PER_MSEC);
	assert_int_equal(fixture->disconnects, 0);
	http_call_finish_response(fixture->calls->pdata[0]);
	assert_received(fixture, fd,
	    "^HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n\\|end$");
	close(fd);
}

/// A caller may send several requests and close its sending side.
static void
half_closed_callers_get_responses_to_pipelined_requests(void **state)
{
	struct fixture *fixture = *state;
	int fd = open_call(
	    fixture, "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");

	shutdown(fd, SHUT_WR);
	run_loop(fixture, 0, 20 * USEC_PER_MSEC);
	respond_to_first_call(fixture, 200, "one");
	run_loop(fixture, 1, USEC_PER_SEC);
	assert_int_equal(fixture->calls->len, 1);
	respond_to_first_call(fixture, 200, "two");
	assert_received(
	    fixture, fd, "one(HTTP/1.1 100 .*)?HTTP/1.1 200 .*two\\|end$");
	close(fd);
}

static void
half_closed_callers_get_the_unsent_rest_of_a_response(void **state)
{
	struct fixture *fixture = *state;
	int fd = open_call(fixture, "GET / HTTP/1.1\r\n\r\n");

	respond_with_large_body(fixture);
	shutdown(fd, SHUT_WR);
	run_loop(fixture, 0, 100 * USEC_PER_MSEC);
	assert_large_response(fixture, fd, "|end");
	close(fd);
}

/// The times that end an idle and a closing connection don't run while bytes
/// of a response are unsent, also when a new configuration shortens them.
static void
slow_readers_get_all_of_a_finished_response(void **state)
{
	static const char *const requests[] = {
	    "GET / HTTP/1.1\r\n\r\n",
	    "GET / HTTP/1.1\r\nConnection: close\r\n\r\n",
	};
	struct fixture *fixture = *state;
	const struct http_limits shorter = {.max_head = 512,
	    .max_body = 64,
	    .head_timeout = 200 * USEC_PER_MSEC,
	    .idle_timeout = 100 * USEC_PER_MSEC,
	    .stall_timeout = 3 * USEC_PER_SEC,
	    .max_callers = 8};

	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		int fd = connect_to(fixture);

		send_text(fd, requests[i]);
		run_loop(fixture, 1, USEC_PER_SEC);
		respond_with_large_body(fixture);
		http_server_set_limits(fixture->server, &shorter);
		run_loop(fixture, 0, 1600 * USEC_PER_MSEC);
		assert_string_equal(fixture->lost->str, "");
		assert_large_response(fixture, fd, "|end");
		close(fd);
	}
}

static void
callers_that_take_no_byte_are_ended(void **state)
{
	struct fixture *fixture = *state;
	const struct http_limits shorter = {.max_head = 512,
	    .max_body = 64,
	    .head_timeout = 200 * USEC_PER_MSEC,
	    .idle_timeout = 100 * USEC_PER_MSEC,
	    .stall_timeout = 300 * USEC_PER_MSEC,
	    .max_callers = 8};
	int fd = connect_to(fixture);

	http_server_set_limits(fixture->server, &shorter);
	send_text(fd, "GET / HTTP/1.1\r\n\r\n");
	run_loop(fixture, 1, USEC_PER_SEC);
	respond_with_large_body(fixture);
	for (int i = 0; i < 1000 && fixture->lost->len == 0; i++)
		run_loop(fixture, 0, 10 * USEC_PER_MSEC);
	assert_string_equal(fixture->lost->str, "timeout open=0; ");
	assert_int_equal(http_server_count_callers(fixture->server), 0);
	close(fd);
}

/// Pipelined requests of a caller that reads nothing don't fill the memory.
static void
pipelined_requests_wait_for_unsent_responses(void **state)
{
	struct fixture *fixture = *state;
	int fd = connect_to(fixture);

	send_text(fd,
	    "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n"
	    "Connection: close\r\n\r\n");
	run_loop(fixture, 1, USEC_PER_SEC);
	respond_with_large_body(fixture);
	run_loop(fixture, 1, 200 * USEC_PER_MSEC);
	assert_int_equal(fixture->calls->len, 0);
	for (int i = 0; i < 1000 && fixture->calls->len == 0; i++) {
		char bytes[65536];

		while (recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT) > 0)
			continue;
		run_loop(fixture, 1, 2 * USEC_PER_MSEC);
	}
	assert_int_equal(fixture->calls->len, 1);
	respond_to_first_call(fixture, 200, "second");
	assert_received(fixture, fd, "second\\|end$");
	close(fd);
}

/// A caller pipelines and reads slowly. Requests that came as few bytes of a
/// response were left unsent passed those that waited, so that the caller got
/// answers of other requests (MIXED).
static void
pipelined_requests_passed_those_that_waited(void **state)
{
	struct fixture *fixture = *state;
	int fd = connect_to(fixture);
	char bytes[65536];

	send_text(fd, "GET /a HTTP/1.1\r\n\r\n");
	run_loop(fixture, 1, USEC_PER_SEC);
	respond_with_large_body(fixture);
	send_text(fd, "GET /b HTTP/1.1\r\n\r\n");
	run_loop(fixture, 1, 50 * USEC_PER_MSEC);
	assert_int_equal(fixture->calls->len, 0);
	for (int i = 0; i < 1000 && fixture->calls->len == 0; i++) {
		recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		send_text(fd, "GET /c HTTP/1.1\r\n\r\n");
		run_loop(fixture, 1, 2 * USEC_PER_MSEC);
	}
	assert_int_equal(fixture->calls->len, 1);
	assert_string_equal(
	    http_call_head(fixture->calls->pdata[0])->target, "/b");
	close(fd);
}

/// After a pause of the process, requests that came in meanwhile are read
/// before connections end.
static void
requests_that_wait_unread_are_read_before_the_timeout(void **state)
{
	struct fixture *fixture = *state;
	int idle = connect_to(fixture);
	int late_head = connect_to(fixture);

	send_text(late_head, "GET /late HTTP/1.1\r\n");
	run_loop(fixture, 0, 50 * USEC_PER_MSEC);
	send_text(late_head, "\r\n");
	send_text(idle, "GET /idle HTTP/1.1\r\n\r\n");
	g_usleep(1 * USEC_PER_SEC);
	run_loop(fixture, 2, USEC_PER_SEC);
	assert_int_equal(fixture->calls->len, 2);
	assert_string_equal(fixture->refused->str, "");
	respond_to_first_call(fixture, 200, "x");
	respond_to_first_call(fixture, 200, "x");
	close(idle);
	close(late_head);
}

static void
bad_input_is_refused_and_closed(void **state)
{
	static const struct {
		const char *bytes;
		const char *pattern;
	} rows[] = {
	    {"nonsense\r\n\r\n", "^HTTP/1.1 400 .*close\r\n\r\n\\|end$"},
	    {"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n",
		"^HTTP/1.1 413 .*\\|end$"},
	    {"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
	     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled "
	     "HTTP/1.1\r\n\r\n",
		"^HTTP/1.1 400 [^/]*\\|end$"},
	    /* The head is not complete in time. */
	    {"GET / HTTP/1.1\r\nA:", "^HTTP/1.1 408 .*\\|end$"},
	    /* An idle connection is closed without a response. */
	    {"", "^\\|(end|reset)$"},
	};
	struct fixture *fixture = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		int fd = connect_to(fixture);

		if (rows[i].bytes[0] != '\0')
			send_text(fd, rows[i].bytes);
		assert_received(fixture, fd, rows[i].pattern);
		close(fd);
	}
	assert_int_equal(fixture->calls->len, 0);
	assert_string_equal(fixture->refused->str, "400 413 400 408 ");
}

static void
disabled_keep_alive_closes_after_response(void **state)
{
	struct fixture *fixture = *state;
	int fd = connect_to(fixture);

	send_text(fd, "GET / HTTP/1.1\r\n\r\n");
	run_loop(fixture, 1, USEC_PER_SEC);
	http_server_disable_keep_alive(fixture->server);
	respond_to_first_call(fixture, 200, "x");
	assert_received(fixture, fd, "Connection: close\r\n\r\nx\\|end$");
	close(fd);
}

/// Guards against requests that were read with an earlier one, and lost as the
/// earlier response closed the connection during a shutdown.
static void
pipelined_requests_are_answered_when_keep_alive_is_disabled(void **state)
{
	struct fixture *fixture = *state;
	int fd = connect_to(fixture);

	send_text(fd,
	    "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
	    "GET /c HTTP/1.1\r\n\r\n");
	run_loop(fixture, 1, USEC_PER_SEC);
	http_server_disable_keep_alive(fixture->server);
	for (unsigned i = 0; i < 3; i++) {
		run_loop(fixture, 1, USEC_PER_SEC);
		assert_int_equal(fixture->calls->len, 1);
		respond_to_first_call(fixture, 200, "x");
	}
	assert_received(fixture, fd,
	    "^HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
	    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
	    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: "
	    "close\r\n\r\nx\\|end$");
	close(fd);
}

static void
expect_continue_is_answered(void **state)
{
	struct fixture *fixture = *state;
	int fd = connect_to(fixture);

	send_text(fd,
	    "POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
	    "Content-Length: 1\r\nConnection: close\r\n\r\n");
	run_loop(fixture, 0, 50 * USEC_PER_MSEC);
	send_text(fd, "x");
	run_loop(fixture, 1, USEC_PER_SEC);
	respond_to_first_call(fixture, 200, "");
	assert_received(
	    fixture, fd, "^HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ");
	close(fd);
}

/// Counts iterations of the loop that handle events.
static unsigned
count_wakeups(usec_t duration)
{
	usec_t until = g_get_monotonic_time() + duration;
	unsigned n = 0;

	while (g_get_monotonic_time() < until) {
		if (g_main_context_iteration(NULL, FALSE))
			n++;
		else
			g_usleep(500);
	}
	return n;
}

/// Guards against a loop that spins on a listening socket from which nothing
/// may be accepted.
static void
waiting_connections_dont_wake_the_loop(void **state)
{
	struct fixture *fixture = *state;
	int fds[9];

	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		fds[i] = connect_to(fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(fds) - 1; i++)
		send_text(fds[i], "GET / HTTP/1.1\r\n\r\n");
	run_loop(fixture, 8, USEC_PER_SEC);
	assert_int_equal(fixture->calls->len, 8);
	run_loop(fixture, 0, 20 * USEC_PER_MSEC);
	assert_true(count_wakeups(600 * USEC_PER_MSEC) < 10);
	assert_non_null(strstr(fixture->limited->str, "accept "));
	/* The end of a connection makes room. */
	send_text(fds[8], "GET /last HTTP/1.1\r\n\r\n");
	respond_to_first_call(fixture, 200, "");
	close(fds[0]);
	run_loop(fixture, 8, USEC_PER_SEC);
	assert_string_equal(
	    http_call_head(fixture->calls->pdata[7])->target, "/last");
	for (size_t i = 1; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
}

/// Guards against a connection that is closed in favour of a new one although
/// its next request has arrived and only wasn't read yet.
static void
arrived_request_keeps_its_connection(void **state)
{
	const struct http_limits patient = {.max_head = 512,
	    .max_body = 64,
	    .head_timeout = 20 * USEC_PER_SEC,
	    .idle_timeout = 20 * USEC_PER_SEC,
	    .stall_timeout = 3 * USEC_PER_SEC,
	    .max_callers = 2};
	struct fixture *fixture = *state;
	int waiting;
	int busy;
	int last;

	http_server_set_limits(fixture->server, &patient);
	waiting = connect_to(fixture);
	busy = connect_to(fixture);
	send_text(busy, "GET /busy HTTP/1.1\r\n\r\n");
	run_loop(fixture, 0, 1100 * USEC_PER_MSEC);
	send_text(waiting, "GET /waiting HTTP/1.1\r\n\r\n");
	last = connect_to(fixture);
	run_loop(fixture, 2, USEC_PER_SEC);
	assert_int_equal(fixture->calls->len, 2);
	close(waiting);
	close(busy);
	close(last);
}

/// Guards against idle connections that keep new callers out.
static void
longest_waiting_connection_makes_room(void **state)
{
	const struct http_limits patient = {.max_head = 512,
	    .max_body = 64,
	    .head_timeout = 20 * USEC_PER_SEC,
	    .idle_timeout = 20 * USEC_PER_SEC,
	    .stall_timeout = 3 * USEC_PER_SEC,
	    .max_callers = 2};
	struct fixture *fixture = *state;
	int idle;
	int busy;
	int last;

	http_server_set_limits(fixture->server, &patient);
	idle = connect_to(fixture);
	run_loop(fixture, 0, 1100 * USEC_PER_MSEC);
	busy = connect_to(fixture);
	send_text(busy, "GET /busy HTTP/1.1\r\n\r\n");
	run_loop(fixture, 1, USEC_PER_SEC);
	last = connect_to(fixture);
	send_text(last, "GET /last HTTP/1.1\r\n\r\n");
	run_loop(fixture, 2, USEC_PER_SEC);
	assert_int_equal(fixture->calls->len, 2);
	assert_string_equal(fixture->limited->str, "connections ");
	assert_received(fixture, idle, "^\\|end$");
	close(idle);
	close(busy);
	close(last);
}

/// Guards against a connection that always has another request, and so keeps
/// new callers out.
static void
connection_in_use_makes_room_after_its_response(void **state)
{
	const struct http_limits patient = {.max_head = 512,
	    .max_body = 64,
	    .head_timeout = 20 * USEC_PER_SEC,
	    .idle_timeout = 20 * USEC_PER_SEC,
	    .stall_timeout = 3 * USEC_PER_SEC,
	    .max_callers = 1};
	struct fixture *fixture = *state;
	int busy;
	int last;

	http_server_set_limits(fixture->server, &patient);
	busy = connect_to(fixture);
	send_text(busy, "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
	run_loop(fixture, 1, USEC_PER_SEC);
	last = connect_to(fixture);
	send_text(last, "GET /last HTTP/1.1\r\n\r\n");
	run_loop(fixture, 0, 50 * USEC_PER_MSEC);
	assert_string_equal(
	    fixture->limited->str, "connections-in-use accept ");
	respond_to_first_call(fixture, 200, "first");
	assert_received(fixture, busy, "Connection: close\r\n\r\nfirst\\|end$");
	close(busy);
	run_loop(fixture, 1, USEC_PER_SEC);
	assert_int_equal(fixture->calls->len, 1);
	assert_string_equal(
	    http_call_head(fixture->calls->pdata[0])->target, "/last");
	close(last);
}

/// Guards against responses that a refused caller doesn't read, and that occupy
/// the memory or the connection as long as it likes.
static void
refused_callers_that_read_slowly_make_room(void **state)
{
	const struct http_limits patient = {.max_head = 512,
	    .max_body = 64,
	    .head_timeout = 20 * USEC_PER_SEC,
	    .idle_timeout = 20 * USEC_PER_SEC,
	    .stall_timeout = 20 * USEC_PER_SEC,
	    .max_callers = 8};
	struct fixture *fixture = *state;
	int fd = connect_to(fixture);

	http_server_set_limits(fixture->server, &patient);
	send_text(fd, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
	run_loop(fixture, 1, USEC_PER_SEC);
	respond_with_large_body(fixture);
	assert_int_equal(http_server_count_callers(fixture->server), 1);
	client_limits_set_bound(fixture->clients, 400000);
	for (int i = 0; i < 300 && fixture->limited->len == 0; i++)
		run_loop(fixture, 0, 10 * USEC_PER_MSEC);
	assert_string_equal(fixture->limited->str, "unread-memory ");
	assert_int_equal(http_server_count_callers(fixture->server), 0);
	close(fd);
}

/// Guards against the loss of a whole request, bytes that are still counted
/// after a refusal or a close, and an answer without a time to retry.
static void
largest_body_is_dropped_when_memory_is_used_up(void **state)
{
	const struct http_limits large = {.max_head = 512,
	    .max_body = 1024 * 1024,
	    .head_timeout = 20 * USEC_PER_SEC,
	    .idle_timeout = 20 * USEC_PER_SEC,
	    .stall_timeout = 3 * USEC_PER_SEC,
	    .max_callers = 8};
	struct fixture *fixture = *state;
	char *bytes = g_strnfill(200000, 'x');
	int whole = connect_to(fixture);
	int large_body;
	int small_body;

	http_server_set_limits(fixture->server, &large);
	send_text(whole, "POST /w HTTP/1.1\r\nContent-Length: 200000\r\n\r\n");
	send_text(whole, bytes);
	run_loop(fixture, 1, USEC_PER_SEC);
	assert_int_equal(fixture->calls->len, 1);
	client_limits_set_bound(fixture->clients, 400000);
	small_body = connect_to(fixture);
	send_text(
	    small_body, "POST /s HTTP/1.1\r\nContent-Length: 1001\r\n\r\nx");
	large_body = connect_to(fixture);
	send_text(large_body,
	    "POST /l HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
	for (int i = 0; i < 2; i++) {
		send_text(large_body, "30d40\r\n");
		send_text(large_body, bytes);
		send_text(large_body, "\r\n");
	}
	run_loop(fixture, 0, 100 * USEC_PER_MSEC);
	assert_string_equal(fixture->limited->str, "body-memory ");
	assert_received(fixture, large_body,
	    "^HTTP/1.1 503 [^|]*\r\nRetry-After: [0-9.]+\r\n"
	    "Connection: close\r\n\r\n\\|end$");
	bytes[1000] = '\0';
	send_text(small_body, bytes);
	run_loop(fixture, 2, USEC_PER_SEC);
	assert_int_equal(fixture->calls->len, 2);
	respond_to_first_call(fixture, 200, "whole");
	respond_to_first_call(fixture, 200, "small");
	close(whole);
	close(large_body);
	close(small_body);
	run_loop(fixture, 0, 100 * USEC_PER_MSEC);
	assert_int_equal(client_limits_held(fixture->clients), 0);
	g_free(bytes);
}

/// Guards against callers that use up the memory by what they send behind a
/// request in progress, and against the loss of its response.
static void
pipelined_bytes_are_dropped_and_the_call_goes_on(void **state)
{
	struct fixture *fixture = *state;
	char *bytes = g_strnfill(60000, 'x');
	unsigned n_dropped = 0;
	int fds[4];

	client_limits_set_bound(fixture->clients, 60000);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = connect_to(fixture);
		send_text(fds[i], "GET / HTTP/1.1\r\n\r\n");
		run_loop(fixture, (guint)i + 1, USEC_PER_SEC);
		send_text(fds[i], bytes);
		run_loop(fixture, 0, 100 * USEC_PER_MSEC);
	}
	assert_int_equal(fixture->calls->len, 4);
	assert_true(client_limits_held(fixture->clients) <= 60000);
	assert_true(
	    g_str_has_prefix(fixture->limited->str, "pipeline-memory "));
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		char *text;

		respond_to_first_call(fixture, 200, "whole");
		text = receive_text(fixture, fds[i], USEC_PER_SEC / 2);
		assert_non_null(strstr(text, "\r\n\r\nwhole"));
		n_dropped +=
		    strstr(text, "Connection: close\r\n\r\nwhole|") != NULL;
		g_free(text);
		close(fds[i]);
	}
	assert_true(n_dropped > 0);
	run_loop(fixture, 0, 50 * USEC_PER_MSEC);
	assert_int_equal(client_limits_held(fixture->clients), 0);
	g_free(bytes);
}

/// Guards against a body that is read although it doesn't fit, and against
/// refusals when there is no load.
static void
requests_that_dont_fit_are_refused(void **state)
{
	struct fixture *fixture = *state;
	struct client_hold hold = {.limits = fixture->clients};
	int fd = connect_to(fixture);

	client_limits_set_bound(fixture->clients, 100000);
	client_hold_set(&hold, 99950);
	send_text(fd,
	    "POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
	    "Content-Length: 64\r\n\r\n");
	assert_received(fixture, fd, "^HTTP/1.1 503 .*Retry-After: .*\\|end$");
	assert_string_equal(fixture->refused->str, "503 ");
	assert_string_equal(fixture->limited->str, "no-memory ");
	close(fd);
	client_hold_clear(&hold);
	fd = connect_to(fixture);
	send_text(fd, "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi");
	run_loop(fixture, 1, USEC_PER_SEC);
	assert_int_equal(fixture->calls->len, 1);
	respond_to_first_call(fixture, 200, "");
	close(fd);
}

/// Guards against a body without an end that keeps its connection by one byte
/// at a time.
static void
slow_bodies_are_refused(void **state)
{
	const struct http_limits limits = {.max_head = 512,
	    .max_body = 64,
	    .head_timeout = 200 * USEC_PER_MSEC,
	    .idle_timeout = 20 * USEC_PER_SEC,
	    .stall_timeout = 3 * USEC_PER_SEC,
	    .max_callers = 8,
	    .body = {.grace = 300 * USEC_PER_MSEC, .min_bytes_per_s = 1000}};
	struct fixture *fixture = *state;
	int fd = connect_to(fixture);

	http_server_set_limits(fixture->server, &limits);
	send_text(fd, "POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\n");
	for (int i = 0; i < 30 && fixture->refused->len == 0; i++) {
		send(fd, "x", 1, MSG_NOSIGNAL);
		run_loop(fixture, 0, 50 * USEC_PER_MSEC);
	}
	assert_string_equal(fixture->refused->str, "408 ");
	assert_string_equal(fixture->limited->str, "body-time ");
	close(fd);
}

/// Guards against a refused caller that is read from without an end.
static void
little_is_read_after_a_refusal(void **state)
{
	struct fixture *fixture = *state;
	char *bytes = g_strnfill(65536, 'x');
	int fd = connect_to(fixture);
	const int buffer_bytes = 65536;
	size_t sent = 0;

	setsockopt(
	    fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof(buffer_bytes));
	send_text(fd, "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n");
	for (int i = 0; i < 1000; i++) {
		ssize_t n = send(fd, bytes, 65536, MSG_NOSIGNAL | MSG_DONTWAIT);

		sent += n > 0 ? (size_t)n : 0;
		run_loop(fixture, 0, USEC_PER_MSEC);
	}
	assert_string_equal(fixture->refused->str, "413 ");
	/* The kernel takes up to 6 MiB by default. */
	assert_true(sent < 20 * 1024 * 1024);
	close(fd);
	run_loop(fixture, 0, 50 * USEC_PER_MSEC);
	assert_int_equal(client_limits_held(fixture->clients), 0);
	g_free(bytes);
}

/// A server that answers each request at once.
static void
on_request_answer_at_once(void *owner, struct http_call *call)
{
	struct fixture *fixture = owner;
	struct http_head head;

	fixture->disconnects++; /* counts requests here */
	http_head_init(&head);
	head.status = 200;
	http_call_respond(call, &head, "", 0);
	http_head_clear(&head);
}

/// Guards against a caller that occupies the loop with thousands of pipelined
/// requests.
static void
pipelined_requests_leave_others_their_turn(void **state)
{
	static const struct http_server_vtable at_once = {
	    on_request_answer_at_once, on_refused, on_lost, on_limited};
	struct fixture *fixture = *state;
	const struct http_server_options options = {
	    .vtable = &at_once,
	    .owner = fixture,
	    .ip = "127.0.0.1",
	    .port = find_free_port(),
	    .limits = {.max_head = 512,
		.max_body = 64,
		.head_timeout = USEC_PER_SEC,
		.idle_timeout = USEC_PER_SEC,
		.stall_timeout = 3 * USEC_PER_SEC,
		.max_callers = 8},
	};
	struct http_server *server = http_server_new(&options, NULL);
	GString *requests = g_string_new(NULL);
	unsigned most = 0;
	usec_t until;
	int fd;

	fixture->port = options.port;
	fd = connect_to(fixture);
	for (int i = 0; i < 500; i++)
		g_string_append(requests, "GET / HTTP/1.1\r\n\r\n");
	send_text(fd, requests->str);
	until = g_get_monotonic_time() + 5 * USEC_PER_SEC;
	while (fixture->disconnects < 500 && g_get_monotonic_time() < until) {
		unsigned before = fixture->disconnects;

		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(500);
		most = MAX(most, fixture->disconnects - before);
	}
	assert_int_equal(fixture->disconnects, 500);
	assert_true(most <= 64);
	close(fd);
	http_server_free(server);
	g_string_free(requests, TRUE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    /* First: its server's timer comes before the first watch. */
	    cmocka_unit_test_setup_teardown(
		requests_that_wait_unread_are_read_before_the_timeout, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		pipelined_requests_are_answered_in_order, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		streams_end_with_last_chunk, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		aborted_streams_reset_the_connection, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		reset_during_a_call_is_reported_as_a_loss, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		close_while_waiting_is_reported, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		close_after_half_close_is_reported, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		close_while_streaming_is_reported, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		half_closed_callers_get_a_whole_response, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		half_closed_callers_get_the_rest_of_a_stream, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		half_closed_callers_get_responses_to_pipelined_requests, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		half_closed_callers_get_the_unsent_rest_of_a_response, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		slow_readers_get_all_of_a_finished_response, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		callers_that_take_no_byte_are_ended, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		pipelined_requests_wait_for_unsent_responses, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		pipelined_requests_passed_those_that_waited, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		bad_input_is_refused_and_closed, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		disabled_keep_alive_closes_after_response, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		pipelined_requests_are_answered_when_keep_alive_is_disabled,
		setup, teardown),
	    cmocka_unit_test_setup_teardown(
		expect_continue_is_answered, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		waiting_connections_dont_wake_the_loop, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		longest_waiting_connection_makes_room, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		arrived_request_keeps_its_connection, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		refused_callers_that_read_slowly_make_room, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		connection_in_use_makes_room_after_its_response, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		largest_body_is_dropped_when_memory_is_used_up, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		pipelined_bytes_are_dropped_and_the_call_goes_on, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		requests_that_dont_fit_are_refused, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		slow_bodies_are_refused, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		little_is_read_after_a_refusal, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		pipelined_requests_leave_others_their_turn, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
