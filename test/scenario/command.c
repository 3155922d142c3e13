/*
 * Implements the commands of the script language. Each command changes the
 * simulated world: its fleet, network, upstreams, calls or configuration.
 */
#include "scenario.h"

#include <stdlib.h>
#include <string.h>

/// A command of the script language; run() returns false on invalid arguments.
struct command {
	const char *name;
	bool (*run)(struct world *world, int argc, char **argv);
};

/// Parses a duration such as 10ms, 2s or 500us.
/// @param text  number with a unit, or NULL
/// @param span  receives the duration; unchanged on failure
/// @return false if the text is NULL or malformed
bool
command_parse_span(const char *text, usec_t *span)
{
	char *end;
	double number = text == NULL ? 0 : g_ascii_strtod(text, &end);

	if (text == NULL || end == text)
		return false;
	if (strcmp(end, "ms") == 0)
		*span = (usec_t)(number * USEC_PER_MSEC);
	else if (strcmp(end, "s") == 0)
		*span = (usec_t)(number * USEC_PER_SEC);
	else if (strcmp(end, "us") == 0)
		*span = (usec_t)number;
	else
		return false;
	return true;
}

/// Finds the value of the first argument of the form name=value.
/// @return the value, a part of argv, or NULL without such an argument
const char *
command_find_value(int argc, char **argv, const char *name)
{
	size_t len = strlen(name);

	for (int i = 1; i < argc; i++) {
		if (strncmp(argv[i], name, len) == 0 && argv[i][len] == '=')
			return argv[i] + len + 1;
	}
	return NULL;
}

/// Returns the numeric value of an argument name=value, or the fallback
/// without such an argument.
static double
get_number_argument(int argc, char **argv, const char *name, double fallback)
{
	const char *value = command_find_value(argc, argv, name);

	return value == NULL ? fallback : g_ascii_strtod(value, NULL);
}

/// Reads the duration of an argument name=value into span, which is unchanged
/// if the argument is missing or malformed.
static void
read_span_argument(int argc, char **argv, const char *name, usec_t *span)
{
	command_parse_span(command_find_value(argc, argv, name), span);
}

static struct endpoint *
find_endpoint(struct world *world, const char *name)
{
	struct inst *inst = world_find_inst(world, name);
	struct upstream *upstream = world_find_upstream(world, name);

	if (strcmp(name, "config") == 0)
		return &world->config;
	if (strcmp(name, "members") == 0)
		return &world->members;
	if (inst != NULL)
		return &inst->end;
	return upstream == NULL ? NULL : &upstream->end;
}

static bool
run_seed(struct world *world, int argc, char **argv)
{
	if (argc != 2)
		return false;
	g_rand_set_seed(world->random, (guint32)strtoul(argv[1], NULL, 10));
	return true;
}

static bool
run_timing(struct world *world, int argc, char **argv)
{
	struct timing *timing = &world->timing;

	read_span_argument(argc, argv, "members", &timing->members_interval);
	read_span_argument(argc, argv, "report", &timing->report_interval);
	read_span_argument(argc, argv, "claim", &timing->claim_timeout);
	read_span_argument(argc, argv, "lag", &timing->list_lag);
	read_span_argument(argc, argv, "fresh", &timing->list_freshness);
	read_span_argument(argc, argv, "bundle", &timing->bundle_freshness);
	read_span_argument(argc, argv, "progress", &timing->progress_timeout);
	read_span_argument(argc, argv, "resend", &timing->resend_window);
	read_span_argument(argc, argv, "tick", &timing->tick_interval);
	read_span_argument(argc, argv, "timeout", &timing->answer_timeout);
	world->voters = (unsigned)get_number_argument(argc, argv, "voters", 0);
	world->shards = (unsigned)get_number_argument(argc, argv, "shards", 0);
	return true;
}

static bool
run_network(struct world *world, int argc, char **argv)
{
	read_span_argument(argc, argv, "latency", &world->latency);
	read_span_argument(argc, argv, "jitter", &world->jitter);
	world->loss = get_number_argument(argc, argv, "loss", world->loss);
	world->dup = get_number_argument(argc, argv, "dup", world->dup);
	return true;
}

static bool
run_instance(struct world *world, int argc, char **argv)
{
	const char *zone = command_find_value(argc, argv, "zone");

	if (argc < 2 || find_endpoint(world, argv[1]) != NULL)
		return false;
	inst_new(
	    world, argv[1], g_quark_from_string(zone == NULL ? "zone" : zone));
	return true;
}

