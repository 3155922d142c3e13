/* Bundles: whole check, signature, comparison and look-ups. */
#include "godwitvale/ops/bundle.h"

#include <string.h>

#include <sodium.h>

#include "godwitvale/ops/bundle_table.h"

G_DEFINE_QUARK(bundle - error - quark, bundle_error)

/// The signed form: base64 of the bundle's text, and hex of its signature.
struct signed_form {
	char *text;
	uint8_t signature[crypto_sign_BYTES];
};

static const struct json_option signed_options[] = {
    {.path = "bundle",
	.type = JSON_TEXT,
	.offset = offsetof(struct signed_form, text),
	.min = 1,
	.max = BUNDLE_BYTES_MAX,
	.doc = "base64 of the bundle's text"},
    {.path = "signature",
	.type = JSON_HEX,
	.offset = offsetof(struct signed_form, signature),
	.max = crypto_sign_BYTES,
	.doc = "ed25519 over the text's bytes"},
};

static const struct json_table signed_table = {
    .name = "signed bundle",
    .size = sizeof(struct signed_form),
    .options = signed_options,
    .n_options = G_N_ELEMENTS(signed_options),
};

/// Finds an item by a text field.
///
/// @param items   array of structs
/// @param offset  of the char * field in them
/// @param text    what is looked for; may be NULL
/// @return the struct, or NULL
static const void *
find_by(const GPtrArray *items, size_t offset, const char *text)
{
	for (guint i = 0; text != NULL && i < items->len; i++) {
		const char *item = items->pdata[i];

		if (strcmp(*(char *const *)(item + offset), text) == 0)
			return item;
	}
	return NULL;
}

/// Checks that a text field's values are all different.
///
/// @param items   array of structs
/// @param offset  of the char * field in them
/// @param list    the list's key
/// @param key     the field's key
/// @param error   set on a duplicate
/// @return false with error set
static bool
check_unique(const GPtrArray *items, size_t offset, const char *list,
    const char *key, GError **error)
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
	g_set_error(error, BUNDLE_ERROR, BUNDLE_ERROR_INCONSISTENT,
	    "%s[%u].%s: the value is there twice", list, i, key);
	return false;
}

