/* Option table for parsing the JSON text of a bundle. */
#ifndef GODWITVALE_OPS_BUNDLE_TABLE_H
#define GODWITVALE_OPS_BUNDLE_TABLE_H

#include "godwitvale/ops/json.h"

extern const struct json_table bundle_table;

#endif
