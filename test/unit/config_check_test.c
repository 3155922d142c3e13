/*
 * Unit tests of the check of a configuration: each kind of finding, from a
 * sound configuration in which one text is replaced; and hostile texts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <json-c/json.h>

#include "godwitvale/core/config_check.h"
#include "godwitvale/core/config_compare.h"
#include "godwitvale/core/deployment.h"
#include "godwitvale/ops/config_report.h"
#include "platform/platform.h"

/// Mutated texts that are tried.
#define MUTATIONS 4000

/// A configuration without findings.
static const char sound[] =
    "{\"version\":7,\"routes\":[{\"name\":\"ask\",\"host\":\"A.example\","
    "\"prefix\":\"/ask/\",\"route_kind\":\"streaming\",\"timeout_ms\":39000,"
    "\"target_latency_ms\":1800,\"target_gap_ms\":180,\"priority\":1,"
    "\"service\":\"lm\",\"max_attempts\":2,\"sticky\":true,"
    "\"resumable\":true},{\"name\":\"order\",\"host\":\"a.example\","
    "\"prefix\":\"/order/\",\"route_kind\":\"non_idempotent\","
    "\"timeout_ms\":2000,\"weighted_split\":[{\"service\":\"shop\","
    "\"weight\":90},{\"service\":\"shop2\",\"weight\":10}],"
    "\"max_attempts\":1,\"public\":false}],\"services\":[{\"name\":\"lm\","
    "\"max_conns\":282,\"cold_s\":1.0,\"cold_per_s\":26.0,\"engine\":{"
    "\"slots\":24,\"kv_capacity\":34424,\"moves\":true}},{\"name\":\"shop\"},"
    "{\"name\":\"shop2\"}],\"limits\":{\"max_body_bytes\":4194304},"
    "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"secret1\",\"secret2\"],"
    "\"priority\":1},{\"name\":\"t2\",\"api_keys\":[\"secret3\"]}]}";

/// A change of the sound configuration, and a line that the report must have.
struct scenario {
	enum config_finding_kind kind;
	const char *text;        /// text that is replaced
	const char *replacement; /// what it is replaced by
	const char *line;        /// after the position
};

/// Findings on one configuration.
static const struct scenario faults[] = {
    {CONFIG_UNREADABLE, "\"timeout_ms\":2000,", "",
	"error: routes[1].timeout_ms: instances reject this: expected a "
	"number of 0 or more\n"},
    {CONFIG_UNREADABLE, "\"weight\":10", "\"weight\":-1",
	"error: routes[1].weighted_split[1].weight: instances reject this: "},
    {CONFIG_UNREADABLE, "\"services\":[", "\"services\":[,",
	"error: instances reject this: "},
    {CONFIG_NOT_STRICT, "\"version\":7", "/* */\"version\":7",
	"F:1:2: warning: instances read this, but "},
    {CONFIG_NOT_STRICT, "\"ask\"", "\"a\xffk\"",
	"warning: instances read this, but "},
    {CONFIG_REPEATED, "\"timeout_ms\":2000",
	"\"timeout_ms\":1,\"timeout_m\\u0073\":2000",
	"error: routes[1].timeout_ms: occurs before in the same object"},
    {CONFIG_UNKNOWN_FIELD, "\"public\"", "\"pubic\"",
	"warning: routes[1].pubic: not a field that instances know"},
    {CONFIG_UNKNOWN_FIELD, "\"moves\"", "\"mov\xff\"",
	"warning: services[0].engine.mov\\xff: not a field"},
    {CONFIG_UNKNOWN_VALUE, "non_idempotent", "idempotemt",
	"warning: routes[1].route_kind: \"idempotemt\" isn't one of"},
    {CONFIG_WRONG_TYPE, "\"resumable\":true", "\"resumable\":\"true\"",
	"warning: routes[0].resumable: expected true or false; it is ignored"},
    {CONFIG_WRONG_TYPE, "\"slots\":24", "\"slots\":\"24\"",
	"warning: services[0].engine.slots: expected a number; it is"},
    {CONFIG_OUT_OF_RANGE, "\"timeout_ms\":39000", "\"timeout_ms\":1e12",
	"warning: routes[0].timeout_ms: 1000000000000 is out of range; "
	"instances use 86400000\n"},
    {CONFIG_FRACTION, "\"weight\":10", "\"weight\":9.9",
	"warning: routes[1].weighted_split[1].weight: 9.9000000000000004 "
	"isn't a whole number; instances use 9\n"},
    {CONFIG_OPEN_TO_ALL, "\"tenants\":[", "\"tenants\":null,\"x\":[",
	"error: tenants: expected a list; it is ignored, so that no request"},
    {CONFIG_KEY_UNUSABLE, "\"secret2\"", "null",
	"error: tenants[0].api_keys[1]: not a string without NUL bytes"},
    {CONFIG_SERVICE_IGNORED, "\"weighted_split\"",
	"\"service\":\"lm\",\"weighted_split\"",
	"warning: routes[1].service: ignored, as the route has a list"},
    {CONFIG_ROUTE_SHADOWED, "/order/", "/ask/",
	"error: routes[1].prefix: route \"order\" never matches: routes[0] "
	"has the same host and prefix and comes first\n"},
    {CONFIG_HOST_UNMATCHED, "\"a.example\"", "\"a.example:80\"",
	"error: routes[1].host: route \"order\" never matches: a host is"},
    {CONFIG_PREFIX_UNMATCHED, "/order/", "order/",
	"error: routes[1].prefix: route \"order\" never matches: paths"},
    {CONFIG_SERVICE_MISSING, "\"service\":\"shop2\"", "\"service\":\"shop3\"",
	"error: routes[1].weighted_split[1].service: route \"order\" leads to "
	"service \"shop3\", which doesn't exist\n"},
    {CONFIG_SERVICE_MISSING, "\"service\":\"lm\"", "\"service\":\"l\"",
	"error: routes[0].service: route \"ask\" leads to service \"l\""},
    {CONFIG_SERVICE_MISSING, "\"service\":\"lm\"", "\"service\":\"l\\u001bm\"",
	"error: routes[0].service: route \"ask\" leads to service "
	"\"l\\x1bm\""},
    {CONFIG_SERVICE_UNUSED, "\"weight\":10", "\"weight\":0",
	"warning: services[2]: no route sends requests to service \"shop2\""},
    {CONFIG_SERVICE_REPEATED, "\"name\":\"shop2\"", "\"name\":\"shop\"",
	"error: services[1]: ignored: services[2] has the same name"},
    {CONFIG_ROUTE_NAME_REPEATED, "\"name\":\"order\"", "\"name\":\"ask\"",
	"warning: routes[1].name: routes[0] is called \"ask\", too\n"},
    {CONFIG_ORGANISATION_REPEATED, "\"name\":\"t2\"", "\"name\":\"t1\"",
	"error: tenants[1]: tenants[0] is called \"t1\", too\n"},
    {CONFIG_KEY_SHARED, "secret3", "secret2",
	"error: tenants[1].api_keys[0]: organisation \"t1\" has this key, "
	"too, and loses it to \"t2\"\n"},
    {CONFIG_KEY_REPEATED, "secret2", "secret1",
	"warning: tenants[0].api_keys[1]: organisation \"t1\" has this key "
	"twice\n"},
    {CONFIG_KEYLESS, "[\"secret3\"]", "[]",
	"warning: tenants[1]: organisation \"t2\" has no key of its own"},
    {CONFIG_NO_ORGANISATION, "\"tenants\":[", "\"tenants\":[],\"x\":[",
	"error: tenants: routes need a key, but there is none"},
    {CONFIG_ROUTE_WITHOUT_WEIGHT,
	"\"weight\":90},{\"service\":\"shop2\","
	"\"weight\":10}",
	"\"weight\":0}",
	"error: routes[1].weighted_split: all weights of route \"order\""},
    {CONFIG_ROUTE_WITHOUT_UPSTREAM, "\"service\":\"lm\"",
	"\"service\":\"away\"",
	"error: routes[0].service: no service of route \"ask\" has a ready"},
    {CONFIG_SHARE_WITHOUT_UPSTREAM, "\"service\":\"shop2\"",
	"\"service\":\"away\"",
	"warning: routes[1].weighted_split[1].service: service \"away\" has "
	"no ready upstream"},
    {CONFIG_TIMEOUT_ZERO, "\"timeout_ms\":2000", "\"timeout_ms\":0",
	"error: routes[1].timeout_ms: every request of route \"order\" times"},
    {CONFIG_TIMEOUT_UNDER_TARGET, "\"timeout_ms\":39000", "\"timeout_ms\":1700",
	"warning: routes[0].timeout_ms: route \"ask\": 1700 ms is less than "
	"routes[0].target_latency_ms, which is 1800 ms\n"},
    {CONFIG_ATTEMPTS_UNUSED, "\"max_attempts\":1", "\"max_attempts\":3",
	"warning: routes[1].max_attempts: requests of route \"order\" run"},
    {CONFIG_GAP_WITHOUT_STREAM, "\"public\":false", "\"target_gap_ms\":5",
	"warning: routes[1].target_gap_ms: the answers of route \"order\""},
    {CONFIG_BODY_OVER_BOUND, "\"max_body_bytes\":4194304",
	"\"max_body_bytes\":20000000",
	"warning: limits.max_body_bytes: a body of 20000000 bytes takes more "
	"than the 29360128 bytes"},
    {CONFIG_BODY_OVER_MEMORY, "\"max_body_bytes\":4194304",
	"\"max_body_bytes\":40000000",
	"error: limits.max_body_bytes: a body of 40000000 bytes, which is "
	"held twice, takes more than the 58720256 bytes"},
    {CONFIG_BODY_AND_SOCKETS_OVER_MEMORY, "\"max_body_bytes\":4194304",
	"\"max_body_bytes\":24000000",
	"warning: limits.max_body_bytes: the bytes for all clients and the "
	"kernel's buffers for their connections together take more than the "
	"58720256 bytes"},
};

