/*
 * Finds out whether an upstream that has cut a request's connection has
 * crashed, by a query to it, and passes the crash to the guards.
 */
#ifndef GODWITVALE_ENTRY_CRASH_PROBE_H
#define GODWITVALE_ENTRY_CRASH_PROBE_H

#include "godwitvale/entry/entry_request_defs.h"

/// A request whose connection an upstream has cut, as it was then.
struct crash_report {
	char *request_id;
	char *upstream;        /// id of the upstream
	uint64_t upstream_key; /// hash of that id
	usec_t sent_at;
	usec_t cut_at;
	uint64_t fingerprint;
	uint64_t segments[SITE_SEGMENTS_MAX];
	unsigned n_segments;
	bool is_generation;
	bool began; /// the head of an answer had arrived
	bool had_event;
	/// of this instance's requests there, it was the next to be answered
	bool was_next;
	bool
	    was_down; /// the upstream had failed before, and not answered since
};

struct crash_probes;

struct crash_probes *crash_probes_new(struct entry *entry);
void crash_probes_free(struct crash_probes *probes);
void crash_probes_tick(struct crash_probes *probes, usec_t now);
void crash_probes_note_round_trip(struct entry *entry, usec_t sent_at);
void crash_probes_note_cut(struct entry_request *request, bool was_down);

#endif
