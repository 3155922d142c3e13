/* The sub-commands of the binary, and how they end. */
#ifndef GODWITVALE_OPS_CMD_H
#define GODWITVALE_OPS_CMD_H

#include <glib.h>

#include "godwitvale/ops/settings_defs.h"

/// Exit statuses; the last three are those of sysexits.h.
enum cmd_status {
	CMD_OK = 0,
	CMD_REFUSED = 2, /// settings or bundle refused
	CMD_USAGE = 64,
	CMD_UNAVAILABLE = 69, /// nobody answers at the address
	CMD_INTERNAL = 70,
};

/// One sub-command. It gets its own name as argv[0].
struct cmd {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

int cmd_dispatch(const char *program, const struct cmd *cmds, size_t n_cmds,
    int argc, char **argv);
int cmd_options(int *argc, char ***argv, const char *parameters,
    const char *summary, const GOptionEntry *entries, int n_parameters);
void cmd_refuse(const char *what, GError *error);

int cmd_keygen(int argc, char **argv);
int cmd_check(int argc, char **argv);
int cmd_bundle(int argc, char **argv);
int cmd_status(int argc, char **argv);
int cmd_audit(int argc, char **argv);
int cmd_metrics(int argc, char **argv);
int cmd_version(int argc, char **argv);
int cmd_serve(int argc, char **argv);
int cmd_explain(int argc, char **argv);
int cmd_entry(int argc, char **argv);

/// The daemon. It runs until it has been told to leave.
int serve_run(const struct settings *settings);

#endif
