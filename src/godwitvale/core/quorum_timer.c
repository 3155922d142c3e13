/* Timers of the quorum part, ordered by when they are due. */
#include "godwitvale/core/quorum_private.h"

/// Orders two timers by when they are due.
///
/// @param left   a struct quorum_timer
/// @param right  a struct quorum_timer
/// @param data   unused
/// @return below, at or above 0, as g_sequence_insert_sorted() wants it
static gint
compare(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct quorum_timer *first = left, *second = right;

	(void)data;
	return (first->due > second->due) - (first->due < second->due);
}

/// Sets a timer, or moves it.
///
/// @param quorum  the instance's part
/// @param timer   with kind and owner filled in
/// @param due     when it is to run; USEC_NEVER: not at all
void
quorum_timer_set(struct quorum *quorum, struct quorum_timer *timer, usec_t due)
{
	quorum_timer_clear(timer);
	timer->due = due;
	if (due != USEC_NEVER)
		timer->iter = g_sequence_insert_sorted(
		    quorum->timers, timer, compare, NULL);
}

/// Takes a timer out, if it is set.
///
/// @param timer  the timer
void
quorum_timer_clear(struct quorum_timer *timer)
{
	if (timer->iter != NULL)
		g_sequence_remove(timer->iter);
	timer->iter = NULL;
}

/// Takes out the first timer that is due.
///
/// @param quorum  the instance's part
/// @param now     current time
/// @return the timer, or NULL where none is due
struct quorum_timer *
quorum_timer_pop(struct quorum *quorum, usec_t now)
{
	GSequenceIter *first = g_sequence_get_begin_iter(quorum->timers);
	struct quorum_timer *timer;

	if (g_sequence_iter_is_end(first))
		return NULL;
	timer = g_sequence_get(first);
	if (timer->due > now)
		return NULL;
	quorum_timer_clear(timer);
	return timer;
}

/// Tells when the first timer is due.
///
/// @param quorum  the instance's part
/// @return that point in time, or USEC_NEVER
usec_t
quorum_timer_next(const struct quorum *quorum)
{
	GSequenceIter *first = g_sequence_get_begin_iter(quorum->timers);
	const struct quorum_timer *timer;

	if (g_sequence_iter_is_end(first))
		return USEC_NEVER;
	timer = g_sequence_get(first);
	return timer->due;
}
