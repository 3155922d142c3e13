/* Unit tests of the audit trail. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <json-c/json.h>

#include "godwitvale/ops/audit.h"

static const char *
get_entry_text(json_object *list, size_t i, const char *key)
{
	json_object *entry = json_object_array_get_idx(list, i);

	return json_object_get_string(json_object_object_get(entry, key));
}

static void
keeps_the_latest_entries(void **state)
{
	struct audit *audit = audit_new("e1", 3);
	json_object *list;
	GString *text = audit_to_json(audit);

	(void)state;
	assert_string_equal(text->str, "[]");
	g_string_free(text, TRUE);
	for (unsigned i = 1; i <= 5; i++)
		audit_add(audit, AUDIT_BUNDLE, "bundle", "a \"b\"\n", i,
		    "step %u", i);
	text = audit_to_json(audit);
	list = json_tokener_parse(text->str);
	assert_int_equal(json_object_array_length(list), 3);
	assert_string_equal(get_entry_text(list, 0, "detail"), "step 3");
	assert_string_equal(get_entry_text(list, 2, "detail"), "step 5");
	assert_string_equal(get_entry_text(list, 2, "version"), "5");
	assert_string_equal(get_entry_text(list, 2, "kind"), "bundle");
	assert_string_equal(get_entry_text(list, 2, "who"), "a \"b\"\n");
	assert_string_equal(get_entry_text(list, 2, "instance"), "e1");
	assert_true(g_regex_match_simple("^[0-9-]{10}T[0-9:]{8}\\.[0-9]{6}Z$",
	    get_entry_text(list, 2, "when"), G_REGEX_DEFAULT,
	    G_REGEX_MATCH_DEFAULT));
	json_object_put(list);
	g_string_free(text, TRUE);
	audit_free(audit);
}

static void
writes_name_of_every_kind(void **state)
{
	static const char *const names[] = {
	    "bundle", "zone", "instance", "upstream", "lease", "model-order"};
	struct audit *audit = audit_new("e1", G_N_ELEMENTS(names));
	json_object *list;
	GString *text;

	(void)state;
	for (int i = 0; i < (int)G_N_ELEMENTS(names); i++)
		audit_add(audit, (enum audit_kind)(AUDIT_BUNDLE + i), "s", "w",
		    UINT64_MAX, "%s", "");
	text = audit_to_json(audit);
	list = json_tokener_parse(text->str);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		assert_string_equal(get_entry_text(list, i, "kind"), names[i]);
	assert_string_equal(
	    get_entry_text(list, 0, "version"), "18446744073709551615");
	json_object_put(list);
	g_string_free(text, TRUE);
	audit_free(audit);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(keeps_the_latest_entries),
	    cmocka_unit_test(writes_name_of_every_kind),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
