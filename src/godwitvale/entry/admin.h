/* What an entry instance serves beside callers: readiness, other instances'
 * questions, counters. */
#ifndef GODWITVALE_ENTRY_ADMIN_H
#define GODWITVALE_ENTRY_ADMIN_H

#include "godwitvale/entry/entry_defs.h"

bool admin_open(struct entry *entry, GError **error);
void admin_close(struct entry *entry);
bool admin_is_ready(const struct entry *entry);

#endif
