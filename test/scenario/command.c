/* What each line of a script does to the world. */
#include "scenario.h"

#include <stdlib.h>
#include <string.h>

struct command {
	const char *name;
	bool (*run)(struct world *world, int argc, char **argv);
};

/// Reads a span such as 10ms, 2s or 500us.
bool
command_span(const char *text, usec_t *span)
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

/// Finds the value of an argument name=value.
const char *
command_value(int argc, char **argv, const char *name)
{
	size_t len = strlen(name);

	for (int i = 1; i < argc; i++) {
		if (strncmp(argv[i], name, len) == 0 && argv[i][len] == '=')
			return argv[i] + len + 1;
	}
	return NULL;
}

static double
number_of(int argc, char **argv, const char *name, double otherwise)
{
	const char *value = command_value(argc, argv, name);

	return value == NULL ? otherwise : g_ascii_strtod(value, NULL);
}

static void
span_of(int argc, char **argv, const char *name, usec_t *span)
{
	command_span(command_value(argc, argv, name), span);
}

static struct endpoint *
find_end(struct world *world, const char *name)
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

	span_of(argc, argv, "members", &timing->members_interval);
	span_of(argc, argv, "report", &timing->report_interval);
	span_of(argc, argv, "claim", &timing->claim_timeout);
	span_of(argc, argv, "lag", &timing->list_lag);
	span_of(argc, argv, "fresh", &timing->list_freshness);
	span_of(argc, argv, "bundle", &timing->bundle_freshness);
	span_of(argc, argv, "progress", &timing->progress_timeout);
	span_of(argc, argv, "resend", &timing->resend_window);
	span_of(argc, argv, "tick", &timing->tick_interval);
	span_of(argc, argv, "timeout", &timing->answer_timeout);
	world->voters = (unsigned)number_of(argc, argv, "voters", 0);
	world->shards = (unsigned)number_of(argc, argv, "shards", 0);
	return true;
}

static bool
run_network(struct world *world, int argc, char **argv)
{
	span_of(argc, argv, "latency", &world->latency);
	span_of(argc, argv, "jitter", &world->jitter);
	world->loss = number_of(argc, argv, "loss", world->loss);
	world->dup = number_of(argc, argv, "dup", world->dup);
	return true;
}

static bool
run_instance(struct world *world, int argc, char **argv)
{
	const char *zone = command_value(argc, argv, "zone");

	if (argc < 2 || find_end(world, argv[1]) != NULL)
		return false;
	inst_new(
	    world, argv[1], g_quark_from_string(zone == NULL ? "zone" : zone));
	return true;
}

/// fleet N: instances e1 to eN, spread over three zones.
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
	const char *kind = command_value(argc, argv, "kind");
	const char *zone = command_value(argc, argv, "zone");
	const char *service = command_value(argc, argv, "service");
	const char *repeat = command_value(argc, argv, "idempotent");
	struct upstream *upstream;

	if (argc < 2 || service == NULL || find_end(world, argv[1]) != NULL)
		return false;
	upstream = upstream_new(world, argv[1]);
	upstream->service = (char *)g_intern_string(service);
	upstream->engine = g_strcmp0(kind, "engine") == 0;
	upstream->idempotent = g_strcmp0(repeat, "no") != 0;
	upstream->end.zone = g_quark_from_string(zone == NULL ? "zone" : zone);
	upstream->max_running = (uint32_t)number_of(argc, argv, "max", 8);
	upstream->cold_limit = (uint32_t)number_of(
	    argc, argv, "cold_limit", upstream->max_running);
	span_of(argc, argv, "warm", &upstream->warm_span);
	span_of(argc, argv, "work", &upstream->work_span);
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
	const char *list = command_value(argc, argv, "naive");
	unsigned found = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
		if (world_name_in_list(list, flags[i].name))
			found |= flags[i].flag;
	}
	world->naive |= found;
	return found != 0;
}

