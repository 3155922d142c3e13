/* Reconstructs the timeline of one request from log lines. */
#include "godwitvale/ops/explain.h"

#include <string.h>

#include <json-c/json.h>

/// Context lines are included from this long before the request's first line to
/// this long after its last line, in milliseconds.
#define EXPLAIN_BEFORE_MS 3000
#define EXPLAIN_AFTER_MS 200

/// A parsed line of a log.
struct line {
	json_object *fields;
	const char *time;
	const char *instance;
	const char *event;
	gint64 at_ms;
	guint position; /// number of lines read before it
};

struct explain {
	char *id;
	GPtrArray *request_lines; /// struct line *, with the request's id
	GPtrArray *context_lines; /// struct line *, without a request id
	guint n_lines;
};

/// Describes an outcome. The text's %s stands for the upstream.
struct cause {
	const char *outcome;
	const char *text;
};

static const struct cause causes[] = {
    {"answered", "it was answered by %s"},
    {"stream-cut",
	"the stream from %s was cut off and there was no copy of the "
	"generation's memory to resume from"},
    {"cut", "%s closed the connection in the middle of its answer"},
    {"no-answer",
	"%s closed the connection without an answer; the request "
	"may have run, so it was not sent again"},
    {"garbled", "%s sent something that is not a valid answer"},
    {"unreachable", "%s could not be reached"},
    {"resume-refused", "%s refused to resume from the copy"},
    {"resume-unreachable",
	"%s, which held the copy of its generation, accepted no connection "
	"for seconds"},
    {"resume-target-gone",
	"%s, which held the copy of its generation, was not to get requests "
	"any more"},
    {"resume-failed", "%s answered the attempt to resume with an error"},
    {"deadline",
	"no final answer came from %s within the time limit of the "
	"caller or the route"},
    {"deadline-not-run", "its deadline passed while it waited for an upstream"},
    {"no-room",
	"every upstream of its service stayed full for as long as it "
	"was allowed to wait"},
    {"no-upstream", "no upstream of its service was usable"},
    {"no-upstream-of-version",
	"no upstream of the software version that began its stream was "
	"usable"},
    {"stream-unknown",
	"its caller takes up a stream, no instance remembers which software "
	"version began it, and its service has had several, or may have"},
    {"status-withheld",
	"%s answered with a status that tells callers that a request has not "
	"run, but did not state that it has not run this one (see "
	"answer-status-withheld)"},
    {"no-service", "its route names no service"},
    {"upstream-full", "%s refused it and no further attempt was allowed"},
    {"quarantined",
	"its prompt has a segment that crashes engines (see "
	"segments-quarantined and upstream-cut-at-start)"},
    {"request-quarantined",
	"it crashes the upstreams that run it (see request-quarantined and "
	"upstream-cut-at-start with its fingerprint)"},
    {"forward-refused",
	"the instance reaches no upstream of its service, and the others that "
	"it asked have not served it (see request-forwarded)"},
    {"forward-failed",
	"the instance reaches no upstream of its service, and the one that it "
	"asked failed (see request-forwarded)"},
    {"forward-cut-off",
	"another instance forwarded it here, but this one reaches no upstream "
	"of its service either"},
    {"forward-older-config",
	"another instance forwarded it here before this one had the same "
	"configuration"},
    {"forward-overload",
	"another instance forwarded it here, but too many connections of "
	"callers were in use"},
    {"forward-unknown-sender",
	"it claims to be forwarded by an instance that isn't known here"},
    {"no-retry-permit",
	"it is the retry of an attempt at another instance, and the retry "
	"budget of its service was used up"},
    {"upstreams-paused",
	"every upstream of its service has asked for a pause (see "
	"upstream-asks-pause)"},
    {"upstreams-limited",
	"every upstream of its service has named a limit that other requests "
	"use up (see upstream-limit-named)"},
    {"starting",
	"the instance had not yet read its configuration and upstreams"},
    {"leaving",
	"the instance was shutting down and could not have finished it"},
    {"process-ends", "the instance exited before the answer was complete"},
    {"caller-gone", "the caller closed its connection"},
    {"no-route", "the configuration in force has no route for it"},
    {"unknown-key", "the configuration in force has no such key"},
};

/// Returns the text of a field, or "" when the line doesn't have it.
static const char *
get_field(const struct line *line, const char *name)
{
	json_object *value;

	if (!json_object_object_get_ex(line->fields, name, &value))
		return "";
	return json_object_get_string(value);
}

