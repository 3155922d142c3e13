/* Unit tests of the view of the deployment: items from the store and from
 * other instances, late, twice, broken, and lists that leave things out. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/fleet/fleet_codec.h"
#include "godwitvale/fleet/catch_up.h"
#include "platform/platform.h"

#define SEC USEC_PER_SEC

static GString *story;
static struct view *view;

static void
on_config(void *owner, struct deployment *deployment)
{
	g_string_append_printf(
	    owner, "config:%" G_GUINT64_FORMAT " ", deployment->version);
}

static void
on_zone(void *owner, const char *zone, bool evacuated)
{
	g_string_append_printf(
	    owner, "%s:%s ", evacuated ? "evacuated" : "returned", zone);
}

static void
on_upstream(void *owner, enum directory_change change,
    const struct upstream_record *record)
{
	g_string_append_printf(owner, "%d:%s ", change, record->entry.id);
}

static const struct view_vtable vtable = {on_config, on_zone, on_upstream};

static int
setup(void **state)
{
	struct view_options options = {&vtable, NULL, platform_site()};

	(void)state;
	story = g_string_new(NULL);
	options.owner = story;
	view = view_new(&options);
	return 0;
}

static int
teardown(void **state)
{
	(void)state;
	view_free(view);
	g_string_free(story, TRUE);
	return 0;
}

static void
add(GPtrArray *items, enum site_item_kind kind, const char *name,
    uint64_t revision, const char *value)
{
	struct site_item *item = g_new0(struct site_item, 1);

	item->kind = kind;
	item->name = g_strdup(name);
	item->revision = revision;
	if (value != NULL) {
		GString *own = g_string_new(value);

		/* Upstreams have addresses of their own. */
		g_string_replace(own, "10.1.0.9",
		    name[0] == '\0'      ? ""
			: name[1] == '2' ? "10.1.0.2"
					 : "10.1.0.1",
		    0);
		item->value = g_string_free_to_bytes(own);
	}
	g_ptr_array_add(items, item);
}

/// One change of the operator's.
static void
change(usec_t now, enum site_item_kind kind, const char *name,
    uint64_t revision, const char *value)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(site_item_free);

	add(items, kind, name, revision, value);
	view_take_changes(view, now,
	    kind == SITE_ITEM_UPSTREAM ? SITE_SCOPE_UPSTREAMS
				       : SITE_SCOPE_OPERATOR,
	    items, revision);
	g_ptr_array_unref(items);
}

/// A configuration of one version.
static const char *
config_of(int version)
{
	static char text[128];

	g_snprintf(text, sizeof(text),
	    "{\"version\":%d,\"routes\":[],\"services\":[]}", version);
	return text;
}

static void
assert_told(const char *expected)
{
	assert_string_equal(story->str, expected);
	g_string_truncate(story, 0);
}

static const char entry[] =
    "{\"service\":\"lm\",\"address\":\"10.1.0.9:80\",\"zone\":\"z\","
    "\"slots\":24,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":4}";
static const char later_entry[] =
    "{\"service\":\"lm\",\"address\":\"10.1.0.9:80\",\"zone\":\"z\","
    "\"slots\":24,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":5}";
static const char draining_entry[] =
    "{\"service\":\"lm\",\"address\":\"10.1.0.9:80\",\"zone\":\"z\","
    "\"slots\":24,\"state\":\"draining\",\"cold_left_ms\":0,\"sequence\":6}";

static void
configurations_never_go_back(void **state)
{
	(void)state;
	assert_false(view_is_complete(view));
	change(SEC, SITE_ITEM_CONFIG, "", 10, config_of(3));
	change(SEC, SITE_ITEM_CONFIG, "", 12, config_of(7));
	/* Older ones, on a slower way. */
	change(SEC, SITE_ITEM_CONFIG, "", 11, config_of(5));
	change(SEC, SITE_ITEM_CONFIG, "", 13, config_of(7));
	change(SEC, SITE_ITEM_CONFIG, "", 14, config_of(4));
	/* Broken or deleted: what is in force stays. */
	change(SEC, SITE_ITEM_CONFIG, "", 15, "{");
	change(SEC, SITE_ITEM_CONFIG, "", 16, NULL);
	assert_told("config:3 config:7 ");
	assert_int_equal(view_deployment(view)->version, 7);
}

static void
zones_are_evacuated_and_return(void **state)
{
	GPtrArray *none = g_ptr_array_new();

	(void)state;
	change(SEC, SITE_ITEM_EVACUATION, "a", 10, "{}");
	change(SEC, SITE_ITEM_EVACUATION, "a", 10, "{}");
	assert_true(view_is_evacuated(view, "a"));
	assert_false(view_is_evacuated(view, "b"));
	change(2 * SEC, SITE_ITEM_EVACUATION, "a", 11, NULL);
	assert_false(view_is_evacuated(view, "a"));
	assert_int_equal(view_returned_at(view, "a"), 2 * SEC);
	/* Its end fell into a lost history: the list doesn't name it. */
	change(3 * SEC, SITE_ITEM_EVACUATION, "b", 12, "{}");
	view_take_list(view, 4 * SEC, SITE_SCOPE_OPERATOR, none, 20);
	assert_told("evacuated:a returned:a evacuated:b returned:b ");
	g_ptr_array_unref(none);
}