/// Checks the names of every list, and the organisations' tokens.
///
/// @param bundle  read
/// @param error   set on a duplicate
/// @return false with error set
static bool
check_names(const struct bundle *bundle, GError **error)
{
	for (size_t i = 0; i < bundle_table.n_options; i++) {
		const struct json_option *option = &bundle_table.options[i];

		if (option->type == JSON_LIST &&
		    !check_unique(*(GPtrArray *const *)((const char *)bundle +
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
		g_set_error(error, BUNDLE_ERROR, BUNDLE_ERROR_INCONSISTENT,
		    "services[%u].name: a model has this name", i);
		return false;
	}
	return check_unique(bundle->organisations,
	    offsetof(struct bundle_organisation, token), "organisations",
	    "token", error);
}

/// Checks that the identity of each service's calls can be told.
///
/// @param bundle  read
/// @param error   set when it can't
/// @return false with error set
static bool
check_services(const struct bundle *bundle, GError **error)
{
	for (guint i = 0; i < bundle->services->len; i++) {
		const struct bundle_service *service =
		    bundle->services->pdata[i];
		bool by_header = service->identity == BUNDLE_IDENTITY_HEADER;

		if (by_header == (service->identity_header != NULL))
			continue;
		g_set_error(error, BUNDLE_ERROR, BUNDLE_ERROR_INCONSISTENT,
		    "services[%u].identity_header: needed with identity "
		    "\"header\", and only there",
		    i);
		return false;
	}
	for (guint i = 0; i < bundle->models->len; i++) {
		const struct bundle_model *model = bundle->models->pdata[i];

		if (model->max_tokens <= model->context_tokens)
			continue;
		g_set_error(error, BUNDLE_ERROR, BUNDLE_ERROR_INCONSISTENT,
		    "models[%u].max_tokens: above context_tokens", i);
		return false;
	}
	return true;
}

/// Says what is inconsistent about an upstream.
///
/// @param bundle    read
/// @param upstream  one of its upstreams
/// @return the message, or NULL
static const char *
upstream_fault(
    const struct bundle *bundle, const struct bundle_upstream *upstream)
{
	if (bundle_find_zone(bundle, upstream->zone) == NULL)
		return "zone: no such zone";
	if (upstream->engine &&
	    bundle_find_model(bundle, upstream->serves) == NULL)
		return "serves: no such model";
	if (!upstream->engine &&
	    bundle_find_service(bundle, upstream->serves) == NULL)
		return "serves: no such service";
	if (upstream->engine && upstream->memory_tokens == 0)
		return "memory_tokens: an engine needs it";
	if (upstream->cold_limit > upstream->max_running)
		return "cold_limit: above max_running";
	return NULL;
}

/// Checks each upstream's references, and that no two share an address.
///
/// @param bundle  read
/// @param error   set when one is inconsistent
/// @return false with error set
static bool
check_upstreams(const struct bundle *bundle, GError **error)
{
	GHashTable *addresses =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const char *fault = NULL;
	guint i;

	for (i = 0; i < bundle->upstreams->len; i++) {
		const struct bundle_upstream *upstream =
		    bundle->upstreams->pdata[i];

		fault = upstream_fault(bundle, upstream);
		if (!g_hash_table_add(addresses,
			g_strdup_printf("%s %u", upstream->ip, upstream->port)))
			fault = "address: another upstream has it";
		if (fault != NULL)
			break;
	}
	g_hash_table_unref(addresses);
	if (fault == NULL)
		return true;
	g_set_error(error, BUNDLE_ERROR, BUNDLE_ERROR_INCONSISTENT,
	    "upstreams[%u].%s", i, fault);
	return false;
}

/// Appends how two structs of one table differ.
///
/// @param table   their options
/// @param prefix  put before each line, as "upstream b1 "
/// @param old     the former one
/// @param new_    the later one
/// @param out     appended to
static void
diff_fields(const struct json_table *table, const char *prefix, const void *old,
    const void *new_, GString *out)
{
	for (size_t i = 0; i < table->n_options; i++) {
		const struct json_option *option = &table->options[i];
		char *before;
		char *after;

		if (option->type == JSON_LIST)
			continue;
		before = json_option_to_text(option, old);
		after = json_option_to_text(option, new_);
		if (strcmp(before, after) != 0 && option->secret)
			g_string_append_printf(
			    out, "%s%s: changed\n", prefix, option->path);
		else if (strcmp(before, after) != 0)
			g_string_append_printf(out, "%s%s: %s -> %s\n", prefix,
			    option->path, before, after);
		g_free(before);
		g_free(after);
	}
}

/// Appends how two lists differ, item by item.
///
/// @param table  the items' options
/// @param old    the former list
/// @param new_   the later list
/// @param out    appended to
static void
diff_lists(const struct json_table *table, const GPtrArray *old,
    const GPtrArray *new_, GString *out)
{
	size_t offset = table->options[0].offset;

	for (guint i = 0; i < old->len; i++) {
		const char *item = old->pdata[i];
		const char *name = *(char *const *)(item + offset);
		const void *other = find_by(new_, offset, name);
		char *prefix = g_strdup_printf("%s %s ", table->name, name);

		if (other == NULL)
			g_string_append_printf(out, "%sremoved\n", prefix);
		else
			diff_fields(table, prefix, item, other, out);
		g_free(prefix);
	}
	for (guint i = 0; i < new_->len; i++) {
		const char *item = new_->pdata[i];
		const char *name = *(char *const *)(item + offset);

		if (find_by(old, offset, name) == NULL)
			g_string_append_printf(
			    out, "%s %s added\n", table->name, name);
	}
}

/// Parses and checks a bundle's text as a whole.
///
/// @param text   JSON with comments
/// @param len    its length in bytes
/// @param error  set to one of enum bundle_error when refused
/// @return the bundle, to be freed by bundle_free(), or NULL
struct bundle *
bundle_parse(const char *text, size_t len, GError **error)
{
	struct bundle *bundle;
	struct json_document document;
	bool ok;

	if (len > BUNDLE_BYTES_MAX) {
		g_set_error(error, BUNDLE_ERROR, BUNDLE_ERROR_TOO_LARGE,
		    "%zu bytes, above the limit of %d", len, BUNDLE_BYTES_MAX);
		return NULL;
	}
	bundle = g_new0(struct bundle, 1);
	ok = json_document_open(&document, text, len, BUNDLE_ERROR,
		 BUNDLE_ERROR_INVALID, error) &&
	    json_table_read(&bundle_table, &document, bundle, error) &&
	    check_names(bundle, error) && check_services(bundle, error) &&
	    check_upstreams(bundle, error);
	json_document_close(&document);
	if (!ok)
		g_clear_pointer(&bundle, bundle_free);
	return bundle;
}

/// Checks a bundle's text and signs it.
///
/// @param text        the bundle's text
/// @param len         its length in bytes
/// @param secret_key  of crypto_sign_SECRETKEYBYTES
/// @param error       set when the text is refused or too large once signed
/// @return the signed form, to be freed, or NULL
GString *
bundle_sign(
    const char *text, size_t len, const uint8_t *secret_key, GError **error)
{
	struct bundle *bundle = bundle_parse(text, len, error);
	uint8_t signature[crypto_sign_BYTES];
	char hex[2 * crypto_sign_BYTES + 1];
	char *base64;
	GString *out;

	if (bundle == NULL)
		return NULL;
	bundle_free(bundle);
	crypto_sign_detached(
	    signature, NULL, (const uint8_t *)text, len, secret_key);
	sodium_bin2hex(hex, sizeof(hex), signature, sizeof(signature));
	base64 = g_base64_encode((const guchar *)text, len);
	out = g_string_new(NULL);
	g_string_append_printf(
	    out, "{\"bundle\": \"%s\", \"signature\": \"%s\"}", base64, hex);
	g_free(base64);
	if (out->len <= BUNDLE_BYTES_MAX)
		return out;
	g_set_error(error, BUNDLE_ERROR, BUNDLE_ERROR_TOO_LARGE,
	    "%zu bytes once signed, above the limit of %d", out->len,
	    BUNDLE_BYTES_MAX);
	g_string_free(out, TRUE);
	return NULL;
}

/// Verifies a signed bundle, then parses and checks it.
///
/// @param signed_text  the signed form
/// @param len          its length in bytes
/// @param public_key   of crypto_sign_PUBLICKEYBYTES
/// @param error        set to one of enum bundle_error when refused
/// @return the bundle, to be freed by bundle_free(), or NULL
struct bundle *
bundle_verify(const char *signed_text, size_t len, const uint8_t *public_key,
    GError **error)
{
	struct signed_form form = {0};
	struct json_document document;
	struct bundle *bundle = NULL;
	uint8_t *text = NULL;
	size_t text_len;

	if (len > BUNDLE_BYTES_MAX) {
		g_set_error(error, BUNDLE_ERROR, BUNDLE_ERROR_TOO_LARGE,
		    "%zu bytes, above the limit of %d", len, BUNDLE_BYTES_MAX);
		return NULL;
	}
	if (!json_document_open(&document, signed_text, len, BUNDLE_ERROR,
		BUNDLE_ERROR_INVALID, error) ||
	    !json_table_read(&signed_table, &document, &form, error))
		goto out;
	text = g_malloc(strlen(form.text) + 1);
	if (sodium_base642bin(text, strlen(form.text), form.text,
		strlen(form.text), NULL, &text_len, NULL,
		sodium_base64_VARIANT_ORIGINAL) != 0) {
		json_fail(&document, "bundle", error, "not base64");
		goto out;
	}
	if (crypto_sign_verify_detached(
		form.signature, text, text_len, public_key) != 0) {
		g_set_error(error, BUNDLE_ERROR, BUNDLE_ERROR_SIGNATURE,
		    "the signature does not match the bundle and key");
		goto out;
	}
	bundle = bundle_parse((const char *)text, text_len, error);
out:
	g_free(text);
	json_table_clear(&signed_table, &form);
	json_document_close(&document);
	return bundle;
}

/// Compares two bundles.
///
/// @param old   the former one
/// @param new_  the later one
/// @return one line a change, to be freed; tokens are not shown
GString *
bundle_diff(const struct bundle *old, const struct bundle *new_)
{
	GString *out = g_string_new(NULL);

	diff_fields(&bundle_table, "", old, new_, out);
	for (size_t i = 0; i < bundle_table.n_options; i++) {
		const struct json_option *option = &bundle_table.options[i];

		if (option->type != JSON_LIST)
			continue;
		diff_lists(option->item,
		    *(GPtrArray *const *)((const char *)old + option->offset),
		    *(GPtrArray *const *)((const char *)new_ + option->offset),
		    out);
	}
	return out;
}

/// Frees a bundle.
///
/// @param bundle  may be NULL
void
bundle_free(struct bundle *bundle)
{
	if (bundle == NULL)
		return;
	json_table_clear(&bundle_table, bundle);
	g_free(bundle);
}

/// Finds a zone by name.
///
/// @param bundle  the bundle
/// @param name    may be NULL
/// @return the zone, or NULL
const struct bundle_zone *
bundle_find_zone(const struct bundle *bundle, const char *name)
{
	return find_by(bundle->zones, offsetof(struct bundle_zone, name), name);
}

/// Finds a service by name.
///
/// @param bundle  the bundle
/// @param name    may be NULL
/// @return the service, or NULL
const struct bundle_service *
bundle_find_service(const struct bundle *bundle, const char *name)
{
	return find_by(
	    bundle->services, offsetof(struct bundle_service, name), name);
}

/// Finds a model by name.
///
/// @param bundle  the bundle
/// @param name    may be NULL
/// @return the model, or NULL
const struct bundle_model *
bundle_find_model(const struct bundle *bundle, const char *name)
{
	return find_by(
	    bundle->models, offsetof(struct bundle_model, name), name);
}

/// Finds the organisation that a bearer token belongs to.
///
/// @param bundle  the bundle
/// @param token   may be NULL
/// @return the organisation, or NULL
const struct bundle_organisation *
bundle_find_token(const struct bundle *bundle, const char *token)
{
	return find_by(bundle->organisations,
	    offsetof(struct bundle_organisation, token), token);
}

/// Finds a workload class by name.
///
/// @param bundle  the bundle
/// @param name    may be NULL
/// @return the class, or else the class "default", or NULL
const struct bundle_class *
bundle_find_class(const struct bundle *bundle, const char *name)
{
	size_t offset = offsetof(struct bundle_class, name);
	const struct bundle_class *found =
	    find_by(bundle->classes, offset, name);

	return found ? found : find_by(bundle->classes, offset, "default");
}
