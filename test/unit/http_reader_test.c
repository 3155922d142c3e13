/*
 * Unit tests of the strict HTTP parser. Each test feeds bytes to a reader and
 * compares its callbacks and results, recorded as one line of text.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/http/reader.h"

#define HEAD_MAX 256
#define BODY_MAX 64

/// The callbacks and results of a reader, recorded as one line of text.
struct transcript {
	GString *text;
};

static void
on_head(void *owner, struct http_reader *reader)
{
	struct transcript *transcript = owner;
	const struct http_head *head = &reader->head;

	if (head->method != NULL)
		g_string_append_printf(
		    transcript->text, "%s %s", head->method, head->target);
	else
		g_string_append_printf(transcript->text, "%u", head->status);
	g_string_append(
	    transcript->text, head->keep_alive ? " keep" : " close");
}

static void
on_body(void *owner, const char *data, size_t len)
{
	struct transcript *transcript = owner;

	g_string_append_c(transcript->text, ' ');
	g_string_append_len(transcript->text, data, (gssize)len);
}

static const struct http_reader_vtable vtable = {on_head, on_body};

/// Appends the state of the current message.
static void
append_progress(struct transcript *transcript, const struct http_reader *reader)
{
	static const char *const faults[] = {
	    "", "syntax", "head-too-big", "body-too-big"};

	switch (reader->progress) {
	case HTTP_COMPLETE:
		g_string_append(transcript->text, ";");
		break;
	case HTTP_INVALID:
		g_string_append_printf(
		    transcript->text, "!%s", faults[reader->fault]);
		break;
	default:
		g_string_append(transcript->text, "...");
		break;
	}
}

/// Feeds bytes to a reader in pieces of a size and returns the transcript.
static char *
read_in_pieces(const char *bytes, size_t len, size_t piece,
    bool parse_responses, bool orderly_end)
{
	struct transcript transcript = {g_string_new(NULL)};
	struct http_reader reader;
	const struct http_reader_options options = {
	    .vtable = &vtable,
	    .owner = &transcript,
	    .parse_responses = parse_responses,
	    .max_head = HEAD_MAX,
	    .max_body = BODY_MAX,
	};
	size_t at = 0;

	http_reader_init(&reader, &options);
	while (at < len && reader.progress != HTTP_INVALID) {
		size_t end = MIN(at + piece, len);
		size_t consumed =
		    http_reader_feed(&reader, bytes + at, end - at);

		at += consumed;
		if (reader.progress == HTTP_COMPLETE) {
			g_string_append(transcript.text, ";");
			http_reader_start_message(&reader);
		}
	}
	if (orderly_end && http_reader_handle_eof(&reader))
		g_string_append(transcript.text, ";");
	else if (reader.progress != HTTP_AT_START)
		append_progress(&transcript, &reader);
	http_reader_clear(&reader);
	return g_string_free(transcript.text, FALSE);
}

/// Removes spaces, so that transcripts don't depend on where a body was split.
static char *
remove_spaces(const char *text)
{
	char **words = g_strsplit(text, " ", -1);
	char *joined = g_strjoinv("", words);

	g_strfreev(words);
	return joined;
}

/// Checks that bytes give the expected transcript for every size of pieces.
static void
assert_transcript(const char *bytes, size_t len, bool parse_responses,
    bool orderly_end, const char *expected)
{
	for (size_t piece = 1; piece <= len; piece++) {
		char *transcript = read_in_pieces(
		    bytes, len, piece, parse_responses, orderly_end);
		char *actual = remove_spaces(transcript);
		char *normalized_expected = remove_spaces(expected);

		if (strcmp(actual, normalized_expected) != 0)
			print_error("pieces of %zu: %s\n", piece, bytes);
		assert_string_equal(actual, normalized_expected);
		g_free(transcript);
		g_free(actual);
		g_free(normalized_expected);
	}
}

/// Input bytes and their expected transcript.
struct case_row {
	const char *bytes;
	const char *expected;
};

static void
valid_requests_are_parsed(void **state)
{
	static const struct case_row rows[] = {
	    {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / keep;"},
	    {"GET / HTTP/1.0\r\nHost: a\r\n\r\n", "GET / close;"},
	    {"GET / HTTP/1.1\r\nConnection: close\r\n\r\n", "GET / close;"},
	    {"\r\n\r\nGET /a HTTP/1.1\r\n\r\n", "GET /a keep;"},
	    {"POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
		"POST /x keep abc;"},
	    {"POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nab",
		"POST /x keep ab..."},
	    {"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "2\r\nab\r\n1;e=1\r\nc\r\n0\r\n\r\n",
		"POST /x keep abc;"},
	    {"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "1\r\na\r\n0\r\nTrailer: 1\r\n\r\n",
		"POST /x keep a;"},
	    {"POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\nxGET /b "
	     "HTTP/1.1\r\n\r\n",
		"POST /a keep x;GET /b keep;"},
	    {"GET / HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n"
	     "Content-Length: 2\r\n\r\nhi",
		"GET / keep hi;"},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		assert_transcript(rows[i].bytes, strlen(rows[i].bytes), false,
		    false, rows[i].expected);
}

static void
ambiguous_requests_are_rejected(void **state)
{
	static const struct case_row rows[] = {
	    /* Two lengths, a length with chunks, unsupported codings. */
	    {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: "
	     "1\r\n\r\na",
		"!syntax"},
	    {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: "
	     "2\r\n\r\nab",
		"!syntax"},
	    {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: "
	     "chunked\r\n\r\n0\r\n\r\n",
		"!syntax"},
	    {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		"!syntax"},
	    {"POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n",
		"!syntax"},
	    {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
		"!syntax"},
	    {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "!syntax"},
	    {"POST / HTTP/1.1\r\nContent-Length: 1 1\r\n\r\n", "!syntax"},
	    /* Bare CR or LF, folded lines, invalid names and start lines. */
	    {"GET / HTTP/1.1\nHost: a\n\r\n\r\n", "!syntax"},
	    {"GET / HTTP/1.1\r\nA: b\rc\r\n\r\n", "!syntax"},
	    {"GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", "!syntax"},
	    {"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", "!syntax"},
	    {"GET / HTTP/1.1\r\nA : b\r\n\r\n", "!syntax"},
	    {"GET / HTTP/1.1\r\n: b\r\n\r\n", "!syntax"},
	    {"GET / HTTP/1.1\r\nno colon\r\n\r\n", "!syntax"},
	    {"GET / HTTP/2.0\r\n\r\n", "!syntax"},
	    {"GET  / HTTP/1.1 x\r\n\r\n", "!syntax"},
	    {"nonsense\r\n\r\n", "!syntax"},
	    /* Invalid chunk sizes. */
	    {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
		"POST / keep!syntax"},
	    {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "fffffffffffffffff\r\n",
		"POST / keep!syntax"},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		assert_transcript(rows[i].bytes, strlen(rows[i].bytes), false,
		    false, rows[i].expected);
}

