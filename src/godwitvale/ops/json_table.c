/* Tables of options: filling, clearing and printing structs by them. */
#include "godwitvale/ops/json.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdint.h>
#include <string.h>

#include "godwitvale/core/time_defs.h"

/// Stores a whole number in the field's own type.
///
/// @param option  tells the type
/// @param field   the field
/// @param value   in range
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

/// Stores a value that must be a string.
///
/// @param option  the option
/// @param value   the value
/// @param target  the struct
/// @return false when it does not fit
static bool
store_string(const struct json_option *option, json_object *value, char *target)
{
	const char *text = json_object_get_string(value);
	size_t len = (size_t)json_object_get_string_len(value);

	if (!json_object_is_type(value, json_type_string) ||
	    strlen(text) != len)
		return false;
	switch (option->type) {
	case JSON_TEXT:
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

/// Stores a value that must be a number or a truth value.
///
/// @param option  the option
/// @param value   the value
/// @param field   the field
/// @return false when it does not fit
static bool
store_number(const struct json_option *option, json_object *value, void *field)
{
	bool integer = json_object_is_type(value, json_type_int);
	double number;

	if (option->type == JSON_BOOL) {
		*(bool *)field = json_object_get_boolean(value);
		return json_object_is_type(value, json_type_boolean);
	}
	if (!integer &&
	    (option->type != JSON_DOUBLE ||
		!json_object_is_type(value, json_type_double)))
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

/// Says what an option's value must be.
///
/// @param option  the option
/// @return a text to be freed
static char *
expected(const struct json_option *option)
{
	char *joined;
	char *text;

	switch (option->type) {
	case JSON_TEXT:
		return g_strdup_printf(
		    "a text of %.0f to %.0f bytes", option->min, option->max);
	case JSON_CHOICE:
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
		return g_strdup_printf("a list of at most %.0f", option->max);
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
/// @param option    a JSON_LIST
/// @param document  the text
/// @param list      the value
/// @param path      the list's path
/// @param items     filled in
/// @param error     set when an item is refused
/// @return false with error set
static bool
read_list(const struct json_option *option,
    const struct json_document *document, json_object *list, const char *path,
    GPtrArray *items, GError **error)
{
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		json_object *value = json_object_array_get_idx(list, i);
		char *item_path = g_strdup_printf("%s[%zu]", path, i);
		void *item = g_malloc0(option->item->size);
		bool ok;

		g_ptr_array_add(items, item);
		ok = read_object(
		    option->item, document, value, item_path, item, error);
		g_free(item_path);
		if (!ok)
			return false;
	}
	return true;
}

/// Reads one option's value.
///
/// @param option    the option
/// @param document  the text
/// @param value     its value, NULL when it is null
/// @param path      its path
/// @param target    the struct
/// @param error     set when it is refused
/// @return false with error set
static bool
read_value(const struct json_option *option,
    const struct json_document *document, json_object *value, const char *path,
    char *target, GError **error)
{
	bool ok;
	char *text;

	switch (option->type) {
	case JSON_TEXT:
	case JSON_CHOICE:
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
	text = expected(option);
	json_fail(document, path, error, "expected %s", text);
	g_free(text);
	return false;
}

/// Refuses the keys of an object that no option has, and groups that aren't
/// objects.
///
/// @param table     the options
/// @param document  the text
/// @param object    the object
/// @param group     its dotted path inside the table with a last dot, or ""
/// @param path      path of the table's own object
/// @param error     set on an unknown key
/// @return false with error set
static bool
refuse_unknown(const struct json_table *table,
    const struct json_document *document, json_object *object,
    const char *group, const char *path, GError **error)
{
	json_object_object_foreach(object, key, value)
	{
		char *option_path = g_strconcat(group, key, NULL);
		char *inner = g_strconcat(option_path, ".", NULL);
		char *full =
		    g_strconcat(path, *path ? "." : "", option_path, NULL);
		bool found = false;
		bool is_group = false;
		bool ok = true;

		for (size_t i = 0; i < table->n_options; i++) {
			const char *row = table->options[i].path;

			found |= strcmp(row, option_path) == 0;
			is_group |= g_str_has_prefix(row, inner);
		}
		if (!found && !is_group) {
			json_fail(document, full, error, "unknown key");
			ok = false;
		} else if (is_group &&
		    !json_object_is_type(value, json_type_object)) {
			json_fail(document, full, error, "expected an object");
			ok = false;
		} else if (is_group) {
			ok = refuse_unknown(
			    table, document, value, inner, path, error);
		}
		g_free(option_path);
		g_free(inner);
		g_free(full);
		if (!ok)
			return false;
	}
	return true;
}

/// Finds an option's value along its dotted path.
///
/// @param object  the table's object
/// @param path    the option's path
/// @param value   set when found
/// @return whether it is there
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

/// Fills one field from its option, or by its fallback.
///
/// @param option    the option
/// @param document  the text
/// @param object    the table's object
/// @param path      path of that object
/// @param target    the struct
/// @param error     set when the option is refused
/// @return false with error set
static bool
read_option(const struct json_option *option,
    const struct json_document *document, json_object *object, const char *path,
    void *target, GError **error)
{
	char *full = g_strconcat(path, *path ? "." : "", option->path, NULL);
	json_object *value;
	bool ok = true;

	if (find_value(object, option->path, &value)) {
		ok = read_value(option, document, value, full, target, error);
	} else if (option->fallback == NULL) {
		json_fail(document, full, error, "missing");
		ok = false;
	} else if (*option->fallback != '\0') {
		value = json_tokener_parse(option->fallback);
		ok = read_value(option, document, value, full, target, error);
		json_object_put(value);
	}
	g_free(full);
	return ok;
}

/// Fills a struct from an object.
///
/// @param table     its options
/// @param document  the text
/// @param object    the object
/// @param path      the object's path, "" at the root
/// @param target    the struct, zeroed
/// @param error     set when a key is refused
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
		json_fail(document, path, error, "expected an object");
		return false;
	}
	if (!refuse_unknown(table, document, object, "", path, error))
		return false;
	for (size_t i = 0; i < table->n_options; i++)
		if (!read_option(&table->options[i], document, object, path,
			target, error))
			return false;
	return true;
}

/// Fills a struct from a document.
///
/// @param table     the struct's options
/// @param document  an opened document
/// @param target    the struct, zeroed; clear it in either case
/// @param error     set when a key is refused
/// @return false with error set
bool
json_table_read(const struct json_table *table,
    const struct json_document *document, void *target, GError **error)
{
	return read_object(table, document, document->root, "", target, error);
}

/// Frees what a struct's fields hold, not the struct.
///
/// @param table   its options
/// @param target  the struct
void
json_table_clear(const struct json_table *table, void *target)
{
	for (size_t i = 0; i < table->n_options; i++) {
		const struct json_option *option = &table->options[i];
		void *field = (char *)target + option->offset;
		GPtrArray *items;

		if (option->type == JSON_TEXT || option->type == JSON_ADDRESS)
			g_clear_pointer((char **)field, g_free);
		if (option->type != JSON_LIST)
			continue;
		items = *(GPtrArray **)field;
		if (items == NULL)
			continue;
		for (guint j = 0; j < items->len; j++) {
			json_table_clear(option->item, items->pdata[j]);
			g_free(items->pdata[j]);
		}
		g_ptr_array_unref(items);
		*(GPtrArray **)field = NULL;
	}
}

/// Writes a field as a text for people.
///
/// @param option  its option, no list
/// @param target  the struct
/// @return a text to be freed; "none" for what was left out
char *
json_option_to_text(const struct json_option *option, const void *target)
{
	const char *field = (const char *)target + option->offset;
	const char *text;

	switch (option->type) {
	case JSON_TEXT:
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
	case JSON_CHOICE:
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
	case JSON_SPAN_MS:
		return g_strdup_printf("%" G_GINT64_FORMAT,
		    *(const usec_t *)field / USEC_PER_MSEC);
	default:
		return g_strdup("");
	}
}

/// Describes the options of a table, one line each.
///
/// @param table   the options
/// @param prefix  put before each path
/// @param out     appended to
void
json_table_explain(
    const struct json_table *table, const char *prefix, GString *out)
{
	for (size_t i = 0; i < table->n_options; i++) {
		const struct json_option *option = &table->options[i];
		char *value = expected(option);
		char *inner;

		g_string_append_printf(
		    out, "%s%s: %s; ", prefix, option->path, value);
		if (option->fallback == NULL)
			g_string_append(out, "required");
		else
			g_string_append_printf(out, "default %s",
			    *option->fallback ? option->fallback : "none");
		g_string_append_printf(out, "; %s\n", option->doc);
		g_free(value);
		if (option->type != JSON_LIST)
			continue;
		inner = g_strconcat(prefix, option->path, "[].", NULL);
		json_table_explain(option->item, inner, out);
		g_free(inner);
	}
}

/// Reads "1.2.3.4:80" or "[::1]:80".
///
/// @param text  the address
/// @param ip    set to its number in the usual form, to be freed
/// @param port  set
/// @return false when it isn't one
bool
json_parse_address(const char *text, char **ip, uint16_t *port)
{
	unsigned char number[sizeof(struct in6_addr)];
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
	ok = inet_pton(family, host, number) == 1;
	g_free(host);
	if (!ok)
		return false;
	*ip = g_strdup(inet_ntop(family, number, canonical, sizeof(canonical)));
	*port = (uint16_t)value;
	return true;
}

/// Reads bytes written as hex digits.
///
/// @param text   the digits
/// @param bytes  filled in
/// @param n      bytes expected
/// @return false when there are not exactly so many
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
