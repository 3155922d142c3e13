/*
 * The head of an HTTP/1.1 message: its start line and header fields, in the
 * order of the message.
 */
#ifndef GODWITVALE_HTTP_HEAD_H
#define GODWITVALE_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

/// One header field, spelled as in the message.
struct http_field {
	char *name;
	char *value;
};

/// Head of a request or a response; embedded by value.
struct http_head {
	char *method;    /// of a request, else NULL
	char *target;    /// of a request, else NULL
	unsigned status; /// of a response, else 0
	bool http10;     /// HTTP/1.0 or older
	bool keep_alive; /// the sender keeps the connection open afterwards
	GArray *fields;  /// struct http_field
};

void http_head_init(struct http_head *head);
void http_head_clear(struct http_head *head);
void http_head_add(struct http_head *head, const char *name, const char *value);
void http_head_add_number(
    struct http_head *head, const char *name, guint64 value);
size_t http_head_held_bytes(const struct http_head *head);
void http_head_remove(struct http_head *head, const char *name);
const char *http_head_get(const struct http_head *head, const char *name);
unsigned http_head_count(const struct http_head *head, const char *name);
bool http_head_has_token(
    const struct http_head *head, const char *name, const char *token);
bool http_head_is_hop_by_hop(const struct http_head *head, const char *name);
void http_head_copy_end_to_end(
    struct http_head *to, const struct http_head *from);
const char *http_status_phrase(unsigned status);
void http_head_write(const struct http_head *head, GString *out);

#endif
