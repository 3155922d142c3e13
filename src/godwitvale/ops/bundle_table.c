/* The table of options that describes a bundle's text. */
#include "godwitvale/ops/bundle_table.h"

#include "godwitvale/ops/bundle_defs.h"

/// Longest name or token, in bytes.
#define BUNDLE_NAME_BYTES 127
/// Most items in one list.
#define BUNDLE_ITEMS_MAX 4096
/// Longest span in a bundle: a day.
#define BUNDLE_SPAN_MS_MAX 86400000
/// Largest version: the largest integer that JSON readers agree on.
#define BUNDLE_VERSION_MAX 9007199254740991.0
/// Most tokens that a model or an engine's memory may hold.
#define BUNDLE_TOKENS_MAX 1e9

static const char *const bundle_states[] = {"in", "out", NULL};
static const char *const bundle_identities[] = {"header", "body", NULL};

#define ROW(key, kind, type_, field, least, most, preset, text)    \
	{                                                          \
		.path = (key), .type = (kind),                     \
		.offset = offsetof(type_, field), .min = (least),  \
		.max = (most), .fallback = (preset), .doc = (text) \
	}
#define NAME(key, type_, field, text) \
	ROW(key, JSON_TEXT, type_, field, 1, BUNDLE_NAME_BYTES, NULL, text)
#define STATE(type_)                                                        \
	{                                                                   \
		.path = "state", .type = JSON_CHOICE,                       \
		.offset = offsetof(type_, state), .choices = bundle_states, \
		.fallback = "\"in\"", .doc = "in or out of service"         \
	}
#define TABLE(label, type_, rows)                                          \
	{                                                                  \
		.name = (label), .size = sizeof(type_), .options = (rows), \
		.n_options = G_N_ELEMENTS(rows)                            \
	}

static const struct json_option zone_options[] = {
    NAME("name", struct bundle_zone, name, "availability zone"),
    NAME("region", struct bundle_zone, region, "its region"),
    STATE(struct bundle_zone),
};

static const struct json_option model_options[] = {
    NAME("name", struct bundle_model, name, "what callers ask for"),
    ROW("max_tokens", JSON_UINT32, struct bundle_model, max_tokens, 1,
	BUNDLE_TOKENS_MAX, NULL, "longest output allowed"),
    ROW("context_tokens", JSON_UINT32, struct bundle_model, context_tokens, 1,
	BUNDLE_TOKENS_MAX, NULL, "prompt and output together"),
    NAME("version", struct bundle_model, version, "weights to be loaded"),
};

static const struct json_option service_options[] = {
    NAME("name", struct bundle_service, name, "plain service"),
    ROW("idempotent", JSON_BOOL, struct bundle_service, idempotent, 0, 0, NULL,
	"whether its calls may be repeated"),
    {.path = "identity",
	.type = JSON_CHOICE,
	.offset = offsetof(struct bundle_service, identity),
	.min = BUNDLE_IDENTITY_HEADER,
	.choices = bundle_identities,
	.fallback = "\"body\"",
	.doc = "what makes two calls the same one"},
    ROW("identity_header", JSON_TEXT, struct bundle_service, identity_header, 1,
	BUNDLE_NAME_BYTES, "", "header that identifies a call"),
    ROW("resend_window_ms", JSON_SPAN_MS, struct bundle_service, resend_window,
	0, BUNDLE_SPAN_MS_MAX, "600000", "devices repeat a call within this"),
    ROW("timeout_ms", JSON_SPAN_MS, struct bundle_service, timeout, 1,
	BUNDLE_SPAN_MS_MAX, "30000", "longest call"),
};

static const struct json_option organisation_options[] = {
    NAME("name", struct bundle_organisation, name, "organisation"),
    {.path = "token",
	.type = JSON_TEXT,
	.offset = offsetof(struct bundle_organisation, token),
	.min = 1,
	.max = BUNDLE_NAME_BYTES,
	.secret = true,
	.doc = "bearer token of its devices"},
    ROW("weight", JSON_UINT32, struct bundle_organisation, weight, 1, 1000000,
	"1", "fair share"),
};