/// partition [oneway] A.. | B..: nothing passes between the groups.
static bool
run_partition(struct world *world, int argc, char **argv)
{
	bool oneway = argc > 1 && strcmp(argv[1], "oneway") == 0;
	int from = oneway ? 2 : 1;
	int bar = from;

	while (bar < argc && strcmp(argv[bar], "|") != 0)
		bar++;
	for (int i = from; i < bar; i++) {
		for (int j = bar + 1; j < argc; j++) {
			struct endpoint *a = find_end(world, argv[i]);
			struct endpoint *b = find_end(world, argv[j]);

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

/// silent E B: what is open between them carries nothing any more.
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

/// Lets one arrival happen.
static bool
arrive(struct world *world, int argc, char **argv, struct inst *inst,
    const char *id)
{
	const char *service = command_value(argc, argv, "service");
	const char *stream = command_value(argc, argv, "stream");
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
	call->tokens = (uint32_t)number_of(argc, argv, "tokens", 20);
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

/// call E id=I service=S [tokens=N] [stream=no]
static bool
run_call(struct world *world, int argc, char **argv)
{
	struct inst *inst = argc < 2 ? NULL : world_find_inst(world, argv[1]);
	const char *id = command_value(argc, argv, "id");

	return inst != NULL && id != NULL &&
	    arrive(world, argc, argv, inst, id);
}

struct series {
	char **argv;
	int argc, next, left;
	unsigned shift;
	usec_t every;
};

static void
on_series(struct world *world, void *data)
{
	struct series *series = data;
	char **argv = series->argv;
	struct inst *inst = world_find_inst(world, argv[1]);
	const char *group = command_value(series->argc, argv, "id");
	char *id = g_strdup_printf("%s%d", group, series->next);
	struct call *call;

	if (inst == NULL)
		inst = world->insts
			   ->pdata[(guint)series->next % world->insts->len];
	if (arrive(world, series->argc, argv, inst, id)) {
		call = world->calls->pdata[world->calls->len - 1];
		call->group = g_intern_string(group);
	}
	g_free(id);
	series->next++;
	if (--series->left > 0)
		world_schedule(world, series->every, NULL, on_series,
		    g_memdup2(series, sizeof(*series)), true);
	else
		g_strfreev(argv);
}

/// calls E|* id=I count=N every=SPAN service=S [shift=N]: a series of calls,
/// at one instance or at all in turn.
static bool
run_calls(struct world *world, int argc, char **argv)
{
	struct series series = {.argc = argc, .every = 50 * USEC_PER_MSEC};

	if (argc < 2 || command_value(argc, argv, "id") == NULL)
		return false;
	series.argv = g_strdupv(argv);
	series.left = (int)number_of(argc, argv, "count", 1);
	series.shift = (unsigned)number_of(argc, argv, "shift", 0);
	span_of(argc, argv, "every", &series.every);
	on_series(world, &series);
	return true;
}

/// pause, resume, crash, restart, start or leave E; reboot E: a restart that
/// is over before the membership list notices
static bool
run_life(struct world *world, int argc, char **argv)
{
	struct inst *inst = argc < 2 ? NULL : world_find_inst(world, argv[1]);
	const char *what = argv[0];

	if (inst == NULL && strcmp(what, "start") == 0 &&
	    run_instance(world, argc, argv))
		inst = world_find_inst(world, argv[1]);
	if (inst == NULL)
		return false;
	world->list_frozen = strcmp(what, "reboot") == 0;
	if (strcmp(what, "pause") == 0)
		inst->paused = inst->up;
	else if (strcmp(what, "resume") == 0)
		world_resume_inst(world, inst);
	else if (strcmp(what, "leave") == 0)
		inst_start_draining(inst);
	else if (strcmp(what, "start") == 0)
		inst_start(inst);
	else
		inst_stop(inst);
	if (strcmp(what, "restart") == 0 || strcmp(what, "reboot") == 0)
		inst_start(inst);
	world->list_frozen = false;
	return true;
}

/// kill-upstream, start-upstream, cold or garble B
static bool
run_backend(struct world *world, int argc, char **argv)
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

/// config down | up | stale [version=N]
static bool
run_config(struct world *world, int argc, char **argv)
{
	uint64_t version = (uint64_t)number_of(argc, argv, "version", 0);

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

/// publish version=N [zone-out=A,B] [upstream-out=A,B] [instance-out=A,B]
static bool
run_publish(struct world *world, int argc, char **argv)
{
	static const char *const kinds[] = {
	    "zone-out", "upstream-out", "instance-out"};
	struct bundle *bundle = world_alloc(world, sizeof(*bundle));

	bundle->version = (uint64_t)number_of(argc, argv, "version", 0);
	bundle->published_at = world->now;
	bundle->accepted_at = USEC_NEVER;
	for (int i = 0; i < 3; i++)
		bundle->taken_out[i] = (char *)g_intern_string(
		    command_value(argc, argv, kinds[i]));
	g_ptr_array_add(world->bundles, bundle);
	if (!world->config_stale)
		world->served_bundle = bundle;
	return bundle->version > 0;
}

static bool
run_list_lag(struct world *world, int argc, char **argv)
{
	return argc == 2 && command_span(argv[1], &world->list_lag);
}

static bool
run_drift(struct world *world, int argc, char **argv)
{
	struct inst *inst = argc < 2 ? NULL : world_find_inst(world, argv[1]);

	if (inst == NULL)
		return false;
	inst->clock_offset = inst_now(inst);
	inst->clock_set_at = world->now;
	inst->clock_rate = 1 + number_of(argc, argv, "ppm", 0) / 1e6;
	return true;
}

/// Runs one line's words.
bool
command_run(struct world *world, int argc, char **argv)
{
	static const struct command commands[] = {{"seed", run_seed},
	    {"timing", run_timing}, {"network", run_network},
	    {"instance", run_instance}, {"fleet", run_fleet},
	    {"upstream", run_upstream}, {"mechanism", run_mechanism},
	    {"partition", run_partition}, {"heal", run_heal},
	    {"silent", run_silent}, {"call", run_call}, {"calls", run_calls},
	    {"pause", run_life}, {"resume", run_life}, {"crash", run_life},
	    {"restart", run_life}, {"reboot", run_life}, {"start", run_life},
	    {"leave", run_life}, {"kill-upstream", run_backend},
	    {"start-upstream", run_backend}, {"cold", run_backend},
	    {"garble", run_backend}, {"config", run_config},
	    {"publish", run_publish}, {"list-lag", run_list_lag},
	    {"drift", run_drift}};

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, argv[0]) == 0)
			return commands[i].run(world, argc, argv);
	}
	return false;
}
