/*
 * Protects upstreams from requests that crash them: collects the evidence that
 * this instance observes, and refuses the requests in quarantine.
 * core/crash_suspects.c weighs the evidence.
 */
#ifndef GODWITVALE_ENTRY_REQUEST_GUARD_H
#define GODWITVALE_ENTRY_REQUEST_GUARD_H

#include "godwitvale/entry/crash_probe.h"

struct request_guard *request_guard_new(struct entry *entry);
void request_guard_free(struct request_guard *guard);
struct crash_suspects *request_guard_suspects(struct request_guard *guard);
bool request_guard_admits(struct entry_request *request);
void request_guard_note_sent(struct entry_request *request);
bool request_guard_note_failed(const struct entry_request *request);
void request_guard_note_alive(const struct entry_request *request);
void request_guard_note_answered(struct entry_request *request);
void request_guard_forget_upstream(struct request_guard *guard, uint64_t key);
void request_guard_add_crash(
    struct request_guard *guard, const struct crash_report *report);
void request_guard_tick(struct request_guard *guard, usec_t now);

#endif
