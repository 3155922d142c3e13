/*
 * The authority part: whether this instance may take new work under the
 * bundle it has. Pure: takes the time and an event, says what to do.
 *
 * A bundle is accepted once its version stands in a register that a majority
 * of voters keeps (QUORUM_VERSION). New work is taken only while the last
 * read of that register, counted from when it was asked for, is fresh and
 * named no newer version.
 */
#ifndef GODWITVALE_CORE_AUTHORITY_H
#define GODWITVALE_CORE_AUTHORITY_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// What the embedder is to do.
enum authority_step {
	AUTHORITY_NOTHING = 0,
	AUTHORITY_READ,  /// read the register
	AUTHORITY_FETCH, /// fetch a newer bundle from a peer
};

/// How it is built. Spans in microseconds.
struct authority_options {
	usec_t freshness;     /// a read counts for this long
	usec_t read_interval; /// between reads
};

/// State of one instance; embedded by value.
struct authority {
	struct authority_options options;
	uint64_t version; /// of the bundle in force; 0: none
	usec_t read_due;
	usec_t asked_at; /// of the read that is open
	bool reading;
	bool register_seen; /// a majority has answered once in this life
	bool peer_read;     /// the same of a peer that was heard
	usec_t valid_until; /// new work may be taken before this
};

void authority_init(
    struct authority *authority, const struct authority_options *options);
bool authority_offer(struct authority *authority, uint64_t version);
enum authority_step authority_tick(struct authority *authority, usec_t now);
enum authority_step authority_take_read(
    struct authority *authority, uint64_t version);
void authority_take_isolation(struct authority *authority);
void authority_note_peer_read(struct authority *authority);
void authority_take_peers(struct authority *authority, usec_t now,
    unsigned listed, unsigned answered, uint64_t highest);
bool authority_may_admit(const struct authority *authority, usec_t now);

#endif