/// Differences from the sound configuration. The version rises where the line
/// doesn't say otherwise.
static const struct scenario changes[] = {
    {CONFIG_VERSION_NOT_HIGHER, "\"ask\"", "\"asks\"",
	"error: version: instances ignore version 7, as it isn't higher"},
    {CONFIG_ROUTE_ADDED, "/order/", "/orders/",
	"note: routes[1]: route \"order\" is added\n"},
    {CONFIG_ROUTE_REMOVED, "/order/", "/orders/",
	"OLD:1:240: warning: routes[1]: route \"order\" is removed: running"},
    {CONFIG_SERVICE_ADDED, "{\"name\":\"shop\"}",
	"{\"name\":\"shop\"},{\"name\":\"shop3\"}",
	"note: services[2]: service \"shop3\" is added\n"},
    {CONFIG_SERVICE_REMOVED, "},{\"name\":\"shop2\"}", "}",
	"warning: services[2]: service \"shop2\" is removed: requests that"},
    {CONFIG_ORGANISATION_ADDED, "\"tenants\":[",
	"\"tenants\":[{\"name\":\"t3\",\"api_keys\":[\"secret4\"]},",
	"note: tenants[0]: organisation \"t3\" is added\n"},
    {CONFIG_ORGANISATION_REMOVED,
	",{\"name\":\"t2\",\"api_keys\":[\"secret3\"]}", "",
	"warning: tenants[1]: organisation \"t2\" is removed: running"},
    {CONFIG_KEY_ADDED, "\"secret3\"", "\"secret3\",\"secret4\"",
	"note: tenants[1].api_keys: organisation \"t2\" gets key \"#"},
    {CONFIG_KEY_REMOVED, "\"secret1\",", "",
	"warning: tenants[0].api_keys: key \"#"},
    {CONFIG_KEY_MOVED,
	"\"secret2\"],\"priority\":1},{\"name\":\"t2\","
	"\"api_keys\":[",
	"\"secret9\"],\"priority\":1},{"
	"\"name\":\"t2\",\"api_keys\":[\"secret2\",",
	"warning: tenants[1].api_keys: key \"#"},
    {CONFIG_SHARE_ADDED, "\"service\":\"shop2\"", "\"service\":\"lm\"",
	"note: routes[1].weighted_split[1].service: route \"order\" also leads "
	"to service \"lm\""},
    {CONFIG_SHARE_REMOVED, "\"weight\":10", "\"weight\":0",
	"warning: routes[1].weighted_split[1].service: route \"order\" no "
	"longer leads to service \"shop2\": running"},
    {CONFIG_CHANGED, "\"weight\":90", "\"weight\":80",
	"note: routes[1].weighted_split[0].weight: 90 becomes 80; applies"},
    {CONFIG_CHANGED, "\"priority\":1}", "\"priority\":0}",
	"note: tenants[0].priority: 1 becomes 0; applies"},
    {CONFIG_CHANGED, "\"priority\":1,\"service\"", "\"service\"",
	"note: routes[0].priority: 1 becomes 0; applies"},
    {CONFIG_CHANGED, "\"timeout_ms\":39000", "\"timeout_ms\":40000",
	"note: routes[0].timeout_ms: 39000 ms becomes 40000 ms; applies to "},
    {CONFIG_CHANGED_AT_ONCE, "\"max_conns\":282", "\"max_conns\":0",
	"note: services[0].max_conns: 282 becomes 0; applies at once"},
    {CONFIG_CHANGED_AT_ONCE, "\"slots\":24", "\"slots\":48",
	"note: services[0].engine.slots: 24 becomes 48; applies at once"},
    {CONFIG_LOWERED, "\"timeout_ms\":39000", "\"timeout_ms\":30000",
	"warning: routes[0].timeout_ms: 39000 ms becomes 30000 ms; running"},
    {CONFIG_LOWERED, "\"moves\":true", "\"moves\":false",
	"warning: services[0].engine.moves: true becomes false; running"},
    {CONFIG_LOWERED_AT_ONCE, "\"slots\":24", "\"slots\":12",
	"warning: services[0].engine.slots: 24 becomes 12 at once: running"},
    {CONFIG_LIMIT_CHANGED, "\"max_body_bytes\":4194304",
	"\"max_body_bytes\":4194305",
	"note: limits.max_body_bytes: 4194304 becomes 4194305; applies"},
    {CONFIG_LIMIT_LOWERED, "\"max_body_bytes\":4194304",
	"\"max_body_bytes\":1024",
	"warning: limits.max_body_bytes: 4194304 becomes 1024 at once:"},
    {CONFIG_KEYS_NOT_NEEDED, "\"tenants\":[", "\"x\":[",
	"warning: tenants: the list of organisations is removed"},
};

