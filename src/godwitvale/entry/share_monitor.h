/*
 * Counts the engine memory that organisations hold and want by this instance,
 * has it reported to others, and logs which organisations are limited.
 * core/organisation_shares.c decides.
 */
#ifndef GODWITVALE_ENTRY_SHARE_MONITOR_H
#define GODWITVALE_ENTRY_SHARE_MONITOR_H

#include "godwitvale/entry/entry_request_defs.h"

/// Organisations that the status names at most.
#define SHARE_MONITOR_STATES_MAX 32

uint64_t share_monitor_organisation_key(const struct entry_request *request);
void share_monitor_charge(const struct entry_request *request, int32_t tokens);
void share_monitor_begin_wait(const struct entry_request *request);
void share_monitor_end_wait(const struct entry_request *request);
double share_monitor_headroom(const struct entry_request *request);
void share_monitor_tick(struct entry *entry, usec_t now);
const char *share_monitor_find_organisation(
    const struct entry *entry, uint64_t key);
const char *share_monitor_find_service(const struct entry *entry, uint64_t key);

#endif
