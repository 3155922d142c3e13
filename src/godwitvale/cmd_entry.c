/* `godwitvale entry`: runs an entry instance on the platform. */
#include <stdio.h>

#include "godwitvale/entry/entry.h"
#include "godwitvale/ops/cmd.h"
#include "platform/platform.h"

/// Environment variable that names the settings file.
#define SETTINGS_VARIABLE "GODWITVALE_SETTINGS"

/// Runs the `entry` command until the instance is shut down.
///
/// @param argc  number of elements in argv
/// @param argv  arguments, from the name of the command on
/// @return one of enum cmd_status
int
cmd_entry(int argc, char **argv)
{
	char *settings_path = NULL;
	const GOptionEntry entries[] = {
	    {"settings", 's', 0, G_OPTION_ARG_FILENAME, &settings_path,
		"Settings file; default: $" SETTINGS_VARIABLE, "FILE"},
	    G_OPTION_ENTRY_NULL,
	};
	int status = cmd_parse_options(&argc, &argv, "",
	    "Runs an entry instance on the platform.", entries, 0);

	if (status == CMD_OK && settings_path == NULL)
		settings_path = g_strdup(g_getenv(SETTINGS_VARIABLE));
	if (status == CMD_OK && settings_path == NULL) {
		fprintf(stderr,
		    "entry: --settings or " SETTINGS_VARIABLE " is needed\n");
		status = CMD_USAGE;
	}
	if (status == CMD_OK)
		status = entry_run(settings_path, platform_site());
	g_free(settings_path);
	return status;
}
