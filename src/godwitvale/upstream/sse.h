/* Incremental parser of the server-sent events of an engine. */
#ifndef GODWITVALE_UPSTREAM_SSE_H
#define GODWITVALE_UPSTREAM_SSE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/// Limit on the size of an event, in bytes. A longer event is an error.
#define SSE_EVENT_BYTES_MAX (256 * 1024)

enum sse_type { SSE_TOKEN = 1, SSE_END, SSE_NO_ID };

/// One event. Its data is valid only while the handler runs.
struct sse_event {
	enum sse_type type;  /// SSE_NO_ID: an event without an id
	uint64_t generation; /// identifier of the run of the model
	uint32_t offset; /// index of the token; SSE_END: total number of tokens
	const char *data;
	size_t data_len;
};

/// Called for each event. Returns false to stop parsing.
typedef bool (*sse_handler)(const struct sse_event *event, void *context);

/// Parser state of one stream. Embedded by value.
struct sse_parser {
	GString *line; /// incomplete line
	GString *data; /// data of the incomplete event
	struct sse_event event;
	bool has_id;
	bool is_end;
};

void sse_init(struct sse_parser *parser);
void sse_clear(struct sse_parser *parser);
bool sse_feed(struct sse_parser *parser, const char *bytes, size_t len,
    sse_handler handler, void *context);

#endif
