/* Option tables: filling, clearing and printing the structs they describe. */
#include "godwitvale/ops/json.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdint.h>
#include <string.h>

#include "godwitvale/core/time_defs.h"

/// Stores an integer in a field, converted to the type of the field.
///
/// @param option  an option with an integer type or JSON_DURATION_MS
/// @param field   destination
/// @param value   integer within the option's bounds
static void
store_integer(const struct json_option *option, void *field, int64_t value)
{
	switch (option->type) {
	case JSON_INT:
		*(int *)field = (int)value;
		break;
	case JSON_UINT16:
		*(uint16_t *)field = (uint16_t)value;
		break;
	case JSON_UINT32:
		*(uint32_t *)field = (uint32_t)value;
		break;
	case JSON_UINT64:
		*(uint64_t *)field = (uint64_t)value;
		break;
	default:
		*(usec_t *)field = value * USEC_PER_MSEC;
		break;
	}
}

/// Stores a JSON string.
///
/// @param option  an option whose value is written as a string
/// @param value   JSON value of any type
/// @param target  struct that contains the field
/// @return false when the value is invalid for the option
static bool
store_string(const struct json_option *option, json_object *value, char *target)
{
	const char *text = json_object_get_string(value);
	size_t len = (size_t)json_object_get_string_len(value);

	if (!json_object_is_type(value, json_type_string) ||
	    strlen(text) != len)
		return false;
	switch (option->type) {
	case JSON_STRING:
		if ((double)len < option->min || (double)len > option->max)
			return false;
		for (size_t i = 0; i < len; i++)
			if ((unsigned char)text[i] < ' ' || text[i] == 0x7f)
				return false;
		*(char **)(target + option->offset) = g_strdup(text);
		return true;
	case JSON_ADDRESS:
		return json_parse_address(text,
		    (char **)(target + option->offset),
		    (uint16_t *)(target + option->port_offset));
	case JSON_HEX:
		return json_parse_hex(text,
		    (uint8_t *)(target + option->offset), (size_t)option->max);
	default:
		for (int i = 0; option->choices[i] != NULL; i++) {
			if (strcmp(option->choices[i], text) != 0)
				continue;
			*(int *)(target + option->offset) =
			    (int)option->min + i;
			return true;
		}
		return false;
	}
}

/// Checks whether a JSON value may be the value of a numeric option. Durations
/// may be written with an exponent, such as 7.5e3, if they are whole.
///
/// @param option  an option whose value is a number
/// @param value   JSON value of any type
/// @return whether its type fits
static bool
is_number_for(const struct json_option *option, json_object *value)
{
	double number;

	if (json_object_is_type(value, json_type_int))
		return true;
	if (!json_object_is_type(value, json_type_double))
		return false;
	number = json_object_get_double(value);
	return option->type == JSON_DOUBLE ||
	    (option->type == JSON_DURATION_MS && number == trunc(number));
}

/// Stores a JSON number or boolean.
///
/// @param option  an option whose value is a number or boolean
/// @param value   JSON value of any type
/// @param field   destination
/// @return false when the value is invalid for the option
static bool
store_number(const struct json_option *option, json_object *value, void *field)
{
	double number;

	if (option->type == JSON_BOOL) {
		*(bool *)field = json_object_get_boolean(value);
		return json_object_is_type(value, json_type_boolean);
	}
	if (!is_number_for(option, value))
		return false;
	number = json_object_get_double(value);
	if (!isfinite(number) || number < option->min || number > option->max)
		return false;
	if (option->type == JSON_DOUBLE)
		*(double *)field = number;
	else
		store_integer(option, field, json_object_get_int64(value));
	return true;
}

/// Describes the valid values of an option.
///
/// @param option  any option
/// @return the text, to be freed by the caller
static char *
describe_expected_value(const struct json_option *option)
{
	char *joined;
	char *text;

	switch (option->type) {
	case JSON_STRING:
		return g_strdup_printf(
		    "a text of %.0f to %.0f bytes", option->min, option->max);
	case JSON_ENUM:
		joined = g_strjoinv("|", (char **)option->choices);
		text = g_strdup_printf("one of %s", joined);
		g_free(joined);
		return text;
	case JSON_BOOL:
		return g_strdup("true or false");
	case JSON_DOUBLE:
		return g_strdup_printf(
		    "a number from %g to %g", option->min, option->max);
	case JSON_ADDRESS:
		return g_strdup("an IP number and port like 127.0.0.1:8080");
	case JSON_HEX:
		return g_strdup_printf("%.0f hex digits", 2 * option->max);
	case JSON_LIST:
		return g_strdup_printf(
		    "a list of at most %.0f items", option->max);
	default:
		return g_strdup_printf(
		    "an integer from %.0f to %.0f", option->min, option->max);
	}
}

