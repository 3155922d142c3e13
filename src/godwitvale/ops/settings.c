/* Settings of one instance: the table of options and their reading. */
#include "godwitvale/ops/settings.h"

#include <string.h>

#include "godwitvale/ops/json.h"

/// Longest name, in bytes.
#define SETTINGS_NAME_BYTES 63
/// Longest span that a setting may ask for.
#define SETTINGS_SPAN_MS_MAX 600000

static const char *const settings_log_levels[] = {
    "error", "warn", "info", "debug", NULL};

/// Row of a span in milliseconds.
#define SPAN(key, field, min_ms, preset, text)                               \
	{                                                                    \
		.path = (key), .type = JSON_SPAN_MS,                         \
		.offset = offsetof(struct settings, field), .min = (min_ms), \
		.max = SETTINGS_SPAN_MS_MAX, .fallback = (preset),           \
		.doc = (text)                                                \
	}

/// Row of an address.
#define ADDRESS(key, ip_field, port_field, preset, text)              \
	{                                                             \
		.path = (key), .type = JSON_ADDRESS,                  \
		.offset = offsetof(struct settings, ip_field),        \
		.port_offset = offsetof(struct settings, port_field), \
		.fallback = (preset), .doc = (text)                   \
	}

/// Row of a name.
#define NAME(key, field, text)                                        \
	{                                                             \
		.path = (key), .type = JSON_TEXT,                     \
		.offset = offsetof(struct settings, field), .min = 1, \
		.max = SETTINGS_NAME_BYTES, .doc = (text)             \
	}

/// Row of a key of SETTINGS_KEY_BYTES.
#define KEY(key, field, text)                                            \
	{                                                                \
		.path = (key), .type = JSON_HEX,                         \
		.offset = offsetof(struct settings, field),              \
		.max = SETTINGS_KEY_BYTES, .secret = true, .doc = (text) \
	}

/// Row of a limit.
#define LIMIT(key, field, least, most, preset, text)                        \
	{                                                                   \
		.path = (key), .type = JSON_UINT32,                         \
		.offset = offsetof(struct settings, field), .min = (least), \
		.max = (most), .fallback = (preset), .doc = (text)          \
	}

static const struct json_option settings_options[] = {
    NAME("instance", instance, "name of this instance"),
    NAME("zone", zone, "its availability zone"),
    ADDRESS("listen.caller", caller.ip, caller.port, NULL, "callers, HTTP"),
    ADDRESS("listen.peer", peer.ip, peer.port, NULL,
	"other instances, UDP and HTTP"),
    ADDRESS("listen.operator", operator_.ip, operator_.port, NULL,
	"operators, HTTP"),
    ADDRESS("platform.config", config.ip, config.port, NULL,
	"configuration service"),
    ADDRESS(
	"platform.members", members.ip, members.port, NULL, "membership list"),
    ADDRESS("platform.weights", weights.ip, weights.port, "", "weight store"),
    KEY("keys.peer", peer_key, "key that instances share"),
    KEY("keys.bundle", bundle_key, "public key that bundles verify with"),
    {.path = "log.level",
	.type = JSON_CHOICE,
	.offset = offsetof(struct settings, log_level),
	.choices = settings_log_levels,
	.fallback = "\"info\"",
	.doc = "least severe level that is logged"},
    SPAN("timing.resend_window_ms", resend_window, 100, "60000",
	"callers repeat a call within this, the longest of all services"),
    SPAN("timing.members_interval_ms", members_interval, 100, "1000",
	"between reads of the membership list"),
    SPAN("timing.report_interval_ms", report_interval, 10, "250",
	"between load reports of an upstream"),
    SPAN("timing.claim_timeout_ms", claim_timeout, 10, "1500",
	"for a majority to answer a claim"),
    SPAN("timing.list_lag_ms", list_lag, 100, "10000",
	"longest lag of the membership list"),
    SPAN("timing.list_freshness_ms", list_freshness, 100, "10000",
	"how old the membership list may be for claims"),
    SPAN("timing.bundle_freshness_ms", bundle_freshness, 100, "3000",
	"how long a bundle counts as confirmed"),
    SPAN("timing.progress_timeout_ms", progress_timeout, 50, "5000",
	"silence after which a stream is resumed"),
    LIMIT("limits.max_request_bytes", max_request_bytes, 1024, 64 * 1024 * 1024,
	"1048576", "largest request body, bytes"),
    LIMIT("limits.max_requests", max_requests, 1, 1000000, "4096",
	"requests held at a time"),
};

static const struct json_table settings_table = {
    .name = "settings",
    .size = sizeof(struct settings),
    .options = settings_options,
    .n_options = G_N_ELEMENTS(settings_options),
};

G_DEFINE_QUARK(settings - error - quark, settings_error)

/// Checks what no single option can tell: listeners must not collide.
///
/// @param settings  read
/// @param document  its text
/// @param error     set when two collide
/// @return false with error set
static bool
check_listeners(const struct settings *settings,
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
			json_fail(document, paths[i], error,
			    "the same address as %s", paths[j]);
			return false;
		}
	}
	return true;
}

/// Reads settings from a text.
///
/// @param text   JSON with comments
/// @param error  set to SETTINGS_ERROR_INVALID when refused
/// @return the settings, to be freed by settings_free(), or NULL
struct settings *
settings_parse(const char *text, GError **error)
{
	struct settings *settings = g_new0(struct settings, 1);
	struct json_document document;
	bool ok;

	ok = json_document_open(&document, text, strlen(text), SETTINGS_ERROR,
		 SETTINGS_ERROR_INVALID, error) &&
	    json_table_read(&settings_table, &document, settings, error) &&
	    check_listeners(settings, &document, error);
	json_document_close(&document);
	if (!ok)
		g_clear_pointer(&settings, settings_free);
	return settings;
}

/// Reads settings from a file.
///
/// @param path   the file
/// @param error  set to one of enum settings_error when refused
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
		    "%s: not a text", path);
		g_free(text);
		return NULL;
	}
	settings = settings_parse(text, error);
	g_free(text);
	if (settings == NULL)
		g_prefix_error(error, "%s: ", path);
	return settings;
}

/// Describes each setting, one line each.
///
/// @param out  appended to
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
