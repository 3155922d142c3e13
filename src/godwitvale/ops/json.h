/* Strict parsing of JSON with comments into C structs, driven by option tables.
 * Duplicate keys, unknown keys and values out of range are errors. */
#ifndef GODWITVALE_OPS_JSON_H
#define GODWITVALE_OPS_JSON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

/// Maximum nesting depth of objects and lists.
#define JSON_DEPTH_MAX 8

/// A parsed text with the line number of each path in it.
struct json_document {
	json_object *root;
	GHashTable *lines;   /// path (char *) -> line number (unsigned)
	GQuark error_domain; /// domain of errors in this text
	int error_code;      /// code of errors in this text
};

/// Type of an option: which JSON values are valid and how they are stored.
enum json_option_type {
	JSON_STRING = 1,  /// char *; min and max bound its length in bytes
	JSON_ENUM,        /// int: min plus the index in choices
	JSON_BOOL,        /// bool
	JSON_INT,         /// int
	JSON_UINT16,      /// uint16_t
	JSON_UINT32,      /// uint32_t
	JSON_UINT64,      /// uint64_t
	JSON_DOUBLE,      /// double
	JSON_DURATION_MS, /// usec_t; written in milliseconds, whole
	JSON_ADDRESS,     /// char * at offset, uint16_t at port_offset
	JSON_HEX,         /// uint8_t array of max bytes
	JSON_LIST,        /// GPtrArray * of structs described by item_table
};

/// A key in a JSON object and the struct field that stores its value.
struct json_option {
	const char *path;   /// key; dots separate the keys of nested objects
	size_t offset;      /// offset of the field, in bytes
	size_t port_offset; /// JSON_ADDRESS: offset of the port, in bytes
	double min;         /// lower bound; JSON_ENUM: value of choices[0]
	double max;         /// upper bound; JSON_LIST: number of items
	const char *default_json;   /// "": zero; NULL: the key is required
	const char *const *choices; /// JSON_ENUM: texts, NULL-terminated
	const struct json_table *item_table; /// JSON_LIST: options of an item
	const char *doc;                     /// description for operators
	enum json_option_type type;
	bool secret; /// the value is never printed
};

/// All options of one struct type. The first option of a list item is its name.
struct json_table {
	const char *name; /// name of the struct type in messages
	size_t size;      /// size of the struct, in bytes
	const struct json_option *options;
	size_t n_options;
};

bool json_document_parse(struct json_document *document, const char *text,
    size_t len, GQuark domain, int code, GError **error);
void json_document_clear(struct json_document *document);
void json_set_error(const struct json_document *document, const char *path,
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
