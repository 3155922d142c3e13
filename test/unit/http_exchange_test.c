/* Unit tests of one request to one upstream, over loopback connections. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include <arpa/inet.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "godwitvale/http/exchange.h"

/// How an upstream ends its connection once it has answered.
enum ending { KEEP, FINISH, RESET };

/// An upstream that answers each request with the next of its texts.
struct upstream {
	int listener;
	uint16_t port;
	char address[64];
	const char *const *answers;
	enum ending ending;
	unsigned accepted;
	GString *got;
	guint source;
	GList *fds;
};

/// What an exchange told.
struct story {
	GString *text;
	GMainLoop *loop;
	struct exchange *exchange;
	bool cancel_at_head;
};

static void
end_connection(struct upstream *upstream, int fd)
{
	const struct linger reset = {1, 0};

	if (upstream->ending == KEEP)
		return;
	if (upstream->ending == RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
}

static gboolean
on_request(gint fd, GIOCondition condition, gpointer data)
{
	struct upstream *upstream = data;
	char bytes[4096];
	ssize_t n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	(void)condition;
	if (n <= 0)
		return G_SOURCE_REMOVE;
	g_string_append_len(upstream->got, bytes, n);
	if (*upstream->answers == NULL)
		return G_SOURCE_CONTINUE;
	assert_true(send(fd, *upstream->answers, strlen(*upstream->answers),
			MSG_NOSIGNAL) >= 0);
	upstream->answers++;
	/* What was sent is read before a reset. */
	if (upstream->ending == RESET)
		g_usleep(20000);
	end_connection(upstream, fd);
	return upstream->ending == KEEP;
}

static gboolean
on_accept(gint fd, GIOCondition condition, gpointer data)
{
	struct upstream *upstream = data;
	int peer = accept(fd, NULL, NULL);

	(void)condition;
	upstream->accepted++;
	g_unix_fd_add(peer, G_IO_IN | G_IO_HUP, on_request, upstream);
	return G_SOURCE_CONTINUE;
}

static void
upstream_open(
    struct upstream *upstream, const char *const *answers, enum ending ending)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof(address);

	memset(upstream, 0, sizeof(*upstream));
	upstream->answers = answers;
	upstream->ending = ending;
	upstream->got = g_string_new(NULL);
	upstream->listener = socket(AF_INET, SOCK_STREAM, 0);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(upstream->listener, (struct sockaddr *)&address,
			     sizeof(address)),
	    0);
	assert_int_equal(listen(upstream->listener, 8), 0);
	getsockname(upstream->listener, (struct sockaddr *)&address, &len);
	upstream->port = ntohs(address.sin_port);
	g_snprintf(upstream->address, sizeof(upstream->address), "127.0.0.1:%u",
	    upstream->port);
	upstream->source =
	    g_unix_fd_add(upstream->listener, G_IO_IN, on_accept, upstream);
}

static void
upstream_close(struct upstream *upstream)
{
	g_source_remove(upstream->source);
	close(upstream->listener);
	g_string_free(upstream->got, TRUE);
}

static void
on_head(void *owner, const struct http_head *head)
{
	struct story *story = owner;

	g_string_append_printf(story->text, "%u", head->status);
	if (!story->cancel_at_head)
		return;
	exchange_cancel(story->exchange);
	g_string_append(story->text, " cancelled");
	g_main_loop_quit(story->loop);
}

static void
on_body(void *owner, const char *data, size_t len)
{
	struct story *story = owner;

	g_string_append_c(story->text, ' ');
	g_string_append_len(story->text, data, (gssize)len);
}

static void
on_complete(void *owner)
{
	struct story *story = owner;

	g_string_append(story->text, " complete");
	g_main_loop_quit(story->loop);
}

static void
on_failed(void *owner, enum exchange_failure failure)
{
	struct story *story = owner;

	g_string_append_printf(
	    story->text, " failed:%s", exchange_failure_name(failure));
	g_main_loop_quit(story->loop);
}

static const struct exchange_vtable vtable = {
    on_head, on_body, on_complete, on_failed};

/// Sends one request and gives the story of its answer.
static char *
ask(struct pool *pool, const char *address, const char *id, bool cancel)
{
	struct http_head head;
	struct story story = {
	    g_string_new(NULL), g_main_loop_new(NULL, FALSE), NULL, cancel};
	const struct exchange_options options = {
	    .vtable = &vtable,
	    .owner = &story,
	    .pool = pool,
	    .address = address,
	    .head = &head,
	    .body = "",
	    .echo_field = "Id",
	    .echo_value = id,
	};

	http_head_init(&head);
	head.method = g_strdup("GET");
	head.target = g_strdup("/");
	http_head_add(&head, "Id", id);
	story.exchange = exchange_start(&options);
	http_head_clear(&head);
	g_main_loop_run(story.loop);
	g_main_loop_unref(story.loop);
	return g_string_free(story.text, FALSE);
}

/// Checks the story of one request to an upstream.
static void
assert_answer(const char *answer, enum ending ending, const char *expected)
{
	const char *const answers[] = {answer, NULL};
	struct pool *pool = pool_new();
	struct upstream upstream;
	char *story;

	upstream_open(&upstream, answers, ending);
	story = ask(pool, upstream.address, "a", false);
	assert_string_equal(story, expected);
	g_free(story);
	pool_free(pool);
	upstream_close(&upstream);
}

