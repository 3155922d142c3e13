/* godwitvale check and version. */
#include "godwitvale/ops/cmd.h"

#include <stdio.h>

#include "godwitvale/ops/settings.h"

/// Version of this program.
#define CMD_VERSION "0.1.0"

/// Prints what each setting is.
///
/// @return CMD_OK
static int
explain(void)
{
	GString *out = g_string_new(NULL);

	settings_explain(out);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	return CMD_OK;
}

/// Runs `check`.
///
/// @param argc  count of argv
/// @param argv  arguments
/// @return one of enum cmd_status
int
cmd_check(int argc, char **argv)
{
	gboolean wants_table = FALSE;
	const GOptionEntry entries[] = {
	    {"explain", 'e', 0, G_OPTION_ARG_NONE, &wants_table,
		"Print what each setting is, in place of checking", NULL},
	    G_OPTION_ENTRY_NULL,
	};
	struct settings *settings;
	GError *error = NULL;
	int status;

	for (int i = 1; i < argc; i++)
		if (g_str_equal(argv[i], "--explain") ||
		    g_str_equal(argv[i], "-e"))
			wants_table = TRUE;
	status = cmd_options(&argc, &argv, wants_table ? "" : "FILE",
	    "Checks a settings file.", entries, wants_table ? 0 : 1);
	if (status != CMD_OK)
		return status;
	if (wants_table)
		return explain();
	settings = settings_load(argv[1], &error);
	if (settings == NULL) {
		cmd_refuse(NULL, error);
		return CMD_REFUSED;
	}
	printf("%s: ok\n", argv[1]);
	settings_free(settings);
	return CMD_OK;
}

/// Runs `version`.
///
/// @param argc  count of argv
/// @param argv  arguments
/// @return one of enum cmd_status
int
cmd_version(int argc, char **argv)
{
	const GOptionEntry entries[] = {G_OPTION_ENTRY_NULL};
	int status =
	    cmd_options(&argc, &argv, "", "Prints the version.", entries, 0);

	if (status == CMD_OK)
		puts("godwitvale " CMD_VERSION);
	return status;
}