/// Changes of the sound configuration that are as sound.
static const struct {
	const char *text;
	const char *replacement;
} sound_changes[] = {
    {"\"timeout_ms\":39000", "\"timeout_ms\":1800"},
    {"\"timeout_ms\":2000", "\"timeout_ms\":86400000"},
    {"non_idempotent", "idempotent"},
    {"/order/", ""},
    {"/order/", "/ask/deep?x="},
    {"\"public\":false", "\"public\":null"},
    {"\"weighted_split\"", "\"service\":null,\"weighted_split\""},
    {"\"service\":\"lm\",",
	"\"weighted_split\":[{\"service\":\"lm\","
	"\"weight\":1},{\"service\":\"shop\","
	"\"weight\":0}],"},
    {"\"max_body_bytes\":4194304", "\"max_body_bytes\":14155776"},
    {"\"secret3\"", "\"secret3\",\"secret4\""},
    {"\"version\"", "\"\\u0076ersion\""},
};

/// Returns the sound configuration in which one text is replaced.
static char *
replace(const char *text, const char *replacement)
{
	GString *changed = g_string_new(sound);
	const char *start = strstr(sound, text);

	assert_non_null(start);
	g_string_erase(changed, start - sound, (gssize)strlen(text));
	g_string_insert(changed, start - sound, replacement);
	return g_string_free(changed, FALSE);
}

