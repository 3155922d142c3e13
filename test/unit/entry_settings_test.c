/* Unit tests of the settings of an entry instance, and of the deployment's
 * template for them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "godwitvale/entry/entry_settings.h"

#define TEMPLATE "deploy/settings.json.in"

/// What a deployment fills into the template.
struct substitution {
	const char *pattern; /// regular expression
	const char *text;
};

/// Sections first: they are kept, as their values are present.
static const struct substitution substitutions[] = {
    {"\\{\\{[#/][a-z_.]*\\}\\}", ""},
    {"\"slack\": \\{\\{\\.\\}\\}", "\"slack\": 12"},
    {"\\{\\{\\.\\}\\}", "4.4"},
    {"\\{\\{bounds\\.grace_s\\}\\}", "7.5"},
    {"\\{\\{bounds\\.[a-z_]*\\}\\}", "1.5"},
    {"\\{\\{(listen|platform)\\.[a-z_]*\\}\\}", "127.0.0.1:8080"},
    {"\\{\\{limits\\.[a-z_]*\\}\\}", "4096"},
    {"\\{\\{internal_ports\\.0\\}\\}", "9000"},
    {"\\{\\{[a-z_]*\\}\\}", "e1"},
};

/// Reads the template and fills it in.
static char *
fill_in_template(void)
{
	char *text;

	assert_true(g_file_get_contents(TEMPLATE, &text, NULL, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(substitutions); i++) {
		GRegex *regex =
		    g_regex_new(substitutions[i].pattern, 0, 0, NULL);
		char *filled = g_regex_replace_literal(
		    regex, text, -1, 0, substitutions[i].text, 0, NULL);

		g_regex_unref(regex);
		g_free(text);
		text = filled;
	}
	assert_null(strstr(text, "{{"));
	return text;
}

static void
template_takes_fractions_of_seconds(void **state)
{
	GError *error = NULL;
	char *text = fill_in_template();
	struct entry_settings *settings = entry_settings_parse(text, &error);

	(void)state;
	if (error != NULL)
		fail_msg("%s", error->message);
	assert_non_null(settings);
	assert_int_equal(settings->grace, 7500 * USEC_PER_MSEC);
	assert_int_equal(settings->retry_window, 4400 * USEC_PER_MSEC);
	assert_true(settings->retry_slack == 12);
	entry_settings_free(settings);
	g_free(text);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(template_takes_fractions_of_seconds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
