/* Upstreams that leave: they get no new requests, and hand over the others. */
#ifndef GODWITVALE_ENTRY_DEPARTURES_H
#define GODWITVALE_ENTRY_DEPARTURES_H

#include "godwitvale/entry/entry_defs.h"

void departures_share(
    struct entry *entry, const struct upstream_record *record);
void departures_handle(struct entry *entry);
void departures_begin(struct entry *entry, const char *id, const char *address,
    const char *source);
void departures_note(struct entry *entry, const struct dispatch_target *target,
    const char *source);

#endif
