/* One request's story out of log lines. */
#include "godwitvale/ops/explain.h"

#include <string.h>

#include <json-c/json.h>

/// Beliefs are told from this long before the request's first line on, and
/// until this long after its last, in milliseconds.
#define EXPLAIN_BEFORE_MS 3000
#define EXPLAIN_AFTER_MS 200

/// One line of a log.
struct line {
	json_object *fields;
	const char *time;
	const char *instance;
	const char *event;
	gint64 at_ms;
	guint order; /// in which it was read
};

struct explain {
	char *id;
	GPtrArray *own;     /// struct line * that name the request
	GPtrArray *beliefs; /// struct line * that name no request
	guint n_lines;
};

/// How an outcome is put into words. Of the text, %s is the upstream.
struct cause {
	const char *outcome;
	const char *text;
};

static const struct cause causes[] = {
    {"answered", "it was answered by %s"},
    {"stream-cut",
	"the stream of %s broke off and there was no copy of its "
	"memory to go on from"},
    {"cut", "%s broke its answer off"},
    {"no-answer",
	"%s closed the connection without an answer; the request "
	"may have run, so it was not sent again"},
    {"garbled", "what %s sent was no answer of an upstream"},
    {"unreachable", "%s could not be reached"},
    {"resume-refused", "%s refused to go on from the copy"},
    {"resume-failed", "%s answered an error to the run that should go on"},
    {"stream-broken", "events of %s were missing or too long"},
    {"deadline",
	"no final answer came from %s in the time that the caller "
	"or the route allows"},
    {"deadline-not-run", "it waited until its time was over"},
    {"no-room",
	"every upstream of its service was full for as long as it "
	"may wait"},
    {"no-upstream", "no upstream of its service could be used"},
    {"no-service", "its route names no service"},
    {"upstream-full", "%s refused it and no further attempt was allowed"},
    {"starting", "the instance had not yet read configuration and upstreams"},
    {"leaving", "the instance was leaving and could not have finished it"},
    {"process-ends", "the instance ended before the answer was complete"},
    {"caller-gone", "the caller closed its connection"},
    {"no-route", "the configuration in force has no route for it"},
    {"unknown-key", "the configuration in force has no such key"},
};

/// @return a field's text, "" when the line has none
static const char *
field(const struct line *line, const char *name)
{
	json_object *value;

	if (!json_object_object_get_ex(line->fields, name, &value))
		return "";
	return json_object_get_string(value);
}

/// Frees a line.
static void
line_free(void *data)
{
	struct line *line = data;

	json_object_put(line->fields);
	g_free(line);
}

/// Makes an empty story.
///
/// @param id  the request's
/// @return the story; free with explain_free()
struct explain *
explain_new(const char *id)
{
	struct explain *explain = g_new0(struct explain, 1);

	explain->id = g_strdup(id);
	explain->own = g_ptr_array_new_with_free_func(line_free);
	explain->beliefs = g_ptr_array_new_with_free_func(line_free);
	return explain;
}

/// Frees a story.
///
/// @param explain  the story
void
explain_free(struct explain *explain)
{
	g_ptr_array_unref(explain->own);
	g_ptr_array_unref(explain->beliefs);
	g_free(explain->id);
	g_free(explain);
}

/// Reads a point in time.
///
/// @return Unix milliseconds, 0 when it is none
static gint64
read_time(const char *text)
{
	GDateTime *time = g_date_time_new_from_iso8601(text, NULL);
	gint64 at;

	if (time == NULL)
		return 0;
	at = g_date_time_to_unix(time) * 1000 +
	    g_date_time_get_microsecond(time) / 1000;
	g_date_time_unref(time);
	return at;
}

/// Takes one line of a log. What stands before its JSON object is passed
/// over, and so is a line without one.
///
/// @param explain  the story
/// @param text     the line
void
explain_take_line(struct explain *explain, const char *text)
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
	line->time = field(line, "time");
	line->instance = field(line, "instance");
	line->event = field(line, "event");
	line->at_ms = read_time(line->time);
	line->order = explain->n_lines++;
	id = field(line, "id");
	if (strcmp(id, explain->id) == 0)
		g_ptr_array_add(explain->own, line);
	else if (id[0] == '\0' && line->event[0] != '\0')
		g_ptr_array_add(explain->beliefs, line);
	else
		line_free(line);
}

/// Orders lines by time, then as they were read.
static gint
compare(gconstpointer a, gconstpointer b)
{
	const struct line *left = *(struct line *const *)a;
	const struct line *right = *(struct line *const *)b;

	if (left->at_ms != right->at_ms)
		return left->at_ms < right->at_ms ? -1 : 1;
	return left->order < right->order ? -1 : 1;
}

