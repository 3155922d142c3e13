/* Table of the settings of an entry instance, and their parser. */
#include "godwitvale/entry/entry_settings.h"

#include <string.h>

#include "godwitvale/ops/json.h"
#include "godwitvale/ops/settings.h"

/// Maximum length of a string setting, in bytes.
#define TEXT_BYTES 1023

static const char *const log_levels[] = {
    "error", "warn", "info", "debug", NULL};

/// Table row of a string setting.
#define TEXT(key, field, min_value, default_text, text)           \
	{                                                         \
		.path = (key), .type = JSON_STRING,               \
		.offset = offsetof(struct entry_settings, field), \
		.min = (min_value), .max = TEXT_BYTES,            \
		.default_json = (default_text), .doc = (text)     \
	}

/// Table row of an IP:PORT setting.
#define ADDRESS(key, ip_field, port_field, text)                            \
	{                                                                   \
		.path = (key), .type = JSON_ADDRESS,                        \
		.offset = offsetof(struct entry_settings, ip_field),        \
		.port_offset = offsetof(struct entry_settings, port_field), \
		.doc = (text)                                               \
	}

/// Table row of a numeric setting.
#define NUMBER(kind, key, field, min_value, max_value, default_text, text) \
	{                                                                  \
		.path = (key), .type = (kind),                             \
		.offset = offsetof(struct entry_settings, field),          \
		.min = (min_value), .max = (max_value),                    \
		.default_json = (default_text), .doc = (text)              \
	}

