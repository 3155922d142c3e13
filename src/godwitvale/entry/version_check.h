/*
 * Finds engines that were born again although the store doesn't tell: by their
 * reports, which name their start. While the view of the upstreams is old, a
 * stream goes on at an engine only after its report has confirmed that it is
 * the process that the view describes, and so has that software version.
 */
#ifndef GODWITVALE_ENTRY_VERSION_CHECK_H
#define GODWITVALE_ENTRY_VERSION_CHECK_H

#include "godwitvale/entry/entry_request_defs.h"

struct version_checks;

struct version_checks *version_checks_new(struct entry *entry);
void version_checks_free(struct version_checks *checks);
void version_checks_note_report(struct version_checks *checks, const char *id,
    const struct site_report *report);
bool version_checks_is_doubtful(
    const struct version_checks *checks, const struct upstream_record *record);

bool version_check_is_needed(const struct entry_request *request);
void version_check_start(struct entry_request *request);
void version_check_cancel(struct entry_request *request);

#endif
