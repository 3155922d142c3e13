/*
 * Software versions of streams: a stream goes on only at upstreams of the
 * version that began it, at this instance and at any other to which its caller
 * comes to take it up.
 */
#ifndef GODWITVALE_ENTRY_RESUMPTION_H
#define GODWITVALE_ENTRY_RESUMPTION_H

#include "godwitvale/entry/entry_defs.h"

struct entry_request;

struct resumption *resumption_new(struct entry *entry);
void resumption_free(struct resumption *resumption);
void resumption_tick(struct resumption *resumption, usec_t now);
struct stream_versions *resumption_versions(
    const struct resumption *resumption);
bool resumption_has_several_versions(
    struct resumption *resumption, uint64_t service);
void resumption_on_answer(struct resumption *resumption, uint64_t stream,
    uint64_t instance, bool several_versions);
void resumption_on_upstream_change(struct resumption *resumption,
    enum directory_change change, const struct upstream_record *record);

void resumption_doubt_upstream(
    struct resumption *resumption, const struct upstream_record *record);

bool resumption_is_needed(const struct entry_request *request);
void resumption_start(struct entry_request *request);
void resumption_place_at_version(struct entry_request *request);
void resumption_advance(struct entry_request *request);
usec_t resumption_wake_time(const struct entry_request *request);
void resumption_clear(struct entry_request *request);
void resumption_note_placed(struct entry_request *request);
bool resumption_admits_event(struct entry_request *request);

#endif
