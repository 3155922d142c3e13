/*
 * Search for the software version of a stream that a caller takes up: asks the
 * other instances, and the store if nobody remembers the stream.
 */
#ifndef GODWITVALE_ENTRY_STREAM_LOOKUP_H
#define GODWITVALE_ENTRY_STREAM_LOOKUP_H

#include "godwitvale/entry/entry_defs.h"

struct entry_request;
struct stream_lookups;

struct stream_lookups *stream_lookups_new(struct entry *entry);
void stream_lookups_free(struct stream_lookups *lookups);
void stream_lookups_note_limit(const struct entry_request *request);
void stream_lookups_testify(const struct stream_lookups *lookups,
    uint64_t service, usec_t span, struct version_witness *witness);
void stream_lookups_on_answer(struct stream_lookups *lookups, uint64_t stream,
    uint64_t instance, const struct version_witness *witness);

void stream_lookup_start(struct entry_request *request);
void stream_lookup_advance(struct entry_request *request);
usec_t stream_lookup_wake_time(const struct entry_request *request);
void stream_lookup_clear(struct entry_request *request);

#endif