static void
a_list_that_is_older_changes_nothing(void **state)
{
	GPtrArray *none = g_ptr_array_new();

	(void)state;
	change(SEC, SITE_ITEM_UPSTREAM, "u1", 10, entry);
	view_take_list(view, SEC, SITE_SCOPE_UPSTREAMS, none, 9);
	assert_told("1:u1 ");
	view_take_list(view, SEC, SITE_SCOPE_UPSTREAMS, none, 11);
	assert_told("5:u1 ");
	g_ptr_array_unref(none);
}

/// What only counts an upstream's own writes is no news for others.
static void
heartbeats_are_no_news(void **state)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(site_item_free);

	(void)state;
	add(items, SITE_ITEM_UPSTREAM, "u1", 11, later_entry);
	add(items, SITE_ITEM_UPSTREAM, "u1", 12, draining_entry);
	add(items, SITE_ITEM_UPSTREAM, "u1", 13, NULL);
	add(items, SITE_ITEM_UPSTREAM, "u2", 14, entry);
	add(items, SITE_ITEM_UPSTREAM, "u1", 15, "{");
	change(SEC, SITE_ITEM_UPSTREAM, "u1", 10, entry);
	assert_false(view_is_news(view, items->pdata[0]));
	for (guint i = 1; i < items->len; i++)
		assert_true(view_is_news(view, items->pdata[i]));
	g_ptr_array_unref(items);
}

/// Nobody tells anything: what is known is held until two seconds after the
/// store's return.
static void
silence_of_every_source_is_an_outage(void **state)
{
	(void)state;
	change(SEC, SITE_ITEM_UPSTREAM, "u1", 10, entry);
	view_tick(view, 2 * SEC);
	change(4 * SEC, SITE_ITEM_UPSTREAM, "u2", 11, entry);
	view_tick(view, 4 * SEC);
	assert_told("1:u1 1:u2 ");
	/* No outage was noticed before: gone at once. */
	change(4 * SEC, SITE_ITEM_UPSTREAM, "u2", 12, NULL);
	assert_told("5:u2 ");
	view_tick(view, 8 * SEC);
	change(9 * SEC, SITE_ITEM_UPSTREAM, "u1", 13, NULL);
	assert_told("6:u1 ");
	view_tick(view, 11 * SEC);
	assert_told("5:u1 ");
}

static void
a_snapshot_holds_all_that_was_read(void **state)
{
	GBytes *bytes;
	fleet_snapshot snapshot;
	GPtrArray *items;
	gsize len;

	(void)state;
	assert_null(catch_up_snapshot(view));
	change(SEC, SITE_ITEM_CONFIG, "", 10, config_of(3));
	change(SEC, SITE_ITEM_EVACUATION, "a", 11, "{}");
	change(SEC, SITE_ITEM_UPSTREAM, "u1", 12, entry);
	change(SEC, SITE_ITEM_UPSTREAM, "u2", 13, entry);
	change(SEC, SITE_ITEM_UPSTREAM, "u2", 14, NULL);
	bytes = catch_up_snapshot(view);
	assert_true(fleet_snapshot_decode(
	    g_bytes_get_data(bytes, &len), g_bytes_get_size(bytes), &snapshot));
	assert_int_equal(snapshot.directory_revision, 14);
	assert_int_equal(snapshot.operator_revision, 11);
	items = fleet_items_to_site(
	    snapshot.items.items_val, snapshot.items.items_len);
	assert_int_equal(items->len, 3);
	/* A cut one is none. */
	for (gsize cut = 0; cut < g_bytes_get_size(bytes); cut += 4) {
		fleet_snapshot part;

		assert_false(fleet_snapshot_decode(
		    g_bytes_get_data(bytes, &len), cut, &part));
	}
	g_ptr_array_unref(items);
	xdr_free((xdrproc_t)xdr_fleet_snapshot, (char *)&snapshot);
	g_bytes_unref(bytes);
}

static void
messages_survive_the_way_and_rubbish_does_not(void **state)
{
	fleet_load loads[] = {{7, 1, 2000, 300}};
	u_int known[] = {0x0a000001};
	fleet_message message = {.kind = FLEET_BEAT};
	fleet_message back;
	char bytes[1024];
	size_t len;

	(void)state;
	message.fleet_message_u.beat = (fleet_beat){.name = (char *)"e1",
	    .ip = (char *)"10.0.0.1",
	    .incarnation = 5,
	    .loads = {1, loads},
	    .known = {1, known}};
	len = fleet_encode(&message, bytes, sizeof(bytes));
	assert_true(len > 0);
	assert_true(fleet_decode(bytes, len, &back));
	assert_string_equal(back.fleet_message_u.beat.name, "e1");
	assert_int_equal(
	    back.fleet_message_u.beat.loads.loads_val[0].tokens, 2000);
	fleet_clear(&back);
	for (size_t cut = 0; cut < len; cut++)
		assert_false(fleet_decode(bytes, cut, &back));
	for (size_t i = 0; i < len; i++) {
		bytes[i] = (char)0xff;
		if (fleet_decode(bytes, len, &back))
			fleet_clear(&back);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		configurations_never_go_back, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		zones_are_evacuated_and_return, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_list_that_is_older_changes_nothing, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		heartbeats_are_no_news, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		silence_of_every_source_is_an_outage, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		a_snapshot_holds_all_that_was_read, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		messages_survive_the_way_and_rubbish_does_not, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
