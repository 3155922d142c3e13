/* Settings of an entry instance: the table of options and their reading. */
#include "godwitvale/entry/entry_settings.h"

#include <string.h>

#include "godwitvale/ops/json.h"
#include "godwitvale/ops/settings.h"

/// Longest text of a setting, in bytes.
#define TEXT_BYTES 1023

static const char *const log_levels[] = {
    "error", "warn", "info", "debug", NULL};

/// Row of a text.
#define TEXT(key, field, least, preset, text)                            \
	{                                                                \
		.path = (key), .type = JSON_TEXT,                        \
		.offset = offsetof(struct entry_settings, field),        \
		.min = (least), .max = TEXT_BYTES, .fallback = (preset), \
		.doc = (text)                                            \
	}

/// Row of an address.
#define ADDRESS(key, ip_field, port_field, text)                            \
	{                                                                   \
		.path = (key), .type = JSON_ADDRESS,                        \
		.offset = offsetof(struct entry_settings, ip_field),        \
		.port_offset = offsetof(struct entry_settings, port_field), \
		.doc = (text)                                               \
	}

/// Row of a number.
#define NUMBER(kind, key, field, least, most, preset, text)          \
	{                                                            \
		.path = (key), .type = (kind),                       \
		.offset = offsetof(struct entry_settings, field),    \
		.min = (least), .max = (most), .fallback = (preset), \
		.doc = (text)                                        \
	}

static const struct json_option options[] = {
    TEXT("instance", instance, 1, NULL, "name of this instance"),
    TEXT("zone", zone, 1, NULL, "its availability zone"),
    ADDRESS("listen.caller", caller.ip, caller.port, "callers, HTTP"),
    ADDRESS("listen.ready", ready.ip, ready.port,
	"balancers that ask for readiness, HTTP"),
    ADDRESS(
	"listen.control", control.ip, control.port, "other instances, HTTP"),
    NUMBER(JSON_UINT16, "listen.peer_port", peer_port, 1, UINT16_MAX, NULL,
	"other instances, UDP"),
    NUMBER(JSON_UINT16, "listen.metrics_port", metrics_port, 0, UINT16_MAX, "0",
	"counters, HTTP; 0: not served"),
    TEXT("seeds", seeds, 0, "\"\"", "control addresses of some instances"),
    TEXT("store.address", store, 1, NULL, "the platform's store, IP:PORT"),
    {.path = "log.level",
	.type = JSON_CHOICE,
	.offset = offsetof(struct entry_settings, log_level),
	.choices = log_levels,
	.fallback = "\"info\"",
	.doc = "least severe level that is logged"},
    NUMBER(JSON_UINT32, "limits.max_callers", max_callers, 16, 1000000, "2000",
	"connections of callers at a time"),
    NUMBER(JSON_DOUBLE, "retries.ratio", retry_ratio, 0, 10, "0.1",
	"repeats to a service, as a share of first requests, of all instances"),
    NUMBER(JSON_DOUBLE, "retries.slack", retry_slack, 0, 1000000, "10",
	"repeats in a window besides, of all instances"),
    NUMBER(JSON_SPAN_MS, "retries.window_ms", retry_window, 100, 600000,
	"10000", "window in which repeats are counted"),
    NUMBER(JSON_DOUBLE, "cold.overrun", cold_overrun, 1, 100, "1",
	"factor on the rate that a cold upstream bears, of all instances"),
    NUMBER(JSON_DOUBLE, "cold.slack", cold_slack, 0, 100000, "0",
	"requests in a second besides, of all instances"),
    NUMBER(JSON_SPAN_MS, "leaving.grace_ms", grace, 100, 600000, "8000",
	"from SIGTERM to the end of the process"),
};

static const struct json_table table = {
    .name = "settings",
    .size = sizeof(struct entry_settings),
    .options = options,
    .n_options = G_N_ELEMENTS(options),
};

/// Reads settings from a text.
///
/// @param text   JSON with comments
/// @param error  set to SETTINGS_ERROR_INVALID when refused
/// @return the settings, to be freed by entry_settings_free(), or NULL
struct entry_settings *
entry_settings_parse(const char *text, GError **error)
{
	struct entry_settings *settings = g_new0(struct entry_settings, 1);
	struct json_document document;
	bool ok;

	ok = json_document_open(&document, text, strlen(text), SETTINGS_ERROR,
	    SETTINGS_ERROR_INVALID, error);
	if (ok) {
		ok = json_table_read(&table, &document, settings, error);
		json_document_close(&document);
	}
	if (ok)
		return settings;
	entry_settings_free(settings);
	return NULL;
}

/// Reads settings from a file.
///
/// @param path   the file's
/// @param error  set when it can't be read or is refused
/// @return the settings, to be freed by entry_settings_free(), or NULL
struct entry_settings *
entry_settings_load(const char *path, GError **error)
{
	struct entry_settings *settings;
	char *text;

	if (!g_file_get_contents(path, &text, NULL, error))
		return NULL;
	settings = entry_settings_parse(text, error);
	g_free(text);
	return settings;
}

/// Frees settings.
///
/// @param settings  settings, or NULL
void
entry_settings_free(struct entry_settings *settings)
{
	if (settings == NULL)
		return;
	json_table_clear(&table, settings);
	g_free(settings);
}
