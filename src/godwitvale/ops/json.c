/* Parsing of JSON with comments: removes comments, parses the text with json-c,
 * detects duplicate keys and records line numbers for error messages. */
#include "godwitvale/ops/json.h"

#include <string.h>

/// An object or list that contains the current position of the key scanner.
struct scanner_level {
	bool is_list;
	unsigned index;   /// index of the current list item
	size_t path_len;  /// length of the path of this object or list
	GHashTable *keys; /// keys found so far; NULL for a list
};

/// Scanner that finds duplicate keys and records line numbers, since json-c
/// does neither. The text must be valid JSON, as checked by json-c before.
struct key_scanner {
	const struct json_document *document;
	GString *path;   /// path of the current position
	unsigned line;   /// current line number, from 1
	size_t depth;    /// number of levels in use
	bool expect_key; /// the next string is a key
	struct scanner_level levels[JSON_DEPTH_MAX + 2];
};

/// Finds the end of a JSON string.
///
/// @param text  opening quote of the string
/// @param end   end of the whole text
/// @return the closing quote, or end when there is none
static const char *
find_string_end(const char *text, const char *end)
{
	for (text++; text < end && *text != '"'; text++)
		if (*text == '\\' && text + 1 < end)
			text++;
	return text;
}

/// Replaces comments with blanks. Line breaks are kept, so that line numbers
/// remain valid.
///
/// @param text  text to change in place
/// @param len   length of the text in bytes
/// @return false when a comment is not terminated
static bool
blank_comments(char *text, size_t len)
{
	char *end = text + len;

	while (text < end) {
		if (*text == '"') {
			text = (char *)find_string_end(text, end);
		} else if (*text == '/' && text + 1 < end && text[1] == '/') {
			while (text < end && *text != '\n')
				*text++ = ' ';
			continue;
		} else if (*text == '/' && text + 1 < end && text[1] == '*') {
			text[0] = text[1] = ' ';
			while (text + 1 < end &&
			    (text[0] != '*' || text[1] != '/')) {
				if (*text != '\n')
					*text = ' ';
				text++;
			}
			if (text + 1 >= end)
				return false;
			text[0] = text[1] = ' ';
		}
		text++;
	}
	return true;
}

/// Records the current line as the line of the current path.
///
/// @param scanner  its document receives the line
static void
record_line(struct key_scanner *scanner)
{
	g_hash_table_insert(scanner->document->lines,
	    g_strdup(scanner->path->str), GUINT_TO_POINTER(scanner->line));
}

/// Sets the path to the current item of the innermost list.
///
/// @param scanner  must be inside a list
static void
enter_list_item(struct key_scanner *scanner)
{
	struct scanner_level *level = &scanner->levels[scanner->depth - 1];

	g_string_truncate(scanner->path, level->path_len);
	g_string_append_printf(scanner->path, "[%u]", level->index);
	record_line(scanner);
}

/// Enters an object or list.
///
/// @param scanner  positioned at the opening bracket
/// @param is_list  true for a list, false for an object
static void
enter_level(struct key_scanner *scanner, bool is_list)
{
	struct scanner_level *level = &scanner->levels[scanner->depth++];

	g_assert(scanner->depth <= G_N_ELEMENTS(scanner->levels));
	level->is_list = is_list;
	level->index = 0;
	level->path_len = scanner->path->len;
	level->keys = NULL;
	scanner->expect_key = !is_list;
	if (is_list)
		enter_list_item(scanner);
	else
		level->keys = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
}

/// Leaves the innermost object or list.
///
/// @param scanner  must be inside an object or list
static void
leave_level(struct key_scanner *scanner)
{
	struct scanner_level *level = &scanner->levels[--scanner->depth];

	g_string_truncate(scanner->path, level->path_len);
	g_clear_pointer(&level->keys, g_hash_table_unref);
	scanner->expect_key = false;
}

/// Adds a key to the innermost object and sets the path to it.
///
/// @param scanner  must be inside an object
/// @param start    opening quote of the key
/// @param end      closing quote of the key
/// @param error    set when the key is a duplicate or contains an escape
/// @return false with error set
static bool
record_key(struct key_scanner *scanner, const char *start, const char *end,
    GError **error)
{
	struct scanner_level *level = &scanner->levels[scanner->depth - 1];
	char *key = g_strndup(start + 1, (gsize)(end - start - 1));

	g_string_truncate(scanner->path, level->path_len);
	if (scanner->path->len > 0)
		g_string_append_c(scanner->path, '.');
	g_string_append(scanner->path, key);
	scanner->expect_key = false;
	if (strchr(key, '\\') != NULL) {
		record_line(scanner);
		json_set_error(scanner->document, scanner->path->str, error,
		    "a key must not contain escapes");
		g_free(key);
		return false;
	}
	if (!g_hash_table_add(level->keys, key)) {
		record_line(scanner);
		json_set_error(scanner->document, scanner->path->str, error,
		    "duplicate key");
		return false;
	}
	record_line(scanner);
	return true;
}

