/*
 * Runs scripts: parses their lines, runs the commands at their times, and
 * checks the expectations at the end of the simulation.
 */
#include "scenario.h"

#include <stdlib.h>
#include <string.h>

#include "godwitvale/core/verdict.h"

/// Time for which the simulation continues after the last timed command.
#define TIME_AFTER_LAST_COMMAND (40 * USEC_PER_SEC)
/// Default time for which the fleet runs before time 0 of the script.
#define SETTLE_TIME (100 * USEC_PER_SEC)

/// A parsed line: a timed command, or an expectation, which is checked at the
/// end of the simulation.
struct line {
	usec_t at;  /// after time 0 of the script; 0 for an expectation
	int number; /// of the line in the script, from 1
	int argc;
	char **argv;
	GString *out;
};

/// A parsed script.
struct script {
	GPtrArray *timed;        /// struct line
	GPtrArray *expectations; /// struct line
	usec_t settle;           /// time for which the fleet runs before time 0
	usec_t end;              /// of the simulation, after time 0
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
report_failure(struct script *script, int number, const char *text)
{
	script->failed = true;
	g_string_append_printf(
	    script->out, "line %d: FAILED %s\n", number, text);
}

static void
on_timed_line(struct world *world, void *data)
{
	struct line *line = data;

	if (!command_run(world, line->argc, line->argv))
		g_string_append_printf(
		    line->out, "line %d: invalid command\n", line->number);
}

/// Stores the command of a line "at TIME COMMAND ..".
/// @param words   the whole line, split into words
/// @param number  of the line in the script, from 1
/// @return false if the time is malformed or the command is missing
static bool
add_timed_line(struct script *script, const struct line *words, int number)
{
	struct line *line = g_new0(struct line, 1);

	g_ptr_array_add(script->timed, line);
	line->number = number;
	line->out = script->out;
	if (words->argc < 3 || !command_parse_span(words->argv[1], &line->at))
		return false;
	line->argc = words->argc - 2;
	line->argv = g_strdupv(words->argv + 2);
	script->end = MAX(script->end, line->at + TIME_AFTER_LAST_COMMAND);
	return true;
}

/// Runs an untimed command at once, and stores a timed command or an
/// expectation for later.
/// @return false if the line is invalid
static bool
parse_line(
    struct world *world, struct script *script, const char *text, int number)
{
	struct line line = {.number = number};
	struct line *expectation;
	bool ok = true;

	if (!g_shell_parse_argv(text, &line.argc, &line.argv, NULL))
		return false;
	if (strcmp(line.argv[0], "at") == 0) {
		ok = add_timed_line(script, &line, number);
	} else if (strcmp(line.argv[0], "expect") == 0) {
		expectation = g_memdup2(&line, sizeof(line));
		g_ptr_array_add(script->expectations, expectation);
		return line.argc > 2;
	} else if (strcmp(line.argv[0], "settle") == 0) {
		ok = line.argc == 2 &&
		    command_parse_span(line.argv[1], &script->settle);
	} else {
		ok = command_run(world, line.argc, line.argv);
	}
	g_strfreev(line.argv);
	return ok;
}

static void
parse_text(struct world *world, struct script *script, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);

	for (int i = 0; lines[i] != NULL; i++) {
		char *hash = strchr(lines[i], '#');

		if (hash != NULL)
			*hash = '\0';
		g_strstrip(lines[i]);
		if (*lines[i] != '\0' &&
		    !parse_line(world, script, lines[i], i + 1))
			report_failure(script, i + 1, "invalid line");
	}
	g_strfreev(lines);
}

/// Starts the fleet, runs the timed commands, and checks the final state. If
/// the script publishes no bundle before time 0, the fleet starts with
/// version 1.
static void
run_simulation(struct world *world, struct script *script)
{
	char *first_bundle[] = {"publish", "version=1", NULL};

	if (world->bundles->len == 0)
		command_run(world, 2, first_bundle);
	for (guint i = 0; i < world->insts->len; i++)
		inst_start(world->insts->pdata[i]);
	world_run_until(world, script->settle);
	world->start = world->now;
	for (guint i = 0; i < script->timed->len; i++) {
		struct line *line = script->timed->pdata[i];

		world_schedule(
		    world, line->at, NULL, on_timed_line, line, false);
	}
	world_run_until(world, world->start + script->end);
	check_unanswered_calls(world);
}

static const char *
outcome_name(const struct call *call)
{
	static const char *const names[] = {
	    "none", "whole", "refused", "failed"};

	return names[call->outcome];
}

/// Checks whether a word names the outcome, the reason or, once the call has
/// ended, the verdict of the call.
static bool
call_matches(const struct call *call, const char *word)
{
	return strcmp(word, outcome_name(call)) == 0 ||
	    (call->reason != NULL && strcmp(word, call->reason) == 0) ||
	    (call->outcome != OUTCOME_NONE &&
		strcmp(word, verdict_name(call->verdict)) == 0);
}

