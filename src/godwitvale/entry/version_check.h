/*
 * Finds engines that were born again although the store doesn't tell: by their
 * reports, which name their start. An engine counts as confirmed from a report
 * that names the start in the directory for as long as connections to it have
 * followed one another without a gap, as the end of a process ends them all.
 *
 * A stream goes on at an engine only if it is confirmed, and while the view of
 * the upstreams is old only after a report. One that is broken off goes on
 * elsewhere only if its engine was confirmed while it ran.
 */
#ifndef GODWITVALE_ENTRY_VERSION_CHECK_H
#define GODWITVALE_ENTRY_VERSION_CHECK_H

#include "godwitvale/entry/entry_request_defs.h"

struct version_checks;

struct version_checks *version_checks_new(struct entry *entry);
void version_checks_free(struct version_checks *checks);
void version_checks_note_report(struct version_checks *checks, const char *id,
    const struct site_report *report, usec_t asked_at);
void version_checks_forget(struct version_checks *checks, uint64_t key);
bool version_checks_is_doubtful(
    const struct version_checks *checks, const struct upstream_record *record);

void version_check_note_sent(struct entry_request *request);
void version_check_note_cut(struct entry_request *request);
bool version_check_is_asked_for(const struct entry_request *request);
bool version_check_is_open(const struct entry_request *request);
bool version_check_is_needed(const struct entry_request *request);
void version_check_start(struct entry_request *request);
void version_check_cancel(struct entry_request *request);

#endif
