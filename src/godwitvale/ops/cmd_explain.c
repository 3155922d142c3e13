/* godwitvale explain: one request's story from the logs of all instances. */
#include "godwitvale/ops/cmd.h"

#include <stdio.h>
#include <string.h>

#include "godwitvale/ops/explain.h"

/// Reads the lines of a file.
///
/// @return false when it can't be read
static bool
take_file(struct explain *explain, const char *path)
{
	bool is_input = strcmp(path, "-") == 0;
	FILE *file = is_input ? stdin : fopen(path, "r");
	char *line = NULL;
	size_t size = 0;

	if (file == NULL) {
		fprintf(stderr, "explain: %s can't be read\n", path);
		return false;
	}
	while (getline(&line, &size, file) >= 0)
		explain_take_line(explain, line);
	free(line);
	if (!is_input)
		fclose(file);
	return true;
}

/// Runs `explain`.
///
/// @param argc  count of argv
/// @param argv  arguments
/// @return one of enum cmd_status
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
	    "Tells a request's story from log files, - or none: standard "
	    "input.");
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    argc < 2) {
		fprintf(stderr, "explain: %s\n",
		    error == NULL ? "the request's id is needed"
				  : error->message);
		g_clear_error(&error);
		g_option_context_free(context);
		return CMD_USAGE;
	}
	g_option_context_free(context);
	explain = explain_new(argv[1]);
	for (int i = 2; i < argc && status == CMD_OK; i++)
		if (!take_file(explain, argv[i]))
			status = CMD_UNAVAILABLE;
	if (argc == 2)
		take_file(explain, "-");
	out = g_string_new(NULL);
	if (status == CMD_OK && !explain_tell(explain, out)) {
		fprintf(stderr, "explain: no line names %s\n", argv[1]);
		status = CMD_REFUSED;
	}
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	explain_free(explain);
	return status;
}
