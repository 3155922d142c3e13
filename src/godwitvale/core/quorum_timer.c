/* Queue of the quorum module's timers, ordered by due time. */
#include "godwitvale/core/quorum_private.h"

/// Compares two timers by due time.
///
/// @param left   a struct quorum_timer
/// @param right  a struct quorum_timer
/// @param data   unused
/// @return negative, 0 or positive, as g_sequence_insert_sorted() requires
static gint
compare_due_times(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct quorum_timer *first = left, *second = right;

	(void)data;
	return (first->due > second->due) - (first->due < second->due);
}

/// Sets a timer, or changes its due time.
///
/// @param quorum  quorum state that owns the timer queue
/// @param timer   timer whose kind and owner are filled in
/// @param due     due time in microseconds; USEC_NEVER leaves the timer unset
void
quorum_timer_set(struct quorum *quorum, struct quorum_timer *timer, usec_t due)
{
	quorum_timer_clear(timer);
	timer->due = due;
	if (due != USEC_NEVER)
		timer->iter = g_sequence_insert_sorted(
		    quorum->timers, timer, compare_due_times, NULL);
}

/// Removes a timer from the queue. Does nothing if the timer is not set.
///
/// @param timer  timer to remove; remains owned by the caller
void
quorum_timer_clear(struct quorum_timer *timer)
{
	if (timer->iter != NULL)
		g_sequence_remove(timer->iter);
	timer->iter = NULL;
}

/// Removes the earliest timer from the queue if it is due.
///
/// @param quorum  quorum state that owns the timer queue
/// @param now     current time, in microseconds
/// @return the timer, or NULL if no timer is due
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

/// Returns when the earliest timer is due.
///
/// @param quorum  quorum state that owns the timer queue
/// @return due time in microseconds; USEC_NEVER if no timer is set
usec_t
quorum_timer_next_due(const struct quorum *quorum)
{
	GSequenceIter *first = g_sequence_get_begin_iter(quorum->timers);
	const struct quorum_timer *timer;

	if (g_sequence_iter_is_end(first))
		return USEC_NEVER;
	timer = g_sequence_get(first);
	return timer->due;
}
