/*
 * Shutdown of an entry instance after SIGTERM: which requests are still sent,
 * and when the process ends.
 */
#ifndef GODWITVALE_ENTRY_SHUTDOWN_H
#define GODWITVALE_ENTRY_SHUTDOWN_H

#include "godwitvale/entry/entry_defs.h"

struct entry_request;

void shutdown_begin(struct entry *entry, usec_t not_before);
void shutdown_tick(struct entry *entry, usec_t now);
bool shutdown_refuse_if_late(struct entry_request *request);

#endif
