/*
 * The HTTP servers of an entry instance that aren't for callers: readiness for
 * balancers, snapshots for other instances, metrics and status for operators.
 */
#ifndef GODWITVALE_ENTRY_ADMIN_H
#define GODWITVALE_ENTRY_ADMIN_H

#include "godwitvale/entry/entry_defs.h"

bool admin_open(struct entry *entry, GError **error);
void admin_set_max_body(struct entry *entry, size_t max_body);
void admin_close(struct entry *entry);
bool admin_is_ready(const struct entry *entry);

#endif
