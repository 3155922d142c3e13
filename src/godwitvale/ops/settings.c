/* Settings of one instance: option table, parsing and validation. */
#include "godwitvale/ops/settings.h"

#include <string.h>

#include "godwitvale/ops/json.h"

/// Maximum length of a name, in bytes.
#define SETTINGS_NAME_BYTES_MAX 63
/// Maximum for durations, in milliseconds.
#define SETTINGS_DURATION_MS_MAX 600000

static const char *const settings_log_levels[] = {
    "error", "warn", "info", "debug", NULL};

/// Describes a duration, written in milliseconds.
#define DURATION_OPTION(key, field, min_ms, default_text, text)              \
	{                                                                    \
		.path = (key), .type = JSON_DURATION_MS,                     \
		.offset = offsetof(struct settings, field), .min = (min_ms), \
		.max = SETTINGS_DURATION_MS_MAX,                             \
		.default_json = (default_text), .doc = (text)                \
	}

/// Describes an IP address with a port.
#define ADDRESS_OPTION(key, ip_field, port_field, default_text, text) \
	{                                                             \
		.path = (key), .type = JSON_ADDRESS,                  \
		.offset = offsetof(struct settings, ip_field),        \
		.port_offset = offsetof(struct settings, port_field), \
		.default_json = (default_text), .doc = (text)         \
	}

/// Describes a required name.
#define NAME_OPTION(key, field, text)                                 \
	{                                                             \
		.path = (key), .type = JSON_STRING,                   \
		.offset = offsetof(struct settings, field), .min = 1, \
		.max = SETTINGS_NAME_BYTES_MAX, .doc = (text)         \
	}

/// Describes a required key of SETTINGS_KEY_BYTES bytes.
#define KEY_OPTION(key, field, text)                                     \
	{                                                                \
		.path = (key), .type = JSON_HEX,                         \
		.offset = offsetof(struct settings, field),              \
		.max = SETTINGS_KEY_BYTES, .secret = true, .doc = (text) \
	}

/// Describes a limit on a size or count.
#define LIMIT_OPTION(key, field, min_value, max_value, default_text, text) \
	{                                                                  \
		.path = (key), .type = JSON_UINT32,                        \
		.offset = offsetof(struct settings, field),                \
		.min = (min_value), .max = (max_value),                    \
		.default_json = (default_text), .doc = (text)              \
	}

static const struct json_option settings_options[] = {
    NAME_OPTION("instance", instance, "name of this instance"),
    NAME_OPTION("zone", zone, "its availability zone"),
    ADDRESS_OPTION(
	"listen.caller", caller.ip, caller.port, NULL, "callers, HTTP"),
    ADDRESS_OPTION("listen.peer", peer.ip, peer.port, NULL,
	"other instances, UDP and HTTP"),
    ADDRESS_OPTION("listen.operator", operator_.ip, operator_.port, NULL,
	"operators, HTTP"),
    ADDRESS_OPTION("platform.config", config.ip, config.port, NULL,
	"configuration service"),
    ADDRESS_OPTION(
	"platform.members", members.ip, members.port, NULL, "membership list"),
    ADDRESS_OPTION(
	"platform.weights", weights.ip, weights.port, "", "weight store"),
    KEY_OPTION("keys.peer", peer_key, "key that instances share"),
    KEY_OPTION(
	"keys.bundle", bundle_key, "public key that bundles verify with"),
    {.path = "log.level",
	.type = JSON_ENUM,
	.offset = offsetof(struct settings, log_level),
	.choices = settings_log_levels,
	.default_json = "\"info\"",
	.doc = "least severe level that is logged"},
    DURATION_OPTION("timing.resend_window_ms", resend_window, 100, "60000",
	"callers repeat a call within this, the longest of all services"),
    DURATION_OPTION("timing.members_interval_ms", members_interval, 100, "1000",
	"between reads of the membership list"),
    DURATION_OPTION("timing.report_interval_ms", report_interval, 10, "250",
	"between load reports of an upstream"),
    DURATION_OPTION("timing.claim_timeout_ms", claim_timeout, 10, "1500",
	"for a majority to answer a claim"),
    DURATION_OPTION("timing.list_lag_ms", list_lag, 100, "10000",
	"longest lag of the membership list"),
    DURATION_OPTION("timing.list_freshness_ms", list_freshness, 100, "10000",
	"how old the membership list may be for claims"),
    DURATION_OPTION("timing.bundle_freshness_ms", bundle_freshness, 100, "3000",
	"how long a bundle counts as confirmed"),
    DURATION_OPTION("timing.progress_timeout_ms", progress_timeout, 50, "5000",
	"silence after which a stream is resumed"),
    LIMIT_OPTION("limits.max_request_bytes", max_request_bytes, 1024,
	64 * 1024 * 1024, "1048576", "largest request body, bytes"),
    LIMIT_OPTION("limits.max_requests", max_requests, 1, 1000000, "4096",
	"requests held at a time"),
    LIMIT_OPTION("limits.memory_mb", memory_mb, 0, 16777216, "0",
	"memory of the machine in MiB, from which the memory for clients "
	"is derived; 0: 88, that of the smallest machine"),
};