static bool read_object(const struct json_table *table,
    const struct json_document *document, json_object *object, const char *path,
    void *target, GError **error);

/// Reads a list of objects.
///
/// @param option    an option of type JSON_LIST
/// @param document  the text, for errors
/// @param list      the JSON list
/// @param path      full path of the list
/// @param items     receives a new struct per item
/// @param error     set when an item is invalid
/// @return false with error set
static bool
read_list(const struct json_option *option,
    const struct json_document *document, json_object *list, const char *path,
    GPtrArray *items, GError **error)
{
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		json_object *value = json_object_array_get_idx(list, i);
		char *item_path = g_strdup_printf("%s[%zu]", path, i);
		void *item = g_malloc0(option->item_table->size);
		bool ok;

		g_ptr_array_add(items, item);
		ok = read_object(option->item_table, document, value, item_path,
		    item, error);
		g_free(item_path);
		if (!ok)
			return false;
	}
	return true;
}

/// Checks the value of an option and stores it.
///
/// @param option    any option
/// @param document  the text, for errors
/// @param value     JSON value; NULL for a JSON null
/// @param path      full path of the value
/// @param target    struct that contains the field
/// @param error     set when the value is invalid
/// @return false with error set
static bool
read_value(const struct json_option *option,
    const struct json_document *document, json_object *value, const char *path,
    char *target, GError **error)
{
	bool ok;
	char *text;

	switch (option->type) {
	case JSON_STRING:
	case JSON_ENUM:
	case JSON_ADDRESS:
	case JSON_HEX:
		ok = store_string(option, value, target);
		break;
	case JSON_LIST:
		ok = json_object_is_type(value, json_type_array) &&
		    (double)json_object_array_length(value) <= option->max;
		if (ok)
			return read_list(option, document, value, path,
			    *(GPtrArray **)(target + option->offset), error);
		break;
	default:
		ok = store_number(option, value, target + option->offset);
		break;
	}
	if (ok)
		return true;
	text = describe_expected_value(option);
	json_set_error(document, path, error, "expected %s", text);
	g_free(text);
	return false;
}

/// Rejects keys that no option has, and values that are not objects where the
/// options have nested keys.
///
/// @param table     options that are known
/// @param document  the text, for errors
/// @param object    object whose keys are checked
/// @param group     path of the object within the table's root object, with a
///                  trailing dot, or "" for the root object
/// @param path      full path of the table's root object
/// @param error     set when a key is rejected
/// @return false with error set
static bool
reject_unknown_keys(const struct json_table *table,
    const struct json_document *document, json_object *object,
    const char *group, const char *path, GError **error)
{
	json_object_object_foreach(object, key, value)
	{
		char *option_path = g_strconcat(group, key, NULL);
		char *inner_group = g_strconcat(option_path, ".", NULL);
		char *full_path =
		    g_strconcat(path, *path ? "." : "", option_path, NULL);
		bool is_option = false;
		bool is_group = false;
		bool ok = true;

		for (size_t i = 0; i < table->n_options; i++) {
			const char *known_path = table->options[i].path;

			is_option |= strcmp(known_path, option_path) == 0;
			is_group |= g_str_has_prefix(known_path, inner_group);
		}
		if (!is_option && !is_group) {
			json_set_error(
			    document, full_path, error, "unknown key");
			ok = false;
		} else if (is_group &&
		    !json_object_is_type(value, json_type_object)) {
			json_set_error(
			    document, full_path, error, "expected an object");
			ok = false;
		} else if (is_group) {
			ok = reject_unknown_keys(
			    table, document, value, inner_group, path, error);
		}
		g_free(option_path);
		g_free(inner_group);
		g_free(full_path);
		if (!ok)
			return false;
	}
	return true;
}

