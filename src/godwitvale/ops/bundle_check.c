/* The whole check of a bundle: what no single value can tell. */
#include "godwitvale/ops/bundle_check.h"

#include "godwitvale/ops/bundle.h"
#include "godwitvale/ops/bundle_table.h"

/// Sets an error about one item's key.
///
/// @param document  the bundle's text
/// @param error     set to BUNDLE_ERROR_INCONSISTENT
/// @param list      the list's key
/// @param i         the item's place in it
/// @param key       the key at fault
/// @param message   what is wrong
static void
fail_item(struct json_document *document, GError **error, const char *list,
    guint i, const char *key, const char *message)
{
	char *path = g_strdup_printf("%s[%u].%s", list, i, key);

	document->code = BUNDLE_ERROR_INCONSISTENT;
	json_fail(document, path, error, "%s", message);
	g_free(path);
}

/// Checks that a text field's values are all different.
///
/// @param document  the bundle's text
/// @param items     array of structs
/// @param offset    of the char * field in them
/// @param list      the list's key
/// @param key       the field's key
/// @param error     set on a duplicate
/// @return false with error set
static bool
check_unique(struct json_document *document, const GPtrArray *items,
    size_t offset, const char *list, const char *key, GError **error)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < items->len; i++)
		if (!g_hash_table_add(
			seen, *(char **)((char *)items->pdata[i] + offset)))
			break;
	g_hash_table_unref(seen);
	if (i == items->len)
		return true;
	fail_item(document, error, list, i, key, "the value is there twice");
	return false;
}

/// Checks the names of every list, and the organisations' tokens.
///
/// @param bundle    read
/// @param document  its text
/// @param error     set on a duplicate
/// @return false with error set
static bool
check_names(
    const struct bundle *bundle, struct json_document *document, GError **error)
{
	for (size_t i = 0; i < bundle_table.n_options; i++) {
		const struct json_option *option = &bundle_table.options[i];

		if (option->type == JSON_LIST &&
		    !check_unique(document,
			*(GPtrArray *const *)((const char *)bundle +
			    option->offset),
			option->item->options[0].offset, option->path, "name",
			error))
			return false;
	}
	for (guint i = 0; i < bundle->services->len; i++) {
		const struct bundle_service *service =
		    bundle->services->pdata[i];

		if (bundle_find_model(bundle, service->name) == NULL)
			continue;
		fail_item(document, error, "services", i, "name",
		    "a model has this name");
		return false;
	}
	return check_unique(document, bundle->organisations,
	    offsetof(struct bundle_organisation, token), "organisations",
	    "token", error);
}

/// Checks that the identity of each service's calls can be told.
///
/// @param bundle    read
/// @param document  its text
/// @param error     set when it can't
/// @return false with error set
static bool
check_services(
    const struct bundle *bundle, struct json_document *document, GError **error)
{
	for (guint i = 0; i < bundle->services->len; i++) {
		const struct bundle_service *service =
		    bundle->services->pdata[i];
		bool by_header = service->identity == BUNDLE_IDENTITY_HEADER;

		if (by_header == (service->identity_header != NULL))
			continue;
		fail_item(document, error, "services", i, "identity_header",
		    "needed with identity \"header\", and only there");
		return false;
	}
	for (guint i = 0; i < bundle->models->len; i++) {
		const struct bundle_model *model = bundle->models->pdata[i];

		if (model->max_tokens <= model->context_tokens)
			continue;
		fail_item(document, error, "models", i, "max_tokens",
		    "above context_tokens");
		return false;
	}
	return true;
}

/// Says what is inconsistent about an upstream.
///
/// @param bundle    read
/// @param upstream  one of its upstreams
/// @param key       set to the key at fault
/// @return the message, or NULL
static const char *
upstream_fault(const struct bundle *bundle,
    const struct bundle_upstream *upstream, const char **key)
{
	*key = "zone";
	if (bundle_find_zone(bundle, upstream->zone) == NULL)
		return "no such zone";
	*key = "serves";
	if (upstream->engine &&
	    bundle_find_model(bundle, upstream->serves) == NULL)
		return "no such model";
	if (!upstream->engine &&
	    bundle_find_service(bundle, upstream->serves) == NULL)
		return "no such service";
	*key = "memory_tokens";
	if (upstream->engine && upstream->memory_tokens == 0)
		return "an engine needs it";
	*key = "cold_limit";
	if (upstream->cold_limit > upstream->max_running)
		return "above max_running";
	return NULL;
}

/// Checks each upstream's references, and that no two share an address.
///
/// @param bundle    read
/// @param document  its text
/// @param error     set when one is inconsistent
/// @return false with error set
static bool
check_upstreams(
    const struct bundle *bundle, struct json_document *document, GError **error)
{
	GHashTable *addresses =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const char *fault = NULL;
	const char *key = NULL;
	guint i;

	for (i = 0; i < bundle->upstreams->len; i++) {
		const struct bundle_upstream *upstream =
		    bundle->upstreams->pdata[i];

		fault = upstream_fault(bundle, upstream, &key);
		if (!g_hash_table_add(addresses,
			g_strdup_printf(
			    "%s %u", upstream->ip, upstream->port))) {
			key = "address";
			fault = "another upstream has it";
		}
		if (fault != NULL)
			break;
	}
	g_hash_table_unref(addresses);
	if (fault == NULL)
		return true;
	fail_item(document, error, "upstreams", i, key, fault);
	return false;
}

/// Checks names, references and limits across a bundle.
///
/// @param bundle    read
/// @param document  its text
/// @param error     set to BUNDLE_ERROR_INCONSISTENT when refused
/// @return false with error set
bool
bundle_check(
    const struct bundle *bundle, struct json_document *document, GError **error)
{
	return check_names(bundle, document, error) &&
	    check_services(bundle, document, error) &&
	    check_upstreams(bundle, document, error);
}
