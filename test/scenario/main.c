/*
 * Runs the scenario tests: scripts, random schedules, and the measurement of
 * coordination costs.
 */
#include "scenario.h"

#include <stdio.h>
#include <string.h>

/// Runs a script and compares the output with the .expected file of the same
/// name in the same folder.
/// @param bless  writes the output to the .expected file before the comparison
static bool
run_file(const char *path, bool bless)
{
	GString *out = g_string_new(NULL);
	char *stem = g_strndup(path, strlen(path) - strlen(".scn"));
	char *expected_path = g_strconcat(stem, ".expected", NULL);
	char *text = NULL;
	char *expected = NULL;
	bool ok = g_file_get_contents(path, &text, NULL, NULL);

	if (!ok) {
		fprintf(stderr, "%s: cannot read the file\n", path);
		goto out;
	}
	ok = script_run(text, out);
	if (bless)
		g_file_set_contents(expected_path, out->str, -1, NULL);
	g_file_get_contents(expected_path, &expected, NULL, NULL);
	if (g_strcmp0(expected, out->str) != 0) {
		ok = false;
		printf("%s: output differs from %s\n", path, expected_path);
	}
	printf("%s%s: %s\n", out->str, path, ok ? "pass" : "FAIL");
out:
	g_free(expected);
	g_free(text);
	g_free(expected_path);
	g_free(stem);
	g_string_free(out, TRUE);
	return ok;
}

/// Numbers of calls of a soak, by their outcome.
struct tally {
	unsigned outcomes[OUTCOME_FAILED + 1];
};

/// Runs the random schedule of one seed.
/// @param naive  names of the broken variants to enable, or NULL
/// @param tally  counts to which the outcomes of the calls are added
/// @param show   prints the script if the run fails
static bool
run_seed(int seed, const char *naive, struct tally *tally, bool show)
{
	GString *out = g_string_new(NULL);
	char *script = soak_create_script((uint32_t)seed);
	char *text = naive == NULL
	    ? g_strdup(script)
	    : g_strdup_printf("mechanism naive=%s\n%s", naive, script);
	bool ok;
	struct world *world = script_play(text, out, &ok);

	for (guint i = 0; i < world->calls->len; i++)
		tally->outcomes[((struct call *)world->calls->pdata[i])
				    ->outcome]++;
	world_free(world);
	if (!ok)
		printf("seed %d\n", seed);
	for (char *at = ok ? NULL : strstr(out->str, "VIOLATION"); at != NULL;
	     at = strstr(at + 1, "VIOLATION"))
		printf("%.*s\n", (int)strcspn(at, "\n"), at);
	if (!ok && show)
		printf("%s", text);
	g_free(text);
	g_free(script);
	g_string_free(out, TRUE);
	return ok;
}

/// Checks whether a seed is among the known failures.
/// @param known  comma-separated seeds from KNOWN-RED.txt, or NULL
static bool
is_known_failure(const char *known, int seed)
{
	char *name = g_strdup_printf("%d", seed);
	bool found = world_name_in_list(known, name);

	g_free(name);
	return found;
}

/// Runs random schedules, and prints the script of the first failing seed.
/// @param seeds  number of seeds
/// @param from   first seed
/// @param naive  names of the broken variants to enable, or NULL
/// @param known  comma-separated seeds whose failures are known, or NULL
/// @return true if no seed fails except for known failures
static bool
run_soak(int seeds, int from, const char *naive, const char *known)
{
	struct tally tally = {{0}};
	int failed = 0;
	int n_known = 0;

	for (int seed = from; seed < from + seeds; seed++) {
		bool quiet = failed > 0 || naive != NULL;

		if (run_seed(seed, naive, &tally, !quiet))
			continue;
		if (is_known_failure(known, seed)) {
			printf("seed %d is in KNOWN-RED.txt\n", seed);
			n_known++;
		} else {
			failed++;
		}
	}
	printf(
	    "soak: %d seeds from %d, %d failed, %d known failures; calls whole "
	    "%u, refused "
	    "%u, failed after tokens %u, unfinished %u\n",
	    seeds, from, failed, n_known, tally.outcomes[OUTCOME_WHOLE],
	    tally.outcomes[OUTCOME_REFUSED], tally.outcomes[OUTCOME_FAILED],
	    tally.outcomes[OUTCOME_NONE]);
	return failed == 0;
}

int
main(int argc, char **argv)
{
	gint soak = 0;
	gint from = 1;
	gint print = 0;
	char *naive = NULL;
	char *known = NULL;
	gboolean bless = FALSE;
	gboolean cost = FALSE;
	bool ok = true;
	GOptionEntry entries[] = {{"soak", 0, 0, G_OPTION_ARG_INT, &soak,
				      "run N random schedules", "N"},
	    {"from", 0, 0, G_OPTION_ARG_INT, &from, "first seed of --soak",
		"S"},
	    {"print", 0, 0, G_OPTION_ARG_INT, &print, "print a seed's script",
		"S"},
	    {"naive", 0, 0, G_OPTION_ARG_STRING, &naive,
		"enable broken variants in --soak", "NAMES"},
	    {"known", 0, 0, G_OPTION_ARG_STRING, &known,
		"known failing seeds, from KNOWN-RED.txt", "S,S"},
	    {"bless", 0, 0, G_OPTION_ARG_NONE, &bless,
		"write the .expected files", NULL},
	    {"cost", 0, 0, G_OPTION_ARG_NONE, &cost,
		"measure messages and memory", NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL}};
	GOptionContext *context = g_option_context_new("[SCRIPT.scn..]");
	GError *error = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return 2;
	}
	g_option_context_free(context);
	if (cost)
		cost_print_fleets();
	if (print > 0) {
		char *text = soak_create_script((uint32_t)print);

		printf("%s", text);
		g_free(text);
	}
	if (soak > 0)
		ok = run_soak(soak, from, naive, known);
	for (int i = 1; i < argc; i++)
		ok = run_file(argv[i], bless) && ok;
	g_free(naive);
	g_free(known);
	return ok ? 0 : 1;
}
