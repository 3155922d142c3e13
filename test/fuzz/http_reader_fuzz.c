/*
 * Fuzz target for the HTTP reader, built with clang's libFuzzer by
 * "make fuzz SECONDS=60". The first byte of an input selects the size of the
 * pieces and whether the rest is parsed as responses or requests.
 */
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/http/reader.h"

/// Limits on heads and bodies, small enough for inputs to exceed them.
#define FUZZ_HEAD_MAX 512
#define FUZZ_BODY_MAX 256

static void
on_head(void *owner, struct http_reader *reader)
{
	(void)owner;
	g_assert(reader->head.fields != NULL);
}

static void
on_body(void *owner, const char *data, size_t len)
{
	(void)owner;
	(void)data;
	g_assert(len <= FUZZ_BODY_MAX);
}

static const struct http_reader_vtable vtable = {on_head, on_body};

/* libFuzzer requires this name. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/// Parses one input.
///
/// @param data  bytes of the input
/// @param size  length in bytes
/// @return 0, as libFuzzer requires
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct http_reader_options options = {.vtable = &vtable,
	    .max_head = FUZZ_HEAD_MAX,
	    .max_body = FUZZ_BODY_MAX};
	struct http_reader reader;
	size_t at = 1;
	size_t piece;

	if (size == 0)
		return 0;
	options.parse_responses = data[0] % 2 == 1;
	piece = data[0] / 2 + 1;
	http_reader_init(&reader, &options);
	while (at < size && reader.progress != HTTP_INVALID) {
		size_t len = MIN(piece, size - at);
		size_t consumed =
		    http_reader_feed(&reader, (const char *)data + at, len);

		g_assert(consumed <= len);
		at += consumed;
		if (reader.progress == HTTP_COMPLETE)
			http_reader_start_message(&reader);
		else if (consumed == 0)
			break;
	}
	http_reader_handle_eof(&reader);
	http_reader_clear(&reader);
	return 0;
}
