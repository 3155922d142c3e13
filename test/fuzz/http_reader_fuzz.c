/*
 * Fuzz target on the seam of the HTTP reader, for clang's libFuzzer:
 * make fuzz SECONDS=60. The first byte chooses the size of pieces and whether
 * the rest is read as responses.
 */
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/http/reader.h"

/// Bounds on heads and bodies, small so that they are reached.
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

/* The name that libFuzzer calls. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/// Reads one input.
///
/// @param data  bytes
/// @param size  how many
/// @return 0
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
	options.responses = data[0] % 2 == 1;
	piece = data[0] / 2 + 1;
	http_reader_init(&reader, &options);
	while (at < size && reader.progress != HTTP_BROKEN) {
		size_t len = MIN(piece, size - at);
		size_t taken =
		    http_reader_feed(&reader, (const char *)data + at, len);

		g_assert(taken <= len);
		at += taken;
		if (reader.progress == HTTP_COMPLETE)
			http_reader_next(&reader);
		else if (taken == 0)
			break;
	}
	http_reader_end(&reader);
	http_reader_clear(&reader);
	return 0;
}