/// fleet N: creates instances e1 to eN, spread evenly over three zones.
static bool
run_fleet(struct world *world, int argc, char **argv)
{
	static const char *const zones[] = {"bilbao", "santander", "oviedo"};
	int n = argc < 2 ? 0 : atoi(argv[1]);

	for (int i = 0; i < n; i++) {
		char *name = g_strdup_printf("e%d", i + 1);

		inst_new(world, name, g_quark_from_string(zones[i % 3]));
		g_free(name);
	}
	return n > 0;
}

static bool
run_upstream(struct world *world, int argc, char **argv)
{
	const char *kind = command_find_value(argc, argv, "kind");
	const char *zone = command_find_value(argc, argv, "zone");
	const char *service = command_find_value(argc, argv, "service");
	const char *idempotent = command_find_value(argc, argv, "idempotent");
	struct upstream *upstream;

	if (argc < 2 || service == NULL ||
	    find_endpoint(world, argv[1]) != NULL)
		return false;
	upstream = upstream_new(world, argv[1]);
	upstream->service = (char *)g_intern_string(service);
	upstream->engine = g_strcmp0(kind, "engine") == 0;
	upstream->idempotent = g_strcmp0(idempotent, "no") != 0;
	upstream->end.zone = g_quark_from_string(zone == NULL ? "zone" : zone);
	upstream->max_running =
	    (uint32_t)get_number_argument(argc, argv, "max", 8);
	upstream->cold_limit = (uint32_t)get_number_argument(
	    argc, argv, "cold_limit", upstream->max_running);
	read_span_argument(argc, argv, "warm", &upstream->warm_span);
	read_span_argument(argc, argv, "work", &upstream->work_span);
	upstream_start(world, upstream);
	return true;
}

static bool
run_mechanism(struct world *world, int argc, char **argv)
{
	static const struct {
		const char *name;
		unsigned flag;
	} flags[] = {{"local", QUORUM_NAIVE_LOCAL},
	    {"owner", QUORUM_NAIVE_OWNER}, {"no-seal", QUORUM_NAIVE_NO_SEAL},
	    {"blank-votes", QUORUM_NAIVE_BLANK_VOTES},
	    {"late-timer", QUORUM_NAIVE_LATE_TIMER},
	    {"lease-from-answer", QUORUM_NAIVE_LEASE_FROM_ANSWER},
	    {"no-authority", NAIVE_NO_AUTHORITY}, {"no-slots", NAIVE_NO_SLOTS},
	    {"raw-relay", NAIVE_RAW_RELAY}, {"splice", NAIVE_SPLICE},
	    {"cut-drain", NAIVE_CUT_DRAIN},
	    {"arrival-verdict", NAIVE_ARRIVAL_VERDICT},
	    {"revert", NAIVE_REVERT}, {"crossed", NAIVE_CROSSED},
	    {"resend", NAIVE_RESEND}, {"no-confirm", NAIVE_NO_CONFIRM},
	    {"early-confirm", NAIVE_EARLY_CONFIRM}};
	const char *list = command_find_value(argc, argv, "naive");
	unsigned found = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
		if (world_name_in_list(list, flags[i].name))
			found |= flags[i].flag;
	}
	world->naive |= found;
	return found != 0;
}

/// partition [oneway] A.. | B..: cuts all links between the two groups, or
/// with oneway only the links from the first group to the second group.
static bool
run_partition(struct world *world, int argc, char **argv)
{
	bool oneway = argc > 1 && strcmp(argv[1], "oneway") == 0;
	int first = oneway ? 2 : 1;
	int bar = first;

	while (bar < argc && strcmp(argv[bar], "|") != 0)
		bar++;
	for (int i = first; i < bar; i++) {
		for (int j = bar + 1; j < argc; j++) {
			struct endpoint *a = find_endpoint(world, argv[i]);
			struct endpoint *b = find_endpoint(world, argv[j]);

			if (a == NULL || b == NULL)
				return false;
			world_set_link_cut(world, a, b, true);
			if (!oneway)
				world_set_link_cut(world, b, a, true);
		}
	}
	return bar < argc;
}

static bool
run_heal(struct world *world, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	g_hash_table_remove_all(world->cut_links);
	return true;
}

/// silent E B: open connections from instance E to upstream B stay open, but
/// drop all further data.
static bool
run_silent(struct world *world, int argc, char **argv)
{
	struct inst *inst = argc < 3 ? NULL : world_find_inst(world, argv[1]);
	struct upstream *up =
	    argc < 3 ? NULL : world_find_upstream(world, argv[2]);

	if (inst == NULL || up == NULL)
		return false;
	for (guint i = 0; i < up->conns->len; i++) {
		struct conn *conn = up->conns->pdata[i];

		if (conn->inst == inst)
			conn->silent = true;
	}
	return true;
}

