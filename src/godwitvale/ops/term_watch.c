/* Watches for SIGTERM. */
#include "godwitvale/ops/term_watch.h"

#include <errno.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <unistd.h>

#include <sys/eventfd.h>

#include <glib.h>

/// Source of the main loop that becomes ready when the signal has come.
struct term_source {
	GSource source;
	usec_t clear_at; /// the signal hadn't come yet
	bool is_handled;
};

struct term_watch {
	struct term_source *source;
	term_watch_handler handler;
	void *owner;
};

/// Whether the signal has come.
static volatile sig_atomic_t has_come;
/// Wakes the main loop from the signal handler.
static int wake_fd = -1;

/// Signal handler.
static void
on_signal(int number)
{
	const uint64_t one = 1;
	int saved_errno = errno;

	(void)number;
	has_come = 1;
	(void)!write(wake_fd, &one, sizeof(one));
	errno = saved_errno;
}

/// Source callback: a turn of the loop begins. The clock is read first, so that
/// the signal can't have come before the time that is noted.
static gboolean
prepare(GSource *base, gint *timeout)
{
	struct term_source *source = (struct term_source *)base;
	usec_t now = g_get_monotonic_time();

	*timeout = -1;
	if (has_come != 0)
		return !source->is_handled;
	source->clear_at = now;
	return false;
}

/// Source callback: the loop has polled.
static gboolean
check(GSource *base)
{
	const struct term_source *source = (const struct term_source *)base;

	return has_come != 0 && !source->is_handled;
}

/// Source callback: the signal has come, or comes again.
static gboolean
dispatch(GSource *base, GSourceFunc callback, gpointer data)
{
	struct term_source *source = (struct term_source *)base;
	const struct term_watch *watch = data;
	uint64_t count;

	(void)callback;
	(void)!read(wake_fd, &count, sizeof(count));
	/* The signal may come again. */
	if (source->is_handled)
		return G_SOURCE_CONTINUE;
	source->is_handled = true;
	watch->handler(watch->owner, source->clear_at);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_functions = {
    .prepare = prepare,
    .check = check,
    .dispatch = dispatch,
};

/// Begins to watch for SIGTERM. There may be one watch in a process.
///
/// @param handler  called by the default main loop
/// @param owner    passed to the handler
/// @return the watch; free with term_watch_free()
struct term_watch *
term_watch_new(term_watch_handler handler, void *owner)
{
	struct term_watch *watch = g_new0(struct term_watch, 1);
	const struct sigaction action = {
	    .sa_handler = on_signal, .sa_flags = SA_RESTART};

	g_assert(wake_fd < 0);
	wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (wake_fd < 0)
		g_error("eventfd: %s", g_strerror(errno));
	watch->handler = handler;
	watch->owner = owner;
	watch->source = (struct term_source *)g_source_new(
	    &source_functions, sizeof(struct term_source));
	watch->source->clear_at = g_get_monotonic_time();
	g_source_add_unix_fd(&watch->source->source, wake_fd, G_IO_IN);
	g_source_set_priority(&watch->source->source, G_PRIORITY_HIGH);
	g_source_set_callback(&watch->source->source, NULL, watch, NULL);
	g_source_attach(&watch->source->source, NULL);
	sigaction(SIGTERM, &action, NULL);
	return watch;
}

/// Ends a watch. SIGTERM is ignored from then on.
///
/// @param watch  not NULL
void
term_watch_free(struct term_watch *watch)
{
	signal(SIGTERM, SIG_IGN);
	g_source_destroy(&watch->source->source);
	g_source_unref(&watch->source->source);
	close(wake_fd);
	wake_fd = -1;
	g_free(watch);
}
