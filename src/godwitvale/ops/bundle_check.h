/* Consistency checks that involve more than one value of a bundle. */
#ifndef GODWITVALE_OPS_BUNDLE_CHECK_H
#define GODWITVALE_OPS_BUNDLE_CHECK_H

#include "godwitvale/ops/bundle_defs.h"
#include "godwitvale/ops/json.h"

bool bundle_check(const struct bundle *bundle, struct json_document *document,
    GError **error);

#endif
