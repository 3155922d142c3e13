/*
 * Checks one version of the configuration for what can never match or be
 * reached, and for limits and times that contradict each other.
 */
#ifndef GODWITVALE_CORE_CONFIG_CHECK_H
#define GODWITVALE_CORE_CONFIG_CHECK_H

#include "godwitvale/core/config_finding.h"
#include "godwitvale/core/deployment_defs.h"

/// What a configuration is checked against. Parts that are unknown aren't
/// checked.
struct config_surroundings {
	bool has_memory;           /// the next two are known
	unsigned memory_mb;        /// of a machine; 0: the smallest one's
	unsigned caller_memory_mb; /// replaces the derived bound; 0: it doesn't
	unsigned socket_memory_mb; /// the same for the kernel's buffers
	const GPtrArray *upstreams; /// struct upstream_entry *; NULL: unknown
	GHashTable *evacuated;      /// set of names of zones; NULL: none
};

void config_check(const struct deployment *deployment,
    const struct config_surroundings *surroundings,
    struct config_findings *findings);

#endif
