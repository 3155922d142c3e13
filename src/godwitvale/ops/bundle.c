/* Bundles: parsing, signatures, comparison and lookups. */
#include "godwitvale/ops/bundle.h"

#include <string.h>

#include <sodium.h>

#include "godwitvale/ops/bundle_check.h"
#include "godwitvale/ops/bundle_table.h"

G_DEFINE_QUARK(bundle - error - quark, bundle_error)

/// The JSON object that carries a bundle and its signature.
struct signed_bundle {
	char *text; /// the bundle's text in base64
	uint8_t signature[crypto_sign_BYTES];
};

static const struct json_option signed_bundle_options[] = {
    {.path = "bundle",
	.type = JSON_STRING,
	.offset = offsetof(struct signed_bundle, text),
	.min = 1,
	.max = BUNDLE_BYTES_MAX,
	.doc = "base64 of the bundle's text"},
    {.path = "signature",
	.type = JSON_HEX,
	.offset = offsetof(struct signed_bundle, signature),
	.max = crypto_sign_BYTES,
	.doc = "ed25519 signature of the decoded text"},
};

static const struct json_table signed_bundle_table = {
    .name = "signed bundle",
    .size = sizeof(struct signed_bundle),
    .options = signed_bundle_options,
    .n_options = G_N_ELEMENTS(signed_bundle_options),
};

/// Finds the first struct with a given value in a text field.
///
/// @param items   pointers to structs of one type
/// @param offset  offset of the char * field, in bytes
/// @param text    value to find; NULL finds nothing
/// @return the struct, or NULL
static const void *
find_by_field(const GPtrArray *items, size_t offset, const char *text)
{
	for (guint i = 0; text != NULL && i < items->len; i++) {
		const char *item = items->pdata[i];

		if (strcmp(*(char *const *)(item + offset), text) == 0)
			return item;
	}
	return NULL;
}

/// Appends a line for each option in which two structs differ. Lists are
/// skipped.
///
/// @param table   options of both structs
/// @param prefix  start of each line, such as "upstream b1 "
/// @param old     struct before the change
/// @param new_    struct after the change
/// @param out     receives the lines
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

/// Appends a line for each difference between two lists. Items are matched by
/// name.
///
/// @param table  options of the items; the first one is the name
/// @param old    list before the change
/// @param new_   list after the change
/// @param out    receives the lines
static void
diff_lists(const struct json_table *table, const GPtrArray *old,
    const GPtrArray *new_, GString *out)
{
	size_t offset = table->options[0].offset;

	for (guint i = 0; i < old->len; i++) {
		const char *item = old->pdata[i];
		const char *name = *(char *const *)(item + offset);
		const void *other = find_by_field(new_, offset, name);
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

		if (find_by_field(old, offset, name) == NULL)
			g_string_append_printf(
			    out, "%s %s added\n", table->name, name);
	}
}

/// Parses a bundle's text and validates it, including references between its
/// parts.
///
/// @param text   JSON with comments
/// @param len    length of the text in bytes
/// @param error  set to one of enum bundle_error when the text is rejected
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
	ok = json_document_parse(&document, text, len, BUNDLE_ERROR,
		 BUNDLE_ERROR_INVALID, error) &&
	    json_table_read(&bundle_table, &document, bundle, error) &&
	    bundle_check(bundle, &document, error);
	json_document_clear(&document);
	if (!ok)
		g_clear_pointer(&bundle, bundle_free);
	return bundle;
}

/// Validates a bundle's text and signs it.
///
/// @param text        JSON with comments
/// @param len         length of the text in bytes
/// @param secret_key  crypto_sign_SECRETKEYBYTES bytes
/// @param error       set when the text is invalid, or too large once signed
/// @return the signed bundle as JSON, to be freed by the caller, or NULL
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

