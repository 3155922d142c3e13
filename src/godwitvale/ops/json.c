/* JSON with comments: the text, its duplicate keys and its line numbers. */
#include "godwitvale/ops/json.h"

#include <string.h>

/// One object or list that the key scanner is inside of.
struct scan_level {
	bool list;
	unsigned index;   /// of the list's present item
	size_t path_len;  /// of the path up to here
	GHashTable *keys; /// seen so far; NULL in a list
};

/// The key scanner. It walks a text that json-c has found well formed, since
/// json-c neither reports duplicate keys nor keeps line numbers.
struct scan {
	const struct json_document *document;
	GString *path;
	unsigned line;
	size_t depth;
	bool want_key;
	struct scan_level levels[JSON_DEPTH_MAX + 2];
};

/// Finds the end of a string.
///
/// @param text  at its opening quote
/// @param end   end of the text
/// @return the closing quote, or end
static const char *
string_end(const char *text, const char *end)
{
	for (text++; text < end && *text != '"'; text++)
		if (*text == '\\' && text + 1 < end)
			text++;
	return text;
}

/// Puts blanks in the place of comments; line breaks are kept.
///
/// @param text  changed in place
/// @param len   its length in bytes
/// @return false when a comment has no end
static bool
blank_comments(char *text, size_t len)
{
	char *end = text + len;

	while (text < end) {
		if (*text == '"') {
			text = (char *)string_end(text, end);
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

/// Notes on which line the present path stands.
///
/// @param scan  the scanner
static void
note_line(struct scan *scan)
{
	g_hash_table_insert(scan->document->lines, g_strdup(scan->path->str),
	    GUINT_TO_POINTER(scan->line));
}

/// Sets the path to the present item of the innermost list.
///
/// @param scan  the scanner
static void
enter_item(struct scan *scan)
{
	struct scan_level *level = &scan->levels[scan->depth - 1];

	g_string_truncate(scan->path, level->path_len);
	g_string_append_printf(scan->path, "[%u]", level->index);
	note_line(scan);
}

/// Enters an object or list.
///
/// @param scan  the scanner
/// @param list  which of both
static void
enter_level(struct scan *scan, bool list)
{
	struct scan_level *level = &scan->levels[scan->depth++];

	g_assert(scan->depth <= G_N_ELEMENTS(scan->levels));
	level->list = list;
	level->index = 0;
	level->path_len = scan->path->len;
	level->keys = NULL;
	scan->want_key = !list;
	if (list)
		enter_item(scan);
	else
		level->keys = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
}

/// Leaves the innermost object or list.
///
/// @param scan  the scanner
static void
leave_level(struct scan *scan)
{
	struct scan_level *level = &scan->levels[--scan->depth];

	g_string_truncate(scan->path, level->path_len);
	g_clear_pointer(&level->keys, g_hash_table_unref);
	scan->want_key = false;
}

/// Takes a key of the innermost object.
///
/// @param scan   the scanner
/// @param start  the key's opening quote
/// @param end    its closing quote
/// @param error  set on a duplicate or an escape
/// @return false with error set
static bool
take_key(struct scan *scan, const char *start, const char *end, GError **error)
{
	struct scan_level *level = &scan->levels[scan->depth - 1];
	char *key = g_strndup(start + 1, (gsize)(end - start - 1));

	g_string_truncate(scan->path, level->path_len);
	if (scan->path->len > 0)
		g_string_append_c(scan->path, '.');
	g_string_append(scan->path, key);
	scan->want_key = false;
	if (strchr(key, '\\') != NULL) {
		note_line(scan);
		json_fail(scan->document, scan->path->str, error,
		    "a key must be written without escapes");
		g_free(key);
		return false;
	}
	if (!g_hash_table_add(level->keys, key)) {
		note_line(scan);
		json_fail(scan->document, scan->path->str, error,
		    "the key is there twice");
		return false;
	}
	note_line(scan);
	return true;
}

/// Goes on to the next member or item after a comma.
///
/// @param scan  the scanner
static void
next_member(struct scan *scan)
{
	struct scan_level *level = &scan->levels[scan->depth - 1];

	scan->want_key = !level->list;
	if (!level->list)
		return;
	level->index++;
	enter_item(scan);
}

/// Walks the text, noting lines and finding duplicate keys.
///
/// @param scan   the scanner
/// @param text   a well-formed text without comments
/// @param len    its length in bytes
/// @param error  set on a duplicate
/// @return false with error set
static bool
scan_text(struct scan *scan, const char *text, size_t len, GError **error)
{
	const char *end = text + len;

	for (; text < end; text++) {
		const char *start = text;

		switch (*text) {
		case '\n':
			scan->line++;
			break;
		case '{':
		case '[':
			enter_level(scan, *text == '[');
			break;
		case '}':
		case ']':
			leave_level(scan);
			break;
		case ',':
			next_member(scan);
			break;
		case '"':
			text = string_end(text, end);
			if (scan->want_key &&
			    !take_key(scan, start, text, error))
				return false;
			break;
		default:
			break;
		}
	}
	return true;
}

/// Parses a text without comments by json-c.
///
/// @param document  its root is set
/// @param text      the text
/// @param len       its length in bytes
/// @param error     set when it is not well formed
/// @return false with error set
static bool
parse_text(struct json_document *document, const char *text, size_t len,
    GError **error)
{
	struct json_tokener *tokener = json_tokener_new_ex(JSON_DEPTH_MAX);
	enum json_tokener_error result;
	size_t at;
	unsigned line = 1;

	json_tokener_set_flags(
	    tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
	document->root = json_tokener_parse_ex(tokener, text, (int)len);
	result = json_tokener_get_error(tokener);
	at = json_tokener_get_parse_end(tokener);
	json_tokener_free(tokener);
	if (result == json_tokener_success &&
	    json_object_is_type(document->root, json_type_object))
		return true;
	for (size_t i = 0; i < at && i < len; i++)
		line += text[i] == '\n';
	if (result == json_tokener_success)
		g_set_error(error, document->domain, document->code,
		    "line 1: expected an object");
	else
		g_set_error(error, document->domain, document->code,
		    "line %u: %s", line, json_tokener_error_desc(result));
	return false;
}

/// Sets an error that names a path and its line.
///
/// @param document  the text it is in
/// @param path      the key's path
/// @param error     set
/// @param format    printf format of the message
void
json_fail(const struct json_document *document, const char *path,
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
		g_set_error(error, document->domain, document->code,
		    "line %u: %s: %s", line, path, message);
	else
		g_set_error(error, document->domain, document->code, "%s: %s",
		    path, message);
	g_free(message);
}

/// Parses a text strictly: no duplicate keys, nothing after the object.
///
/// @param document  filled in; close it in either case
/// @param text      JSON with comments
/// @param len       its length in bytes
/// @param domain    domain of all errors from this document
/// @param code      their code
/// @param error     set when the text is refused
/// @return false with error set
bool
json_document_open(struct json_document *document, const char *text, size_t len,
    GQuark domain, int code, GError **error)
{
	struct scan scan = {.document = document, .line = 1};
	char *plain = NULL;
	bool ok = false;

	memset(document, 0, sizeof(*document));
	document->domain = domain;
	document->code = code;
	document->lines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (len > INT32_MAX || memchr(text, 0, len) != NULL) {
		g_set_error(error, domain, code, "not a text");
		return false;
	}
	plain = g_strndup(text, len);
	scan.path = g_string_new(NULL);
	if (!blank_comments(plain, len)) {
		g_set_error(error, domain, code, "a comment has no end");
		goto out;
	}
	if (!parse_text(document, plain, len, error))
		goto out;
	ok = scan_text(&scan, plain, len, error);
out:
	while (scan.depth > 0)
		leave_level(&scan);
	g_string_free(scan.path, TRUE);
	g_free(plain);
	return ok;
}

/// Frees what a document holds.
///
/// @param document  an opened one, or one that failed to open
void
json_document_close(struct json_document *document)
{
	json_object_put(document->root);
	g_clear_pointer(&document->lines, g_hash_table_unref);
	document->root = NULL;
}
