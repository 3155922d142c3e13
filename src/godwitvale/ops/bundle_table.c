/* Option tables for parsing the JSON text of a bundle. */
#include "godwitvale/ops/bundle_table.h"

#include "godwitvale/ops/bundle_defs.h"

/// Maximum length of a name or token, in bytes.
#define BUNDLE_NAME_BYTES_MAX 127
/// Maximum number of items in one list.
#define BUNDLE_ITEMS_MAX 4096
/// Longest duration in a bundle: one day.
#define BUNDLE_DURATION_MS_MAX 86400000
/// Largest version: 2^53 - 1, the largest integer that JSON parsers which store
/// numbers as doubles read exactly.
#define BUNDLE_VERSION_MAX 9007199254740991.0
/// Maximum for token counts of a model or of an engine's memory.
#define BUNDLE_TOKENS_MAX 1e9

static const char *const bundle_states[] = {"in", "out", NULL};
static const char *const bundle_identities[] = {"header", "body", NULL};

/// Describes one option. The bounds mean what enum json_option_type says.
#define OPTION(                                                              \
    key, value_type, owner, field, min_value, max_value, default_text, text) \
	{                                                                    \
		.path = (key), .type = (value_type),                         \
		.offset = offsetof(owner, field), .min = (min_value),        \
		.max = (max_value), .default_json = (default_text),          \
		.doc = (text)                                                \
	}
/// Describes a required text of limited length.
#define NAME_OPTION(key, owner, field, text)                                   \
	OPTION(key, JSON_STRING, owner, field, 1, BUNDLE_NAME_BYTES_MAX, NULL, \
	    text)
/// Describes the service state of a zone, instance or upstream.
#define STATE_OPTION(owner)                                                 \
	{                                                                   \
		.path = "state", .type = JSON_ENUM,                         \
		.offset = offsetof(owner, state), .choices = bundle_states, \
		.default_json = "\"in\"", .doc = "in or out of service"     \
	}
#define TABLE(table_name, owner, table_options)              \
	{                                                    \
		.name = (table_name), .size = sizeof(owner), \
		.options = (table_options),                  \
		.n_options = G_N_ELEMENTS(table_options)     \
	}

static const struct json_option zone_options[] = {
    NAME_OPTION("name", struct bundle_zone, name, "availability zone"),
    NAME_OPTION("region", struct bundle_zone, region, "region of the zone"),
    STATE_OPTION(struct bundle_zone),
};

static const struct json_option model_options[] = {
    NAME_OPTION("name", struct bundle_model, name, "model name in requests"),
    OPTION("max_tokens", JSON_UINT32, struct bundle_model, max_tokens, 1,
	BUNDLE_TOKENS_MAX, NULL, "maximum output length"),
    OPTION("context_tokens", JSON_UINT32, struct bundle_model, context_tokens,
	1, BUNDLE_TOKENS_MAX, NULL, "maximum length of prompt plus output"),
    NAME_OPTION("version", struct bundle_model, version,
	"version of the weights to load"),
};

static const struct json_option service_options[] = {
    NAME_OPTION("name", struct bundle_service, name, "plain service"),
    OPTION("idempotent", JSON_BOOL, struct bundle_service, idempotent, 0, 0,
	NULL, "whether a call may run more than once"),
    {.path = "identity",
	.type = JSON_ENUM,
	.offset = offsetof(struct bundle_service, identity),
	.min = BUNDLE_IDENTITY_HEADER,
	.choices = bundle_identities,
	.default_json = "\"body\"",
	.doc = "how repeats of a call are recognised"},
    OPTION("identity_header", JSON_STRING, struct bundle_service,
	identity_header, 1, BUNDLE_NAME_BYTES_MAX, "",
	"header that holds the call's identity"),
    OPTION("resend_window_ms", JSON_DURATION_MS, struct bundle_service,
	resend_window, 0, BUNDLE_DURATION_MS_MAX, "600000",
	"time in which devices may repeat a call"),
    OPTION("timeout_ms", JSON_DURATION_MS, struct bundle_service, timeout, 1,
	BUNDLE_DURATION_MS_MAX, "30000", "maximum duration of a call"),
};

static const struct json_option organisation_options[] = {
    NAME_OPTION("name", struct bundle_organisation, name, "organisation"),
    {.path = "token",
	.type = JSON_STRING,
	.offset = offsetof(struct bundle_organisation, token),
	.min = 1,
	.max = BUNDLE_NAME_BYTES_MAX,
	.secret = true,
	.doc = "bearer token that its devices send"},
    OPTION("weight", JSON_UINT32, struct bundle_organisation, weight, 1,
	1000000, "1", "weight in fair queueing"),
};

static const struct json_option class_options[] = {
    NAME_OPTION("name", struct bundle_class, name, "value of header X-Class"),
    OPTION("priority", JSON_INT, struct bundle_class, priority, -1000, 1000,
	"0", "requests of higher priority start first"),
    OPTION("patience_ms", JSON_DURATION_MS, struct bundle_class, patience, 1,
	BUNDLE_DURATION_MS_MAX, "30000",
	"maximum wait before a request starts"),
};