static void
size_limits_are_enforced(void **state)
{
	GString *head = g_string_new("GET / HTTP/1.1\r\nA: ");

	(void)state;
	while (head->len < HEAD_MAX + 10)
		g_string_append_c(head, 'x');
	g_string_append(head, "\r\n\r\n");
	assert_transcript(head->str, head->len, false, false, "!head-too-big");
	g_string_free(head, TRUE);
	assert_transcript("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", 39,
	    false, false, "!body-too-big");
}

static void
nul_bytes_are_rejected(void **state)
{
	static const char bytes[] = "GET / HTTP/1.1\r\nA: b\0c\r\n\r\n";

	(void)state;
	assert_transcript(bytes, sizeof(bytes) - 1, false, false, "!syntax");
}

static void
responses_end_as_framed(void **state)
{
	static const struct case_row rows[] = {
	    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "200 keep ab;"},
	    {"HTTP/1.1 204 No Content\r\n\r\n", "204 keep;"},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "1\r\na\r\n0\r\n\r\n",
		"200 keep a;"},
	    /* The end of the connection completes the response. */
	    {"HTTP/1.1 200 OK\r\n\r\nab", "200 close ab;"},
	    /* Truncated responses never complete. */
	    {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
		"200 keep ab..."},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "1\r\na\r\n",
		"200 keep a..."},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 503 "
	     "No\r\nContent-Length: 0\r\n\r\n",
		"200 keep a;503 keep;"},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		assert_transcript(rows[i].bytes, strlen(rows[i].bytes), true,
		    true, rows[i].expected);
}

/// Feeds random mutations of valid messages in pieces. The reader must return
/// from every call and never read past the bytes that it was given.
static void
mutated_messages_are_parsed_or_rejected(void **state)
{
	static const char *const seeds[] = {
	    "POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
	    "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "2\r\nab\r\n0\r\n\r\n",
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 204 "
	    "No\r\n\r\n",
	};
	GRand *rand = g_rand_new_with_seed(11);

	(void)state;
	for (int i = 0; i < 20000; i++) {
		const char *seed = seeds[i % (int)G_N_ELEMENTS(seeds)];
		size_t len = strlen(seed);
		char *bytes = g_memdup2(seed, len);
		char *transcript;

		for (int n = g_rand_int_range(rand, 1, 6); n > 0; n--)
			bytes[g_rand_int_range(rand, 0, (gint32)len)] =
			    (char)g_rand_int_range(rand, 0, 256);
		transcript = read_in_pieces(bytes, len,
		    (size_t)g_rand_int_range(rand, 1, 20), i % 3 == 2, true);
		assert_non_null(transcript);
		g_free(transcript);
		g_free(bytes);
	}
	g_rand_free(rand);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(valid_requests_are_parsed),
	    cmocka_unit_test(ambiguous_requests_are_rejected),
	    cmocka_unit_test(size_limits_are_enforced),
	    cmocka_unit_test(nul_bytes_are_rejected),
	    cmocka_unit_test(responses_end_as_framed),
	    cmocka_unit_test(mutated_messages_are_parsed_or_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