/// Frees a struct line.
static void
line_free(void *data)
{
	struct line *line = data;

	json_object_put(line->fields);
	g_free(line);
}

/// Creates an empty timeline.
///
/// @param id  id of the request
/// @return the timeline; free with explain_free()
struct explain *
explain_new(const char *id)
{
	struct explain *explain = g_new0(struct explain, 1);

	explain->id = g_strdup(id);
	explain->request_lines = g_ptr_array_new_with_free_func(line_free);
	explain->context_lines = g_ptr_array_new_with_free_func(line_free);
	return explain;
}

/// Frees a timeline.
void
explain_free(struct explain *explain)
{
	g_ptr_array_unref(explain->request_lines);
	g_ptr_array_unref(explain->context_lines);
	g_free(explain->id);
	g_free(explain);
}

/// Parses an ISO 8601 time.
///
/// @return Unix time in milliseconds, 0 when the text is not a time
static gint64
parse_time(const char *text)
{
	GDateTime *time = g_date_time_new_from_iso8601(text, NULL);
	gint64 time_ms;

	if (time == NULL)
		return 0;
	time_ms = g_date_time_to_unix(time) * 1000 +
	    g_date_time_get_microsecond(time) / 1000;
	g_date_time_unref(time);
	return time_ms;
}

/// Adds a line of a log. Text before the line's JSON object is ignored, and so
/// are lines without a JSON object.
///
/// @param explain  timeline that the line may belong to
/// @param text     the line
void
explain_add_line(struct explain *explain, const char *text)
{
	const char *brace = strchr(text, '{');
	json_object *fields = brace == NULL ? NULL : json_tokener_parse(brace);
	struct line *line;
	const char *id;

	if (fields == NULL || !json_object_is_type(fields, json_type_object)) {
		json_object_put(fields);
		return;
	}
	line = g_new0(struct line, 1);
	line->fields = fields;
	line->time = get_field(line, "time");
	line->instance = get_field(line, "instance");
	line->event = get_field(line, "event");
	line->at_ms = parse_time(line->time);
	line->position = explain->n_lines++;
	id = get_field(line, "id");
	if (strcmp(id, explain->id) == 0)
		g_ptr_array_add(explain->request_lines, line);
	else if (id[0] == '\0' && line->event[0] != '\0')
		g_ptr_array_add(explain->context_lines, line);
	else
		line_free(line);
}

/// Compares two lines by time, then by the order of reading.
static gint
compare_lines(gconstpointer a, gconstpointer b)
{
	const struct line *left = *(struct line *const *)a;
	const struct line *right = *(struct line *const *)b;

	if (left->at_ms != right->at_ms)
		return left->at_ms < right->at_ms ? -1 : 1;
	return left->position < right->position ? -1 : 1;
}

/// Collects the upstreams and instances that the request's lines name.
static void
collect_participants(
    const struct explain *explain, GHashTable *upstreams, GHashTable *instances)
{
	static const char *const names[] = {"upstream", "source", "target"};

	for (guint i = 0; i < explain->request_lines->len; i++) {
		const struct line *line = explain->request_lines->pdata[i];

		g_hash_table_add(instances, (char *)line->instance);
		for (size_t j = 0; j < G_N_ELEMENTS(names); j++)
			if (get_field(line, names[j])[0] != '\0')
				g_hash_table_add(upstreams,
				    (char *)get_field(line, names[j]));
	}
}

/// Checks whether a context line belongs to the timeline: an instance that
/// handled the request logged it within the time range, and it is about one of
/// the request's upstreams or about no upstream.
static bool
is_relevant(const struct line *line, GHashTable *upstreams,
    GHashTable *instances, gint64 from, gint64 until)
{
	const char *upstream = get_field(line, "upstream");

	if (!g_hash_table_contains(instances, line->instance) ||
	    line->at_ms < from || line->at_ms > until)
		return false;
	if (upstream[0] != '\0')
		return g_hash_table_contains(upstreams, upstream);
	return true;
}

/// Writes one line of the timeline.
static void
write_line(const struct line *line, bool names_request, GString *out)
{
	g_string_append_printf(out, "%s %s %s %s", line->time, line->instance,
	    names_request ? "*" : " ", line->event);
	json_object_object_foreach(line->fields, key, value)
	{
		if (strcmp(key, "time") == 0 || strcmp(key, "level") == 0 ||
		    strcmp(key, "instance") == 0 || strcmp(key, "event") == 0 ||
		    strcmp(key, "id") == 0)
			continue;
		g_string_append_printf(
		    out, " %s=%s", key, json_object_get_string(value));
	}
	g_string_append_c(out, '\n');
}

