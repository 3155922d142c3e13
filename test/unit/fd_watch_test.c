/* Unit tests of the watches of file descriptors. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>
#include <sys/socket.h>

#include "godwitvale/http/conn.h"
#include "godwitvale/http/fd_watch.h"

/// Idle connections in the test of the loop's cost.
#define N_IDLE 100

/// A watched end of a socket pair, and what its handler is to do.
struct watched {
	int fds[2];
	fd_watch watch;
	unsigned n_calls;
	GIOCondition events;
	struct watched *removes; /// watch that the handler removes
};

static void
on_event(GIOCondition events, void *owner)
{
	struct watched *watched = owner;
	char byte;

	watched->n_calls++;
	watched->events = events;
	if (events & G_IO_IN)
		assert_int_equal(read(watched->fds[0], &byte, 1) >= 0, 1);
	if (watched->removes != NULL)
		fd_watch_remove(watched->removes->watch);
}

static void
open_watched(struct watched *watched, GIOCondition events)
{
	*watched = (struct watched){0};
	assert_int_equal(
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, watched->fds),
	    0);
	watched->watch =
	    fd_watch_add(watched->fds[0], events, on_event, watched);
}

static void
close_watched(struct watched *watched)
{
	fd_watch_remove(watched->watch);
	close(watched->fds[0]);
	close(watched->fds[1]);
}

static void
run_loop(void)
{
	for (int i = 0; i < 10; i++)
		g_main_context_iteration(NULL, false);
}

static void
handler_is_called_for_its_events(void **state)
{
	struct watched watched;

	(void)state;
	open_watched(&watched, G_IO_IN);
	run_loop();
	assert_int_equal(watched.n_calls, 0);
	assert_int_equal(write(watched.fds[1], "x", 1), 1);
	run_loop();
	assert_int_equal(watched.n_calls, 1);
	assert_int_equal(watched.events, G_IO_IN);
	fd_watch_set_events(watched.watch, G_IO_OUT);
	run_loop();
	assert_int_equal(watched.events, G_IO_OUT);
	fd_watch_set_events(watched.watch, 0);
	watched.n_calls = 0;
	run_loop();
	assert_int_equal(watched.n_calls, 0);
	close_watched(&watched);
}

/// Two descriptors have events at once, and the first handler removes the
/// other's watch.
static void
removed_watch_is_not_called(void **state)
{
	struct watched first;
	struct watched second;

	(void)state;
	open_watched(&first, G_IO_IN);
	open_watched(&second, G_IO_IN);
	first.removes = &second;
	second.removes = &first;
	assert_int_equal(write(first.fds[1], "x", 1), 1);
	assert_int_equal(write(second.fds[1], "x", 1), 1);
	run_loop();
	assert_int_equal(first.n_calls + second.n_calls, 1);
	close_watched(&first);
	close_watched(&second);
}

/// A handle doesn't reach a later watch of the same descriptor.
static void
old_handle_does_not_reach_a_new_watch(void **state)
{
	struct watched watched;
	fd_watch old;

	(void)state;
	open_watched(&watched, G_IO_IN);
	old = watched.watch;
	fd_watch_remove(old);
	watched.watch =
	    fd_watch_add(watched.fds[0], G_IO_IN, on_event, &watched);
	fd_watch_remove(old);
	assert_int_equal(write(watched.fds[1], "x", 1), 1);
	run_loop();
	assert_int_equal(watched.n_calls, 1);
	close_watched(&watched);
}

static void
ignore_bytes(void *owner, const char *data, size_t len)
{
	(void)owner;
	(void)data;
	(void)len;
}

static void
ignore_end(void *owner, enum conn_end end)
{
	(void)owner;
	(void)end;
}

/// Idle connections don't make a wake-up of the loop longer.
static void
idle_connections_share_a_source(void **state)
{
	static const struct conn_vtable vtable = {
	    .received = ignore_bytes, .ended = ignore_end};
	struct conn *conns[N_IDLE];
	int peers[N_IDLE];
	GMainContext *context = g_main_context_default();
	GPollFD polled[2 * N_IDLE];
	gint timeout;
	gint priority;

	(void)state;
	for (int i = 0; i < N_IDLE; i++) {
		int fds[2];

		assert_int_equal(
		    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds),
		    0);
		conns[i] = conn_adopt(fds[0], &vtable, NULL);
		peers[i] = fds[1];
	}
	assert_true(g_main_context_acquire(context));
	g_main_context_prepare(context, &priority);
	assert_in_range(g_main_context_query(context, priority, &timeout,
			    polled, G_N_ELEMENTS(polled)),
	    1, 3);
	g_main_context_release(context);
	for (int i = 0; i < N_IDLE; i++) {
		conn_close(conns[i]);
		close(peers[i]);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(handler_is_called_for_its_events),
	    cmocka_unit_test(removed_watch_is_not_called),
	    cmocka_unit_test(old_handle_does_not_reach_a_new_watch),
	    cmocka_unit_test(idle_connections_share_a_source),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