/// Sets the places of the findings on one text.
static void
locate(struct config_findings *findings, const char *text, bool in_force)
{
	for (int i = 0; i <= CONFIG_ERROR; i++)
		for (guint j = 0; j < findings->kept[i]->len; j++) {
			struct config_finding *finding =
			    findings->kept[i]->pdata[j];

			if (finding->in_force == in_force)
				platform_locate_finding(
				    text, strlen(text), finding);
		}
}

/// Returns ready upstreams of all services in the zone z1, but of the service
/// "away" one that drains, and one in another zone.
static GPtrArray *
list_upstreams(void)
{
	static const struct {
		const char *service;
		const char *zone;
		enum upstream_state state;
	} rows[] = {
	    {"lm", "z1", UPSTREAM_READY},
	    {"shop", "z1", UPSTREAM_READY},
	    {"shop2", "z1", UPSTREAM_READY},
	    {"l", "z1", UPSTREAM_READY},
	    {"away", "z2", UPSTREAM_READY},
	    {"away", "z1", UPSTREAM_DRAINING},
	};
	GPtrArray *upstreams =
	    g_ptr_array_new_with_free_func((GDestroyNotify)site_entry_free);

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct upstream_entry *entry = g_new0(struct upstream_entry, 1);

		entry->service = g_strdup(rows[i].service);
		entry->zone = g_strdup(rows[i].zone);
		entry->state = rows[i].state;
		g_ptr_array_add(upstreams, entry);
	}
	return upstreams;
}