/// Verifies the signature of a signed bundle, then parses and validates the
/// bundle.
///
/// @param signed_text  JSON as returned by bundle_sign()
/// @param len          length of the text in bytes
/// @param public_key   crypto_sign_PUBLICKEYBYTES bytes
/// @param error        set to one of enum bundle_error when it is rejected
/// @return the bundle, to be freed by bundle_free(), or NULL
struct bundle *
bundle_verify(const char *signed_text, size_t len, const uint8_t *public_key,
    GError **error)
{
	struct signed_bundle envelope = {0};
	struct json_document document;
	struct bundle *bundle = NULL;
	uint8_t *text = NULL;
	size_t text_len;

	if (len > BUNDLE_BYTES_MAX) {
		g_set_error(error, BUNDLE_ERROR, BUNDLE_ERROR_TOO_LARGE,
		    "%zu bytes, above the limit of %d", len, BUNDLE_BYTES_MAX);
		return NULL;
	}
	if (!json_document_parse(&document, signed_text, len, BUNDLE_ERROR,
		BUNDLE_ERROR_INVALID, error) ||
	    !json_table_read(&signed_bundle_table, &document, &envelope, error))
		goto out;
	text = g_malloc(strlen(envelope.text) + 1);
	if (sodium_base642bin(text, strlen(envelope.text), envelope.text,
		strlen(envelope.text), NULL, &text_len, NULL,
		sodium_base64_VARIANT_ORIGINAL) != 0) {
		json_set_error(&document, "bundle", error, "invalid base64");
		goto out;
	}
	if (crypto_sign_verify_detached(
		envelope.signature, text, text_len, public_key) != 0) {
		g_set_error(error, BUNDLE_ERROR, BUNDLE_ERROR_SIGNATURE,
		    "the signature does not match the bundle and key");
		goto out;
	}
	bundle = bundle_parse((const char *)text, text_len, error);
out:
	g_free(text);
	json_table_clear(&signed_bundle_table, &envelope);
	json_document_clear(&document);
	return bundle;
}

/// Describes the differences between two bundles.
///
/// @param old   bundle before the change
/// @param new_  bundle after the change
/// @return one line per difference, to be freed by the caller; a changed token
///         is reported without its value
GString *
bundle_diff(const struct bundle *old, const struct bundle *new_)
{
	GString *out = g_string_new(NULL);

	diff_fields(&bundle_table, "", old, new_, out);
	for (size_t i = 0; i < bundle_table.n_options; i++) {
		const struct json_option *option = &bundle_table.options[i];

		if (option->type != JSON_LIST)
			continue;
		diff_lists(option->item_table,
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
/// @param bundle  owns the result
/// @param name    NULL finds nothing
/// @return the zone, or NULL
const struct bundle_zone *
bundle_find_zone(const struct bundle *bundle, const char *name)
{
	return find_by_field(
	    bundle->zones, offsetof(struct bundle_zone, name), name);
}

/// Finds a service by name.
///
/// @param bundle  owns the result
/// @param name    NULL finds nothing
/// @return the service, or NULL
const struct bundle_service *
bundle_find_service(const struct bundle *bundle, const char *name)
{
	return find_by_field(
	    bundle->services, offsetof(struct bundle_service, name), name);
}

/// Finds a model by name.
///
/// @param bundle  owns the result
/// @param name    NULL finds nothing
/// @return the model, or NULL
const struct bundle_model *
bundle_find_model(const struct bundle *bundle, const char *name)
{
	return find_by_field(
	    bundle->models, offsetof(struct bundle_model, name), name);
}

/// Finds an organisation by its bearer token.
///
/// @param bundle  owns the result
/// @param token   token without "Bearer "; NULL finds nothing
/// @return the organisation, or NULL
const struct bundle_organisation *
bundle_find_organisation_by_token(
    const struct bundle *bundle, const char *token)
{
	return find_by_field(bundle->organisations,
	    offsetof(struct bundle_organisation, token), token);
}

/// Finds a workload class by name.
///
/// @param bundle  owns the result
/// @param name    NULL selects the class "default"
/// @return the class; the class "default" when there is no such class; NULL
///         when there is no class "default" either
const struct bundle_class *
bundle_find_class(const struct bundle *bundle, const char *name)
{
	size_t offset = offsetof(struct bundle_class, name);
	const struct bundle_class *found =
	    find_by_field(bundle->classes, offset, name);

	return found ? found
		     : find_by_field(bundle->classes, offset, "default");
}
