/* Consistency checks that involve more than one value of a bundle: unique
 * names, references and related limits. */
#include "godwitvale/ops/bundle_check.h"

#include "godwitvale/ops/bundle.h"
#include "godwitvale/ops/bundle_table.h"

/// Sets an error about one key of a list item.
///
/// @param document  the bundle's parsed text
/// @param error     set to BUNDLE_ERROR_INCONSISTENT
/// @param list      key of the list
/// @param i         index of the item in the list
/// @param key       key of the invalid value
/// @param message   reason for the rejection
static void
set_item_error(struct json_document *document, GError **error, const char *list,
    guint i, const char *key, const char *message)
{
	char *path = g_strdup_printf("%s[%u].%s", list, i, key);

	document->error_code = BUNDLE_ERROR_INCONSISTENT;
	json_set_error(document, path, error, "%s", message);
	g_free(path);
}

/// Checks that a text field has a different value in every item of a list.
///
/// @param document  the bundle's parsed text
/// @param items     pointers to structs of one type
/// @param offset    offset of the char * field, in bytes
/// @param list      key of the list
/// @param key       key of the field
/// @param error     set when a value occurs more than once
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
	set_item_error(document, error, list, i, key, "duplicate value");
	return false;
}

/// Checks that names in each list and tokens of organisations are unique, and
/// that no service has the name of a model.
///
/// @param bundle    bundle to check
/// @param document  the bundle's parsed text
/// @param error     set when a value occurs more than once
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
			option->item_table->options[0].offset, option->path,
			"name", error))
			return false;
	}
	for (guint i = 0; i < bundle->services->len; i++) {
		const struct bundle_service *service =
		    bundle->services->pdata[i];

		if (bundle_find_model(bundle, service->name) == NULL)
			continue;
		set_item_error(document, error, "services", i, "name",
		    "name already used by a model");
		return false;
	}
	return check_unique(document, bundle->organisations,
	    offsetof(struct bundle_organisation, token), "organisations",
	    "token", error);
}

/// Checks that identity_header is set exactly for services whose calls are
/// identified by a header, and that no model's output limit exceeds its
/// context.
///
/// @param bundle    bundle to check
/// @param document  the bundle's parsed text
/// @param error     set when a service or model is inconsistent
/// @return false with error set
static bool
check_services_and_models(
    const struct bundle *bundle, struct json_document *document, GError **error)
{
	for (guint i = 0; i < bundle->services->len; i++) {
		const struct bundle_service *service =
		    bundle->services->pdata[i];
		bool uses_header = service->identity == BUNDLE_IDENTITY_HEADER;

		if (uses_header == (service->identity_header != NULL))
			continue;
		set_item_error(document, error, "services", i,
		    "identity_header",
		    "required with identity \"header\" and only allowed there");
		return false;
	}
	for (guint i = 0; i < bundle->models->len; i++) {
		const struct bundle_model *model = bundle->models->pdata[i];

		if (model->max_tokens <= model->context_tokens)
			continue;
		set_item_error(document, error, "models", i, "max_tokens",
		    "must not exceed context_tokens");
		return false;
	}
	return true;
}

/// Finds the first inconsistent value of an upstream.
///
/// @param bundle    contains the upstream
/// @param upstream  upstream to check
/// @param key       set to the key of the inconsistent value
/// @return the error message, or NULL when the upstream is consistent
static const char *
find_upstream_error(const struct bundle *bundle,
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
		return "must not be 0 for an engine";
	*key = "cold_limit";
	if (upstream->cold_limit > upstream->max_running)
		return "must not exceed max_running";
	return NULL;
}

/// Checks each upstream's references and limits, and that no two upstreams
/// share an address.
///
/// @param bundle    bundle to check
/// @param document  the bundle's parsed text
/// @param error     set when an upstream is inconsistent
/// @return false with error set
static bool
check_upstreams(
    const struct bundle *bundle, struct json_document *document, GError **error)
{
	GHashTable *addresses =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const char *message = NULL;
	const char *key = NULL;
	guint i;

	for (i = 0; i < bundle->upstreams->len; i++) {
		const struct bundle_upstream *upstream =
		    bundle->upstreams->pdata[i];

		message = find_upstream_error(bundle, upstream, &key);
		if (!g_hash_table_add(addresses,
			g_strdup_printf(
			    "%s %u", upstream->ip, upstream->port))) {
			key = "address";
			message = "already used by another upstream";
		}
		if (message != NULL)
			break;
	}
	g_hash_table_unref(addresses);
	if (message == NULL)
		return true;
	set_item_error(document, error, "upstreams", i, key, message);
	return false;
}

/// Checks names, references and related limits of a whole bundle.
///
/// @param bundle    bundle whose single values are valid
/// @param document  the bundle's parsed text, for line numbers in errors
/// @param error     set to BUNDLE_ERROR_INCONSISTENT on rejection
/// @return false with error set
bool
bundle_check(
    const struct bundle *bundle, struct json_document *document, GError **error)
{
	return check_names(bundle, document, error) &&
	    check_services_and_models(bundle, document, error) &&
	    check_upstreams(bundle, document, error);
}
