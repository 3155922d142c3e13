/* Unit tests of the server side of HTTP, over loopback connections. */
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

/// A server whose calls are kept until a test answers them.
struct rig {
	struct http_server *server;
	uint16_t port;
	GPtrArray *calls;
	GString *refused;
	unsigned gone;
};

static void
on_request(void *owner, struct http_call *call)
{
	struct rig *rig = owner;

	g_ptr_array_add(rig->calls, call);
}

static void
on_refused(void *owner, unsigned status)
{
	struct rig *rig = owner;

	g_string_append_printf(rig->refused, "%u ", status);
}

static void
on_gone(void *owner)
{
	struct rig *rig = owner;

	rig->gone++;
}

static const struct http_server_vtable vtable = {on_request, on_refused};

/// Finds a port that is free.
static uint16_t
free_port(void)
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
	struct rig *rig = g_new0(struct rig, 1);
	struct http_server_options options = {
	    .vtable = &vtable,
	    .owner = rig,
	    .ip = "127.0.0.1",
	    .limits = {.max_head = 512,
		.max_body = 64,
		.head_timeout = 200 * USEC_PER_MSEC,
		.idle_timeout = 400 * USEC_PER_MSEC,
		.max_callers = 8},
	};

	rig->port = free_port();
	options.port = rig->port;
	rig->calls = g_ptr_array_new();
	rig->refused = g_string_new(NULL);
	rig->server = http_server_new(&options, NULL);
	assert_non_null(rig->server);
	*state = rig;
	return 0;
}

static int
teardown(void **state)
{
	struct rig *rig = *state;

	http_server_free(rig->server);
	g_ptr_array_unref(rig->calls);
	g_string_free(rig->refused, TRUE);
	g_free(rig);
	return 0;
}

/// Runs the loop for a span, or until a call has come.
static void
run(struct rig *rig, guint n_calls, usec_t span)
{
	usec_t until = g_get_monotonic_time() + span;

	while (g_get_monotonic_time() < until) {
		if (n_calls > 0 && rig->calls->len >= n_calls)
			return;
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(500);
	}
}

static int
connect_to(const struct rig *rig)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(rig->port);
	assert_int_equal(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static void
say(int fd, const char *text)
{
	assert_int_equal(
	    send(fd, text, strlen(text), MSG_NOSIGNAL), strlen(text));
}

/// Gives what has come, and how the connection stands: "", "|end" or
/// "|reset".
static char *
hear(struct rig *rig, int fd, usec_t span)
{
	GString *text = g_string_new(NULL);
	usec_t until = g_get_monotonic_time() + span;
	char bytes[4096];

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
		run(rig, 0, 2 * USEC_PER_MSEC);
	}
	return g_string_free(text, FALSE);
}

static void
assert_heard(struct rig *rig, int fd, const char *pattern)
{
	char *heard = hear(rig, fd, 10 * USEC_PER_SEC);

	if (!g_regex_match_simple(pattern, heard, G_REGEX_DOTALL, 0))
		fail_msg("%s does not match %s", heard, pattern);
	g_free(heard);
}

/// Answers the first call that waits.
static void
answer(struct rig *rig, unsigned status, const char *body)
{
	struct http_head head;

	http_head_init(&head);
	head.status = status;
	http_call_answer(rig->calls->pdata[0], &head, body, strlen(body));
	g_ptr_array_remove_index(rig->calls, 0);
	http_head_clear(&head);
}

static void
requests_on_one_connection_are_answered_in_order(void **state)
{
	struct rig *rig = *state;
	int fd = connect_to(rig);
	size_t len;

	say(fd,
	    "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /b "
	    "HTTP/1.1\r\nConnection: close\r\n\r\n");
	run(rig, 1, USEC_PER_SEC);
	assert_int_equal(rig->calls->len, 1);
	assert_string_equal(http_call_head(rig->calls->pdata[0])->target, "/a");
	assert_memory_equal(
	    http_call_body(rig->calls->pdata[0], &len), "hi", 2);
	assert_int_equal(len, 2);
	answer(rig, 200, "one");
	run(rig, 1, USEC_PER_SEC);
	assert_int_equal(rig->calls->len, 1);
	answer(rig, 200, "two");
	assert_heard(rig, fd,
	    "^HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: "
	    "close\r\n\r\ntwo\\|end$");
	close(fd);
}

