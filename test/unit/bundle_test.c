/* Unit tests of bundles: parsing, validation, lookups, comparison and
 * signatures. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "godwitvale/ops/bundle.h"
#include "godwitvale/ops/keys.h"

#define QASR_KARTON "examples/bundle-qasr-karton.json"
#define TRITURANOR "examples/bundle-trituranor.json"
#define MUTATIONS 2000

/// An edit of the example bundle that must be rejected.
struct rejected_edit {
	const char *from; /// replaced text, first occurrence
	const char *to;
	enum bundle_error code;
	const char *message; /// part of the expected message
};

static const struct rejected_edit rejected_edits[] = {
    {"\"version\": 1,", "\"version\": 0,", BUNDLE_ERROR_INVALID,
	"line 4: version: expected an integer from 1 to 9007199254740991"},
    {"\"version\": 1,", "\"version\": 9007199254740992,", BUNDLE_ERROR_INVALID,
	"version: expected"},
    {"\"priority\": 10", "\"rank\": 10", BUNDLE_ERROR_INVALID,
	"classes[0].rank: unknown key"},
    {"\"priority\": 10", "\"priority\": 1, \"priority\": 1",
	BUNDLE_ERROR_INVALID, "classes[0].priority: duplicate key"},
    {"\"weight\": 4", "\"weight\": 0", BUNDLE_ERROR_INVALID,
	"organisations[0].weight: expected an integer from 1"},
    {"\"memory_reserve\": 0.1", "\"memory_reserve\": 1", BUNDLE_ERROR_INVALID,
	"policy.memory_reserve: expected a number from 0 to 0.9"},
    {"\"memory_reserve\": 0.1", "\"memory_reserve\": NaN", BUNDLE_ERROR_INVALID,
	""},
    {"\"state\": \"in\"", "\"state\": \"off\"", BUNDLE_ERROR_INVALID,
	"zones[0].state: expected one of in|out"},
    {"\"idempotent\": false", "\"idempotent\": 0", BUNDLE_ERROR_INVALID,
	"services[0].idempotent: expected true or false"},
    {"\"mansoura-b\", \"region\"", "\"tanta-a\", \"region\"",
	BUNDLE_ERROR_INCONSISTENT, "zones[1].name: duplicate value"},
    {"example-token-members-2", "example-token-members-1",
	BUNDLE_ERROR_INCONSISTENT, "organisations[4].token: duplicate value"},
    {"127.0.0.1:9101", "127.0.0.1:9100", BUNDLE_ERROR_INCONSISTENT,
	"upstreams[1].address: already used by another upstream"},
    {"\"zone\": \"tanta-a\"", "\"zone\": \"atlantis\"",
	BUNDLE_ERROR_INCONSISTENT, "line 46: upstreams[0].zone: no such zone"},
    {"\"serves\": \"kit-booklet\"", "\"serves\": \"orders\"",
	BUNDLE_ERROR_INCONSISTENT, "upstreams[0].serves: no such model"},
    {"\"serves\": \"stock\"", "\"serves\": \"kit-diagram\"",
	BUNDLE_ERROR_INCONSISTENT, "upstreams[22].serves: no such service"},
    {"\"name\": \"stock\"", "\"name\": \"kit-diagram\"",
	BUNDLE_ERROR_INCONSISTENT,
	"services[1].name: name already used by a model"},
    {"\"cold_limit\": 2", "\"cold_limit\": 33", BUNDLE_ERROR_INCONSISTENT,
	"upstreams[0].cold_limit: must not exceed max_running"},
    {"\"identity\": \"header\"", "\"identity\": \"body\"",
	BUNDLE_ERROR_INCONSISTENT,
	"services[0].identity_header: required with"},
    {"\"memory_tokens\": 60000, ", "", BUNDLE_ERROR_INCONSISTENT,
	"upstreams[0].memory_tokens: must not be 0 for an engine"},
    {"\"max_tokens\": 16384", "\"max_tokens\": 32768",
	BUNDLE_ERROR_INCONSISTENT,
	"models[0].max_tokens: must not exceed context_tokens"},
};

static char *
read_file(const char *path)
{
	char *text;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	return text;
}

static char *
replace_first(const char *text, const char *from, const char *to)
{
	const char *at = strstr(text, from);

	assert_non_null(at);
	return g_strdup_printf(
	    "%.*s%s%s", (int)(at - text), text, to, at + strlen(from));
}

static struct bundle *
parse_file(const char *path)
{
	char *text = read_file(path);
	GError *error = NULL;
	struct bundle *bundle = bundle_parse(text, strlen(text), &error);

	if (bundle == NULL)
		fail_msg("%s: %s", path, error->message);
	g_free(text);
	return bundle;
}

static void
loads_the_examples(void **state)
{
	struct bundle *qasr = parse_file(QASR_KARTON);
	struct bundle *trituranor = parse_file(TRITURANOR);
	const struct bundle_upstream *first = qasr->upstreams->pdata[0];

	(void)state;
	assert_int_equal(qasr->zones->len, 4);
	assert_int_equal(qasr->upstreams->len, 24);
	assert_int_equal(qasr->organisations->len, 10);
	assert_int_equal(qasr->instances->len, 9);
	assert_true(qasr->policy.stall_weight > qasr->policy.zone_weight);
	assert_int_equal(trituranor->zones->len, 3);
	assert_int_equal(trituranor->upstreams->len, 15);
	assert_int_equal(trituranor->instances->len, 8);
	assert_true(
	    trituranor->policy.zone_weight > trituranor->policy.stall_weight);
	assert_true(first->engine);
	assert_string_equal(first->ip, "127.0.0.1");
	assert_int_equal(first->port, 9100);
	assert_int_equal(first->warm_span, 30 * USEC_PER_SEC);
	bundle_free(qasr);
	bundle_free(trituranor);
}

static void
finds_items_by_name_and_token(void **state)
{
	struct bundle *bundle = parse_file(QASR_KARTON);
	const struct bundle_service *orders =
	    bundle_find_service(bundle, "orders");

	(void)state;
	assert_non_null(orders);
	assert_false(orders->idempotent);
	assert_int_equal(orders->identity, BUNDLE_IDENTITY_HEADER);
	assert_string_equal(orders->identity_header, "x-request-id");
	assert_true(bundle_find_service(bundle, "stock")->idempotent);
	assert_int_equal(bundle_find_class(bundle, "draft")->priority, 10);
	assert_string_equal(bundle_find_class(bundle, "x")->name, "default");
	assert_string_equal(bundle_find_class(bundle, NULL)->name, "default");
	assert_string_equal(bundle_find_organisation_by_token(
				bundle, "example-token-tanta-workshop")
				->name,
	    "tanta-workshop");
	assert_null(bundle_find_organisation_by_token(bundle, NULL));
	assert_null(bundle_find_model(bundle, "orders"));
	assert_non_null(bundle_find_zone(bundle, "banha-d"));
	bundle_free(bundle);
}

static void
rejects_each_invalid_edit(void **state)
{
	char *text = read_file(QASR_KARTON);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rejected_edits); i++) {
		GError *error = NULL;
		char *edited = replace_first(
		    text, rejected_edits[i].from, rejected_edits[i].to);

		if (bundle_parse(edited, strlen(edited), &error) != NULL)
			fail_msg("invalid edit was accepted: %s",
			    rejected_edits[i].to);
		if (!g_error_matches(
			error, BUNDLE_ERROR, rejected_edits[i].code) ||
		    strstr(error->message, rejected_edits[i].message) == NULL)
			fail_msg("code %d, '%s' does not contain '%s'",
			    error->code, error->message,
			    rejected_edits[i].message);
		g_error_free(error);
		g_free(edited);
	}
	g_free(text);
}

static void
rejects_excessive_size_and_nesting(void **state)
{
	char *text = read_file(QASR_KARTON);
	char *blanks = g_strnfill(BUNDLE_BYTES_MAX, ' ');
	char *large = g_strconcat(text, blanks, NULL);
	char *deep = g_strnfill(200000, '[');
	struct keys keys;
	GError *error = NULL;

	(void)state;
	keys_generate(&keys);
	assert_null(bundle_parse(large, BUNDLE_BYTES_MAX + 1, &error));
	assert_true(
	    g_error_matches(error, BUNDLE_ERROR, BUNDLE_ERROR_TOO_LARGE));
	g_clear_error(&error);
	assert_null(bundle_sign(large, BUNDLE_BYTES_MAX, keys.secret, &error));
	assert_true(
	    g_error_matches(error, BUNDLE_ERROR, BUNDLE_ERROR_TOO_LARGE));
	g_clear_error(&error);
	assert_null(bundle_parse(deep, 200000, &error));
	assert_true(g_error_matches(error, BUNDLE_ERROR, BUNDLE_ERROR_INVALID));
	g_clear_error(&error);
	assert_null(bundle_parse("{}\0{}", 5, &error));
	g_clear_error(&error);
	g_free(deep);
	g_free(large);
	g_free(blanks);
	g_free(text);
}

static void
diff_reports_one_line_per_change(void **state)
{
	char *text = read_file(TRITURANOR);
	char *out_of_service = replace_first(text,
	    "\"warm_span_ms\": 30000, \"state\": "
	    "\"in\"",
	    "\"warm_span_ms\": 30000, \"state\": \"out\"");
	char *renamed = replace_first(
	    out_of_service, "\"name\": \"e8\"", "\"name\": \"e9\"");
	char *token_changed =
	    replace_first(renamed, "example-token-offices-1", "new");
	char *edited =
	    replace_first(token_changed, "\"version\": 1,", "\"version\": 2,");
	struct bundle *old = parse_file(TRITURANOR);
	struct bundle *edited_bundle =
	    bundle_parse(edited, strlen(edited), NULL);
	GString *lines;

	(void)state;
	assert_non_null(edited_bundle);
	lines = bundle_diff(old, edited_bundle);
	assert_string_equal(lines->str,
	    "version: 1 -> 2\n"
	    "organisation offices-1 token: changed\n"
	    "upstream certificate1 state: in -> out\n"
	    "instance e8 removed\n"
	    "instance e9 added\n");
	g_string_free(lines, TRUE);
	bundle_free(old);
	bundle_free(edited_bundle);
	g_free(edited);
	g_free(token_changed);
	g_free(renamed);
	g_free(out_of_service);
	g_free(text);
}

static void
verifies_only_with_matching_key(void **state)
{
	char *text = read_file(TRITURANOR);
	struct keys keys;
	struct keys other_keys;
	GError *error = NULL;
	struct bundle *bundle;
	GString *signed_text;

	(void)state;
	keys_generate(&keys);
	keys_generate(&other_keys);
	signed_text = bundle_sign(text, strlen(text), keys.secret, &error);
	assert_non_null(signed_text);
	bundle = bundle_verify(
	    signed_text->str, signed_text->len, keys.public, &error);
	assert_non_null(bundle);
	bundle_free(bundle);
	assert_null(bundle_verify(
	    signed_text->str, signed_text->len, other_keys.public, &error));
	assert_true(
	    g_error_matches(error, BUNDLE_ERROR, BUNDLE_ERROR_SIGNATURE));
	g_error_free(error);
	g_string_free(signed_text, TRUE);
	g_free(text);
}

/// Applies random mutations to a signed bundle. A mutated text may only be
/// accepted when it still contains the original bundle, for example when a
/// mutation changed the case of a hex digit.
static void
never_accepts_modified_text(void **state)
{
	char *text = read_file(TRITURANOR);
	struct bundle *original = parse_file(TRITURANOR);
	GRand *random = g_rand_new_with_seed(2);
	struct keys keys;
	GString *signed_text;

	(void)state;
	keys_generate(&keys);
	signed_text = bundle_sign(text, strlen(text), keys.secret, NULL);
	for (int i = 0; i < MUTATIONS; i++) {
		char *edited = g_strdup(signed_text->str);
		size_t len = signed_text->len;
		GError *error = NULL;
		struct bundle *bundle;

		if (i % 4 == 0)
			len = (size_t)g_rand_int_range(random, 0, (int)len);
		for (int j = g_rand_int_range(random, 1, 4); j > 0 && len; j--)
			edited[g_rand_int_range(random, 0, (int)len)] =
			    (char)g_rand_int_range(random, 0, 256);
		bundle = bundle_verify(edited, len, keys.public, &error);
		assert_true((bundle == NULL) == (error != NULL));
		if (bundle != NULL) {
			GString *lines = bundle_diff(original, bundle);

			assert_string_equal(lines->str, "");
			g_string_free(lines, TRUE);
		}
		bundle_free(bundle);
		g_clear_error(&error);
		g_free(edited);
	}
	g_string_free(signed_text, TRUE);
	g_rand_free(random);
	bundle_free(original);
	g_free(text);
}

static void
parser_survives_random_mutations(void **state)
{
	char *text = read_file(QASR_KARTON);
	size_t len = strlen(text);
	GRand *random = g_rand_new_with_seed(3);

	(void)state;
	for (int i = 0; i < MUTATIONS; i++) {
		char *edited = g_memdup2(text, len);
		size_t edited_len = len;
		GError *error = NULL;
		struct bundle *bundle;

		if (i % 4 == 0)
			edited_len =
			    (size_t)g_rand_int_range(random, 1, (int)len);
		for (int j = g_rand_int_range(random, 1, 4); j > 0; j--)
			edited[g_rand_int_range(random, 0, (int)edited_len)] =
			    (char)g_rand_int_range(random, 0, 256);
		bundle = bundle_parse(edited, edited_len, &error);
		assert_true((bundle == NULL) == (error != NULL));
		bundle_free(bundle);
		g_clear_error(&error);
		g_free(edited);
	}
	g_rand_free(random);
	g_free(text);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(loads_the_examples),
	    cmocka_unit_test(finds_items_by_name_and_token),
	    cmocka_unit_test(rejects_each_invalid_edit),
	    cmocka_unit_test(rejects_excessive_size_and_nesting),
	    cmocka_unit_test(diff_reports_one_line_per_change),
	    cmocka_unit_test(verifies_only_with_matching_key),
	    cmocka_unit_test(never_accepts_modified_text),
	    cmocka_unit_test(parser_survives_random_mutations),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
