/*
 * Command line handling: dispatches to sub-commands, parses their options and
 * prints their errors.
 */
#include "godwitvale/ops/cmd.h"

#include <stdio.h>
#include <string.h>

/// Prints a usage line and the table of sub-commands.
///
/// @param out      stream to write to
/// @param program  command line that precedes COMMAND
/// @param cmds     table of sub-commands
/// @param n_cmds   number of rows in cmds
static void
print_table(
    FILE *out, const char *program, const struct cmd *cmds, size_t n_cmds)
{
	fprintf(out, "usage: %s COMMAND [OPTION...]\n\ncommands:\n", program);
	for (size_t i = 0; i < n_cmds; i++)
		fprintf(out, "  %-12s %s\n", cmds[i].name, cmds[i].summary);
	fprintf(
	    out, "\n%s COMMAND --help shows a command's options.\n", program);
}

/// Runs the sub-command that argv[1] names.
///
/// @param program  command line that precedes COMMAND, for messages
/// @param cmds     table of sub-commands
/// @param n_cmds   number of rows in cmds
/// @param argc     number of entries in argv
/// @param argv     argv[0] is the program's name, argv[1] the sub-command
/// @return the exit status, one of enum cmd_status
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
		fprintf(stderr, "%s: unknown command '%s'\n", program, argv[1]);
	print_table(stderr, program, cmds, n_cmds);
	return CMD_USAGE;
}

/// Parses a sub-command's options; --help prints them and exits.
///
/// @param argc          number of entries in argv; updated
/// @param argv          the arguments; parsed options are removed
/// @param parameters    names of the positional parameters for the help
///                      text, such as "FILE"
/// @param summary       sentence that describes the command in the help text
/// @param entries       the options, terminated by G_OPTION_ENTRY_NULL
/// @param n_parameters  required number of positional parameters
/// @return CMD_OK, or CMD_USAGE after a message
int
cmd_parse_options(int *argc, char ***argv, const char *parameters,
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

/// Prints an error to standard error and frees it.
///
/// @param source  file or address that the error is about; NULL when the
///                message already names it
/// @param error   the error; freed
void
cmd_report_error(const char *source, GError *error)
{
	if (source != NULL)
		fprintf(stderr, "%s: %s\n", source, error->message);
	else
		fprintf(stderr, "%s\n", error->message);
	g_error_free(error);
}
