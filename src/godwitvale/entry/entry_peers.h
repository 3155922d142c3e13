/* What an entry instance tells other instances, and what it does with theirs.
 */
#ifndef GODWITVALE_ENTRY_ENTRY_PEERS_H
#define GODWITVALE_ENTRY_ENTRY_PEERS_H

#include "godwitvale/entry/entry_defs.h"

bool entry_peers_open(struct entry *entry, GError **error);

#endif
