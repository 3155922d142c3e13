/*
 * Watches many file descriptors with one source of the main loop. The loop
 * visits each of its sources at each wake-up; most connections are idle then.
 */
#ifndef GODWITVALE_HTTP_FD_WATCH_H
#define GODWITVALE_HTTP_FD_WATCH_H

#include <stdint.h>

#include <glib.h>

/// Handle of a watch; 0: none.
typedef uint64_t fd_watch;

/// Called while any of the watched events is present, and on errors and
/// hang-ups, which are always watched.
typedef void (*fd_watch_handler)(GIOCondition events, void *owner);

fd_watch fd_watch_add(
    int fd, GIOCondition events, fd_watch_handler handler, void *owner);
void fd_watch_set_events(fd_watch watch, GIOCondition events);
void fd_watch_remove(fd_watch watch);

#endif