static void
answers_are_told_as_they_end(void **state)
{
	(void)state;
	assert_answer("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nhi",
	    KEEP, "200 hi complete");
	assert_answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
		      "Content-Length: 2\r\n\r\nhi",
	    KEEP, "200 hi complete");
	assert_answer("HTTP/1.1 200 OK\r\n\r\nhi", FINISH, "200 hi complete");
	/* A reset is no end, whatever the framing. */
	assert_answer("HTTP/1.1 200 OK\r\n\r\nhi", RESET, "200 hi failed:cut");
	assert_answer(
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
	    FINISH, "200 hi failed:cut");
	assert_answer("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", FINISH,
	    "200 hi failed:cut");
	assert_answer("", FINISH, " failed:no-answer");
	assert_answer("rubbish\r\n\r\n", KEEP, " failed:garbled");
}

static void
a_closed_port_is_unreachable(void **state)
{
	const char *const answers[] = {NULL};
	struct pool *pool = pool_new();
	struct upstream upstream;
	char *story;

	(void)state;
	upstream_open(&upstream, answers, KEEP);
	upstream_close(&upstream);
	story = ask(pool, upstream.address, "a", false);
	assert_string_equal(story, " failed:unreachable");
	g_free(story);
	pool_free(pool);
}

/// The answer to an earlier request arrives where the next one's is due: it
/// is skipped, and the connection isn't used again.
static void
late_answers_are_skipped(void **state)
{
	const char *const answers[] = {
	    "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n"
	    "Keep-Alive: timeout=5\r\n\r\n1",
	    "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nlate"
	    "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n"
	    "Keep-Alive: timeout=5\r\n\r\n2",
	    "HTTP/1.1 200 OK\r\nId: c\r\nContent-Length: 1\r\n\r\n3", NULL};
	struct pool *pool = pool_new();
	struct upstream upstream;
	char *story;

	(void)state;
	upstream_open(&upstream, answers, KEEP);
	story = ask(pool, upstream.address, "a", false);
	assert_string_equal(story, "200 1 complete");
	g_free(story);
	story = ask(pool, upstream.address, "b", false);
	assert_string_equal(story, "200 2 complete");
	g_free(story);
	assert_int_equal(upstream.accepted, 1);
	story = ask(pool, upstream.address, "c", false);
	assert_string_equal(story, "200 3 complete");
	g_free(story);
	assert_int_equal(upstream.accepted, 2);
	pool_free(pool);
	upstream_close(&upstream);
}

/// Runs the loop until nothing is left to do, for a moment.
static void
settle(void)
{
	gint64 until = g_get_monotonic_time() + 50000;

	while (g_get_monotonic_time() < until)
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(1000);
}

/// A second answer after a complete one spoils the connection while it idles.
static void
extra_answers_spoil_a_connection(void **state)
{
	const char *const answers[] = {
	    "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n"
	    "Keep-Alive: timeout=5\r\n\r\n1HTTP/1.1 200 OK\r\nId: a\r\n"
	    "Content-Length: 1\r\n\r\n1",
	    "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\n2", NULL};
	struct pool *pool = pool_new();
	struct upstream upstream;
	char *story;

	(void)state;
	upstream_open(&upstream, answers, KEEP);
	story = ask(pool, upstream.address, "a", false);
	assert_string_equal(story, "200 1 complete");
	g_free(story);
	settle();
	assert_int_equal(pool_idle(pool, upstream.address), 0);
	story = ask(pool, upstream.address, "b", false);
	assert_string_equal(story, "200 2 complete");
	g_free(story);
	assert_int_equal(upstream.accepted, 2);
	pool_free(pool);
	upstream_close(&upstream);
}

/// Without a time in the answer a connection may be closed within a second;
/// it isn't kept for longer than a part of that.
static void
kept_connections_have_a_deadline(void **state)
{
	const char *const answers[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1",
	    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
	    "Connection: close\r\n\r\n2",
	    NULL};
	struct pool *pool = pool_new();
	struct upstream upstream;

	(void)state;
	upstream_open(&upstream, answers, KEEP);
	g_free(ask(pool, upstream.address, "a", false));
	assert_int_equal(pool_idle(pool, upstream.address), 1);
	pool_sweep(pool, g_get_monotonic_time() + USEC_PER_SEC);
	assert_int_equal(pool_idle(pool, upstream.address), 0);
	g_free(ask(pool, upstream.address, "a", false));
	assert_int_equal(pool_idle(pool, upstream.address), 0);
	assert_int_equal(pool_count(pool, upstream.address), 0);
	pool_free(pool);
	upstream_close(&upstream);
}

static void
cancelling_inside_a_callback_is_safe(void **state)
{
	const char *const answers[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", NULL};
	struct pool *pool = pool_new();
	struct upstream upstream;
	char *story;

	(void)state;
	upstream_open(&upstream, answers, KEEP);
	story = ask(pool, upstream.address, "a", true);
	assert_string_equal(story, "200 cancelled");
	g_free(story);
	settle();
	assert_int_equal(pool_count(pool, upstream.address), 0);
	pool_free(pool);
	upstream_close(&upstream);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(answers_are_told_as_they_end),
	    cmocka_unit_test(a_closed_port_is_unreachable),
	    cmocka_unit_test(late_answers_are_skipped),
	    cmocka_unit_test(extra_answers_spoil_a_connection),
	    cmocka_unit_test(kept_connections_have_a_deadline),
	    cmocka_unit_test(cancelling_inside_a_callback_is_safe),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
