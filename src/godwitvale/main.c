/* The godwitvale binary: dispatches to the subcommand. */
#include "godwitvale/ops/cmd.h"

int
main(int argc, char **argv)
{
	static const struct cmd commands[] = {
	    {"keygen", "make keys", cmd_keygen},
	    {"check", "check a settings file", cmd_check},
	    {"check-config", "check a configuration before its rollout",
		cmd_check_config},
	    {"bundle", "check, sign, verify and compare bundles", cmd_bundle},
	    {"status", "show the state of an instance", cmd_status},
	    {"audit", "show an instance's audit trail", cmd_audit},
	    {"metrics", "show an instance's counters", cmd_metrics},
	    {"serve", "run an entry instance", cmd_serve},
	    {"explain", "show a request's history from log files", cmd_explain},
	    {"entry", "run an entry instance on the platform", cmd_entry},
	    {"version", "print the version", cmd_version},
	};

	return cmd_dispatch(
	    "godwitvale", commands, G_N_ELEMENTS(commands), argc, argv);
}