/// Checks a text on a machine of 88 MiB, with upstreams of all services but
/// that called "away".
///
/// @param old_text  configuration in force; NULL: none
/// @param kinds     counts the findings of each kind; may be NULL
/// @return the report, owned by the caller
static char *
check(const char *text, const char *old_text, unsigned *kinds)
{
	struct config_surroundings surroundings = {
	    .has_memory = true,
	    .upstreams = list_upstreams(),
	    .evacuated = g_hash_table_new(g_str_hash, g_str_equal),
	};
	struct config_findings *findings = config_findings_new();
	struct config_report report = {
	    "F", "OLD", 0, findings, platform_config_path};
	struct deployment *deployment =
	    platform_check_config(text, strlen(text), findings);
	struct deployment *old = old_text == NULL
	    ? NULL
	    : platform_read_config(old_text, strlen(old_text), 1, NULL);
	GString *out;

	g_hash_table_add(surroundings.evacuated, (char *)"z2");
	if (deployment != NULL)
		config_check(deployment, &surroundings, findings);
	if (deployment != NULL && old != NULL)
		config_compare(old, deployment, findings);
	locate(findings, text, false);
	if (old != NULL)
		locate(findings, old_text, true);
	for (int i = 0; kinds != NULL && i <= CONFIG_ERROR; i++)
		for (guint j = 0; j < findings->kept[i]->len; j++)
			kinds[((struct config_finding *)findings->kept[i]
				   ->pdata[j])
				  ->kind]++;
	out = config_report_json(&report);
	json_object_put(json_tokener_parse(out->str));
	g_string_free(out, TRUE);
	out = config_report_text(&report);
	deployment_unref(deployment);
	deployment_unref(old);
	config_findings_free(findings);
	g_ptr_array_unref((GPtrArray *)surroundings.upstreams);
	g_hash_table_unref(surroundings.evacuated);
	return g_string_free(out, FALSE);
}

/// Checks that a report has a line and names no key.
static void
expect_line(const char *report, const char *line)
{
	if (strstr(report, line) == NULL)
		print_message("no \"%s\" in:\n%s", line, report);
	assert_non_null(strstr(report, line));
	assert_null(strstr(report, "secret"));
}

static void
a_sound_configuration_has_no_findings(void **state)
{
	char *report = check(sound, NULL, NULL);

	(void)state;
	assert_string_equal(report, "F: errors: 0, warnings: 0, notes: 0\n");
	g_free(report);
}

/// Guards against findings on what is just inside the bounds.
static void
sound_changes_have_no_findings(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sound_changes); i++) {
		char *text = replace(
		    sound_changes[i].text, sound_changes[i].replacement);
		char *report = check(text, NULL, NULL);

		assert_string_equal(
		    report, "F: errors: 0, warnings: 0, notes: 0\n");
		g_free(report);
		g_free(text);
	}
}

static void
each_fault_is_found(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		unsigned kinds[CONFIG_FINDING_KINDS] = {0};
		char *text = replace(faults[i].text, faults[i].replacement);
		char *report = check(text, NULL, kinds);

		expect_line(report, faults[i].line);
		assert_int_equal(kinds[faults[i].kind], 1);
		g_free(report);
		g_free(text);
	}
}

static void
each_difference_is_found(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
		unsigned kinds[CONFIG_FINDING_KINDS] = {0};
		char *text = replace(changes[i].text, changes[i].replacement);
		char *version = strstr(text, ":7");
		char *report;

		if (changes[i].kind != CONFIG_VERSION_NOT_HIGHER)
			version[1] = '8';
		report = check(text, sound, kinds);
		expect_line(report, changes[i].line);
		assert_int_equal(kinds[changes[i].kind], 1);
		g_free(report);
		g_free(text);
	}
}

/// The other direction of CONFIG_KEYS_NOT_NEEDED, and an equal text.
static void
organisations_that_are_added_are_found(void **state)
{
	char *old = replace("\"tenants\":[", "\"x\":[");
	char *text = replace("\"version\":7", "\"version\":8");
	char *report = check(text, old, NULL);

	(void)state;
	expect_line(report, "warning: tenants: a list of organisations is");
	g_free(report);
	report = check(text, sound, NULL);
	assert_string_equal(report, "F: errors: 0, warnings: 0, notes: 0\n");
	g_free(report);
	g_free(text);
	g_free(old);
}

