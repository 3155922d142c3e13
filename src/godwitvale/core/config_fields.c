/*
 * Tables of the fields of routes, services and limits, and their comparison. A
 * request keeps the route of the version it arrived under; a service's limits
 * apply as they are in the version in force, and the limits on callers to all
 * connections at once.
 */
#include "godwitvale/core/config_fields.h"

#include <string.h>

/// How the value of a field is stored, and which change lowers what requests
/// may do.
enum value_type {
	VALUE_TIME,       /// usec_t
	VALUE_COUNT,      /// uint32_t
	VALUE_BOUND,      /// uint32_t; 0: no limit
	VALUE_RATE_BOUND, /// double; 0: no limit
	VALUE_RATE,       /// double
	VALUE_SWITCH,     /// bool
	VALUE_TEXT,       /// char *, or NULL
	VALUE_ROUTE_KIND, /// enum route_kind
};

/// A field that is compared.
struct field_row {
	size_t offset;
	enum config_field field;
	enum config_field inner; /// field of the object in `field`
	enum value_type type;
	bool warns;      /// lowering it, or switching it off, is a warning
	bool is_at_once; /// also applies to running requests
};

#define ROUTE_ROW(name, type, member, warns)                                \
	{                                                                   \
		offsetof(struct route, member), (name), 0, (type), (warns), \
		    false                                                   \
	}
#define SERVICE_ROW(name, type, member, warns)                                \
	{                                                                     \
		offsetof(struct service, member), (name), 0, (type), (warns), \
		    true                                                      \
	}
#define ENGINE_ROW(name, type, member, warns, at_once)                      \
	{                                                                   \
		offsetof(struct service, engine) +                          \
		    offsetof(struct engine_limits, member),                 \
		    CONFIG_FIELD_ENGINE, (name), (type), (warns), (at_once) \
	}
#define LIMIT_ROW(name, type, member)                                      \
	{                                                                  \
		offsetof(struct caller_limits, member), (name), 0, (type), \
		    true, true                                             \
	}

static const struct field_row route_rows[] = {
    ROUTE_ROW(CONFIG_FIELD_NAME, VALUE_TEXT, name, false),
    ROUTE_ROW(CONFIG_FIELD_KIND, VALUE_ROUTE_KIND, kind, false),
    ROUTE_ROW(CONFIG_FIELD_TIMEOUT, VALUE_TIME, timeout, true),
    ROUTE_ROW(CONFIG_FIELD_TARGET_LATENCY, VALUE_TIME, target_latency, false),
    ROUTE_ROW(CONFIG_FIELD_TARGET_GAP, VALUE_TIME, target_gap, false),
    ROUTE_ROW(CONFIG_FIELD_PRIORITY, VALUE_COUNT, priority, false),
    ROUTE_ROW(CONFIG_FIELD_MAX_ATTEMPTS, VALUE_COUNT, max_attempts, true),
    ROUTE_ROW(CONFIG_FIELD_PUBLIC, VALUE_SWITCH, is_public, true),
    ROUTE_ROW(CONFIG_FIELD_RESUMABLE, VALUE_SWITCH, resumable, true),
    ROUTE_ROW(CONFIG_FIELD_GENERATION, VALUE_SWITCH, is_generation, false),
};

static const struct field_row service_rows[] = {
    SERVICE_ROW(CONFIG_FIELD_HEALTH_PATH, VALUE_TEXT, health_path, false),
    SERVICE_ROW(
	CONFIG_FIELD_MAX_CONNECTIONS, VALUE_BOUND, max_connections, true),
    SERVICE_ROW(CONFIG_FIELD_COLD_RATE, VALUE_RATE_BOUND, cold_rate, true),
    SERVICE_ROW(CONFIG_FIELD_ENGINE, VALUE_SWITCH, has_engine, true),
    ENGINE_ROW(CONFIG_FIELD_SLOTS, VALUE_BOUND, slots, true, true),
    ENGINE_ROW(
	CONFIG_FIELD_MEMORY_TOKENS, VALUE_BOUND, memory_tokens, true, true),
    ENGINE_ROW(CONFIG_FIELD_BYTES_PER_TOKEN, VALUE_COUNT, bytes_per_token,
	false, true),
    ENGINE_ROW(CONFIG_FIELD_LINK_RATE, VALUE_RATE, link_mbps, false, true),
    ENGINE_ROW(CONFIG_FIELD_TOKENS_PER_EVENT, VALUE_COUNT, tokens_per_event,
	false, false),
    ENGINE_ROW(CONFIG_FIELD_HANDLE_TTL, VALUE_TIME, handle_ttl, false, true),
    ENGINE_ROW(
	CONFIG_FIELD_RESERVATION_TTL, VALUE_TIME, reservation_ttl, false, true),
    ENGINE_ROW(CONFIG_FIELD_MOVES, VALUE_SWITCH, supports_moves, true, false),
    ENGINE_ROW(
	CONFIG_FIELD_BACKUPS, VALUE_SWITCH, supports_backups, true, false),
};

