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
uint64_t resumption_find_only_version(const struct resumption *resumption,
    uint64_t service, usec_t since, bool *has_several);
void resumption_note_entry(
    struct resumption *resumption, const struct upstream_entry *entry);
void resumption_note_version(struct resumption *resumption, uint64_t service,
    uint64_t version_key, usec_t seen_at);
void resumption_on_upstream_change(struct resumption *resumption,
    enum directory_change change, const struct upstream_record *record);

void resumption_doubt_upstream(
    struct resumption *resumption, const struct upstream_record *record);

void resumption_note_broken(struct entry_request *request);
bool resumption_is_needed(const struct entry_request *request);
void resumption_place_at_version(struct entry_request *request);
void resumption_note_placed(struct entry_request *request);
bool resumption_admits_event(struct entry_request *request);

#endif
