/*
 * Compares a configuration with the one in force, and tells what each
 * difference does to requests that are running.
 */
#ifndef GODWITVALE_CORE_CONFIG_COMPARE_H
#define GODWITVALE_CORE_CONFIG_COMPARE_H

#include "godwitvale/core/config_finding.h"
#include "godwitvale/core/deployment_defs.h"

void config_compare(const struct deployment *in_force,
    const struct deployment *deployment, struct config_findings *findings);

#endif
