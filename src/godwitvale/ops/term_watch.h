/*
 * Watches for SIGTERM, and tells how late the process notices it.
 *
 * A process that is busy or was stopped handles a signal later than it was
 * sent. The main loop looks for the signal at each turn; the last time at which
 * it hadn't come is known. What must happen within a time after the signal is
 * counted from there.
 */
#ifndef GODWITVALE_OPS_TERM_WATCH_H
#define GODWITVALE_OPS_TERM_WATCH_H

#include "godwitvale/core/time_defs.h"

struct term_watch;

/// Called once, in the main loop.
///
/// @param owner       as passed to term_watch_new()
/// @param not_before  the signal came later than this
typedef void (*term_watch_handler)(void *owner, usec_t not_before);

struct term_watch *term_watch_new(term_watch_handler handler, void *owner);
void term_watch_free(struct term_watch *watch);

#endif
