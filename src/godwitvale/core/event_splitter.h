/*
 * Splits a byte stream of server-sent events into complete events and parses
 * their ids, so that a relay forwards only complete events.
 */
#ifndef GODWITVALE_CORE_EVENT_SPLITTER_H
#define GODWITVALE_CORE_EVENT_SPLITTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/// Maximum length of an event in bytes; a longer one is an upstream error.
#define EVENT_BYTES_MAX (256 * 1024)

/// One complete event, including the empty line that ends it.
struct event {
	const char *bytes; /// valid during the callback
	size_t len;
	bool has_id; /// the event has an id that is a decimal number
	uint64_t id; /// valid if `has_id` is set
};

/// Handles one complete event.
///
/// @return false to stop the splitting
typedef bool (*event_handler)(void *owner, const struct event *event);

/// State of one stream; embedded by value.
struct event_splitter {
	GString *pending; /// bytes of an event that isn't complete yet
	/// number of leading bytes of `pending` that were searched for the end
	/// of the event, without finding it
	size_t scanned;
};

void event_splitter_init(struct event_splitter *splitter);
void event_splitter_clear(struct event_splitter *splitter);
void event_splitter_reset(struct event_splitter *splitter);
bool event_splitter_feed(struct event_splitter *splitter, const char *bytes,
    size_t len, event_handler handler, void *owner);
size_t event_splitter_pending_len(const struct event_splitter *splitter);
bool event_splitter_is_within_event(const struct event_splitter *splitter);

#endif