static const struct json_table settings_table = {
    .name = "settings",
    .size = sizeof(struct settings),
    .options = settings_options,
    .n_options = G_N_ELEMENTS(settings_options),
};

G_DEFINE_QUARK(settings - error - quark, settings_error)

/// Checks that all listen addresses are different.
///
/// @param settings  settings whose single values are valid
/// @param document  the parsed text, for line numbers in errors
/// @param error     set when two addresses are equal
/// @return false with error set
static bool
check_listen_addresses(const struct settings *settings,
    const struct json_document *document, GError **error)
{
	const struct settings_address *addresses[] = {
	    &settings->caller, &settings->peer, &settings->operator_};
	static const char *const paths[] = {
	    "listen.caller", "listen.peer", "listen.operator"};

	for (size_t i = 1; i < G_N_ELEMENTS(addresses); i++) {
		for (size_t j = 0; j < i; j++) {
			if (addresses[i]->port != addresses[j]->port ||
			    strcmp(addresses[i]->ip, addresses[j]->ip) != 0)
				continue;
			json_set_error(document, paths[i], error,
			    "the same address as %s", paths[j]);
			return false;
		}
	}
	return true;
}

/// Parses and validates settings.
///
/// @param text   JSON with comments
/// @param error  set to SETTINGS_ERROR_INVALID when the text is rejected
/// @return the settings, to be freed by settings_free(), or NULL
struct settings *
settings_parse(const char *text, GError **error)
{
	struct settings *settings = g_new0(struct settings, 1);
	struct json_document document;
	bool ok;

	ok = json_document_parse(&document, text, strlen(text), SETTINGS_ERROR,
		 SETTINGS_ERROR_INVALID, error) &&
	    json_table_read(&settings_table, &document, settings, error) &&
	    check_listen_addresses(settings, &document, error);
	json_document_clear(&document);
	if (!ok)
		g_clear_pointer(&settings, settings_free);
	return settings;
}

/// Loads and validates settings from a file.
///
/// @param path   settings file
/// @param error  set to one of enum settings_error when the file cannot be read
///               or is invalid
/// @return the settings, to be freed by settings_free(), or NULL
struct settings *
settings_load(const char *path, GError **error)
{
	struct settings *settings;
	GError *cause = NULL;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &cause)) {
		g_set_error_literal(
		    error, SETTINGS_ERROR, SETTINGS_ERROR_READ, cause->message);
		g_error_free(cause);
		return NULL;
	}
	if (strlen(text) != len) {
		g_set_error(error, SETTINGS_ERROR, SETTINGS_ERROR_INVALID,
		    "%s: contains a NUL byte", path);
		g_free(text);
		return NULL;
	}
	settings = settings_parse(text, error);
	g_free(text);
	if (settings == NULL)
		g_prefix_error(error, "%s: ", path);
	return settings;
}

/// Appends a line that describes each setting.
///
/// @param out  receives the lines
void
settings_explain(GString *out)
{
	json_table_explain(&settings_table, "", out);
}

/// Frees settings.
///
/// @param settings  may be NULL
void
settings_free(struct settings *settings)
{
	if (settings == NULL)
		return;
	json_table_clear(&settings_table, settings);
	g_free(settings);
}