/// Finds the value of an option by its dotted path.
///
/// @param object  root object of the table
/// @param path    path of the option
/// @param value   set to the value when it exists
/// @return whether the value exists
static bool
find_value(json_object *object, const char *path, json_object **value)
{
	char **keys = g_strsplit(path, ".", -1);
	bool found = true;

	*value = object;
	for (size_t i = 0; keys[i] != NULL && found; i++)
		found = json_object_object_get_ex(*value, keys[i], value);
	g_strfreev(keys);
	return found;
}

/// Sets one field from its value in the text, or from its default.
///
/// @param option    option of the field
/// @param document  the text, for errors
/// @param object    root object of the table
/// @param path      full path of that object
/// @param target    struct that contains the field
/// @param error     set when the value is invalid, or missing and required
/// @return false with error set
static bool
read_option(const struct json_option *option,
    const struct json_document *document, json_object *object, const char *path,
    void *target, GError **error)
{
	char *full_path =
	    g_strconcat(path, *path ? "." : "", option->path, NULL);
	json_object *value;
	bool ok = true;

	if (find_value(object, option->path, &value)) {
		ok = read_value(
		    option, document, value, full_path, target, error);
	} else if (option->default_json == NULL) {
		json_set_error(document, full_path, error, "missing");
		ok = false;
	} else if (*option->default_json != '\0') {
		value = json_tokener_parse(option->default_json);
		ok = read_value(
		    option, document, value, full_path, target, error);
		json_object_put(value);
	}
	g_free(full_path);
	return ok;
}

/// Fills a struct from a JSON object.
///
/// @param table     options of the struct
/// @param document  the text, for errors
/// @param object    JSON value of any type
/// @param path      full path of the value, "" for the root
/// @param target    struct to fill, zeroed
/// @param error     set when a key or value is rejected
/// @return false with error set
static bool
read_object(const struct json_table *table,
    const struct json_document *document, json_object *object, const char *path,
    void *target, GError **error)
{
	for (size_t i = 0; i < table->n_options; i++)
		if (table->options[i].type == JSON_LIST)
			*(GPtrArray **)((char *)target +
			    table->options[i].offset) = g_ptr_array_new();
	if (!json_object_is_type(object, json_type_object)) {
		json_set_error(document, path, error, "expected an object");
		return false;
	}
	if (!reject_unknown_keys(table, document, object, "", path, error))
		return false;
	for (size_t i = 0; i < table->n_options; i++)
		if (!read_option(&table->options[i], document, object, path,
			target, error))
			return false;
	return true;
}

/// Fills a struct from a document.
///
/// @param table     options of the struct
/// @param document  a document that was parsed successfully
/// @param target    struct to fill, zeroed; must be passed to
///                  json_table_clear(), also after a failure
/// @param error     set when a key or value is rejected
/// @return false with error set
bool
json_table_read(const struct json_table *table,
    const struct json_document *document, void *target, GError **error)
{
	return read_object(table, document, document->root, "", target, error);
}

/// Frees the texts and lists in a struct, but not the struct itself.
///
/// @param table   options of the struct
/// @param target  a zeroed struct, or one passed to json_table_read()
void
json_table_clear(const struct json_table *table, void *target)
{
	for (size_t i = 0; i < table->n_options; i++) {
		const struct json_option *option = &table->options[i];
		void *field = (char *)target + option->offset;
		GPtrArray *items;

		if (option->type == JSON_STRING || option->type == JSON_ADDRESS)
			g_clear_pointer((char **)field, g_free);
		if (option->type != JSON_LIST)
			continue;
		items = *(GPtrArray **)field;
		if (items == NULL)
			continue;
		for (guint j = 0; j < items->len; j++) {
			json_table_clear(option->item_table, items->pdata[j]);
			g_free(items->pdata[j]);
		}
		g_ptr_array_unref(items);
		*(GPtrArray **)field = NULL;
	}
}

