/* Picking a sub-command and reading its options. */
#include "godwitvale/ops/cmd.h"

#include <stdio.h>
#include <string.h>

/// Prints the table of sub-commands.
///
/// @param out      where to
/// @param program  how the table is called
/// @param cmds     the table
/// @param n_cmds   its rows
static void
print_table(
    FILE *out, const char *program, const struct cmd *cmds, size_t n_cmds)
{
	fprintf(out, "usage: %s COMMAND [OPTION...]\n\ncommands:\n", program);
	for (size_t i = 0; i < n_cmds; i++)
		fprintf(out, "  %-10s %s\n", cmds[i].name, cmds[i].summary);
	fprintf(
	    out, "\n%s COMMAND --help shows a command's options.\n", program);
}

/// Runs the sub-command that argv[1] names.
///
/// @param program  how the table is called in messages
/// @param cmds     the table
/// @param n_cmds   its rows
/// @param argc     count of argv
/// @param argv     argv[0] is the table's own name
/// @return one of enum cmd_status
int
cmd_dispatch(const char *program, const struct cmd *cmds, size_t n_cmds,
    int argc, char **argv)
{
	if (argc >= 2 &&
	    (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0)) {
		print_table(stdout, program, cmds, n_cmds);
		return CMD_OK;
	}
	for (size_t i = 0; argc >= 2 && i < n_cmds; i++)
		if (strcmp(argv[1], cmds[i].name) == 0)
			return cmds[i].run(argc - 1, argv + 1);
	if (argc >= 2)
		fprintf(stderr, "%s: no command '%s'\n", program, argv[1]);
	print_table(stderr, program, cmds, n_cmds);
	return CMD_USAGE;
}

/// Reads a sub-command's options; --help prints them and exits.
///
/// @param argc          count of argv, changed to what is left
/// @param argv          the arguments, changed to what is left
/// @param parameters    what follows the options, as "FILE"
/// @param summary       one sentence
/// @param entries       the options; ends with an empty one
/// @param n_parameters  how many parameters must be left
/// @return CMD_OK, or CMD_USAGE after a message
int
cmd_options(int *argc, char ***argv, const char *parameters,
    const char *summary, const GOptionEntry *entries, int n_parameters)
{
	GOptionContext *context = g_option_context_new(parameters);
	GError *error = NULL;
	int status = CMD_OK;

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, argc, argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		status = CMD_USAGE;
	} else if (*argc != n_parameters + 1) {
		char *help = g_option_context_get_help(context, TRUE, NULL);

		fputs(help, stderr);
		g_free(help);
		status = CMD_USAGE;
	}
	g_option_context_free(context);
	return status;
}

/// Reports why a file was refused.
///
/// @param what   the file, or NULL when the message names it
/// @param error  freed
void
cmd_refuse(const char *what, GError *error)
{
	if (what != NULL)
		fprintf(stderr, "%s: %s\n", what, error->message);
	else
		fprintf(stderr, "%s\n", error->message);
	g_error_free(error);
}
