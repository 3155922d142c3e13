/* The command "godwitvale serve": loads the settings and runs the daemon. */
#include "godwitvale/ops/cmd.h"

#include <stdio.h>

#include "godwitvale/ops/settings.h"

/// Runs `serve`.
///
/// @param argc  number of entries in argv
/// @param argv  the command's name, then its options and parameters
/// @return the exit status, one of enum cmd_status
int
cmd_serve(int argc, char **argv)
{
	char *path = NULL;
	const GOptionEntry entries[] = {
	    {"settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
		"Settings of this instance", "FILE"},
	    G_OPTION_ENTRY_NULL,
	};
	int status = cmd_parse_options(
	    &argc, &argv, "", "Runs an instance.", entries, 0);
	struct settings *settings;
	GError *error = NULL;

	if (status == CMD_OK && path == NULL) {
		fprintf(stderr, "serve: --settings is required\n");
		status = CMD_USAGE;
	}
	if (status != CMD_OK)
		goto out;
	settings = settings_load(path, &error);
	if (settings == NULL) {
		cmd_report_error(NULL, error);
		status = CMD_REFUSED;
		goto out;
	}
	status = serve_run(settings);
	settings_free(settings);
out:
	g_free(path);
	return status;
}
