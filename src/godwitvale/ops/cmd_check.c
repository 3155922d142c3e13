/* The commands "godwitvale check" and "godwitvale version". */
#include "godwitvale/ops/cmd.h"

#include <stdio.h>

#include "godwitvale/ops/settings.h"

#define CMD_VERSION "0.1.0"

/// Prints a description of each setting.
///
/// @return CMD_OK
static int
print_settings_reference(void)
{
	GString *out = g_string_new(NULL);

	settings_explain(out);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	return CMD_OK;
}

/// Runs `check`.
///
/// @param argc  number of entries in argv
/// @param argv  the command's name, then its options and parameters
/// @return the exit status, one of enum cmd_status
int
cmd_check(int argc, char **argv)
{
	gboolean wants_reference = FALSE;
	const GOptionEntry entries[] = {
	    {"explain", 'e', 0, G_OPTION_ARG_NONE, &wants_reference,
		"Describe each setting instead of checking a file", NULL},
	    G_OPTION_ENTRY_NULL,
	};
	struct settings *settings;
	GError *error = NULL;
	int status;

	for (int i = 1; i < argc; i++)
		if (g_str_equal(argv[i], "--explain") ||
		    g_str_equal(argv[i], "-e"))
			wants_reference = TRUE;
	status = cmd_parse_options(&argc, &argv, wants_reference ? "" : "FILE",
	    "Checks a settings file.", entries, wants_reference ? 0 : 1);
	if (status != CMD_OK)
		return status;
	if (wants_reference)
		return print_settings_reference();
	settings = settings_load(argv[1], &error);
	if (settings == NULL) {
		cmd_report_error(NULL, error);
		return CMD_REFUSED;
	}
	printf("%s: ok\n", argv[1]);
	settings_free(settings);
	return CMD_OK;
}

/// Runs `version`.
///
/// @param argc  number of entries in argv
/// @param argv  the command's name, then its options and parameters
/// @return the exit status, one of enum cmd_status
int
cmd_version(int argc, char **argv)
{
	const GOptionEntry entries[] = {G_OPTION_ENTRY_NULL};
	int status = cmd_parse_options(
	    &argc, &argv, "", "Prints the version.", entries, 0);

	if (status == CMD_OK)
		puts("godwitvale " CMD_VERSION);
	return status;
}