/// Moves to the next object member or list item.
///
/// @param scanner  positioned at a comma
static void
advance_past_comma(struct key_scanner *scanner)
{
	struct scanner_level *level = &scanner->levels[scanner->depth - 1];

	scanner->expect_key = !level->is_list;
	if (!level->is_list)
		return;
	level->index++;
	enter_list_item(scanner);
}

/// Scans a text, records the line of each path and checks for duplicate keys.
///
/// @param scanner  new scanner at line 1
/// @param text     valid JSON without comments
/// @param len      length of the text in bytes
/// @param error    set when a key is a duplicate or contains an escape
/// @return false with error set
static bool
scan_keys(
    struct key_scanner *scanner, const char *text, size_t len, GError **error)
{
	const char *end = text + len;

	for (; text < end; text++) {
		const char *start = text;

		switch (*text) {
		case '\n':
			scanner->line++;
			break;
		case '{':
		case '[':
			enter_level(scanner, *text == '[');
			break;
		case '}':
		case ']':
			leave_level(scanner);
			break;
		case ',':
			advance_past_comma(scanner);
			break;
		case '"':
			text = find_string_end(text, end);
			if (scanner->expect_key &&
			    !record_key(scanner, start, text, error))
				return false;
			break;
		default:
			break;
		}
	}
	return true;
}

/// Parses a text without comments with json-c.
///
/// @param document  receives the root object
/// @param text      JSON without comments
/// @param len       length of the text in bytes
/// @param error     set when the text is not a valid JSON object
/// @return false with error set
static bool
parse_text(struct json_document *document, const char *text, size_t len,
    GError **error)
{
	struct json_tokener *tokener = json_tokener_new_ex(JSON_DEPTH_MAX);
	enum json_tokener_error result;
	size_t error_offset;
	unsigned line = 1;

	json_tokener_set_flags(
	    tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
	document->root = json_tokener_parse_ex(tokener, text, (int)len);
	result = json_tokener_get_error(tokener);
	error_offset = json_tokener_get_parse_end(tokener);
	json_tokener_free(tokener);
	if (result == json_tokener_success &&
	    json_object_is_type(document->root, json_type_object))
		return true;
	for (size_t i = 0; i < error_offset && i < len; i++)
		line += text[i] == '\n';
	if (result == json_tokener_success)
		g_set_error(error, document->error_domain, document->error_code,
		    "line 1: expected an object");
	else
		g_set_error(error, document->error_domain, document->error_code,
		    "line %u: %s", line, json_tokener_error_desc(result));
	return false;
}

/// Sets an error whose message starts with a path and its line number.
///
/// @param document  gives the line, error domain and error code
/// @param path      path of the invalid value
/// @param error     the error to set
/// @param format    printf format of the message
void
json_set_error(const struct json_document *document, const char *path,
    GError **error, const char *format, ...)
{
	va_list arguments;
	char *message;
	unsigned line;

	va_start(arguments, format);
	message = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	line = GPOINTER_TO_UINT(g_hash_table_lookup(document->lines, path));
	if (line != 0)
		g_set_error(error, document->error_domain, document->error_code,
		    "line %u: %s: %s", line, path, message);
	else
		g_set_error(error, document->error_domain, document->error_code,
		    "%s: %s", path, message);
	g_free(message);
}

/// Parses a text that must be a single JSON object without duplicate keys.
///
/// @param document  result; must be passed to json_document_clear(), also after
///                  a failure
/// @param text      JSON with comments
/// @param len       length of the text in bytes
/// @param domain    domain of all errors from this document
/// @param code      code of all errors from this document
/// @param error     set when the text is rejected
/// @return false with error set
bool
json_document_parse(struct json_document *document, const char *text,
    size_t len, GQuark domain, int code, GError **error)
{
	struct key_scanner scanner = {.document = document, .line = 1};
	char *stripped = NULL;
	bool ok = false;

	memset(document, 0, sizeof(*document));
	document->error_domain = domain;
	document->error_code = code;
	document->lines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (len > INT32_MAX || memchr(text, 0, len) != NULL) {
		g_set_error(
		    error, domain, code, "too large, or contains a NUL byte");
		return false;
	}
	stripped = g_strndup(text, len);
	scanner.path = g_string_new(NULL);
	if (!blank_comments(stripped, len)) {
		g_set_error(error, domain, code, "unterminated comment");
		goto out;
	}
	if (!parse_text(document, stripped, len, error))
		goto out;
	ok = scan_keys(&scanner, stripped, len, error);
out:
	while (scanner.depth > 0)
		leave_level(&scanner);
	g_string_free(scanner.path, TRUE);
	g_free(stripped);
	return ok;
}

/// Frees the contents of a document.
///
/// @param document  filled by json_document_parse(), also when that failed
void
json_document_clear(struct json_document *document)
{
	json_object_put(document->root);
	g_clear_pointer(&document->lines, g_hash_table_unref);
	document->root = NULL;
}
