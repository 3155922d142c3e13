/*
 * Queries the reports of the engines that run this instance's generations. A
 * report says when a leaving engine will be gone. While the store can't be
 * read, reports also show which engines are leaving.
 */
#ifndef GODWITVALE_ENTRY_REPORTS_H
#define GODWITVALE_ENTRY_REPORTS_H

#include "godwitvale/entry/entry_defs.h"

struct reports;

struct reports *reports_new(struct entry *entry);
void reports_free(struct reports *reports);
void reports_schedule_query(
    struct reports *reports, const char *id, const char *address);
void reports_tick(struct reports *reports, usec_t now);

#endif