static const struct field_row limit_rows[] = {
    LIMIT_ROW(CONFIG_FIELD_MAX_HEAD_BYTES, VALUE_COUNT, max_head_bytes),
    LIMIT_ROW(CONFIG_FIELD_MAX_BODY_BYTES, VALUE_COUNT, max_body_bytes),
    LIMIT_ROW(CONFIG_FIELD_HEAD_TIMEOUT, VALUE_TIME, head_timeout),
    LIMIT_ROW(CONFIG_FIELD_IDLE_TIMEOUT, VALUE_TIME, idle_timeout),
};

/// Reads a number or a switch of either type.
static double
read_number(enum value_type type, const void *value)
{
	switch (type) {
	case VALUE_TIME:
		return (double)*(const usec_t *)value;
	case VALUE_RATE:
	case VALUE_RATE_BOUND:
		return *(const double *)value;
	case VALUE_SWITCH:
		return *(const bool *)value;
	case VALUE_ROUTE_KIND:
		return *(const enum route_kind *)value;
	default:
		return *(const uint32_t *)value;
	}
}

/// Checks whether two values of a field are equal.
static bool
is_equal(enum value_type type, const void *left, const void *right)
{
	if (type == VALUE_TEXT)
		return g_strcmp0(*(char *const *)left, *(char *const *)right) ==
		    0;
	return read_number(type, left) == read_number(type, right);
}

/// Checks whether a change lowers a value. No limit is above all others.
static bool
is_lowered(enum value_type type, const void *before, const void *after)
{
	double old_value;
	double new_value;

	if (type == VALUE_TEXT)
		return false;
	old_value = read_number(type, before);
	new_value = read_number(type, after);
	if (type == VALUE_BOUND || type == VALUE_RATE_BOUND)
		return new_value > 0 &&
		    (old_value == 0 || new_value < old_value);
	return new_value < old_value;
}

/// Formats a value of a field.
static char *
format_value(enum value_type type, const void *value)
{
	static const char *const kinds[] = {
	    [ROUTE_IDEMPOTENT] = "repeatable",
	    [ROUTE_AT_MOST_ONCE] = "at most once",
	    [ROUTE_STREAM] = "stream",
	};

	switch (type) {
	case VALUE_TIME:
		return g_strdup_printf("%" G_GINT64_FORMAT " ms",
		    *(const usec_t *)value / USEC_PER_MSEC);
	case VALUE_SWITCH:
		return g_strdup(*(const bool *)value ? "true" : "false");
	case VALUE_TEXT:
		return *(char *const *)value == NULL
		    ? g_strdup("none")
		    : config_finding_text(*(char *const *)value);
	case VALUE_ROUTE_KIND:
		return g_strdup(kinds[*(const enum route_kind *)value]);
	case VALUE_RATE:
	case VALUE_RATE_BOUND:
		return g_strdup_printf("%g", *(const double *)value);
	default:
		return g_strdup_printf(
		    "%" G_GUINT32_FORMAT, *(const uint32_t *)value);
	}
}

/// Returns the kind of finding for a changed field.
static enum config_finding_kind
choose_kind(
    const struct field_row *row, enum config_section section, bool is_lower)
{
	if (section == CONFIG_LIMITS)
		return is_lower ? CONFIG_LIMIT_LOWERED : CONFIG_LIMIT_CHANGED;
	if (row->is_at_once)
		return is_lower ? CONFIG_LOWERED_AT_ONCE
				: CONFIG_CHANGED_AT_ONCE;
	return is_lower ? CONFIG_LOWERED : CONFIG_CHANGED;
}

/// Compares one field of two objects.
///
/// @param row     the field
/// @param place   place of the object in the checked configuration
/// @param name    name of the object; NULL: none
/// @param before  object of the configuration in force
/// @param after   object of the checked configuration
static void
compare_field(struct config_findings *findings, const struct field_row *row,
    const struct config_place *place, const char *name, const void *before,
    const void *after)
{
	const char *old_value = (const char *)before + row->offset;
	const char *new_value = (const char *)after + row->offset;
	struct config_place field = *place;
	struct config_finding *finding;

	if (is_equal(row->type, old_value, new_value))
		return;
	field.field = row->field;
	field.inner = row->inner;
	finding = config_findings_add(findings,
	    choose_kind(row, place->section,
		row->warns && is_lowered(row->type, old_value, new_value)),
	    &field);
	if (finding == NULL)
		return;
	finding->subject = config_finding_text(name);
	finding->before = format_value(row->type, old_value);
	finding->after = format_value(row->type, new_value);
}

/// Compares the fields of two versions of a route, of a service or of the
/// limits on callers.
///
/// @param findings  receives a finding for each field that differs
/// @param place     place of the object in the checked configuration, which
///                  tells its type
/// @param name      name of the object; NULL: none
/// @param before    object of the configuration in force
/// @param after     object of the checked configuration
void
config_compare_fields(struct config_findings *findings,
    const struct config_place *place, const char *name, const void *before,
    const void *after)
{
	const struct field_row *rows = limit_rows;
	size_t n_rows = G_N_ELEMENTS(limit_rows);

	if (place->section == CONFIG_ROUTES) {
		rows = route_rows;
		n_rows = G_N_ELEMENTS(route_rows);
	} else if (place->section == CONFIG_SERVICES) {
		rows = service_rows;
		n_rows = G_N_ELEMENTS(service_rows);
	}
	for (size_t i = 0; i < n_rows; i++)
		compare_field(findings, &rows[i], place, name, before, after);
}
