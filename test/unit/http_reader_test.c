/* Unit tests of the strict reading of HTTP messages: bytes in, a line out. */
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

/// What a reader told, as one line of text.
struct story {
	GString *text;
};

static void
on_head(void *owner, struct http_reader *reader)
{
	struct story *story = owner;
	const struct http_head *head = &reader->head;

	if (head->method != NULL)
		g_string_append_printf(
		    story->text, "%s %s", head->method, head->target);
	else
		g_string_append_printf(story->text, "%u", head->status);
	g_string_append(story->text, head->keep_alive ? " keep" : " close");
}

static void
on_body(void *owner, const char *data, size_t len)
{
	struct story *story = owner;

	g_string_append_c(story->text, ' ');
	g_string_append_len(story->text, data, (gssize)len);
}

static const struct http_reader_vtable vtable = {on_head, on_body};

/// Ends a message's story.
static void
tell_progress(struct story *story, const struct http_reader *reader)
{
	static const char *const faults[] = {
	    "", "syntax", "head-too-big", "body-too-big"};

	switch (reader->progress) {
	case HTTP_COMPLETE:
		g_string_append(story->text, ";");
		break;
	case HTTP_BROKEN:
		g_string_append_printf(
		    story->text, "!%s", faults[reader->fault]);
		break;
	default:
		g_string_append(story->text, "...");
		break;
	}
}

/// Reads bytes in pieces and gives the story.
static char *
read_in_pieces(const char *bytes, size_t len, size_t piece, bool responses,
    bool orderly_end)
{
	struct story story = {g_string_new(NULL)};
	struct http_reader reader;
	const struct http_reader_options options = {
	    .vtable = &vtable,
	    .owner = &story,
	    .responses = responses,
	    .max_head = HEAD_MAX,
	    .max_body = BODY_MAX,
	};
	size_t at = 0;

	http_reader_init(&reader, &options);
	while (at < len && reader.progress != HTTP_BROKEN) {
		size_t end = MIN(at + piece, len);
		size_t taken = http_reader_feed(&reader, bytes + at, end - at);

		at += taken;
		if (reader.progress == HTTP_COMPLETE) {
			g_string_append(story.text, ";");
			http_reader_next(&reader);
		}
	}
	if (orderly_end && http_reader_end(&reader))
		g_string_append(story.text, ";");
	else if (reader.progress != HTTP_AT_START)
		tell_progress(&story, &reader);
	http_reader_clear(&reader);
	return g_string_free(story.text, FALSE);
}

/// Joins pieces of a body, which come apart where bytes do.
static char *
without_blanks(const char *text)
{
	char **words = g_strsplit(text, " ", -1);
	char *joined = g_strjoinv("", words);

	g_strfreev(words);
	return joined;
}

/// Checks that bytes tell a story, however they come apart.
static void
assert_story(const char *bytes, size_t len, bool responses, bool orderly_end,
    const char *expected)
{
	for (size_t piece = 1; piece <= len; piece++) {
		char *story =
		    read_in_pieces(bytes, len, piece, responses, orderly_end);
		char *got = without_blanks(story);
		char *wanted = without_blanks(expected);

		if (strcmp(got, wanted) != 0)
			print_error("pieces of %zu: %s\n", piece, bytes);
		assert_string_equal(got, wanted);
		g_free(story);
		g_free(got);
		g_free(wanted);
	}
}

/// One text and its story.
struct case_row {
	const char *bytes;
	const char *expected;
};

static void
requests_are_read(void **state)
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
		assert_story(rows[i].bytes, strlen(rows[i].bytes), false, false,
		    rows[i].expected);
}

static void
doubtful_requests_are_refused(void **state)
{
	static const struct case_row rows[] = {
	    /* Two lengths, or a length beside chunks. */
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
	    /* Bare line ends, folded lines, names with blanks. */
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
	    /* Chunks that are none. */
	    {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
		"POST / keep!syntax"},
	    {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "fffffffffffffffff\r\n",
		"POST / keep!syntax"},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		assert_story(rows[i].bytes, strlen(rows[i].bytes), false, false,
		    rows[i].expected);
}

static void
limits_hold(void **state)
{
	GString *head = g_string_new("GET / HTTP/1.1\r\nA: ");

	(void)state;
	while (head->len < HEAD_MAX + 10)
		g_string_append_c(head, 'x');
	g_string_append(head, "\r\n\r\n");
	assert_story(head->str, head->len, false, false, "!head-too-big");
	g_string_free(head, TRUE);
	assert_story("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", 39, false,
	    false, "!body-too-big");
}

static void
nul_bytes_are_refused(void **state)
{
	static const char bytes[] = "GET / HTTP/1.1\r\nA: b\0c\r\n\r\n";

	(void)state;
	assert_story(bytes, sizeof(bytes) - 1, false, false, "!syntax");
}

static void
answers_end_as_they_are_framed(void **state)
{
	static const struct case_row rows[] = {
	    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "200 keep ab;"},
	    {"HTTP/1.1 204 No Content\r\n\r\n", "204 keep;"},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "1\r\na\r\n0\r\n\r\n",
		"200 keep a;"},
	    /* The end of the connection is the end of the answer. */
	    {"HTTP/1.1 200 OK\r\n\r\nab", "200 close ab;"},
	    /* Cut in the middle: never complete. */
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
		assert_story(rows[i].bytes, strlen(rows[i].bytes), true, true,
		    rows[i].expected);
}

/// Whatever comes, the reader neither reads past what it got nor stops
/// telling: mutations of sound messages, in pieces.
static void
random_bytes_are_read_or_refused(void **state)
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
		char *story;

		for (int n = g_rand_int_range(rand, 1, 6); n > 0; n--)
			bytes[g_rand_int_range(rand, 0, (gint32)len)] =
			    (char)g_rand_int_range(rand, 0, 256);
		story = read_in_pieces(bytes, len,
		    (size_t)g_rand_int_range(rand, 1, 20), i % 3 == 2, true);
		assert_non_null(story);
		g_free(story);
		g_free(bytes);
	}
	g_rand_free(rand);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(requests_are_read),
	    cmocka_unit_test(doubtful_requests_are_refused),
	    cmocka_unit_test(limits_hold),
	    cmocka_unit_test(nul_bytes_are_refused),
	    cmocka_unit_test(answers_end_as_they_are_framed),
	    cmocka_unit_test(random_bytes_are_read_or_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
