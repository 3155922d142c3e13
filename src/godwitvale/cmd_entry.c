/* godwitvale entry: runs an entry instance on the users' platform. */
#include <stdio.h>

#include "godwitvale/entry/entry.h"
#include "godwitvale/ops/cmd.h"
#include "platform/platform.h"

/// Environment variable that names the settings file.
#define SETTINGS_VARIABLE "GODWITVALE_SETTINGS"

/// Runs `entry`.
///
/// @param argc  count of argv
/// @param argv  arguments
/// @return one of enum cmd_status
int
cmd_entry(int argc, char **argv)
{
	char *path = NULL;
	const GOptionEntry entries[] = {
	    {"settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
		"Settings; default: what " SETTINGS_VARIABLE " names", "FILE"},
	    G_OPTION_ENTRY_NULL,
	};
	int status = cmd_options(&argc, &argv, "",
	    "Runs an entry instance on the platform.", entries, 0);

	if (status == CMD_OK && path == NULL)
		path = g_strdup(g_getenv(SETTINGS_VARIABLE));
	if (status == CMD_OK && path == NULL) {
		fprintf(stderr,
		    "entry: --settings or " SETTINGS_VARIABLE " is needed\n");
		status = CMD_USAGE;
	}
	if (status == CMD_OK)
		status = entry_run(path, platform_site());
	g_free(path);
	return status;
}