static const struct json_option upstream_options[] = {
    NAME_OPTION("name", struct bundle_upstream, name, "upstream"),
    {.path = "address",
	.type = JSON_ADDRESS,
	.offset = offsetof(struct bundle_upstream, ip),
	.port_offset = offsetof(struct bundle_upstream, port),
	.doc = "IP number and port that it listens on"},
    NAME_OPTION("zone", struct bundle_upstream, zone, "name of a zone"),
    NAME_OPTION(
	"serves", struct bundle_upstream, serves, "name of a model or service"),
    OPTION("engine", JSON_BOOL, struct bundle_upstream, engine, 0, 0, NULL,
	"true: model engine; false: plain service"),
    OPTION("checks_fence", JSON_BOOL, struct bundle_upstream, checks_fence, 0,
	0, "false", "rejects model orders with an old fencing number"),
    OPTION("memory_tokens", JSON_UINT64, struct bundle_upstream, memory_tokens,
	0, BUNDLE_TOKENS_MAX, "0", "capacity of an engine's memory, in tokens"),
    OPTION("max_running", JSON_UINT32, struct bundle_upstream, max_running, 1,
	100000, NULL, "maximum concurrent requests when warm"),
    OPTION("cold_limit", JSON_UINT32, struct bundle_upstream, cold_limit, 1,
	100000, NULL, "maximum concurrent requests after a start"),
    OPTION("warm_span_ms", JSON_DURATION_MS, struct bundle_upstream, warm_span,
	0, BUNDLE_DURATION_MS_MAX, "30000",
	"duration from cold_limit to max_running"),
    STATE_OPTION(struct bundle_upstream),
};

static const struct json_option instance_options[] = {
    NAME_OPTION("name", struct bundle_instance, name, "instance"),
    STATE_OPTION(struct bundle_instance),
};

static const struct json_table zone_table =
    TABLE("zone", struct bundle_zone, zone_options);
static const struct json_table model_table =
    TABLE("model", struct bundle_model, model_options);
static const struct json_table service_table =
    TABLE("service", struct bundle_service, service_options);
static const struct json_table organisation_table =
    TABLE("organisation", struct bundle_organisation, organisation_options);
static const struct json_table class_table =
    TABLE("class", struct bundle_class, class_options);
static const struct json_table upstream_table =
    TABLE("upstream", struct bundle_upstream, upstream_options);
static const struct json_table instance_table =
    TABLE("instance", struct bundle_instance, instance_options);

/// Describes a list of items, empty by default.
#define LIST_OPTION(key, field, table, text)                   \
	{                                                      \
		.path = (key), .type = JSON_LIST,              \
		.offset = offsetof(struct bundle, field),      \
		.max = BUNDLE_ITEMS_MAX, .default_json = "[]", \
		.item_table = &(table), .doc = (text)          \
	}
/// Describes a number of the routing policy, from 0 to max_value.
#define POLICY_OPTION(key, field, max_value, default_text, text)            \
	OPTION(key, JSON_DOUBLE, struct bundle, policy.field, 0, max_value, \
	    default_text, text)

static const struct json_option bundle_options[] = {
    OPTION("version", JSON_UINT64, struct bundle, version, 1,
	BUNDLE_VERSION_MAX, NULL, "must increase with each bundle"),
    NAME_OPTION("signed_by", struct bundle, signed_by,
	"person who approved the bundle"),
    LIST_OPTION("zones", zones, zone_table, "availability zones"),
    LIST_OPTION("models", models, model_table, "models"),
    LIST_OPTION("services", services, service_table, "plain services"),
    LIST_OPTION("organisations", organisations, organisation_table, "callers"),
    LIST_OPTION("classes", classes, class_table, "workload classes"),
    LIST_OPTION("upstreams", upstreams, upstream_table, "engines and services"),
    LIST_OPTION(
	"instances", instances, instance_table, "service states of instances"),
    POLICY_OPTION("policy.stall_weight", stall_weight, 100, "1",
	"weight of avoiding stalls and preemptions"),
    POLICY_OPTION("policy.zone_weight", zone_weight, 100, "1",
	"weight of service during zone changes"),
    POLICY_OPTION("policy.prefix_weight", prefix_weight, 100, "0.5",
	"weight of cached prompt tokens"),
    POLICY_OPTION("policy.memory_reserve", memory_reserve, 0.9, "0.1",
	"share of an engine's memory kept free"),
    POLICY_OPTION("policy.retry_ratio", retry_ratio, 1, "0.1",
	"maximum retries per first attempt"),
    OPTION("policy.queue_limit", JSON_UINT32, struct bundle, policy.queue_limit,
	1, 100000, "256", "maximum waiting requests per organisation"),
    OPTION("policy.ageing_span_ms", JSON_DURATION_MS, struct bundle,
	policy.ageing_span, 1, BUNDLE_DURATION_MS_MAX, "10000",
	"waiting time that raises priority by one"),
    OPTION("policy.subset", JSON_UINT32, struct bundle, policy.subset, 0,
	100000, "0", "upstreams considered per service; 0: all"),
};

const struct json_table bundle_table =
    TABLE("bundle", struct bundle, bundle_options);
