/*
 * Decides whether this instance may admit new work under its bundle in force
 * (the signed configuration that the instance applied last). Work must not be
 * admitted under a bundle that operators have already replaced.
 *
 * The version of the fleet's newest bundle is stored in a version register,
 * which a majority of voters keeps (see QUORUM_VERSION). New work is admitted
 * only while the last read of this register is fresh, counted from the start
 * of the read, and returned no newer version.
 *
 * This module performs no I/O: its functions take the time and an event, and
 * return what the embedding program must do next.
 */
#ifndef GODWITVALE_CORE_BUNDLE_FRESHNESS_H
#define GODWITVALE_CORE_BUNDLE_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// What the embedding program must do next.
enum bundle_freshness_step {
	BUNDLE_FRESHNESS_NOTHING = 0,
	BUNDLE_FRESHNESS_READ_REGISTER, /// read the version register
	BUNDLE_FRESHNESS_FETCH_BUNDLE,  /// fetch a newer bundle from a peer
};

/// Options of the freshness check. Times are in microseconds.
struct bundle_freshness_options {
	usec_t read_validity; /// time for which a read of the register is valid
	usec_t read_interval; /// time between the starts of two reads
};

/// Freshness of the bundle of one instance; to be embedded by value.
struct bundle_freshness {
	struct bundle_freshness_options options;
	uint64_t version; /// version of the bundle in force; 0: no bundle
	usec_t next_read_at;
	usec_t read_started_at; /// start of the last read of the register
	bool read_in_progress;
	bool register_was_read;  /// a majority of voters answered a read
	bool peer_read_register; /// a peer reported a successful read
	usec_t valid_until;      /// new work may be admitted before this time
};

void bundle_freshness_init(struct bundle_freshness *freshness,
    const struct bundle_freshness_options *options);
bool bundle_freshness_advance_version(
    struct bundle_freshness *freshness, uint64_t version);
enum bundle_freshness_step bundle_freshness_tick(
    struct bundle_freshness *freshness, usec_t now);
enum bundle_freshness_step bundle_freshness_handle_read(
    struct bundle_freshness *freshness, uint64_t version);
void bundle_freshness_handle_read_failure(struct bundle_freshness *freshness);
void bundle_freshness_record_peer_read(struct bundle_freshness *freshness);
void bundle_freshness_handle_peer_versions(struct bundle_freshness *freshness,
    usec_t now, unsigned n_listed, unsigned n_answered,
    uint64_t highest_version);
bool bundle_freshness_may_admit(
    const struct bundle_freshness *freshness, usec_t now);

#endif
