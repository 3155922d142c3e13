/*
 * Forwards requests to another instance while this one reaches no upstream of
 * their service, and serves the requests that others forward. See
 * docs/design/0008-forwarding.md.
 */
#ifndef GODWITVALE_ENTRY_FORWARDING_H
#define GODWITVALE_ENTRY_FORWARDING_H

#include "godwitvale/entry/entry_request_defs.h"

bool forwarding_is_needed(const struct entry_request *request);
bool forwarding_is_possible(const struct entry_request *request);
bool forwarding_start(struct entry_request *request);
void forwarding_handle_failure(
    struct entry_request *request, enum exchange_failure failure);
void forwarding_handle_silent_member(
    struct entry *entry, const struct member *member);
void forwarding_handle_started_member(
    struct entry *entry, const struct member *member);
bool forwarding_is_forwarded(const struct http_head *head);
void forwarding_accept(struct entry *entry, struct http_call *call);

#endif
