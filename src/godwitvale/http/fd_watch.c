/* Watches many file descriptors with one source of the main loop. */
#include "godwitvale/http/fd_watch.h"

#include <errno.h>

#include <glib-unix.h>
#include <sys/epoll.h>

#include "godwitvale/ops/log.h"

/// Maximum number of descriptors that are handled before the loop's other
/// sources have their turn.
#define EVENTS_PER_WAKEUP 64
/// Number of bits of a handle that hold the descriptor; the others hold the
/// number of the watch, so that a handle isn't valid for a later watch of the
/// same descriptor.
#define FD_BITS 32

/// One watched descriptor.
struct entry {
	fd_watch watch; /// 0: not watched
	fd_watch_handler handler;
	void *owner;
};

/// All watches of this process.
static struct {
	int epoll_fd;
	GArray *entries;    /// struct entry, by descriptor; NULL: not open yet
	uint64_t n_watches; /// added so far
} watches;

/// Finds the entry of a watch.
///
/// @return the entry; NULL if the watch has been removed
static struct entry *
find_entry(fd_watch watch)
{
	guint fd = (guint)(watch & G_MAXUINT32);
	struct entry *entry;

	if (watch == 0 || fd >= watches.entries->len)
		return NULL;
	entry = &g_array_index(watches.entries, struct entry, fd);
	return entry->watch == watch ? entry : NULL;
}

/// Loop callback: some of the descriptors have events.
static gboolean
on_events(gint fd, GIOCondition condition, gpointer data)
{
	struct epoll_event events[EVENTS_PER_WAKEUP];
	int n = epoll_wait(fd, events, EVENTS_PER_WAKEUP, 0);

	(void)condition;
	(void)data;
	for (int i = 0; i < n; i++) {
		/* An earlier handler may have removed the watch. */
		const struct entry *entry = find_entry(events[i].data.u64);

		if (entry != NULL)
			entry->handler(
			    (GIOCondition)events[i].events, entry->owner);
	}
	return G_SOURCE_CONTINUE;
}

/// Creates the set of descriptors and its source of the main loop.
static void
open_watches(void)
{
	watches.entries = g_array_new(false, true, sizeof(struct entry));
	watches.epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (watches.epoll_fd < 0)
		g_error("epoll_create1: %s", g_strerror(errno));
	g_unix_fd_add(watches.epoll_fd, G_IO_IN, on_events, NULL);
}

/// Adds a descriptor to the set, or changes its events.
///
/// @param operation  EPOLL_CTL_ADD or EPOLL_CTL_MOD
static void
control(int operation, int fd, GIOCondition events, fd_watch watch)
{
	struct epoll_event event = {
	    .events = (uint32_t)events, .data.u64 = watch};

	if (epoll_ctl(watches.epoll_fd, operation, fd, &event) != 0)
		log_event(LOG_LEVEL_ERROR, "fd-watch-failed",
		    "fd=%d operation=%d reason=\"%s\"", fd, operation,
		    g_strerror(errno));
}

/// Starts to watch a descriptor.
///
/// @param fd       open descriptor that isn't watched
/// @param events   poll events
/// @param handler  called from the main loop
/// @param owner    passed to the handler
/// @return handle of the watch; remove it before the descriptor is closed
fd_watch
fd_watch_add(int fd, GIOCondition events, fd_watch_handler handler, void *owner)
{
	fd_watch watch;

	if (watches.entries == NULL)
		open_watches();
	if ((guint)fd >= watches.entries->len)
		g_array_set_size(watches.entries, (guint)fd + 1);
	watch = ++watches.n_watches << FD_BITS | (uint32_t)fd;
	g_array_index(watches.entries, struct entry, fd) =
	    (struct entry){watch, handler, owner};
	control(EPOLL_CTL_ADD, fd, events, watch);
	return watch;
}

/// Changes the events that a watch waits for.
///
/// @param watch   handle of a watch; one that was removed is ignored
/// @param events  poll events
void
fd_watch_set_events(fd_watch watch, GIOCondition events)
{
	if (find_entry(watch) != NULL)
		control(
		    EPOLL_CTL_MOD, (int)(watch & G_MAXUINT32), events, watch);
}

/// Stops to watch a descriptor. The handler isn't called any more.
///
/// @param watch  handle of a watch; one that was removed is ignored
void
fd_watch_remove(fd_watch watch)
{
	struct entry *entry = find_entry(watch);

	if (entry == NULL)
		return;
	epoll_ctl(
	    watches.epoll_fd, EPOLL_CTL_DEL, (int)(watch & G_MAXUINT32), NULL);
	*entry = (struct entry){0};
}
