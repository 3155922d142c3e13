/* Unit tests of the structured log on standard error. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/ops/log.h"

/// Redirects standard error to a file.
///
/// @return descriptor of the original standard error, for capture_end()
static int
capture_start(FILE *file)
{
	int saved = dup(STDERR_FILENO);

	fflush(stderr);
	assert_true(dup2(fileno(file), STDERR_FILENO) >= 0);
	return saved;
}

/// Restores standard error and returns the captured text; closes the file.
static char *
capture_end(FILE *file, int saved)
{
	char *text = g_malloc0(16384);

	fflush(stderr);
	dup2(saved, STDERR_FILENO);
	close(saved);
	rewind(file);
	(void)!fread(text, 1, 16383, file);
	fclose(file);
	return text;
}

static void
writes_one_line_per_event(void **state)
{
	FILE *file = tmpfile();
	int saved = capture_start(file);
	char *text;

	(void)state;
	assert_true(log_open("e 1", LOG_LEVEL_INFO));
	log_event(LOG_LEVEL_INFO, "start", "port=%d zone=%s", 80, "bilbao");
	log_event(LOG_LEVEL_DEBUG, "hidden", "%s", "");
	log_event(LOG_LEVEL_WARN, "bare", "%s", "");
	log_close();
	log_event(LOG_LEVEL_ERROR, "closed", "%s", "");
	text = capture_end(file, saved);
	assert_true(g_regex_match_simple(
	    "^time=[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}:[0-9]{2}"
	    "\\.[0-9]{3}Z level=info instance=\"e 1\" event=start port=80 "
	    "zone=bilbao\ntime=[^ ]+ level=warn instance=\"e 1\" event=bare\n$",
	    text, G_REGEX_DEFAULT, G_REGEX_MATCH_DEFAULT));
	g_free(text);
}

static void
quotes_values_where_needed(void **state)
{
	static const struct {
		const char *value;
		const char *quoted;
	} cases[] = {
	    {"plain-1.2", "plain-1.2"},
	    {"", "\"\""},
	    {"two words", "\"two words\""},
	    {"a=b", "\"a=b\""},
	    {"say \"x\"\\", "\"say \\\"x\\\"\\\\\""},
	    {"a\nevent=forged", "\"a\\nevent=forged\""},
	    {"\x01", "\"\\x01\""},
	};
	char buffer[LOG_VALUE_BYTES];

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_string_equal(
		    log_quote_value(cases[i].value, buffer), cases[i].quoted);
}

static void
keeps_an_event_on_one_line(void **state)
{
	FILE *file = tmpfile();
	int saved = capture_start(file);
	char *large = g_strnfill(8000, 'x');
	char quoted[LOG_VALUE_BYTES];
	char **lines;
	char *text;

	(void)state;
	assert_true(log_open("e1", LOG_LEVEL_INFO));
	log_event(LOG_LEVEL_INFO, "raw", "text=%s", "a\nevent=forged");
	log_event(LOG_LEVEL_INFO, "long", "text=%s", large);
	log_event(
	    LOG_LEVEL_INFO, "cut", "text=%s", log_quote_value(large, quoted));
	log_close();
	text = capture_end(file, saved);
	assert_null(strstr(text, "\nevent=forged"));
	assert_int_equal(text[strlen(text) - 1], '\n');
	lines = g_strsplit(text, "\n", -1);
	assert_int_equal(g_strv_length(lines), 4);
	g_strfreev(lines);
	g_free(large);
	g_free(text);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(writes_one_line_per_event),
	    cmocka_unit_test(quotes_values_where_needed),
	    cmocka_unit_test(keeps_an_event_on_one_line),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