/// Creates a call and schedules its arrival at the instance. The call is
/// abandoned at once if the instance is down.
/// @param argv  command with the arguments service, stream and tokens
/// @return false if no upstream offers the service
static bool
add_call(struct world *world, int argc, char **argv, struct inst *inst,
    const char *id)
{
	const char *service = command_find_value(argc, argv, "service");
	const char *stream = command_find_value(argc, argv, "stream");
	struct call *call = world_alloc(world, sizeof(*call));
	struct upstream *upstream = NULL;
	char *name = g_strdup_printf("%s/%s", service, id);

	for (guint i = 0; i < world->upstreams->len; i++) {
		struct upstream *other = world->upstreams->pdata[i];

		if (g_strcmp0(other->service, service) == 0)
			upstream = other;
	}
	call->id = (char *)g_intern_string(id);
	call->inst = inst;
	call->stream = g_strcmp0(stream, "no") != 0;
	call->tokens = (uint32_t)get_number_argument(argc, argv, "tokens", 20);
	call->key = quorum_key_make(QUORUM_ONCE, "call", name, strlen(name));
	g_free(name);
	if (upstream == NULL)
		return false;
	call->service = upstream->service;
	call->engine = upstream->engine;
	call->idempotent = upstream->idempotent;
	g_ptr_array_add(world->calls, call);
	if (inst->up) {
		world_schedule(world, 0, inst, request_arrive, call, false);
	} else {
		call->abandoned = true;
		call->reason = "no-connection";
	}
	return true;
}

/// call E id=I service=S [tokens=N] [stream=no]: sends one call to instance E.
static bool
run_call(struct world *world, int argc, char **argv)
{
	struct inst *inst = argc < 2 ? NULL : world_find_inst(world, argv[1]);
	const char *id = command_find_value(argc, argv, "id");

	return inst != NULL && id != NULL &&
	    add_call(world, argc, argv, inst, id);
}

/// State of a command "calls": the calls that are not yet sent.
struct call_series {
	char **argv;
	int argc;
	int next_number; /// number of the next call, from 0
	int n_left;      /// calls that are not yet sent
	unsigned shift;  /// parsed, but not used
	usec_t interval; /// interval between two calls
};

/// Sends the next call of a series and schedules the call after it.
static void
on_series_call(struct world *world, void *data)
{
	struct call_series *series = data;
	char **argv = series->argv;
	struct inst *inst = world_find_inst(world, argv[1]);
	const char *group = command_find_value(series->argc, argv, "id");
	char *id = g_strdup_printf("%s%d", group, series->next_number);
	struct call *call;

	if (inst == NULL)
		inst =
		    world->insts
			->pdata[(guint)series->next_number % world->insts->len];
	if (add_call(world, series->argc, argv, inst, id)) {
		call = world->calls->pdata[world->calls->len - 1];
		call->group = g_intern_string(group);
	}
	g_free(id);
	series->next_number++;
	if (--series->n_left > 0)
		world_schedule(world, series->interval, NULL, on_series_call,
		    g_memdup2(series, sizeof(*series)), true);
	else
		g_strfreev(argv);
}

/// calls E|* id=I count=N every=SPAN service=S [shift=N]: sends a series of
/// calls to instance E, or with * to all instances in turn.
static bool
run_calls(struct world *world, int argc, char **argv)
{
	struct call_series series = {
	    .argc = argc, .interval = 50 * USEC_PER_MSEC};

	if (argc < 2 || command_find_value(argc, argv, "id") == NULL)
		return false;
	series.argv = g_strdupv(argv);
	series.n_left = (int)get_number_argument(argc, argv, "count", 1);
	series.shift = (unsigned)get_number_argument(argc, argv, "shift", 0);
	read_span_argument(argc, argv, "every", &series.interval);
	on_series_call(world, &series);
	return true;
}

/// pause, resume, crash, restart, start, leave or reboot E: changes the state
/// of instance E. A reboot is a restart that completes before the membership
/// list records the stop.
static bool
run_instance_state(struct world *world, int argc, char **argv)
{
	struct inst *inst = argc < 2 ? NULL : world_find_inst(world, argv[1]);
	const char *command = argv[0];

	if (inst == NULL && strcmp(command, "start") == 0 &&
	    run_instance(world, argc, argv))
		inst = world_find_inst(world, argv[1]);
	if (inst == NULL)
		return false;
	world->list_frozen = strcmp(command, "reboot") == 0;
	if (strcmp(command, "pause") == 0)
		inst->paused = inst->up;
	else if (strcmp(command, "resume") == 0)
		world_resume_inst(world, inst);
	else if (strcmp(command, "leave") == 0)
		inst_start_draining(inst);
	else if (strcmp(command, "start") == 0)
		inst_start(inst);
	else
		inst_stop(inst);
	if (strcmp(command, "restart") == 0 || strcmp(command, "reboot") == 0)
		inst_start(inst);
	world->list_frozen = false;
	return true;
}

