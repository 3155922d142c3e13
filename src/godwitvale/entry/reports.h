/*
 * Reports of the engines that run this instance's generations: when one that
 * leaves will be gone, and who leaves while the store can't tell.
 */
#ifndef GODWITVALE_ENTRY_REPORTS_H
#define GODWITVALE_ENTRY_REPORTS_H

#include "godwitvale/entry/entry_defs.h"

struct reports;

struct reports *reports_new(struct entry *entry);
void reports_free(struct reports *reports);
void reports_ask_later(
    struct reports *reports, const char *id, const char *address);
void reports_tick(struct reports *reports, usec_t now);

#endif