/// Notes who has a part in the story.
static void
collect(
    const struct explain *explain, GHashTable *upstreams, GHashTable *instances)
{
	static const char *const names[] = {"upstream", "source", "target"};

	for (guint i = 0; i < explain->own->len; i++) {
		const struct line *line = explain->own->pdata[i];

		g_hash_table_add(instances, (char *)line->instance);
		for (size_t j = 0; j < G_N_ELEMENTS(names); j++)
			if (field(line, names[j])[0] != '\0')
				g_hash_table_add(
				    upstreams, (char *)field(line, names[j]));
	}
}

/// Whether a belief bears on the story: one of an instance that has a part
/// in it, on one of its upstreams or on the instance itself.
static bool
bears_on(const struct line *line, GHashTable *upstreams, GHashTable *instances,
    gint64 from, gint64 until)
{
	const char *upstream = field(line, "upstream");

	if (!g_hash_table_contains(instances, line->instance) ||
	    line->at_ms < from || line->at_ms > until)
		return false;
	if (upstream[0] != '\0')
		return g_hash_table_contains(upstreams, upstream);
	return true;
}

/// Writes one line of the story.
static void
tell_line(const struct line *line, bool is_own, GString *out)
{
	g_string_append_printf(out, "%s %s %s %s", line->time, line->instance,
	    is_own ? "*" : " ", line->event);
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

/// Finds what was last believed of an upstream.
static const struct line *
last_belief(const GPtrArray *story, const char *upstream)
{
	const struct line *found = NULL;

	for (guint i = 0; i < story->len; i++) {
		const struct line *line = story->pdata[i];

		if (field(line, "id")[0] == '\0' &&
		    strcmp(field(line, "upstream"), upstream) == 0)
			found = line;
	}
	return found;
}

/// Whether a caller has gone while an upstream that was asked for a stream had
/// sent nothing.
static bool
waited_in_vain(const struct line *end)
{
	const char *upstream = field(end, "upstream");

	return strcmp(field(end, "outcome"), "caller-gone") == 0 &&
	    strcmp(field(end, "events"), "0") == 0 && upstream[0] != '\0' &&
	    strcmp(upstream, "-") != 0;
}

/// Writes why a request ended as it did.
static void
tell_cause(const GPtrArray *story, const struct line *end, GString *out)
{
	const char *outcome = field(end, "outcome");
	const char *upstream = field(end, "upstream");
	const struct line *belief = last_belief(story, upstream);
	const char *text = "its outcome has no words here";

	for (size_t i = 0; i < G_N_ELEMENTS(causes); i++)
		if (strcmp(causes[i].outcome, outcome) == 0)
			text = causes[i].text;
	if (waited_in_vain(end))
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
	g_string_append_printf(out, " (status %s, %s)\n", field(end, "status"),
	    field(end, "verdict"));
	if (belief != NULL)
		g_string_append_printf(out,
		    "belief: %s, %" G_GINT64_FORMAT " ms before the end\n",
		    belief->event, end->at_ms - belief->at_ms);
	else if (upstream[0] != '\0' && strcmp(upstream, "-") != 0)
		g_string_append(
		    out, "belief: nothing was told of that upstream before\n");
}

/// Writes the story.
///
/// @param explain  the story
/// @param out      appended to
/// @return false when no line names the request
bool
explain_tell(struct explain *explain, GString *out)
{
	GHashTable *upstreams = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *instances = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *story = g_ptr_array_new();
	const struct line *end = NULL;
	gint64 from;
	gint64 until;

	if (explain->own->len == 0)
		goto out;
	g_ptr_array_sort(explain->own, compare);
	from =
	    ((struct line *)explain->own->pdata[0])->at_ms - EXPLAIN_BEFORE_MS;
	until =
	    ((struct line *)explain->own->pdata[explain->own->len - 1])->at_ms +
	    EXPLAIN_AFTER_MS;
	collect(explain, upstreams, instances);
	for (guint i = 0; i < explain->own->len; i++)
		g_ptr_array_add(story, explain->own->pdata[i]);
	for (guint i = 0; i < explain->beliefs->len; i++)
		if (bears_on(explain->beliefs->pdata[i], upstreams, instances,
			from, until))
			g_ptr_array_add(story, explain->beliefs->pdata[i]);
	g_ptr_array_sort(story, compare);
	for (guint i = 0; i < story->len; i++) {
		const struct line *line = story->pdata[i];
		bool is_own = field(line, "id")[0] != '\0';

		tell_line(line, is_own, out);
		if (is_own && strcmp(line->event, "request-ended") == 0)
			end = line;
	}
	if (end != NULL)
		tell_cause(story, end, out);
	else
		g_string_append(out,
		    "cause: no line ends it; its instance was killed, or its "
		    "lines were dropped\n");
out:
	g_ptr_array_unref(story);
	g_hash_table_unref(upstreams);
	g_hash_table_unref(instances);
	return explain->own->len > 0;
}
