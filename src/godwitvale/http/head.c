/* Heads of HTTP messages: building, looking up, writing out. */
#include "godwitvale/http/head.h"

#include <string.h>

#include <http_parser.h>

/// Fields that concern one connection only and are never forwarded.
static const char *const hop_fields[] = {
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

/// Frees what a field holds.
static void
field_clear(void *data)
{
	struct http_field *field = data;

	g_free(field->name);
	g_free(field->value);
}

/// Makes an empty head.
///
/// @param head  filled in; http_head_clear() frees what it holds
void
http_head_init(struct http_head *head)
{
	memset(head, 0, sizeof(*head));
	head->fields = g_array_new(false, false, sizeof(struct http_field));
	g_array_set_clear_func(head->fields, field_clear);
}

/// Frees what a head holds; it may be cleared twice.
///
/// @param head  the head
void
http_head_clear(struct http_head *head)
{
	g_clear_pointer(&head->method, g_free);
	g_clear_pointer(&head->target, g_free);
	g_clear_pointer(&head->fields, g_array_unref);
}

/// Appends a field.
///
/// @param head   the head
/// @param name   its name
/// @param value  its value
void
http_head_add(struct http_head *head, const char *name, const char *value)
{
	struct http_field field = {g_strdup(name), g_strdup(value)};

	g_array_append_val(head->fields, field);
}

/// Appends a field whose value is a number.
///
/// @param head   the head
/// @param name   its name
/// @param value  its value
void
http_head_add_number(struct http_head *head, const char *name, guint64 value)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, value);
	http_head_add(head, name, text);
}

/// Looks a field up.
///
/// @param head  the head
/// @param name  its name, in any case
/// @return the value of the first one, or NULL
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

/// Counts the fields of a name.
///
/// @param head  the head
/// @param name  the name, in any case
/// @return how many there are
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

/// Whether a field that lists tokens holds one of them.
///
/// @param head   the head
/// @param name   the field's name
/// @param token  the token, in any case
/// @return true when it does
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

/// Whether a field concerns this connection only: it is one of HTTP's own,
/// or the Connection field names it.
///
/// @param head  the head it stands in
/// @param name  its name
/// @return true when it must not be forwarded
bool
http_head_is_hop_field(const struct http_head *head, const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_fields); i++)
		if (g_ascii_strcasecmp(hop_fields[i], name) == 0)
			return true;
	return http_head_has_token(head, "Connection", name);
}

/// Appends all fields of a head that are to be forwarded.
///
/// @param to    appended to
/// @param from  read
void
http_head_copy_end_to_end(struct http_head *to, const struct http_head *from)
{
	for (guint i = 0; i < from->fields->len; i++) {
		const struct http_field *field =
		    &g_array_index(from->fields, struct http_field, i);

		if (!http_head_is_hop_field(from, field->name))
			http_head_add(to, field->name, field->value);
	}
}

/// Names a status.
///
/// @param status  of HTTP
/// @return its reason phrase, "Unknown" for one that HTTP doesn't name
const char *
http_status_phrase(unsigned status)
{
	return http_status_str((enum http_status)status);
}

/// Writes a head out, with the empty line that ends it.
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
