/*
 * The command "godwitvale explain": prints the timeline of one request from
 * the logs of all instances.
 */
#include "godwitvale/ops/cmd.h"

#include <stdio.h>
#include <string.h>

#include "godwitvale/ops/explain.h"

/// Adds the lines of a log file; prints a message when it cannot be opened.
///
/// @param path  the file, or "-" for standard input
/// @return false when the file cannot be opened
static bool
add_file(struct explain *explain, const char *path)
{
	bool is_stdin = strcmp(path, "-") == 0;
	FILE *file = is_stdin ? stdin : fopen(path, "r");
	char *line = NULL;
	size_t size = 0;

	if (file == NULL) {
		fprintf(stderr, "explain: cannot read %s\n", path);
		return false;
	}
	while (getline(&line, &size, file) >= 0)
		explain_add_line(explain, line);
	free(line);
	if (!is_stdin)
		fclose(file);
	return true;
}

/// Runs `explain`.
///
/// @param argc  number of entries in argv
/// @param argv  the command's name, then its options and parameters
/// @return the exit status, one of enum cmd_status
int
cmd_explain(int argc, char **argv)
{
	const GOptionEntry entries[] = {G_OPTION_ENTRY_NULL};
	GOptionContext *context = g_option_context_new("ID [FILE...]");
	struct explain *explain;
	GString *out;
	GError *error = NULL;
	int status = CMD_OK;

	g_option_context_set_summary(context,
	    "Prints the timeline of a request, found in log files. Without "
	    "FILE, or if FILE is -, the log lines are read from standard "
	    "input.");
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    argc < 2) {
		fprintf(stderr, "explain: %s\n",
		    error == NULL ? "a request id is required"
				  : error->message);
		g_clear_error(&error);
		g_option_context_free(context);
		return CMD_USAGE;
	}
	g_option_context_free(context);
	explain = explain_new(argv[1]);
	for (int i = 2; i < argc && status == CMD_OK; i++)
		if (!add_file(explain, argv[i]))
			status = CMD_UNAVAILABLE;
	if (argc == 2)
		add_file(explain, "-");
	out = g_string_new(NULL);
	if (status == CMD_OK && !explain_write(explain, out)) {
		fprintf(stderr, "explain: no log line has the request id %s\n",
		    argv[1]);
		status = CMD_REFUSED;
	}
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	explain_free(explain);
	return status;
}