/// kill-upstream, start-upstream, cold or garble B: stops, starts or restarts
/// upstream B, or makes upstream B garble the events of its streams.
static bool
run_upstream_state(struct world *world, int argc, char **argv)
{
	struct upstream *up =
	    argc < 2 ? NULL : world_find_upstream(world, argv[1]);

	if (up == NULL)
		return false;
	if (strcmp(argv[0], "garble") == 0) {
		up->garble = true;
		return true;
	}
	if (strcmp(argv[0], "start-upstream") != 0)
		upstream_stop(world, up);
	if (strcmp(argv[0], "kill-upstream") != 0)
		upstream_start(world, up);
	return true;
}

/// config down | up | stale [version=N]: sets the state of the configuration
/// service. A stale service keeps serving the bundle of version N.
static bool
run_config(struct world *world, int argc, char **argv)
{
	uint64_t version =
	    (uint64_t)get_number_argument(argc, argv, "version", 0);

	if (argc < 2)
		return false;
	world->config_down = strcmp(argv[1], "down") == 0;
	world->config_stale = strcmp(argv[1], "stale") == 0;
	for (guint i = 0; i < world->bundles->len; i++) {
		const struct bundle *bundle = world->bundles->pdata[i];

		if (!world->config_stale || bundle->version == version)
			world->served_bundle = bundle;
	}
	return true;
}

/// publish version=N [zone-out=A,B] [upstream-out=A,B] [instance-out=A,B]:
/// publishes a bundle that takes the named parts out of service.
static bool
run_publish(struct world *world, int argc, char **argv)
{
	static const char *const kinds[] = {
	    "zone-out", "upstream-out", "instance-out"};
	struct bundle *bundle = world_alloc(world, sizeof(*bundle));

	bundle->version =
	    (uint64_t)get_number_argument(argc, argv, "version", 0);
	bundle->published_at = world->now;
	bundle->accepted_at = USEC_NEVER;
	for (int i = 0; i < 3; i++)
		bundle->taken_out[i] = (char *)g_intern_string(
		    command_find_value(argc, argv, kinds[i]));
	g_ptr_array_add(world->bundles, bundle);
	if (!world->config_stale)
		world->served_bundle = bundle;
	return bundle->version > 0;
}

/// list-lag SPAN: bounds the real staleness of reads of the membership list.
static bool
run_list_lag(struct world *world, int argc, char **argv)
{
	return argc == 2 && command_parse_span(argv[1], &world->list_lag);
}

/// drift E ppm=N: makes the clock of instance E run fast by N parts per million
/// from now on, or slow if N is negative.
static bool
run_drift(struct world *world, int argc, char **argv)
{
	struct inst *inst = argc < 2 ? NULL : world_find_inst(world, argv[1]);

	if (inst == NULL)
		return false;
	inst->clock_offset = inst_now(inst);
	inst->clock_set_at = world->now;
	inst->clock_rate = 1 + get_number_argument(argc, argv, "ppm", 0) / 1e6;
	return true;
}

/// Runs the command of one line of a script.
/// @param argv  words of the line: the name of the command, then its arguments
/// @return false if the command is unknown or its arguments are invalid
bool
command_run(struct world *world, int argc, char **argv)
{
	static const struct command commands[] = {{"seed", run_seed},
	    {"timing", run_timing}, {"network", run_network},
	    {"instance", run_instance}, {"fleet", run_fleet},
	    {"upstream", run_upstream}, {"mechanism", run_mechanism},
	    {"partition", run_partition}, {"heal", run_heal},
	    {"silent", run_silent}, {"call", run_call}, {"calls", run_calls},
	    {"pause", run_instance_state}, {"resume", run_instance_state},
	    {"crash", run_instance_state}, {"restart", run_instance_state},
	    {"reboot", run_instance_state}, {"start", run_instance_state},
	    {"leave", run_instance_state},
	    {"kill-upstream", run_upstream_state},
	    {"start-upstream", run_upstream_state},
	    {"cold", run_upstream_state}, {"garble", run_upstream_state},
	    {"config", run_config}, {"publish", run_publish},
	    {"list-lag", run_list_lag}, {"drift", run_drift}};

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, argv[0]) == 0)
			return commands[i].run(world, argc, argv);
	}
	return false;
}
