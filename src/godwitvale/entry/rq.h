/* Requests of callers, from the first byte to the final answer. */
#ifndef GODWITVALE_ENTRY_RQ_H
#define GODWITVALE_ENTRY_RQ_H

#include "godwitvale/entry/entry_defs.h"

void rq_begin(struct entry *entry, struct http_call *call);
unsigned rq_upstream_leaves(
    struct entry *entry, const char *id, usec_t leaves_at);
GHashTable *rq_engines(struct entry *entry, bool held_only);
void rq_run_waiting(struct entry *entry);
void rq_abort_all(struct entry *entry);

#endif
