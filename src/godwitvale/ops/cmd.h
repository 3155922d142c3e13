/* The sub-commands of the godwitvale binary and their exit statuses. */
#ifndef GODWITVALE_OPS_CMD_H
#define GODWITVALE_OPS_CMD_H

#include <glib.h>

#include "godwitvale/ops/settings_defs.h"

/// Exit statuses. The last three have the values of sysexits.h.
enum cmd_status {
	CMD_OK = 0,
	CMD_WARNINGS = 1, /// check-config found nothing worse than warnings
	/// settings, bundle or configuration rejected, or request not found
	CMD_REFUSED = 2,
	CMD_USAGE = 64,
	CMD_UNAVAILABLE = 69, /// no answer from the address, or file unreadable
	CMD_INTERNAL = 70,
};

/// A sub-command. Its argv[0] is its own name.
struct cmd {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

int cmd_dispatch(const char *program, const struct cmd *cmds, size_t n_cmds,
    int argc, char **argv);
int cmd_parse_options(int *argc, char ***argv, const char *parameters,
    const char *summary, const GOptionEntry *entries, int n_parameters);
void cmd_report_error(const char *source, GError *error);

int cmd_keygen(int argc, char **argv);
int cmd_check(int argc, char **argv);
int cmd_check_config(int argc, char **argv);
int cmd_bundle(int argc, char **argv);
int cmd_status(int argc, char **argv);
int cmd_audit(int argc, char **argv);
int cmd_metrics(int argc, char **argv);
int cmd_version(int argc, char **argv);
int cmd_serve(int argc, char **argv);
int cmd_explain(int argc, char **argv);
int cmd_entry(int argc, char **argv);

/// Runs the daemon until it is asked to shut down.
int serve_run(const struct settings *settings);

#endif
