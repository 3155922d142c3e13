/* Server-sent events of an engine, cut out of the bytes of a stream. */
#ifndef GODWITVALE_UPSTREAM_SSE_H
#define GODWITVALE_UPSTREAM_SSE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/// Longest event, in bytes; a longer one is an error of the upstream.
#define SSE_EVENT_BYTES_MAX (256 * 1024)

enum sse_type { SSE_TOKEN = 1, SSE_END, SSE_MARK };

/// One event; its data is valid during the callback only.
struct sse_event {
	enum sse_type type; /// SSE_MARK: one without an id
	uint64_t generation;
	uint32_t offset; /// SSE_END: tokens in all
	const char *data;
	size_t data_len;
};

/// Called for each event; false stops the parsing.
typedef bool (*sse_handler)(const struct sse_event *event, void *context);

/// State of one stream's parsing; embedded by value.
struct sse_parser {
	GString *line;
	GString *data;
	struct sse_event event;
	bool has_id;
	bool is_end;
};

void sse_init(struct sse_parser *parser);
void sse_clear(struct sse_parser *parser);
bool sse_feed(struct sse_parser *parser, const char *bytes, size_t len,
    sse_handler handler, void *context);

#endif