/// A kind without a test would go unnoticed. CONFIG_TOO_LONG is found where the
/// file is read, and CONFIG_KEYS_NEEDED has a test of its own.
static void
every_kind_has_a_test(void **state)
{
	unsigned tested[CONFIG_FINDING_KINDS] = {
	    [CONFIG_TOO_LONG] = 1, [CONFIG_KEYS_NEEDED] = 1};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++)
		tested[faults[i].kind]++;
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++)
		tested[changes[i].kind]++;
	for (int i = 0; i < CONFIG_FINDING_KINDS; i++)
		assert_true(tested[i] > 0);
}

/// Checks a long text: it must neither crash nor report without bound.
static void
check_hostile(const char *start, const char *unit, size_t count,
    const char *end, const char *line)
{
	GString *text = g_string_new(start);
	char *report;

	for (size_t i = 0; i < count; i++)
		g_string_append(text, unit);
	g_string_append(text, end);
	report = check(text->str, NULL, NULL);
	expect_line(report, line);
	assert_true(strlen(report) < 128 * 1024);
	g_free(report);
	g_string_free(text, TRUE);
}

static void
hostile_texts_are_reported_within_bounds(void **state)
{
	static const char lists[] =
	    "{\"version\":1,\"routes\":[],\"services\":[],";
	const size_t long_name = 65536;

	(void)state;
	check_hostile("", "", 0, "", "F:1:1: error: instances reject this");
	check_hostile("null", "", 0, "", "error: instances reject this");
	check_hostile("", "{\"a\":", 100000, "", "nesting too deep");
	check_hostile("", "[", 100000, "", "nesting too deep");
	check_hostile(lists, "\"a\":0,", 100000, "\"b\":0}",
	    "99899 more findings are left out");
	check_hostile(lists, "", 0,
	    "\"tenants\":[null,{\"name\":\"t\",\"api_keys\":[null]}]}",
	    "error: tenants[0].name: instances reject this");
	check_hostile("{\"version\":1e400", "", 0, "}",
	    "error: version: instances reject this");
	check_hostile("{\"version\":1,\"routes\":[{\"host\":\"", "h", long_name,
	    "\",\"prefix\":\"/\",\"route_kind\":\"streaming\",\"service\":"
	    "\"lm\",\"timeout_ms\":99999999999999999999999999999999}],"
	    "\"services\":[]}",
	    "error: routes[0].host: route \"/\" never matches");
	check_hostile("{\"", "n", long_name,
	    "\":{\"x\":[0,{\"y\":1,\"y\":2}]},\"version\":1,\"routes\":[],"
	    "\"services\":[]}",
	    "n....x[1].y: occurs before");
}

/// The check must accept just what instances accept, else it would pass what
/// they reject.
static void
the_check_accepts_what_instances_accept(void **state)
{
	static const char signs[] = "{}[]\",:0n'/*\\\xff 9-.e";
	GRand *random = g_rand_new_with_seed(1);
	unsigned accepted = 0;

	(void)state;
	for (int i = 0; i < MUTATIONS; i++) {
		char *text = g_strdup(sound);
		struct config_findings *findings = config_findings_new();
		struct deployment *left;
		struct deployment *right;
		size_t len = sizeof(sound) - 1;

		for (int j = g_rand_int_range(random, 1, 4); j > 0; j--)
			text[g_rand_int_range(random, 0, (gint32)len)] =
			    signs[g_rand_int_range(
				random, 0, sizeof(signs) - 1)];
		left = platform_read_config(text, len, 1, NULL);
		right = platform_check_config(text, len, findings);
		assert_int_equal(left == NULL, right == NULL);
		assert_true(left != NULL || findings->counts[CONFIG_ERROR] > 0);
		accepted += left != NULL;
		locate(findings, text, false);
		config_findings_free(findings);
		deployment_unref(left);
		deployment_unref(right);
		g_free(text);
	}
	assert_true(accepted > 0 && accepted < MUTATIONS);
	g_rand_free(random);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_sound_configuration_has_no_findings),
	    cmocka_unit_test(sound_changes_have_no_findings),
	    cmocka_unit_test(each_fault_is_found),
	    cmocka_unit_test(each_difference_is_found),
	    cmocka_unit_test(organisations_that_are_added_are_found),
	    cmocka_unit_test(every_kind_has_a_test),
	    cmocka_unit_test(hostile_texts_are_reported_within_bounds),
	    cmocka_unit_test(the_check_accepts_what_instances_accept),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
