/* Builds, searches and serializes the heads of HTTP messages. */
#include "godwitvale/http/head.h"

#include <string.h>

#include <http_parser.h>

/// Bytes that a field takes in addition to its text: two pointers and what the
/// allocator adds to two blocks.
#define FIELD_OVERHEAD_BYTES 64

/// Fields that concern one connection only and are never forwarded.
static const char *const hop_by_hop_fields[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Expect",
    "Content-Length",
};

/// Frees the members of a field.
static void
field_clear(void *data)
{
	struct http_field *field = data;

	g_free(field->name);
	g_free(field->value);
}

/// Initializes an empty head.
///
/// @param head  uninitialized; http_head_clear() frees its members
void
http_head_init(struct http_head *head)
{
	memset(head, 0, sizeof(*head));
	head->fields = g_array_new(false, false, sizeof(struct http_field));
	g_array_set_clear_func(head->fields, field_clear);
}

/// Frees the members of a head.
///
/// @param head  a head; clearing it twice is safe
void
http_head_clear(struct http_head *head)
{
	g_clear_pointer(&head->method, g_free);
	g_clear_pointer(&head->target, g_free);
	g_clear_pointer(&head->fields, g_array_unref);
}

/// Appends a field.
///
/// @param head   appended to
/// @param name   field name, copied
/// @param value  field value, copied
void
http_head_add(struct http_head *head, const char *name, const char *value)
{
	struct http_field field = {g_strdup(name), g_strdup(value)};

	g_array_append_val(head->fields, field);
}

/// Appends a field whose value is a number.
///
/// @param head   appended to
/// @param name   field name, copied
/// @param value  written in decimal
void
http_head_add_number(struct http_head *head, const char *name, guint64 value)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, value);
	http_head_add(head, name, text);
}

/// Counts the bytes that a head has allocated.
///
/// @param head  a head
/// @return bytes, with those that the allocator adds to each field
size_t
http_head_held_bytes(const struct http_head *head)
{
	size_t bytes = 0;

	if (head->fields == NULL)
		return 0;
	for (guint i = 0; i < head->fields->len; i++) {
		const struct http_field *field =
		    &g_array_index(head->fields, struct http_field, i);

		bytes += strlen(field->name) + strlen(field->value) +
		    FIELD_OVERHEAD_BYTES;
	}
	return bytes;
}

/// Removes all fields with a name.
///
/// @param head  changed
/// @param name  field name; case is ignored
void
http_head_remove(struct http_head *head, const char *name)
{
	for (guint i = head->fields->len; i > 0; i--) {
		const struct http_field *field =
		    &g_array_index(head->fields, struct http_field, i - 1);

		if (g_ascii_strcasecmp(field->name, name) != 0)
			continue;
		g_array_remove_index(head->fields, i - 1);
	}
}

/// Looks up a field.
///
/// @param head  searched
/// @param name  field name; case is ignored
/// @return the value of the first field of that name, or NULL
const char *
http_head_get(const struct http_head *head, const char *name)
{
	for (guint i = 0; i < head->fields->len; i++) {
		const struct http_field *field =
		    &g_array_index(head->fields, struct http_field, i);

		if (g_ascii_strcasecmp(field->name, name) == 0)
			return field->value;
	}
	return NULL;
}

/// Counts the fields with a name.
///
/// @param head  searched
/// @param name  field name; case is ignored
/// @return the number of such fields
unsigned
http_head_count(const struct http_head *head, const char *name)
{
	unsigned count = 0;

	for (guint i = 0; i < head->fields->len; i++)
		count +=
		    g_ascii_strcasecmp(
			g_array_index(head->fields, struct http_field, i).name,
			name) == 0;
	return count;
}

/// Checks whether a field with a comma-separated list contains a token.
///
/// @param head   searched
/// @param name   field name; case is ignored
/// @param token  case is ignored
/// @return true when any field of that name contains the token
bool
http_head_has_token(
    const struct http_head *head, const char *name, const char *token)
{
	for (guint i = 0; i < head->fields->len; i++) {
		const struct http_field *field =
		    &g_array_index(head->fields, struct http_field, i);
		char **words;
		bool found = false;

		if (g_ascii_strcasecmp(field->name, name) != 0)
			continue;
		words = g_strsplit(field->value, ",", -1);
		for (char **word = words; *word != NULL && !found; word++)
			found =
			    g_ascii_strcasecmp(g_strstrip(*word), token) == 0;
		g_strfreev(words);
		if (found)
			return true;
	}
	return false;
}

/// Checks whether a field concerns a single connection only: HTTP defines it
/// as such, or the Connection field lists it.
///
/// @param head  the head that contains the field
/// @param name  field name; case is ignored
/// @return true when the field must not be forwarded
bool
http_head_is_hop_by_hop(const struct http_head *head, const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_fields); i++)
		if (g_ascii_strcasecmp(hop_by_hop_fields[i], name) == 0)
			return true;
	return http_head_has_token(head, "Connection", name);
}

/// Appends copies of all fields that may be forwarded.
///
/// @param to    appended to
/// @param from  source of the fields
void
http_head_copy_end_to_end(struct http_head *to, const struct http_head *from)
{
	for (guint i = 0; i < from->fields->len; i++) {
		const struct http_field *field =
		    &g_array_index(from->fields, struct http_field, i);

		if (!http_head_is_hop_by_hop(from, field->name))
			http_head_add(to, field->name, field->value);
	}
}

/// Returns the reason phrase of a status code.
///
/// @param status  an HTTP status code
/// @return the phrase; "<unknown>" for a code that HTTP doesn't define
const char *
http_status_phrase(unsigned status)
{
	return http_status_str((enum http_status)status);
}

/// Serializes a head, including the empty line that ends it.
///
/// @param head  a request's head if it has a method, else a response's
/// @param out   appended to
void
http_head_write(const struct http_head *head, GString *out)
{
	if (head->method != NULL)
		g_string_append_printf(
		    out, "%s %s HTTP/1.1\r\n", head->method, head->target);
	else
		g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", head->status,
		    http_status_phrase(head->status));
	for (guint i = 0; i < head->fields->len; i++) {
		const struct http_field *field =
		    &g_array_index(head->fields, struct http_field, i);

		g_string_append(out, field->name);
		g_string_append(out, ": ");
		g_string_append(out, field->value);
		g_string_append(out, "\r\n");
	}
	g_string_append(out, "\r\n");
}
