/* Unit tests of the settings and of the strict JSON parser that they use. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "godwitvale/ops/settings.h"

#define EXAMPLE "examples/settings.json"
#define DOC_PAGE "docs/operate/settings.md"
#define MUTATIONS 4000

/// An edit of the example settings that must be rejected.
struct rejected_edit {
	const char *from; /// replaced text, first occurrence
	const char *to;
	const char *message; /// part of the expected message
};

static const struct rejected_edit rejected_edits[] = {
    {"\"127.0.0.1:8080\"", "\"127.0.0.1:0\"",
	"line 6: listen.caller: expected an IP number and port"},
    {"\"127.0.0.1:8080\"", "\"localhost:80\"", "listen.caller: expected an IP"},
    {"\"127.0.0.1:8080\"", "\"[127.0.0.1]:80\"", "listen.caller: expected"},
    {"\"127.0.0.1:8080\"", "\"::1:80\"", "listen.caller: expected"},
    {"\"127.0.0.1:8080\"", "8080", "listen.caller: expected"},
    {"\"127.0.0.1:8081\"", "\"127.0.0.1:8080\"",
	"line 7: listen.peer: the same address as listen.caller"},
    {"\"caller\":", "\"callers\":", "line 6: listen.callers: unknown key"},
    {"\"instance\": \"e1\",", "", "instance: missing"},
    {"\"e1\"", "\"\"", "instance: expected a text of 1 to 63 bytes"},
    {"\"e1\"", "null", "line 3: instance: expected a text"},
    {"\"e1\"", "\"e\\n1\"", "instance: expected a text"},
    {"\"zone\"", "\"instance\"", "line 4: instance: duplicate key"},
    {"\"zone\"", "\"z\\u006fne\"", "a key must not contain escapes"},
    {"{\"level\": \"info\"}", "\"info\"", "log: expected an object"},
    {"\"info\"", "\"loud\"", "log.level: expected one of error|warn|info"},
    {"250,", "250.5,",
	"timing.report_interval_ms: expected an integer from 10 to 600000"},
    {"250,", "2.505e2,", "timing.report_interval_ms: expected an integer"},
    {"250,", "2.5e7,", "timing.report_interval_ms: expected an integer"},
    {"250,", "1e999,", "timing.report_interval_ms: expected an integer"},
    {"4096", "0", "limits.max_requests: expected an integer from 1"},
    {"4096", "99999999999999999999999", "limits.max_requests: expected"},
    {"4096", "1e999", "limits.max_requests: expected"},
    {"00112233", "0011223g", "keys.peer: expected 64 hex digits"},
    {"/* left out: no model orders */", "/* open", "unterminated comment"},
    {"\"limits\": {", "\"limits\": {,", "line 31"},
    {"{\"level\": \"info\"}", "{\"level\": [[[[[[[[[[[[[[1]]]]]]]]]]]]]]}",
	"nesting too deep"},
};

static char *
read_example(void)
{
	GMappedFile *file = g_mapped_file_new(EXAMPLE, FALSE, NULL);
	char *text;

	assert_non_null(file);
	text = g_strndup(
	    g_mapped_file_get_contents(file), g_mapped_file_get_length(file));
	g_mapped_file_unref(file);
	return text;
}

static char *
replace_first(const char *text, const char *from, const char *to)
{
	const char *at = strstr(text, from);

	assert_non_null(at);
	return g_strdup_printf(
	    "%.*s%s%s", (int)(at - text), text, to, at + strlen(from));
}

static void
loads_the_example(void **state)
{
	GError *error = NULL;
	struct settings *settings = settings_load(EXAMPLE, &error);

	(void)state;
	assert_non_null(settings);
	assert_string_equal(settings->instance, "e1");
	assert_string_equal(settings->peer.ip, "127.0.0.1");
	assert_int_equal(settings->peer.port, 8081);
	assert_int_equal(settings->peer_key[1], 0x11);
	assert_int_equal(settings->report_interval, 250 * USEC_PER_MSEC);
	assert_int_equal(settings->log_level, 2);
	settings_free(settings);
	assert_null(settings_load("examples/no-such-file", &error));
	assert_true(
	    g_error_matches(error, SETTINGS_ERROR, SETTINGS_ERROR_READ));
	g_error_free(error);
}

static void
fills_in_defaults(void **state)
{
	char *text = read_example();
	const char *log = strstr(text, ",\n\t\"log\"");
	char *without_defaults =
	    g_strdup_printf("%.*s}", (int)(log - text), text);
	char *without_weights =
	    replace_first(without_defaults, "\"weights\"", "//");
	char *comma = strstr(without_weights, "9001\",");
	struct settings *settings;

	(void)state;
	comma[strlen("9001\"")] = ' ';
	settings = settings_parse(without_weights, NULL);
	assert_non_null(settings);
	assert_null(settings->weights.ip);
	assert_int_equal(settings->weights.port, 0);
	assert_int_equal(settings->members_interval, USEC_PER_SEC);
	assert_int_equal(settings->claim_timeout, 1500 * USEC_PER_MSEC);
	assert_int_equal(settings->list_lag, 10 * USEC_PER_SEC);
	assert_int_equal(settings->bundle_freshness, 3 * USEC_PER_SEC);
	assert_int_equal(settings->progress_timeout, 5 * USEC_PER_SEC);
	assert_int_equal(settings->max_request_bytes, 1024 * 1024);
	assert_int_equal(settings->max_requests, 4096);
	settings_free(settings);
	g_free(without_weights);
	g_free(without_defaults);
	g_free(text);
}

static void
errors_name_path_and_line(void **state)
{
	char *text = read_example();

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rejected_edits); i++) {
		GError *error = NULL;
		char *edited = replace_first(
		    text, rejected_edits[i].from, rejected_edits[i].to);

		if (settings_parse(edited, &error) != NULL)
			fail_msg("invalid edit was accepted: %s",
			    rejected_edits[i].to);
		assert_true(g_error_matches(
		    error, SETTINGS_ERROR, SETTINGS_ERROR_INVALID));
		if (strstr(error->message, rejected_edits[i].message) == NULL)
			fail_msg("'%s' does not contain '%s'", error->message,
			    rejected_edits[i].message);
		g_error_free(error);
		g_free(edited);
	}
	g_free(text);
}

static void
accepts_ipv6_addresses(void **state)
{
	char *text = read_example();
	char *edited =
	    replace_first(text, "\"127.0.0.1:8080\"", "\"[0:0::1]:80\"");
	struct settings *settings = settings_parse(edited, NULL);

	(void)state;
	assert_non_null(settings);
	assert_string_equal(settings->caller.ip, "::1");
	assert_int_equal(settings->caller.port, 80);
	settings_free(settings);
	g_free(edited);
	g_free(text);
}

static void
rejects_every_truncation(void **state)
{
	char *text = read_example();
	size_t len = (size_t)(strrchr(text, '}') - text) + 1;

	(void)state;
	while (len-- > 0) {
		GError *error = NULL;

		text[len] = '\0';
		assert_null(settings_parse(text, &error));
		assert_non_null(error);
		g_error_free(error);
	}
	g_free(text);
}

static void
parser_survives_random_mutations(void **state)
{
	char *text = read_example();
	size_t len = strlen(text);
	GRand *random = g_rand_new_with_seed(1);

	(void)state;
	for (int i = 0; i < MUTATIONS; i++) {
		char *edited = g_strdup(text);
		GError *error = NULL;
		struct settings *settings;

		for (int j = g_rand_int_range(random, 1, 4); j > 0; j--)
			edited[g_rand_int_range(random, 0, (int)len)] =
			    (char)g_rand_int_range(random, 1, 256);
		settings = settings_parse(edited, &error);
		assert_true((settings == NULL) == (error != NULL));
		settings_free(settings);
		g_clear_error(&error);
		g_free(edited);
	}
	g_rand_free(random);
	g_free(text);
}

static void
explanation_matches_documentation(void **state)
{
	char *page = NULL;
	GString *out = g_string_new(NULL);

	(void)state;
	settings_explain(out);
	assert_non_null(strstr(out->str,
	    "timing.list_lag_ms: an integer from 100 to 600000; default "
	    "10000"));
	assert_non_null(strstr(out->str,
	    "instance: a text of 1 to 63 bytes; "
	    "required"));
	assert_true(g_file_get_contents(DOC_PAGE, &page, NULL, NULL));
	assert_non_null(strstr(page, out->str));
	g_free(page);
	g_string_free(out, TRUE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(loads_the_example),
	    cmocka_unit_test(fills_in_defaults),
	    cmocka_unit_test(errors_name_path_and_line),
	    cmocka_unit_test(accepts_ipv6_addresses),
	    cmocka_unit_test(rejects_every_truncation),
	    cmocka_unit_test(parser_survives_random_mutations),
	    cmocka_unit_test(explanation_matches_documentation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
