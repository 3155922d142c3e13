/* Scripts: a line at a time into the world, then what is expected of it. */
#include "scenario.h"

#include <stdlib.h>
#include <string.h>

#include "godwitvale/core/verdict.h"

/// A run goes on for this long after its last event.
#define AFTERMATH (40 * USEC_PER_SEC)
/// The fleet runs this long before time 0 of the script.
#define SETTLE (100 * USEC_PER_SEC)

/// A line that waits for its time, or for the end.
struct line {
	usec_t at;
	int number;
	int argc;
	char **argv;
	GString *out;
};

struct script {
	GPtrArray *timed;   /// struct line
	GPtrArray *expects; /// struct line
	usec_t settle, end;
	GString *out;
	bool failed;
};

static void
line_free(void *data)
{
	struct line *line = data;

	g_strfreev(line->argv);
	g_free(line);
}

static void
fail(struct script *script, int number, const char *text)
{
	script->failed = true;
	g_string_append_printf(
	    script->out, "line %d: FAILED %s\n", number, text);
}

static void
on_line(struct world *world, void *data)
{
	struct line *line = data;

	if (!command_run(world, line->argc, line->argv))
		g_string_append_printf(
		    line->out, "line %d: not understood\n", line->number);
}

static bool
take_timed(struct script *script, const struct line *from, int number)
{
	struct line *line = g_new0(struct line, 1);

	g_ptr_array_add(script->timed, line);
	line->number = number;
	line->out = script->out;
	if (from->argc < 3 || !command_span(from->argv[1], &line->at))
		return false;
	line->argc = from->argc - 2;
	line->argv = g_strdupv(from->argv + 2);
	script->end = MAX(script->end, line->at + AFTERMATH);
	return true;
}

/// Takes a line; true where it was understood.
static bool
take_line(
    struct world *world, struct script *script, const char *text, int number)
{
	struct line line = {.number = number};
	struct line *kept;
	bool good = true;

	if (!g_shell_parse_argv(text, &line.argc, &line.argv, NULL))
		return false;
	if (strcmp(line.argv[0], "at") == 0) {
		good = take_timed(script, &line, number);
	} else if (strcmp(line.argv[0], "expect") == 0) {
		kept = g_memdup2(&line, sizeof(line));
		g_ptr_array_add(script->expects, kept);
		return line.argc > 2;
	} else if (strcmp(line.argv[0], "settle") == 0) {
		good = line.argc == 2 &&
		    command_span(line.argv[1], &script->settle);
	} else {
		good = command_run(world, line.argc, line.argv);
	}
	g_strfreev(line.argv);
	return good;
}

static void
take_text(struct world *world, struct script *script, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);

	for (int i = 0; lines[i] != NULL; i++) {
		char *hash = strchr(lines[i], '#');

		if (hash != NULL)
			*hash = '\0';
		g_strstrip(lines[i]);
		if (*lines[i] != '\0' &&
		    !take_line(world, script, lines[i], i + 1))
			fail(script, i + 1, "not understood");
	}
	g_strfreev(lines);
}

static void
play(struct world *world, struct script *script)
{
	char *first[] = {"publish", "version=1", NULL};

	if (world->bundles->len == 0)
		command_run(world, 2, first);
	for (guint i = 0; i < world->insts->len; i++)
		inst_start(world->insts->pdata[i]);
	world_run_until(world, script->settle);
	world->start = world->now;
	for (guint i = 0; i < script->timed->len; i++) {
		struct line *line = script->timed->pdata[i];

		world_schedule(world, line->at, NULL, on_line, line, false);
	}
	world_run_until(world, world->start + script->end);
	check_end(world);
}

static const char *
outcome_name(const struct call *call)
{
	static const char *const names[] = {
	    "none", "whole", "refused", "failed"};

	return names[call->outcome];
}

static bool
meets(const struct call *call, const char *word)
{
	return strcmp(word, outcome_name(call)) == 0 ||
	    (call->reason != NULL && strcmp(word, call->reason) == 0) ||
	    (call->outcome != OUTCOME_NONE &&
		strcmp(word, verdict_name(call->verdict)) == 0);
}

/// answer E id=I WORD.. : the last such arrival there ended so
static bool
expect_answer(const struct world *world, const struct line *line)
{
	const char *id = command_value(line->argc, line->argv, "id");
	const struct call *found = NULL;
	bool good = true;

	for (guint i = 0; i < world->calls->len; i++) {
		const struct call *call = world->calls->pdata[i];

		if (g_strcmp0(call->id, id) == 0 &&
		    strcmp(call->inst->end.name, line->argv[2]) == 0)
			found = call;
	}
	for (int i = 4; i < line->argc; i++)
		good = good && found != NULL && meets(found, line->argv[i]);
	return found != NULL && good;
}

/// calls G WORD.. >= N: so many of a series ended so
static bool
expect_calls(const struct world *world, const struct line *line)
{
	unsigned count = 0;

	if (line->argc != 6)
		return false;
	for (guint i = 0; i < world->calls->len; i++) {
		const struct call *call = world->calls->pdata[i];

		count += g_strcmp0(call->group, line->argv[2]) == 0 &&
		    meets(call, line->argv[3]);
	}
	if (strcmp(line->argv[4], "==") == 0)
		return count == strtoul(line->argv[5], NULL, 10);
	return count >= strtoul(line->argv[5], NULL, 10);
}