/// answer E id=I WORD..: the last call with ID I at instance E matches all of
/// the words.
static bool
expect_answer(const struct world *world, const struct line *line)
{
	const char *id = command_find_value(line->argc, line->argv, "id");
	const struct call *found = NULL;
	bool ok = true;

	for (guint i = 0; i < world->calls->len; i++) {
		const struct call *call = world->calls->pdata[i];

		if (g_strcmp0(call->id, id) == 0 &&
		    strcmp(call->inst->end.name, line->argv[2]) == 0)
			found = call;
	}
	for (int i = 4; i < line->argc; i++)
		ok = ok && found != NULL && call_matches(found, line->argv[i]);
	return found != NULL && ok;
}

/// calls G WORD >= N, or == N: at least or exactly N calls of series G match
/// the word.
static bool
expect_calls(const struct world *world, const struct line *line)
{
	unsigned count = 0;

	if (line->argc != 6)
		return false;
	for (guint i = 0; i < world->calls->len; i++) {
		const struct call *call = world->calls->pdata[i];

		count += g_strcmp0(call->group, line->argv[2]) == 0 &&
		    call_matches(call, line->argv[3]);
	}
	if (strcmp(line->argv[4], "==") == 0)
		return count == strtoul(line->argv[5], NULL, 10);
	return count >= strtoul(line->argv[5], NULL, 10);
}

/// runs id=I <= N, or == N: at most or exactly N calls with ID I ran at an
/// upstream.
static bool
expect_runs(const struct world *world, const struct line *line)
{
	const char *id = command_find_value(line->argc, line->argv, "id");
	unsigned runs = id == NULL ? 0 : check_count_runs(world, id);

	if (line->argc != 5 || id == NULL)
		return false;
	if (strcmp(line->argv[3], "==") == 0)
		return runs == strtoul(line->argv[4], NULL, 10);
	return runs <= strtoul(line->argv[4], NULL, 10);
}

/// accepted version=N within=SPAN: an instance accepted the bundle of version
/// N within SPAN of the publication of the bundle.
static bool
expect_accepted(const struct world *world, const struct line *line)
{
	const char *version =
	    command_find_value(line->argc, line->argv, "version");
	usec_t within = 0;

	command_parse_span(
	    command_find_value(line->argc, line->argv, "within"), &within);
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

/// in-force version=N: the bundle of version N is in force at all instances
/// that are up.
static bool
expect_in_force(const struct world *world, const struct line *line)
{
	const char *version =
	    command_find_value(line->argc, line->argv, "version");

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
is_expectation_met(struct world *world, const struct line *line)
{
	const char *kind = line->argv[1];

	if (strcmp(kind, "answer") == 0)
		return expect_answer(world, line);
	if (strcmp(kind, "calls") == 0)
		return expect_calls(world, line);
	if (strcmp(kind, "runs") == 0)
		return expect_runs(world, line);
	if (strcmp(kind, "accepted") == 0)
		return expect_accepted(world, line);
	if (strcmp(kind, "in-force") == 0)
		return expect_in_force(world, line);
	if (strcmp(kind, "violation") == 0)
		return g_hash_table_remove(world->violations, line->argv[2]);
	return false;
}

/// Writes the outcome of each call, except for the calls of a series.
static void
write_outcomes(const struct world *world, GString *out)
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

/// Runs a script without cases in a new world.
/// @param out  receives the outcomes of calls, expectations and violations
/// @param ok   receives whether all expectations and invariants hold
/// @return the world, which the caller must free
struct world *
script_play(const char *text, GString *out, bool *ok)
{
	struct world *world = world_new();
	struct script script = {.settle = SETTLE_TIME, .out = out};
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	script.timed = g_ptr_array_new_with_free_func(line_free);
	script.expectations = g_ptr_array_new_with_free_func(line_free);
	parse_text(world, &script, text);
	run_simulation(world, &script);
	write_outcomes(world, out);
	for (guint i = 0; i < script.expectations->len; i++) {
		const struct line *line = script.expectations->pdata[i];
		char *joined = g_strjoinv(" ", line->argv);

		if (is_expectation_met(world, line))
			g_string_append_printf(out, "%s: met\n", joined);
		else
			report_failure(&script, line->number, joined);
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
	g_ptr_array_unref(script.expectations);
	return world;
}

/// Runs one case of a script: the prelude, then the lines of the case.
/// @param name     of the case, or NULL for a script without cases
/// @param prelude  lines before the first case, shared by all cases
static bool
run_case(const char *name, const char *prelude, const char *text, GString *out)
{
	char *full_text = g_strconcat(prelude, text, NULL);
	bool ok;

	if (name != NULL)
		g_string_append_printf(out, "== %s\n", name);
	world_free(script_play(full_text, out, &ok));
	g_free(full_text);
	return ok;
}

/// Runs each case of a script in a separate world, and writes the results.
/// @return true if all cases pass
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
