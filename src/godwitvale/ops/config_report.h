/* Prints the findings of the check of a configuration, as text or JSON. */
#ifndef GODWITVALE_OPS_CONFIG_REPORT_H
#define GODWITVALE_OPS_CONFIG_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/config_finding.h"

/// What is reported besides the findings.
struct config_report {
	const char *file;          /// name of the checked file
	const char *in_force_file; /// NULL: there is none
	uint64_t version; /// of the checked configuration; 0: it can't be read
	struct config_findings *findings;
	/// Returns the path of a place; the caller frees it.
	char *(*config_path)(const struct config_place *place);
};

GString *config_report_text(const struct config_report *report);
GString *config_report_json(const struct config_report *report);

#endif