/// Finds the last context line about an upstream; NULL when there is none.
static const struct line *
find_last_upstream_event(const GPtrArray *timeline, const char *upstream)
{
	const struct line *found = NULL;

	for (guint i = 0; i < timeline->len; i++) {
		const struct line *line = timeline->pdata[i];

		if (get_field(line, "id")[0] == '\0' &&
		    strcmp(get_field(line, "upstream"), upstream) == 0)
			found = line;
	}
	return found;
}

/// Checks whether the caller closed its connection before the upstream sent the
/// first event of a stream.
static bool
caller_left_before_first_event(const struct line *end)
{
	const char *upstream = get_field(end, "upstream");

	return strcmp(get_field(end, "outcome"), "caller-gone") == 0 &&
	    strcmp(get_field(end, "events"), "0") == 0 && upstream[0] != '\0' &&
	    strcmp(upstream, "-") != 0;
}

/// Writes why the request ended, and the last event logged about its upstream.
static void
write_cause(const GPtrArray *timeline, const struct line *end, GString *out)
{
	const char *outcome = get_field(end, "outcome");
	const char *upstream = get_field(end, "upstream");
	const struct line *last_event =
	    find_last_upstream_event(timeline, upstream);
	const char *text = "this version has no description of the outcome";

	for (size_t i = 0; i < G_N_ELEMENTS(causes); i++)
		if (strcmp(causes[i].outcome, outcome) == 0)
			text = causes[i].text;
	if (caller_left_before_first_event(end))
		text = "%s had sent no event yet when the caller closed its "
		       "connection";
	g_string_append(out, "cause: ");
	for (const char *at = text; *at != '\0'; at++) {
		if (at[0] == '%' && at[1] == 's') {
			g_string_append(out, upstream);
			at++;
		} else {
			g_string_append_c(out, *at);
		}
	}
	g_string_append_printf(out, " (status %s, %s)\n",
	    get_field(end, "status"), get_field(end, "verdict"));
	if (last_event != NULL)
		g_string_append_printf(out,
		    "last event: %s, %" G_GINT64_FORMAT " ms before the end\n",
		    last_event->event, end->at_ms - last_event->at_ms);
	else if (upstream[0] != '\0' && strcmp(upstream, "-") != 0)
		g_string_append(
		    out, "last event: none of that upstream was logged\n");
}

/// Writes the timeline and the cause of the request's end.
///
/// @param explain  timeline with all lines added
/// @param out      the text is appended to it
/// @return false when no line has the request's id
bool
explain_write(struct explain *explain, GString *out)
{
	GHashTable *upstreams = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *instances = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *timeline = g_ptr_array_new();
	const struct line *end = NULL;
	gint64 from;
	gint64 until;

	if (explain->request_lines->len == 0)
		goto out;
	g_ptr_array_sort(explain->request_lines, compare_lines);
	from = ((struct line *)explain->request_lines->pdata[0])->at_ms -
	    EXPLAIN_BEFORE_MS;
	until = ((struct line *)explain->request_lines
			->pdata[explain->request_lines->len - 1])
		    ->at_ms +
	    EXPLAIN_AFTER_MS;
	collect_participants(explain, upstreams, instances);
	for (guint i = 0; i < explain->request_lines->len; i++)
		g_ptr_array_add(timeline, explain->request_lines->pdata[i]);
	for (guint i = 0; i < explain->context_lines->len; i++)
		if (is_relevant(explain->context_lines->pdata[i], upstreams,
			instances, from, until))
			g_ptr_array_add(
			    timeline, explain->context_lines->pdata[i]);
	g_ptr_array_sort(timeline, compare_lines);
	for (guint i = 0; i < timeline->len; i++) {
		const struct line *line = timeline->pdata[i];
		bool names_request = get_field(line, "id")[0] != '\0';

		write_line(line, names_request, out);
		if (names_request && strcmp(line->event, "request-ended") == 0)
			end = line;
	}
	if (end != NULL)
		write_cause(timeline, end, out);
	else
		g_string_append(out,
		    "cause: unknown, as the end of the request was not logged; "
		    "its instance was killed, or log lines were dropped\n");
out:
	g_ptr_array_unref(timeline);
	g_hash_table_unref(upstreams);
	g_hash_table_unref(instances);
	return explain->request_lines->len > 0;
}