static void
streams_end_with_a_last_chunk(void **state)
{
	struct rig *rig = *state;
	struct http_head head;
	int fd = connect_to(rig);

	say(fd, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
	run(rig, 1, USEC_PER_SEC);
	http_head_init(&head);
	head.status = 200;
	http_call_begin(rig->calls->pdata[0], &head);
	http_call_write(rig->calls->pdata[0], "abc", 3);
	http_call_end(rig->calls->pdata[0]);
	http_head_clear(&head);
	assert_heard(rig, fd, "\r\n\r\n3\r\nabc\r\n0\r\n\r\n\\|end$");
	close(fd);
}

static void
broken_streams_never_look_complete(void **state)
{
	struct rig *rig = *state;
	struct http_head head;
	int fd = connect_to(rig);

	say(fd, "GET / HTTP/1.1\r\n\r\n");
	run(rig, 1, USEC_PER_SEC);
	http_head_init(&head);
	head.status = 200;
	http_call_begin(rig->calls->pdata[0], &head);
	http_call_write(rig->calls->pdata[0], "abc", 3);
	run(rig, 0, 50 * USEC_PER_MSEC);
	http_call_abort(rig->calls->pdata[0]);
	http_head_clear(&head);
	assert_heard(rig, fd, "(abc\r\n)?\\|reset$");
	close(fd);
	/* A caller of HTTP/1.0 sees the same: its end is no orderly one. */
	fd = connect_to(rig);
	g_ptr_array_set_size(rig->calls, 0);
	say(fd, "GET / HTTP/1.0\r\n\r\n");
	run(rig, 1, USEC_PER_SEC);
	http_head_init(&head);
	head.status = 200;
	http_call_begin(rig->calls->pdata[0], &head);
	http_call_write(rig->calls->pdata[0], "abc", 3);
	run(rig, 0, 50 * USEC_PER_MSEC);
	http_call_abort(rig->calls->pdata[0]);
	http_head_clear(&head);
	assert_heard(rig, fd, "\\|reset$");
	close(fd);
}

static void
a_caller_that_closes_is_noticed_at_once(void **state)
{
	struct rig *rig = *state;
	int fd = connect_to(rig);

	say(fd, "GET / HTTP/1.1\r\n\r\n");
	run(rig, 1, USEC_PER_SEC);
	http_call_on_gone(rig->calls->pdata[0], on_gone, rig);
	run(rig, 0, 20 * USEC_PER_MSEC);
	assert_int_equal(rig->gone, 0);
	shutdown(fd, SHUT_WR);
	for (int i = 0; i < 1000 && rig->gone == 0; i++)
		run(rig, 0, 10 * USEC_PER_MSEC);
	assert_int_equal(rig->gone, 1);
	assert_true(http_call_is_gone(rig->calls->pdata[0]));
	answer(rig, 200, "to nobody");
	assert_int_equal(http_server_open_calls(rig->server), 0);
	close(fd);
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
	    /* Too slow. */
	    {"GET / HTTP/1.1\r\nA:", "^HTTP/1.1 408 .*\\|end$"},
	    /* Idle: no answer to a question that wasn't asked. */
	    {"", "^\\|(end|reset)$"},
	};
	struct rig *rig = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		int fd = connect_to(rig);

		if (rows[i].bytes[0] != '\0')
			say(fd, rows[i].bytes);
		assert_heard(rig, fd, rows[i].pattern);
		close(fd);
	}
	assert_int_equal(rig->calls->len, 0);
	assert_string_equal(rig->refused->str, "400 413 400 408 ");
}

static void
answers_of_a_leaving_server_are_the_last(void **state)
{
	struct rig *rig = *state;
	int fd = connect_to(rig);

	say(fd, "GET / HTTP/1.1\r\n\r\n");
	run(rig, 1, USEC_PER_SEC);
	http_server_set_leaving(rig->server);
	answer(rig, 200, "x");
	assert_heard(rig, fd, "Connection: close\r\n\r\nx\\|end$");
	close(fd);
}

static void
a_caller_that_waits_is_told_to_go_on(void **state)
{
	struct rig *rig = *state;
	int fd = connect_to(rig);

	say(fd,
	    "POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
	    "Content-Length: 1\r\nConnection: close\r\n\r\n");
	run(rig, 0, 50 * USEC_PER_MSEC);
	say(fd, "x");
	run(rig, 1, USEC_PER_SEC);
	answer(rig, 200, "");
	assert_heard(rig, fd, "^HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ");
	close(fd);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		requests_on_one_connection_are_answered_in_order, setup,
		teardown),
	    cmocka_unit_test_setup_teardown(
		streams_end_with_a_last_chunk, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		broken_streams_never_look_complete, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_caller_that_closes_is_noticed_at_once, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		bad_input_is_refused_and_closed, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		answers_of_a_leaving_server_are_the_last, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_caller_that_waits_is_told_to_go_on, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
