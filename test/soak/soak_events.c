/* Record of what happened to instances, workers, links and the store, so that
 * the checks can tell whose fault a lost response was. */
#include "test/soak/soak.h"

/// Records that something happens to a subject now.
///
/// @param soak     the run
/// @param subject  an enum soak_subject, plus the number of the instance or
///                 worker
/// @param harmed   whether the fault lasts until the subject's next event;
///                 false: it lasts a moment, or ends
void
soak_events_add(struct soak *soak, int subject, bool harmed)
{
	struct soak_event event = {
	    .at = g_get_monotonic_time(), .subject = subject, .harmed = harmed};

	g_array_append_val(soak->events, event);
}

/// Checks whether a subject was disturbed within a span.
///
/// @param soak     the run
/// @param subject  as in soak_events_add()
/// @param from     start of the span, on the monotonic clock
/// @param to       its end
/// @return whether something happened to it, or an earlier fault lasted
bool
soak_events_disturbed(
    const struct soak *soak, int subject, usec_t from, usec_t to)
{
	bool harmed = false;

	for (guint i = 0; i < soak->events->len; i++) {
		const struct soak_event *event =
		    &g_array_index(soak->events, struct soak_event, i);

		if (event->subject != subject || event->at > to)
			continue;
		if (event->at >= from)
			return true;
		harmed = event->harmed;
	}
	return harmed;
}

/// @param soak     the run
/// @param subject  as in soak_events_add()
/// @param to       on the monotonic clock
/// @return when something last happened to the subject by then; 0: never
usec_t
soak_events_last(const struct soak *soak, int subject, usec_t to)
{
	usec_t last = 0;

	for (guint i = 0; i < soak->events->len; i++) {
		const struct soak_event *event =
		    &g_array_index(soak->events, struct soak_event, i);

		if (event->subject == subject && event->at <= to)
			last = event->at;
	}
	return last;
}
