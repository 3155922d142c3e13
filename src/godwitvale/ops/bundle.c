/* Bundles: parsing, signature, comparison and look-ups. */
#include "godwitvale/ops/bundle.h"

#include <string.h>

#include <sodium.h>

#include "godwitvale/ops/bundle_check.h"
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
	    bundle_check(bundle, &document, error);
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
