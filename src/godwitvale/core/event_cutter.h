/*
 * Cuts a stream of server-sent events at the ends of events, so that only
 * whole events are passed on, and reads their ids.
 */
#ifndef GODWITVALE_CORE_EVENT_CUTTER_H
#define GODWITVALE_CORE_EVENT_CUTTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/// Longest event, in bytes; a longer one is an error of the upstream.
#define EVENT_BYTES_MAX (256 * 1024)

/// One whole event, with the empty line that ends it.
struct event {
	const char *bytes; /// valid during the callback
	size_t len;
	bool has_id;
	uint64_t id;
};

/// Told of each event; false stops the cutting.
typedef bool (*event_handler)(void *owner, const struct event *event);

/// State of one stream's cutting; embedded by value.
struct event_cutter {
	GString *pending; /// bytes of an event that isn't whole yet
	size_t scanned;   /// of them, known not to end the event
};

void event_cutter_init(struct event_cutter *cutter);
void event_cutter_clear(struct event_cutter *cutter);
void event_cutter_restart(struct event_cutter *cutter);
bool event_cutter_feed(struct event_cutter *cutter, const char *bytes,
    size_t len, event_handler handler, void *owner);
size_t event_cutter_rest(const struct event_cutter *cutter);

#endif
