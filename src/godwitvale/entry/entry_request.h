/*
 * Requests of callers: accepts, places and sends them, and ends each of them
 * with exactly one final answer.
 */
#ifndef GODWITVALE_ENTRY_ENTRY_REQUEST_H
#define GODWITVALE_ENTRY_ENTRY_REQUEST_H

#include "godwitvale/entry/entry_defs.h"

struct forward_request;

void entry_request_start(struct entry *entry, struct http_call *call);
void entry_request_start_forwarded(struct entry *entry, struct http_call *call,
    const struct forward_request *fields, const char *objection);
unsigned entry_request_handle_leaving_upstream(
    struct entry *entry, const char *id, usec_t leaves_at);
void entry_request_check_copy_targets(struct entry *entry);
GHashTable *entry_request_list_engines(struct entry *entry, bool held_only);
void entry_request_place_waiting(struct entry *entry);
void entry_request_place_begun(struct entry *entry);
void entry_request_abort_all(struct entry *entry);

#endif
