/* Strict reading of JSON with comments, driven by tables of options. */
#ifndef GODWITVALE_OPS_JSON_H
#define GODWITVALE_OPS_JSON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

/// Deepest nesting of objects and lists that is read.
#define JSON_DEPTH_MAX 8

/// A parsed text, and on which line each of its paths stands.
struct json_document {
	json_object *root;
	GHashTable *lines; /// path -> line number
	GQuark domain;     /// of the errors that are set
	int code;
};

/// What a value must be, and how it is stored.
enum json_option_type {
	JSON_TEXT = 1, /// char *; min..max is its length in bytes
	JSON_CHOICE,   /// int: min plus the place among the choices
	JSON_BOOL,     /// bool
	JSON_INT,      /// int
	JSON_UINT16,   /// uint16_t
	JSON_UINT32,   /// uint32_t
	JSON_UINT64,   /// uint64_t
	JSON_DOUBLE,   /// double
	JSON_SPAN_MS,  /// usec_t; milliseconds in the text
	JSON_ADDRESS,  /// char * at offset, uint16_t at port_offset
	JSON_HEX,      /// bytes at offset, max of them
	JSON_LIST,     /// GPtrArray * of the structs described by item
};

/// One row of a table: a key and the field of a struct that it fills.
struct json_option {
	const char *path; /// key, dotted where nested
	size_t offset;
	size_t port_offset;
	double min;
	double max;
	const char *fallback; /// JSON text; "" leaves zero; NULL: required
	const char *const *choices; /// NULL-terminated
	const struct json_table *item;
	const char *doc;
	enum json_option_type type;
	bool secret; /// never printed
};

/// The options that fill one type of struct. In an item, the first one
/// names it.
struct json_table {
	const char *name; /// what one such struct is called in messages
	size_t size;      /// of the struct, in bytes
	const struct json_option *options;
	size_t n_options;
};

bool json_document_open(struct json_document *document, const char *text,
    size_t len, GQuark domain, int code, GError **error);
void json_document_close(struct json_document *document);
void json_fail(const struct json_document *document, const char *path,
    GError **error, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

bool json_table_read(const struct json_table *table,
    const struct json_document *document, void *target, GError **error);
void json_table_clear(const struct json_table *table, void *target);
char *json_option_to_text(const struct json_option *option, const void *target);
void json_table_explain(
    const struct json_table *table, const char *prefix, GString *out);
bool json_parse_address(const char *text, char **ip, uint16_t *port);
bool json_parse_hex(const char *text, uint8_t *bytes, size_t n);

#endif