/// Formats the value of a field for display.
///
/// @param option  option of the field; lists and hex bytes give ""
/// @param target  struct that contains the field
/// @return the text, to be freed by the caller; "none" for an unset text or
///         address
char *
json_option_to_text(const struct json_option *option, const void *target)
{
	const char *field = (const char *)target + option->offset;
	const char *text;

	switch (option->type) {
	case JSON_STRING:
		text = *(char *const *)field;
		return g_strdup(text ? text : "none");
	case JSON_ADDRESS:
		text = *(char *const *)field;
		return text == NULL
		    ? g_strdup("none")
		    : g_strdup_printf(strchr(text, ':') ? "[%s]:%u" : "%s:%u",
			  text,
			  *(const uint16_t *)((const char *)target +
			      option->port_offset));
	case JSON_ENUM:
		return g_strdup(
		    option->choices[*(const int *)field - (int)option->min]);
	case JSON_BOOL:
		return g_strdup(*(const bool *)field ? "true" : "false");
	case JSON_INT:
		return g_strdup_printf("%d", *(const int *)field);
	case JSON_UINT16:
		return g_strdup_printf("%u", *(const uint16_t *)field);
	case JSON_UINT32:
		return g_strdup_printf("%u", *(const uint32_t *)field);
	case JSON_UINT64:
		return g_strdup_printf(
		    "%" G_GUINT64_FORMAT, *(const uint64_t *)field);
	case JSON_DOUBLE:
		return g_strdup_printf("%g", *(const double *)field);
	case JSON_DURATION_MS:
		return g_strdup_printf("%" G_GINT64_FORMAT,
		    *(const usec_t *)field / USEC_PER_MSEC);
	default:
		return g_strdup("");
	}
}

/// Appends a line that describes each option of a table and of its list items.
///
/// @param table   options to describe
/// @param prefix  start of each path, such as "zones[]."
/// @param out     receives the lines
void
json_table_explain(
    const struct json_table *table, const char *prefix, GString *out)
{
	for (size_t i = 0; i < table->n_options; i++) {
		const struct json_option *option = &table->options[i];
		char *expected = describe_expected_value(option);
		char *item_prefix;

		g_string_append_printf(
		    out, "%s%s: %s; ", prefix, option->path, expected);
		if (option->default_json == NULL)
			g_string_append(out, "required");
		else
			g_string_append_printf(out, "default %s",
			    *option->default_json ? option->default_json
						  : "none");
		g_string_append_printf(out, "; %s\n", option->doc);
		g_free(expected);
		if (option->type != JSON_LIST)
			continue;
		item_prefix = g_strconcat(prefix, option->path, "[].", NULL);
		json_table_explain(option->item_table, item_prefix, out);
		g_free(item_prefix);
	}
}

/// Parses an IP address with a port, such as "1.2.3.4:80" or "[::1]:80".
///
/// @param text  text to parse
/// @param ip    set to the address in canonical form, to be freed by the caller
/// @param port  set to the port, 1 to 65535
/// @return false, with nothing set, when the text is not valid
bool
json_parse_address(const char *text, char **ip, uint16_t *port)
{
	unsigned char binary[sizeof(struct in6_addr)];
	char canonical[INET6_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');
	guint64 value;
	bool is_v6 = text[0] == '[';
	char *host;
	int family;
	bool ok;

	if (colon == NULL || colon == text ||
	    !g_ascii_string_to_unsigned(
		colon + 1, 10, 1, UINT16_MAX, &value, NULL))
		return false;
	if (is_v6 && colon[-1] != ']')
		return false;
	host = is_v6 ? g_strndup(text + 1, (gsize)(colon - text - 2))
		     : g_strndup(text, (gsize)(colon - text));
	family = is_v6 ? AF_INET6 : AF_INET;
	ok = inet_pton(family, host, binary) == 1;
	g_free(host);
	if (!ok)
		return false;
	*ip = g_strdup(inet_ntop(family, binary, canonical, sizeof(canonical)));
	*port = (uint16_t)value;
	return true;
}

/// Parses bytes written as hex digits.
///
/// @param text   text to parse
/// @param bytes  receives n bytes
/// @param n      expected number of bytes
/// @return false when the text is not exactly 2 * n hex digits
bool
json_parse_hex(const char *text, uint8_t *bytes, size_t n)
{
	if (strlen(text) != 2 * n)
		return false;
	for (size_t i = 0; i < 2 * n; i++) {
		int digit = g_ascii_xdigit_value(text[i]);

		if (digit < 0)
			return false;
		bytes[i / 2] = (uint8_t)(bytes[i / 2] << 4 | digit);
	}
	return true;
}
