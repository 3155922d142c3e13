/* Loading and validation of the settings file of an instance. */
#ifndef GODWITVALE_OPS_SETTINGS_H
#define GODWITVALE_OPS_SETTINGS_H

#include "godwitvale/ops/settings_defs.h"

#define SETTINGS_ERROR (settings_error_quark())
enum settings_error { SETTINGS_ERROR_READ, SETTINGS_ERROR_INVALID };

GQuark settings_error_quark(void);
struct settings *settings_parse(const char *text, GError **error);
struct settings *settings_load(const char *path, GError **error);
void settings_free(struct settings *settings);
void settings_explain(GString *out);

#endif
