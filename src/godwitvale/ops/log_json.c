/* Formats log lines as JSON objects. */
#include "godwitvale/ops/log_json.h"

#include <stdbool.h>
#include <string.h>

/// Creates a log line.
///
/// @param time      time of the event, ISO 8601 in UTC
/// @param level     name of the level, one word
/// @param instance  name of the instance that logs the event
/// @param event     name of the event, one word
/// @return the line; free with json_object_put()
json_object *
log_json_new(const char *time, const char *level, const char *instance,
    const char *event)
{
	json_object *line = json_object_new_object();

	json_object_object_add(line, "time", json_object_new_string(time));
	json_object_object_add(line, "level", json_object_new_string(level));
	json_object_object_add(
	    line, "instance", json_object_new_string(instance));
	json_object_object_add(line, "event", json_object_new_string(event));
	return line;
}

/// Fields whose values are names and stay strings even if they are all digits.
static const char *const name_fields[] = {"id", "upstream", "source", "target",
    "handle", "route", "service", "peer", "zone"};

/// Checks whether a field's value is a name.
static bool
is_name_field(const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(name_fields); i++)
		if (strcmp(name_fields[i], key) == 0)
			return true;
	return false;
}

/// Converts the text of a field to a JSON integer if it is an unquoted number
/// and not a name, otherwise to a JSON string.
static json_object *
parse_value(const char *key, const char *text, size_t len, bool is_quoted)
{
	char *copy = g_strndup(text, len);
	char *rest = NULL;
	gint64 number = 0;
	json_object *value;

	if (!is_quoted && !is_name_field(key) && len > 0 && len < 19)
		number = g_ascii_strtoll(copy, &rest, 10);
	if (rest != NULL && *rest == '\0')
		value = json_object_new_int64(number);
	else
		value = json_object_new_string(copy);
	g_free(copy);
	return value;
}

/// Adds fields to a line.
///
/// @param line    line created by log_json_new()
/// @param fields  key=value pairs separated by blanks; a value with blanks is
///                in double quotes
void
log_json_add_fields(json_object *line, const char *fields)
{
	const char *at = fields;

	while (*at != '\0') {
		const char *equals = strchr(at, '=');
		const char *value;
		const char *end;
		char *key;

		if (equals == NULL)
			return;
		key = g_strndup(at, (size_t)(equals - at));
		value = equals + 1;
		if (*value == '"') {
			value++;
			end = strrchr(value, '"');
			/*
			 * A quoted value ends at the first quote that is
			 * followed by a blank or the end of the text.
			 */
			for (const char *q = strchr(value, '"'); q != NULL;
			     q = strchr(q + 1, '"'))
				if (q[1] == ' ' || q[1] == '\0') {
					end = q;
					break;
				}
			if (end == NULL)
				end = value + strlen(value);
			json_object_object_add(line, key,
			    parse_value(
				key, value, (size_t)(end - value), true));
			at = *end == '\0' ? end : end + 1;
		} else {
			end = value + strcspn(value, " ");
			json_object_object_add(line, key,
			    parse_value(
				key, value, (size_t)(end - value), false));
			at = end;
		}
		g_free(key);
		at += strspn(at, " ");
	}
}

/// Formats a line as text.
///
/// @param line  line created by log_json_new()
/// @return the text, owned by the line
const char *
log_json_to_text(json_object *line)
{
	return json_object_to_json_string_ext(line, JSON_C_TO_STRING_PLAIN);
}