static bool
expect_runs(const struct world *world, const struct line *line)
{
	const char *id = command_value(line->argc, line->argv, "id");
	unsigned runs = id == NULL ? 0 : check_runs(world, id);

	if (line->argc != 5 || id == NULL)
		return false;
	if (strcmp(line->argv[3], "==") == 0)
		return runs == strtoul(line->argv[4], NULL, 10);
	return runs <= strtoul(line->argv[4], NULL, 10);
}

/// accepted version=N within=SPAN of its publication
static bool
expect_accepted(const struct world *world, const struct line *line)
{
	const char *version = command_value(line->argc, line->argv, "version");
	usec_t within = 0;

	command_span(command_value(line->argc, line->argv, "within"), &within);
	for (guint i = 0; i < world->bundles->len; i++) {
		const struct bundle *bundle = world->bundles->pdata[i];

		if (version != NULL &&
		    bundle->version == strtoul(version, NULL, 10))
			return bundle->accepted_at != USEC_NEVER &&
			    bundle->accepted_at <=
			    bundle->published_at + within;
	}
	return false;
}

/// in-force version=N: at all instances that are up
static bool
expect_in_force(const struct world *world, const struct line *line)
{
	const char *version = command_value(line->argc, line->argv, "version");

	for (guint i = 0; i < world->insts->len; i++) {
		const struct inst *inst = world->insts->pdata[i];

		if (inst->up &&
		    (inst->bundle == NULL || version == NULL ||
			inst->bundle->version != strtoul(version, NULL, 10)))
			return false;
	}
	return true;
}

static bool
meets_expectation(struct world *world, const struct line *line)
{
	const char *what = line->argv[1];

	if (strcmp(what, "answer") == 0)
		return expect_answer(world, line);
	if (strcmp(what, "calls") == 0)
		return expect_calls(world, line);
	if (strcmp(what, "runs") == 0)
		return expect_runs(world, line);
	if (strcmp(what, "accepted") == 0)
		return expect_accepted(world, line);
	if (strcmp(what, "in-force") == 0)
		return expect_in_force(world, line);
	if (strcmp(what, "violation") == 0)
		return g_hash_table_remove(world->violations, line->argv[2]);
	return false;
}

/// Writes what each caller got; series are summed up.
static void
write_trace(const struct world *world, GString *out)
{
	for (guint i = 0; i < world->calls->len; i++) {
		const struct call *call = world->calls->pdata[i];

		if (call->group != NULL)
			continue;
		g_string_append_printf(out, "%s id=%s %s %s",
		    call->inst->end.name, call->id, outcome_name(call),
		    call->reason == NULL ? "-" : call->reason);
		if (call->outcome != OUTCOME_NONE)
			g_string_append_printf(
			    out, " %s", verdict_name(call->verdict));
		if (call->engine)
			g_string_append_printf(
			    out, " tokens=%u", call->n_tokens);
		g_string_append_c(out, '\n');
	}
}

/// Plays a script. The world is the caller's to free.
struct world *
script_play(const char *text, GString *out, bool *ok)
{
	struct world *world = world_new();
	struct script script = {.settle = SETTLE, .out = out};
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	script.timed = g_ptr_array_new_with_free_func(line_free);
	script.expects = g_ptr_array_new_with_free_func(line_free);
	take_text(world, &script, text);
	play(world, &script);
	write_trace(world, out);
	for (guint i = 0; i < script.expects->len; i++) {
		const struct line *line = script.expects->pdata[i];
		char *joined = g_strjoinv(" ", line->argv);

		if (meets_expectation(world, line))
			g_string_append_printf(out, "%s: met\n", joined);
		else
			fail(&script, line->number, joined);
		g_free(joined);
	}
	g_hash_table_iter_init(&iter, world->violations);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		script.failed = true;
		g_string_append_printf(out, "VIOLATION %s: %s\n",
		    (const char *)name, (const char *)value);
	}
	*ok = !script.failed;
	g_ptr_array_unref(script.timed);
	g_ptr_array_unref(script.expects);
	return world;
}

/// Plays one case: what stands before the first one, then its own lines.
static bool
run_case(const char *name, const char *prelude, const char *text, GString *out)
{
	char *whole = g_strconcat(prelude, text, NULL);
	bool ok;

	if (name != NULL)
		g_string_append_printf(out, "== %s\n", name);
	world_free(script_play(whole, out, &ok));
	g_free(whole);
	return ok;
}

/// Plays a script, each of its cases in a world of its own.
bool
script_run(const char *text, GString *out)
{
	char **parts = g_strsplit(text, "\ncase ", -1);
	bool ok = true;

	if (parts[1] == NULL)
		ok = run_case(NULL, "", text, out);
	for (int i = 1; parts[0] != NULL && parts[i] != NULL; i++) {
		char *body = strchr(parts[i], '\n');
		char *name = g_strndup(parts[i],
		    body == NULL ? strlen(parts[i])
				 : (size_t)(body - parts[i]));

		ok = run_case(name, parts[0], body == NULL ? "" : body, out) &&
		    ok;
		g_free(name);
	}
	g_strfreev(parts);
	return ok;
}