static const struct json_option options[] = {
    TEXT("instance", instance, 1, NULL, "name of this instance"),
    TEXT("zone", zone, 1, NULL, "availability zone of this instance"),
    ADDRESS("listen.caller", caller.ip, caller.port, "HTTP for callers"),
    ADDRESS("listen.ready", ready.ip, ready.port,
	"HTTP for readiness checks of balancers"),
    ADDRESS("listen.control", control.ip, control.port,
	"HTTP for snapshots that other instances request"),
    NUMBER(JSON_UINT16, "listen.peer_port", peer_port, 1, UINT16_MAX, NULL,
	"UDP for heartbeats, loads and changes of the upstreams, "
	"which instances send to each other; the same port at all instances"),
    NUMBER(JSON_UINT16, "listen.metrics_port", metrics_port, 0, UINT16_MAX, "0",
	"HTTP for metrics; 0: not served"),
    TEXT("seeds", seeds, 0, "\"\"",
	"comma-separated IP:PORT of other instances that always get "
	"heartbeats, so that this instance finds all instances; "
	"the ports are ignored"),
    TEXT("store.address", store, 1, NULL,
	"IP:PORT of the platform's store, which holds the configuration, "
	"the evacuated zones and the upstreams"),
    TEXT("upstreams.source", upstream_source, 0, "\"\"",
	"IP that connections to upstreams and to the store come from, on "
	"machines with several; empty: the system chooses"),
    {.path = "log.level",
	.type = JSON_ENUM,
	.offset = offsetof(struct entry_settings, log_level),
	.choices = log_levels,
	.default_json = "\"info\"",
	.doc = "least severe level that is logged"},
    NUMBER(JSON_UINT32, "limits.max_callers", max_callers, 16, 1000000, "2000",
	"maximum number of open connections of callers"),
    NUMBER(JSON_UINT32, "limits.memory_mb", memory_mb, 0, 16777216, "0",
	"memory of the machine in MiB, from which the memory for callers is "
	"derived; 0: 88, that of the smallest machine"),
    NUMBER(JSON_UINT32, "limits.max_fds", max_fds, 0, 16777216, "0",
	"descriptors of the machine, from which the numbers of connections "
	"are derived; 0: 3075, those of the smallest machine"),
    NUMBER(JSON_UINT32, "limits.caller_memory_mb", caller_memory_mb, 0,
	16777216, "0",
	"maximum of the bytes held for callers in MiB; 0: derived from "
	"limits.memory_mb"),
    NUMBER(JSON_UINT32, "limits.socket_memory_mb", socket_memory_mb, 0,
	16777216, "0",
	"maximum of the kernel's buffers for the connections of callers, "
	"other instances and operators in MiB; 0: derived from "
	"limits.memory_mb"),
    NUMBER(JSON_UINT32, "limits.body_min_bytes_per_s", body_min_bytes_per_s, 0,
	1000000000, "256",
	"lowest average rate at which the body of a request may come, in "
	"bytes per second; 0: any"),
    NUMBER(JSON_DURATION_MS, "limits.body_grace_ms", body_grace, 0, 3600000,
	"120000",
	"time that the body of a request may take in addition to what "
	"limits.body_min_bytes_per_s allows"),
    NUMBER(JSON_DURATION_MS, "limits.body_max_ms", body_max_time, 0, 86400000,
	"900000",
	"maximum time from a request's first byte to the end of its "
	"body; 0: any"),
    NUMBER(JSON_DOUBLE, "limits.link_mbps", link_mbps, 0, 1000000, "0",
	"rate of the machine's network link in Mbit/s; instances with a fast "
	"one pass on messages for others first; 0: unknown"),
    NUMBER(JSON_UINT32, "hubs.min_instances", hub_min_instances, 2, 1000000,
	"40",
	"size of the fleet from which on instances exchange messages through "
	"a few of them, the hubs; in smaller ones all send to all"),
    NUMBER(JSON_BOOL, "pace.enabled", pace_enabled, 0, 0, "true",
	"whether placement takes into account how long events pause at "
	"engines of different speeds"),
    NUMBER(JSON_DOUBLE, "retries.ratio", retry_ratio, 0, 10, "0.1",
	"maximum ratio of retries to first requests of a service, over all "
	"instances together"),
    NUMBER(JSON_DOUBLE, "retries.slack", retry_slack, 0, 1000000, "10",
	"retries to a service per window in addition to those that "
	"retries.ratio allows, over all instances together"),
    NUMBER(JSON_DURATION_MS, "retries.window_ms", retry_window, 100, 600000,
	"10000", "window in which retries are counted"),
    NUMBER(JSON_DOUBLE, "cold.overrun", cold_overrun, 1, 100, "1",
	"limit on requests per second to a cold upstream, as a multiple of "
	"its service's cold rate, over all instances together"),
    NUMBER(JSON_DOUBLE, "cold.slack", cold_slack, 0, 100000, "0",
	"requests per second to a cold upstream in addition to those that "
	"cold.overrun allows, over all instances together"),
    {.path = "outcomes.enabled",
	.type = JSON_BOOL,
	.offset = offsetof(struct entry_settings, exchange_outcomes),
	.default_json = "true",
	.doc = "whether instances tell each other of failed requests to plain "
	       "services, and eject upstreams on the evidence of all"},
    {.path = "shares.enabled",
	.type = JSON_BOOL,
	.offset = offsetof(struct entry_settings, share_memory),
	.default_json = "true",
	.doc = "whether organisations that hold more than their fair share of "
	       "scarce engine memory leave a part of it free for others"},
    NUMBER(JSON_DURATION_MS, "leaving.grace_ms", grace, 100, 600000, "8000",
	"time from SIGTERM until the platform kills the process; "
	"the process ends earlier"),
};

static const struct json_table settings_table = {
    .name = "settings",
    .size = sizeof(struct entry_settings),
    .options = options,
    .n_options = G_N_ELEMENTS(options),
};

/// Parses settings.
///
/// @param text   JSON with comments
/// @param error  set to SETTINGS_ERROR_INVALID if the settings are invalid
/// @return the settings, to be freed by entry_settings_free(), or NULL
struct entry_settings *
entry_settings_parse(const char *text, GError **error)
{
	struct entry_settings *settings = g_new0(struct entry_settings, 1);
	struct json_document document;
	bool ok;

	ok = json_document_parse(&document, text, strlen(text), SETTINGS_ERROR,
	    SETTINGS_ERROR_INVALID, error);
	if (ok) {
		ok = json_table_read(
		    &settings_table, &document, settings, error);
		json_document_clear(&document);
	}
	if (ok)
		return settings;
	entry_settings_free(settings);
	return NULL;
}

/// Reads settings from a file.
///
/// @param path   path of the file
/// @param error  set if the file can't be read or is invalid
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
/// @param settings  may be NULL
void
entry_settings_free(struct entry_settings *settings)
{
	if (settings == NULL)
		return;
	json_table_clear(&settings_table, settings);
	g_free(settings);
}
