/* Counters and gauges of this instance, and their text format. */
#include "godwitvale/ops/metrics.h"

#include <stdbool.h>
#include <string.h>

/// Describes a counter or gauge, or one label value of it.
struct metric_row {
	const char *family; /// name without the program's prefix
	const char *label;  /// label="value", or NULL
	const char *help;
	bool is_gauge; /// set with metrics_set(), not metrics_add()
};

#define COUNTER(name, text)                      \
	{                                        \
		.family = (name), .help = (text) \
	}
#define GAUGE(name, text)                                          \
	{                                                          \
		.family = (name), .help = (text), .is_gauge = true \
	}
#define LABELLED(name, key, value, text)                         \
	{                                                        \
		.family = (name), .label = key "=\"" value "\"", \
		.help = (text)                                   \
	}
#define REFUSED(value)                                      \
	LABELLED("requests_refused_total", "reason", value, \
	    "Requests refused, by reason.")
#define ENDED(value)                                       \
	LABELLED("requests_ended_total", "verdict", value, \
	    "Requests ended, by whether they ran.")
#define DROPPED(value)                                  \
	LABELLED("peer_dropped_total", "reason", value, \
	    "Messages of other instances dropped, by reason.")
#define CLOSED(value)                                    \
	LABELLED("clients_closed_total", "limit", value, \
	    "Connections of clients closed, by the limit reached.")

static const struct metric_row metric_rows[METRIC_COUNT] = {
    [METRIC_REQUESTS] = COUNTER("requests_total", "Requests received."),
    [METRIC_REFUSED_DEADLINE] = REFUSED("deadline"),
    [METRIC_REFUSED_QUEUE_FULL] = REFUSED("queue_full"),
    [METRIC_REFUSED_NO_UPSTREAM] = REFUSED("no_upstream"),
    [METRIC_REFUSED_RETRIES] = REFUSED("retries"),
    [METRIC_REFUSED_TOO_LARGE] = REFUSED("too_large"),
    [METRIC_REFUSED_UNAUTHORISED] = REFUSED("unauthorised"),
    [METRIC_REFUSED_INVALID] = REFUSED("invalid"),
    [METRIC_REFUSED_LIMIT] = REFUSED("limit"),
    [METRIC_REFUSED_STALE_BUNDLE] = REFUSED("stale_bundle"),
    [METRIC_REFUSED_NO_MAJORITY] = REFUSED("no_majority"),
    [METRIC_REFUSED_LEAVING] = REFUSED("leaving"),
    [METRIC_ENDED_RAN] = ENDED("ran"),
    [METRIC_ENDED_NOT_RUN] = ENDED("not_run"),
    [METRIC_ENDED_MAY_HAVE_RUN] = ENDED("may_have_run"),
    [METRIC_TOKENS_RELAYED] =
	COUNTER("tokens_relayed_total", "Tokens passed on to callers."),
    [METRIC_TOKENS_DROPPED] = COUNTER("tokens_dropped_total",
	"Tokens dropped as repeated or of another generation."),
    [METRIC_RESUMES] = COUNTER("resumes_total", "Streams resumed."),
    [METRIC_REGENERATIONS] = COUNTER("regenerations_total",
	"Generations started anew before anything was delivered."),
    [METRIC_RETRIES] = COUNTER("retries_total", "Requests sent again."),
    [METRIC_ORDERS_GRANTED] = COUNTER("orders_granted_total",
	"Calls that must not repeat, granted by a majority."),
    [METRIC_ORDERS_DENIED] =
	COUNTER("orders_denied_total", "Calls that must not repeat, denied."),
    [METRIC_ORDERS_MAY_HAVE_RUN] = COUNTER("orders_may_have_run_total",
	"Calls that must not repeat, answered as maybe run."),
    [METRIC_PEER_SENT] =
	COUNTER("peer_sent_total", "Messages sent to other instances."),
    [METRIC_PEER_RECEIVED] = COUNTER(
	"peer_received_total", "Messages accepted from other instances."),
    [METRIC_PEER_DROPPED_GARBAGE] = DROPPED("garbage"),
    [METRIC_PEER_DROPPED_FORGED] = DROPPED("forged"),
    [METRIC_PEER_DROPPED_REPLAYED] = DROPPED("replayed"),
    [METRIC_PEER_DROPPED_UNKNOWN] = DROPPED("unknown"),
    [METRIC_CLIENTS_CLOSED_MEMORY] = CLOSED("memory"),
    [METRIC_CLIENTS_CLOSED_CONNECTIONS] = CLOSED("connections"),
    [METRIC_BUNDLE_VERSION] =
	GAUGE("bundle_version", "Version of the bundle in force."),
    [METRIC_BUNDLE_REJECTED] = COUNTER("bundle_rejected_total",
	"Bundles refused as malformed, badly signed or too old."),
    [METRIC_STALE_BUNDLE_REFUSALS] = COUNTER("stale_bundle_refusals_total",
	"Sends refused because the bundle was not confirmed in time."),
    [METRIC_CONFIG_READS] =
	COUNTER("config_reads_total", "Calls to the configuration service."),
    [METRIC_MEMBERS_REVISION] =
	GAUGE("members_revision", "Revision of the membership list."),
    [METRIC_QUEUE_LENGTH] = GAUGE("queue_length", "Requests waiting."),
    [METRIC_IN_FLIGHT] = GAUGE("in_flight", "Requests at upstreams."),
    [METRIC_UPSTREAMS_COLD] =
	GAUGE("upstreams_cold", "Upstreams held to their cold limit or less."),
};

static uint64_t metric_values[METRIC_COUNT];

/// Adds to a counter.
///
/// @param metric  a counter
/// @param n       amount to add
void
metrics_add(enum metric metric, uint64_t n)
{
	g_assert(metric < METRIC_COUNT && !metric_rows[metric].is_gauge);
	metric_values[metric] += n;
}

/// Sets a gauge.
///
/// @param metric  a gauge
/// @param value   its new value
void
metrics_set(enum metric metric, uint64_t value)
{
	g_assert(metric < METRIC_COUNT && metric_rows[metric].is_gauge);
	metric_values[metric] = value;
}

/// Returns the value of a counter or gauge.
uint64_t
metrics_get(enum metric metric)
{
	g_assert(metric < METRIC_COUNT);
	return metric_values[metric];
}

/// Sets every counter and gauge to 0.
void
metrics_reset(void)
{
	memset(metric_values, 0, sizeof(metric_values));
}

/// Formats all counters and gauges in the Prometheus text format.
///
/// @return the text; free with g_string_free()
GString *
metrics_to_text(void)
{
	GString *out = g_string_new(NULL);
	const char *family = "";

	for (size_t i = 0; i < METRIC_COUNT; i++) {
		const struct metric_row *row = &metric_rows[i];

		if (strcmp(family, row->family) != 0)
			g_string_append_printf(out,
			    "# HELP godwitvale_%s %s\n"
			    "# TYPE godwitvale_%s %s\n",
			    row->family, row->help, row->family,
			    row->is_gauge ? "gauge" : "counter");
		family = row->family;
		g_string_append_printf(out, "godwitvale_%s", family);
		if (row->label != NULL)
			g_string_append_printf(out, "{%s}", row->label);
		g_string_append_printf(
		    out, " %" G_GUINT64_FORMAT "\n", metric_values[i]);
	}
	return out;
}
