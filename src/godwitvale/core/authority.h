/*
 * Decides whether this instance may admit new work under its current bundle.
 * This module performs no I/O: its functions take the time and an event, and
 * return what the embedding program must do next.
 *
 * A bundle is accepted once its version is stored in a register that a
 * majority of voters keeps (QUORUM_VERSION). New work is admitted only while
 * the last read of that register is fresh, counted from the start of the read,
 * and returned no newer version.
 */
#ifndef GODWITVALE_CORE_AUTHORITY_H
#define GODWITVALE_CORE_AUTHORITY_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// What the embedding program must do next.
enum authority_step {
	AUTHORITY_NOTHING = 0,
	AUTHORITY_READ_REGISTER, /// read the version register
	AUTHORITY_FETCH_BUNDLE,  /// fetch a newer bundle from a peer
};

/// Options. Times are in microseconds.
struct authority_options {
	usec_t freshness;     /// time for which a read is valid
	usec_t read_interval; /// time between the starts of two reads
};

/// State of one instance, to be embedded by value.
struct authority {
	struct authority_options options;
	uint64_t version; /// version of the bundle in force; 0: no bundle
	usec_t next_read_at;
	usec_t read_started_at; /// start of the last read
	bool read_in_progress;
	bool register_was_read;  /// a majority has answered a read
	bool peer_read_register; /// a peer has read it
	usec_t valid_until;      /// new work may be admitted before this time
};

void authority_init(
    struct authority *authority, const struct authority_options *options);
bool authority_accept_bundle(struct authority *authority, uint64_t version);
enum authority_step authority_tick(struct authority *authority, usec_t now);
enum authority_step authority_handle_read(
    struct authority *authority, uint64_t version);
void authority_handle_read_failure(struct authority *authority);
void authority_record_peer_read(struct authority *authority);
void authority_handle_peer_versions(struct authority *authority, usec_t now,
    unsigned listed, unsigned answered, uint64_t highest);
bool authority_may_admit(const struct authority *authority, usec_t now);

#endif
