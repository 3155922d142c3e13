/* The one binary: picks the sub-command. */
#include "godwitvale/ops/cmd.h"

int
main(int argc, char **argv)
{
	static const struct cmd cmds[] = {
	    {"keygen", "make keys", cmd_keygen},
	    {"check", "check a settings file", cmd_check},
	    {"bundle", "check, sign, verify and compare bundles", cmd_bundle},
	    {"status", "show the state of an instance", cmd_status},
	    {"audit", "show an instance's audit trail", cmd_audit},
	    {"metrics", "show an instance's counters", cmd_metrics},
	    {"serve", "run an entry instance", cmd_serve},
	    {"explain", "tell a request's story from log files", cmd_explain},
	    {"entry", "run an entry instance on the platform", cmd_entry},
	    {"version", "print the version", cmd_version},
	};

	return cmd_dispatch("godwitvale", cmds, G_N_ELEMENTS(cmds), argc, argv);
}
