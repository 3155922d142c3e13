/* Stand-ins for what lies around the system: one program, picked by name. */
#include <stdio.h>
#include <string.h>

#include "standin.h"

static const struct {
	const char *name;
	int (*run)(int argc, char **argv);
} kinds[] = {
    {"config", config_main},
    {"members", members_main},
    {"engine", engine_main},
    {"service", service_main},
    {"weights", weights_main},
};

int
main(int argc, char **argv)
{
	for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(argv[1], kinds[i].name) == 0)
			return kinds[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr,
	    "usage: standin config|members|engine|service|weights "
	    "--listen IP:PORT [OPTION...]\n");
	return 64;
}
