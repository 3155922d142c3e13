/* Bundles: parsing, validation, signing, verification, comparison and lookups.
 * A bundle is the signed configuration that operators approve and roll out. */
#ifndef GODWITVALE_OPS_BUNDLE_H
#define GODWITVALE_OPS_BUNDLE_H

#include <stddef.h>

#include "godwitvale/ops/bundle_defs.h"

#define BUNDLE_ERROR (bundle_error_quark())
enum bundle_error {
	BUNDLE_ERROR_READ,
	BUNDLE_ERROR_TOO_LARGE,
	BUNDLE_ERROR_INVALID,
	BUNDLE_ERROR_INCONSISTENT,
	BUNDLE_ERROR_SIGNATURE,
};

GQuark bundle_error_quark(void);
struct bundle *bundle_parse(const char *text, size_t len, GError **error);
GString *bundle_sign(
    const char *text, size_t len, const uint8_t *secret_key, GError **error);
struct bundle *bundle_verify(const char *signed_text, size_t len,
    const uint8_t *public_key, GError **error);
GString *bundle_diff(const struct bundle *old, const struct bundle *new_);
void bundle_free(struct bundle *bundle);

const struct bundle_zone *bundle_find_zone(
    const struct bundle *bundle, const char *name);
const struct bundle_service *bundle_find_service(
    const struct bundle *bundle, const char *name);
const struct bundle_model *bundle_find_model(
    const struct bundle *bundle, const char *name);
const struct bundle_organisation *bundle_find_organisation_by_token(
    const struct bundle *bundle, const char *token);
const struct bundle_class *bundle_find_class(
    const struct bundle *bundle, const char *name);

#endif
