/* Compares the fields of routes, services and limits of two configurations. */
#ifndef GODWITVALE_CORE_CONFIG_FIELDS_H
#define GODWITVALE_CORE_CONFIG_FIELDS_H

#include "godwitvale/core/config_finding.h"
#include "godwitvale/core/deployment_defs.h"

void config_compare_fields(struct config_findings *findings,
    const struct config_place *place, const char *name, const void *before,
    const void *after);

#endif
