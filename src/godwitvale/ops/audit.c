/* Audit trail: keeps the latest changes in memory and logs each of them. */
#include "godwitvale/ops/audit.h"

#include <json-c/json.h>

#include "godwitvale/ops/log.h"

/// One change that took effect.
struct audit_entry {
	enum audit_kind kind;
	char *subject;    /// name of the changed object
	char *who;        /// person or component that made the change
	uint64_t version; /// version or fencing number
	int64_t when;     /// microseconds since 1970, UTC
	char *detail;
};

/// An audit trail.
struct audit {
	char *instance;
	size_t capacity; /// maximum number of entries
	GQueue entries;  /// the latest entries, oldest first
};

static const char *const audit_kind_names[] = {
    [AUDIT_BUNDLE] = "bundle",
    [AUDIT_ZONE] = "zone",
    [AUDIT_INSTANCE] = "instance",
    [AUDIT_UPSTREAM] = "upstream",
    [AUDIT_LEASE] = "lease",
    [AUDIT_MODEL_ORDER] = "model-order",
};

/// Frees an entry.
///
/// @param data  a struct audit_entry
static void
free_entry(gpointer data)
{
	struct audit_entry *entry = data;

	g_free(entry->subject);
	g_free(entry->who);
	g_free(entry->detail);
	g_free(entry);
}

/// Formats a time in ISO 8601 with microseconds.
///
/// @param when  microseconds since 1970, UTC
/// @return the text, to be freed by the caller
static char *
format_time(int64_t when)
{
	GDateTime *seconds =
	    g_date_time_new_from_unix_utc(when / G_USEC_PER_SEC);
	GDateTime *exact = g_date_time_add(seconds, when % G_USEC_PER_SEC);
	char *text = g_date_time_format(exact, "%Y-%m-%dT%H:%M:%S.%fZ");

	g_date_time_unref(exact);
	g_date_time_unref(seconds);
	return text;
}

/// Writes an entry to the log.
///
/// @param entry  a complete entry
static void
log_entry(const struct audit_entry *entry)
{
	char subject[LOG_VALUE_BYTES];
	char who[LOG_VALUE_BYTES];
	char detail[LOG_VALUE_BYTES];

	log_event(LOG_LEVEL_INFO, "audit",
	    "kind=%s subject=%s who=%s version=%" G_GUINT64_FORMAT " detail=%s",
	    audit_kind_names[entry->kind],
	    log_quote_value(entry->subject, subject),
	    log_quote_value(entry->who, who), entry->version,
	    log_quote_value(entry->detail, detail));
}

/// Converts an entry to a JSON object.
///
/// @param audit  the trail, which knows the instance's name
/// @param entry  an entry of the trail
/// @return the object, owned by the caller
static json_object *
entry_to_json(const struct audit *audit, const struct audit_entry *entry)
{
	json_object *object = json_object_new_object();
	char *when = format_time(entry->when);

	json_object_object_add(object, "kind",
	    json_object_new_string(audit_kind_names[entry->kind]));
	json_object_object_add(
	    object, "subject", json_object_new_string(entry->subject));
	json_object_object_add(
	    object, "who", json_object_new_string(entry->who));
	json_object_object_add(
	    object, "version", json_object_new_uint64(entry->version));
	json_object_object_add(object, "when", json_object_new_string(when));
	json_object_object_add(
	    object, "instance", json_object_new_string(audit->instance));
	json_object_object_add(
	    object, "detail", json_object_new_string(entry->detail));
	g_free(when);
	return object;
}

/// Creates an empty trail.
///
/// @param instance  name of this instance, included in every entry
/// @param capacity  maximum number of entries, 1 or more
/// @return the trail, to be freed by audit_free()
struct audit *
audit_new(const char *instance, size_t capacity)
{
	struct audit *audit = g_new0(struct audit, 1);

	g_assert(capacity > 0);
	audit->instance = g_strdup(instance);
	audit->capacity = capacity;
	g_queue_init(&audit->entries);
	return audit;
}

/// Frees a trail.
///
/// @param audit  may be NULL
void
audit_free(struct audit *audit)
{
	if (audit == NULL)
		return;
	g_queue_clear_full(&audit->entries, free_entry);
	g_free(audit->instance);
	g_free(audit);
}

/// Records a change that has just taken effect. A full trail discards its
/// oldest entry.
///
/// @param audit    records the change
/// @param kind     type of the changed object
/// @param subject  name of the changed object
/// @param who      person who approved the change, or component that made it
/// @param version  version or fencing number of the change
/// @param format   printf format of the detail text
void
audit_add(struct audit *audit, enum audit_kind kind, const char *subject,
    const char *who, uint64_t version, const char *format, ...)
{
	struct audit_entry *entry = g_new0(struct audit_entry, 1);
	va_list arguments;

	entry->kind = kind;
	entry->subject = g_strdup(subject);
	entry->who = g_strdup(who);
	entry->version = version;
	entry->when = g_get_real_time();
	va_start(arguments, format);
	entry->detail = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	if (g_queue_get_length(&audit->entries) == audit->capacity)
		free_entry(g_queue_pop_head(&audit->entries));
	g_queue_push_tail(&audit->entries, entry);
	log_entry(entry);
}

/// Converts the trail to a JSON list, oldest entry first.
///
/// @param audit  the trail to convert
/// @return the JSON text, to be freed by the caller
GString *
audit_to_json(const struct audit *audit)
{
	json_object *list = json_object_new_array();
	GString *out;

	for (const GList *link = audit->entries.head; link != NULL;
	     link = link->next)
		json_object_array_add(list, entry_to_json(audit, link->data));
	out = g_string_new(json_object_to_json_string_ext(
	    list, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(list);
	return out;
}
