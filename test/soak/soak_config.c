/* Configurations of the soak: a standard one, and changes of it. */
#include "test/soak/soak.h"

/// Idle timeout of callers' connections, and the lowered one, in milliseconds.
#define IDLE_MS 15000
#define SHORT_IDLE_MS 1000

const char *const soak_kind_names[CALL_KINDS] = {
    "draft", "hint", "order", "check", "file"};

/// One route, by the kind of its requests.
static const struct {
	bool streams;
	const char *options; /// other members, which begin with a comma
	int timeout_ms;
	int short_timeout_ms; /// the lowered one
} routes[CALL_KINDS] = {
    [CALL_DRAFT] = {true,
	",\"route_kind\":\"streaming\",\"sticky\":true,"
	"\"target_latency_ms\":1500,\"max_attempts\":1",
	20000, 15000},
    [CALL_HINT] = {true,
	",\"route_kind\":\"streaming\",\"sticky\":true,\"resumable\":true,"
	"\"target_latency_ms\":1500,\"max_attempts\":2",
	6000, 4000},
    [CALL_ORDER] = {false,
	",\"route_kind\":\"non_idempotent\",\"target_latency_ms\":300,"
	"\"max_attempts\":1",
	2000, 1500},
    [CALL_CHECK] = {false,
	",\"route_kind\":\"idempotent\",\"target_latency_ms\":300,"
	"\"max_attempts\":2",
	2000, 1500},
    [CALL_FILE] = {false,
	",\"route_kind\":\"idempotent\",\"target_latency_ms\":5000,"
	"\"max_attempts\":2",
	20000, 15000},
};

/// @param kind  kind of a request
/// @return the shortest timeout that its route ever has, in microseconds
usec_t
soak_config_shortest_timeout(enum call_kind kind)
{
	return routes[kind].short_timeout_ms * USEC_PER_MSEC;
}

/// @param soak  the run
/// @return the idle timeout that was last configured, in microseconds
usec_t
soak_config_idle_timeout(const struct soak *soak)
{
	return (soak->config.short_idle ? SHORT_IDLE_MS : IDLE_MS) *
	    USEC_PER_MSEC;
}

/// Appends the routes that there are.
static void
append_routes(const struct soak_config *config, GString *text)
{
	bool first = true;

	for (int i = 0; i < CALL_KINDS; i++) {
		bool moved =
		    (config->at_depot & 1U << i) != 0 && !config->lacks_depot;

		if (config->routes_gone & 1U << i)
			continue;
		g_string_append_printf(text,
		    "%s{\"name\":\"%s\",\"host\":\"a.example\",\"prefix\":"
		    "\"/%s/\",\"service\":\"%s\",\"timeout_ms\":%d%s}",
		    first ? "" : ",", soak_kind_names[i], soak_kind_names[i],
		    routes[i].streams ? "lm"
			: moved       ? "depot"
				      : "shop",
		    config->short_timeouts ? routes[i].short_timeout_ms
					   : routes[i].timeout_ms,
		    routes[i].options);
		first = false;
	}
}

/// Writes the next version of the configuration.
///
/// @param soak  the run
void
soak_config_write(struct soak *soak)
{
	const struct soak_config *config = &soak->config;
	GString *text = g_string_new(NULL);

	soak->config_version += 1 + g_rand_int_range(soak->rand, 0, 5);
	g_string_append_printf(text,
	    "{\"version\":%u,\"limits\":{\"idle_timeout_ms\":%d},\"routes\":[",
	    soak->config_version, config->short_idle ? SHORT_IDLE_MS : IDLE_MS);
	append_routes(config, text);
	g_string_append_printf(text,
	    "],\"services\":[{\"name\":\"lm\","
	    "\"max_conns\":200,\"cold_per_s\":20,\"engine\":{\"slots\":24,"
	    "\"kv_capacity\":34000,\"kv_bytes\":18432,\"stride\":4,"
	    "\"handle_s\":5,\"moves\":true}},{\"name\":\"shop\","
	    "\"max_conns\":100}%s],\"tenants\":[{\"name\":\"t1\","
	    "\"api_keys\":[\"k1\"%s]}]}",
	    config->lacks_depot ? "" : ",{\"name\":\"depot\",\"max_conns\":50}",
	    config->lacks_key ? "" : ",\"k2\"");
	soak_events_add(soak, SUBJECT_CONFIG, false);
	soak_world_ctl(soak, "put/op/config", text->str);
	g_string_free(text, TRUE);
}

/// Changes one thing in the configuration, or takes a change back.
///
/// @param soak  the run
void
soak_config_change(struct soak *soak)
{
	struct soak_config *config = &soak->config;
	int kind = g_rand_int_range(soak->rand, 0, CALL_KINDS);

	switch (g_rand_int_range(soak->rand, 0, 8)) {
	case 0:
	case 1:
		/* A route that is gone comes back before another one goes. */
		config->routes_gone = config->routes_gone != 0 ? 0 : 1U << kind;
		soak_note(soak, "configuration: routes gone: %x",
		    config->routes_gone);
		break;
	case 2:
	case 3:
		config->at_depot ^= 1U << kind;
		soak_note(soak, "configuration: routes at depot: %x",
		    config->at_depot);
		break;
	case 4:
		config->lacks_depot = !config->lacks_depot;
		soak_note(soak, "configuration: depot %s",
		    config->lacks_depot ? "removed" : "added");
		break;
	case 5:
		config->lacks_key = !config->lacks_key;
		soak_note(soak, "configuration: k2 %s",
		    config->lacks_key ? "removed" : "added");
		break;
	case 6:
		config->short_timeouts = !config->short_timeouts;
		soak_note(soak, "configuration: timeouts %s",
		    config->short_timeouts ? "lowered" : "raised");
		break;
	default:
		config->short_idle = !config->short_idle;
		soak_note(soak, "configuration: idle timeout %s",
		    config->short_idle ? "lowered" : "raised");
		break;
	}
	soak_config_write(soak);
}