static const struct json_option class_options[] = {
    NAME("name", struct bundle_class, name, "value of header X-Class"),
    ROW("priority", JSON_INT, struct bundle_class, priority, -1000, 1000, "0",
	"higher goes first"),
    ROW("patience_ms", JSON_SPAN_MS, struct bundle_class, patience, 1,
	BUNDLE_SPAN_MS_MAX, "30000", "refuse when it can't start within this"),
};

static const struct json_option upstream_options[] = {
    NAME("name", struct bundle_upstream, name, "upstream"),
    {.path = "address",
	.type = JSON_ADDRESS,
	.offset = offsetof(struct bundle_upstream, ip),
	.port_offset = offsetof(struct bundle_upstream, port),
	.doc = "where it listens"},
    NAME("zone", struct bundle_upstream, zone, "name of a zone"),
    NAME("serves", struct bundle_upstream, serves, "model or service"),
    ROW("engine", JSON_BOOL, struct bundle_upstream, engine, 0, 0, NULL,
	"a model engine, else a plain service"),
    ROW("checks_fence", JSON_BOOL, struct bundle_upstream, checks_fence, 0, 0,
	"false", "refuses orders with an old fencing number"),
    ROW("memory_tokens", JSON_UINT64, struct bundle_upstream, memory_tokens, 0,
	BUNDLE_TOKENS_MAX, "0", "tokens that fit into an engine's memory"),
    ROW("max_running", JSON_UINT32, struct bundle_upstream, max_running, 1,
	100000, NULL, "most requests at a time when warm"),
    ROW("cold_limit", JSON_UINT32, struct bundle_upstream, cold_limit, 1,
	100000, NULL, "most at a time right after a start"),
    ROW("warm_span_ms", JSON_SPAN_MS, struct bundle_upstream, warm_span, 0,
	BUNDLE_SPAN_MS_MAX, "30000", "from cold_limit to max_running"),
    STATE(struct bundle_upstream),
};

static const struct json_option instance_options[] = {
    NAME("name", struct bundle_instance, name, "instance"),
    STATE(struct bundle_instance),
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

#define LIST(key, field, table, text)                                        \
	{                                                                    \
		.path = (key), .type = JSON_LIST,                            \
		.offset = offsetof(struct bundle, field),                    \
		.max = BUNDLE_ITEMS_MAX, .fallback = "[]", .item = &(table), \
		.doc = (text)                                                \
	}
#define WEIGHT(key, field, most, preset, text)                              \
	ROW(key, JSON_DOUBLE, struct bundle, policy.field, 0, most, preset, \
	    text)

static const struct json_option bundle_options[] = {
    ROW("version", JSON_UINT64, struct bundle, version, 1, BUNDLE_VERSION_MAX,
	NULL, "only rises"),
    NAME("signed_by", struct bundle, signed_by, "who signed it off"),
    LIST("zones", zones, zone_table, "availability zones"),
    LIST("models", models, model_table, "models"),
    LIST("services", services, service_table, "plain services"),
    LIST("organisations", organisations, organisation_table, "callers"),
    LIST("classes", classes, class_table, "workload classes"),
    LIST("upstreams", upstreams, upstream_table, "engines and services"),
    LIST("instances", instances, instance_table, "states of instances"),
    WEIGHT("policy.stall_weight", stall_weight, 100, "1",
	"worth of fewer stalls and preemptions"),
    WEIGHT("policy.zone_weight", zone_weight, 100, "1",
	"worth of service through zone changes"),
    WEIGHT("policy.prefix_weight", prefix_weight, 100, "0.5",
	"worth of a cached prompt token"),
    WEIGHT("policy.memory_reserve", memory_reserve, 0.9, "0.1",
	"share of an engine's memory kept free"),
    WEIGHT("policy.retry_ratio", retry_ratio, 1, "0.1",
	"retries allowed for each first try"),
    ROW("policy.queue_limit", JSON_UINT32, struct bundle, policy.queue_limit, 1,
	100000, "256", "waiting requests an organisation"),
    ROW("policy.ageing_span_ms", JSON_SPAN_MS, struct bundle,
	policy.ageing_span, 1, BUNDLE_SPAN_MS_MAX, "10000",
	"waiting this long is worth one priority"),
    ROW("policy.subset", JSON_UINT32, struct bundle, policy.subset, 0, 100000,
	"0", "upstreams considered a service; 0: all"),
};

const struct json_table bundle_table =
    TABLE("bundle", struct bundle, bundle_options);
