/*
 * Runs an entry instance on a site: one process with one main loop and one
 * thread.
 */
#ifndef GODWITVALE_ENTRY_ENTRY_H
#define GODWITVALE_ENTRY_ENTRY_H

#include "godwitvale/entry/entry_defs.h"

int entry_run(const char *settings_path, const struct site *site);
void entry_schedule_placement(struct entry *entry);
void entry_schedule_update(struct entry *entry);

#endif
