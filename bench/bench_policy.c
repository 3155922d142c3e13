/*
 * Compares the product's policy with its baselines over loads, events, fleets
 * and seeds; the same seeds give the same figures to the digit.
 */
#include "table.h"

/// Runs at a time; each is independent of the others.
#define THREADS_DEFAULT 4
#define SEEDS_DEFAULT 5
/// Load under which the events happen.
#define EVENT_LOAD 0.8

/// One policy in the comparison.
struct policy {
	const char *name;
	double prefix_weight;
	enum router_policy policy;
	bool variant; /// run only on demand
};

static const struct policy policies[] = {
    {"round-robin", 0, ROUTER_POLICY_ROUND_ROBIN, false},
    {"least-outstanding", 0, ROUTER_POLICY_LEAST_OUTSTANDING, false},
    {"memory-mean", 0, ROUTER_POLICY_MEMORY_MEAN, false},
    {"memory", 1, ROUTER_POLICY_MEMORY, false},
    {"memory-no-prefix", 0, ROUTER_POLICY_MEMORY, true},
};
static const double loads[] = {0.5, 0.8, 0.95, 1.2};

/// What one thread works off.
struct task {
	struct run_options options;
	double *values;
};

static int opt_seeds = SEEDS_DEFAULT;
static int opt_threads = THREADS_DEFAULT;
static char *opt_out = NULL;
static char *opt_fleet = NULL;
static char *opt_policy = NULL;
static char *opt_scenario = NULL;
static double opt_load = 0;
static gboolean opt_all = FALSE;

static GOptionEntry entries[] = {
    {"all", 0, 0, G_OPTION_ARG_NONE, &opt_all,
	"Run the variants of the policy too", NULL},
    {"seeds", 0, 0, G_OPTION_ARG_INT, &opt_seeds, "Seeds a row", "N"},
    {"threads", 0, 0, G_OPTION_ARG_INT, &opt_threads, "Runs at a time", "N"},
    {"out", 0, 0, G_OPTION_ARG_FILENAME, &opt_out,
	"Write DIR/policy.csv and DIR/policy.svg", "DIR"},
    {"fleet", 0, 0, G_OPTION_ARG_STRING, &opt_fleet, "Only this", "NAME"},
    {"policy", 0, 0, G_OPTION_ARG_STRING, &opt_policy, "Only this", "NAME"},
    {"scenario", 0, 0, G_OPTION_ARG_STRING, &opt_scenario, "Only this", "NAME"},
    {"load", 0, 0, G_OPTION_ARG_DOUBLE, &opt_load, "Only this", "SHARE"},
    {NULL},
};

static void
work(gpointer data, gpointer unused)
{
	struct task *task = data;

	(void)unused;
	run_measure(&task->options, task->values);
	g_free(task);
}

static bool
left_out(const char *wanted, const char *name)
{
	return wanted != NULL && g_strcmp0(wanted, name) != 0;
}

static void
add_row(GArray *rows, const struct fleet *fleet, const struct policy *policy,
    enum scenario scenario, double load)
{
	struct row row = {.fleet = fleet,
	    .policy = policy->name,
	    .scenario = scenario,
	    .load = load,
	    .n_seeds = (unsigned)opt_seeds};

	if (policy->variant && !opt_all && opt_policy == NULL)
		return;
	if (left_out(opt_fleet, fleet->name) ||
	    left_out(opt_policy, policy->name) ||
	    left_out(opt_scenario, scenario_names[scenario]) ||
	    (opt_load > 0 && opt_load != load))
		return;
	row.values = g_new0(double, row.n_seeds *N_MEASURES);
	g_array_append_val(rows, row);
}

static void
add_rows(GArray *rows, const struct fleet *fleet)
{
	for (unsigned l = 0; l < G_N_ELEMENTS(loads); l++) {
		for (unsigned p = 0; p < G_N_ELEMENTS(policies); p++)
			add_row(rows, fleet, &policies[p], SCENARIO_STEADY,
			    loads[l]);
	}
	for (int s = SCENARIO_STEADY + 1; s < N_SCENARIOS; s++) {
		for (unsigned p = 0; p < G_N_ELEMENTS(policies); p++)
			add_row(rows, fleet, &policies[p], (enum scenario)s,
			    EVENT_LOAD);
	}
}

static const struct policy *
policy_of(const char *name)
{
	for (unsigned p = 0; p < G_N_ELEMENTS(policies); p++) {
		if (g_str_equal(policies[p].name, name))
			return &policies[p];
	}
	g_assert_not_reached();
}

static void
run_rows(const struct row *rows, unsigned n_rows, double engine_capacity)
{
	GThreadPool *pool =
	    g_thread_pool_new(work, NULL, opt_threads, FALSE, NULL);

	for (unsigned i = 0; i < n_rows; i++) {
		const struct row *row = &rows[i];
		const struct policy *policy = policy_of(row->policy);

		for (unsigned s = 0; s < row->n_seeds; s++) {
			struct task *task = g_new0(struct task, 1);

			task->options =
			    (struct run_options){.fleet = row->fleet,
				.policy = policy->policy,
				.prefix_weight = policy->prefix_weight,
				.scenario = row->scenario,
				.load = row->load,
				.engine_capacity = engine_capacity,
				.service_capacity = workload_service_capacity(
				    RUN_SERVICE_MAX_RUNNING),
				.seed = s + 1};
			task->values = &row->values[s * N_MEASURES];
			g_thread_pool_push(pool, task, NULL);
		}
	}
	g_thread_pool_free(pool, FALSE, TRUE);
}

static int
write_files(const struct row *rows, unsigned n_rows)
{
	char *csv = g_build_filename(opt_out, "policy.csv", NULL);
	char *svg = g_build_filename(opt_out, "policy.svg", NULL);
	bool written;

	g_mkdir_with_parents(opt_out, 0777);
	written = table_write_csv(rows, n_rows, csv) &&
	    table_write_svg(rows, n_rows, svg);
	if (written)
		printf("\nwritten: %s %s\n", csv, svg);
	else
		fprintf(stderr, "can't write to %s\n", opt_out);
	g_free(csv);
	g_free(svg);
	return written ? 0 : 1;
}

int
main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct row));
	GError *error = NULL;
	double capacity;
	int status = 0;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    opt_seeds < 1 || opt_threads < 1) {
		fprintf(stderr, "%s\n", error ? error->message : "bad option");
		return 2;
	}
	g_option_context_free(context);
	for (unsigned f = 0; f < n_fleets; f++)
		add_rows(rows, &fleets[f]);
	capacity = workload_engine_capacity(&run_engine_options);
	printf("capacity of one engine: %.4f generations/s\n", capacity);
	run_rows((struct row *)rows->data, rows->len, capacity);
	table_print((struct row *)rows->data, rows->len);
	if (opt_out != NULL)
		status = write_files((struct row *)rows->data, rows->len);
	for (guint i = 0; i < rows->len; i++)
		g_free(g_array_index(rows, struct row, i).values);
	g_array_free(rows, TRUE);
	return status;
}
