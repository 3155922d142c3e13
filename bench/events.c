/* A binary heap of events. */
#include "events.h"

#include <glib.h>

struct events {
	GArray *heap; /// struct event
	uint64_t serial;
};

static bool
before(const struct event *a, const struct event *b)
{
	return a->at != b->at ? a->at < b->at : a->serial < b->serial;
}

struct events *
events_new(void)
{
	struct events *events = g_new0(struct events, 1);

	events->heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	return events;
}

void
events_free(struct events *events)
{
	g_array_free(events->heap, TRUE);
	g_free(events);
}

void
events_push(struct events *events, const struct event *event)
{
	struct event new_event = *event;
	struct event *heap;
	guint at = events->heap->len;

	new_event.serial = events->serial++;
	g_array_append_val(events->heap, new_event);
	heap = (struct event *)events->heap->data;
	while (at > 0 && before(&new_event, &heap[(at - 1) / 2])) {
		heap[at] = heap[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	heap[at] = new_event;
}

bool
events_pop(struct events *events, struct event *event)
{
	struct event *heap = (struct event *)events->heap->data;
	guint n = events->heap->len;
	struct event last;
	guint at = 0;

	if (n == 0)
		return false;
	*event = heap[0];
	last = heap[--n];
	g_array_set_size(events->heap, n);
	for (guint child = 1; child < n; child = 2 * at + 1) {
		if (child + 1 < n && before(&heap[child + 1], &heap[child]))
			child++;
		if (!before(&heap[child], &last))
			break;
		heap[at] = heap[child];
		at = child;
	}
	if (n > 0)
		heap[at] = last;
	return true;
}
