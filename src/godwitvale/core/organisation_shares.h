/*
 * Shares of scarce engine memory by organisation.
 *
 * Load pattern: 24 organisations use the same engines, and one of them sends a
 * burst that fills all of their memory. The requests of the others then wait
 * until the generations of the large one end, and each place that becomes free
 * goes to the longest queue again.
 *
 * Each instance adds up the tokens that organisations hold at a service's
 * engines: its own and those that the other instances (peers) report while the
 * engines are nearly full. The fair share of an organisation is the memory
 * divided, by max-min fairness, among those that hold some or want more. One
 * that holds more than its share must leave a part of each engine free for the
 * others, its headroom, which grows with the distance from its share. Nobody
 * has a headroom while the engines have free memory, or while no other
 * organisation wants what is held. All organisations have the same weight.
 */
#ifndef GODWITVALE_CORE_ORGANISATION_SHARES_H
#define GODWITVALE_CORE_ORGANISATION_SHARES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Maximum number of organisations and services in one report.
#define ORGANISATION_SHARES_REPORTS_MAX 8
#define ORGANISATION_SHARES_SERVICES_MAX 2
/// Utilisation of a service's engines above which organisations are reported
/// and may be limited. Where a request takes a third of an engine's memory, two
/// of them must not count as scarcity.
#define ORGANISATION_SHARES_THRESHOLD 0.75
/// A report of another instance counts for this long.
#define ORGANISATION_SHARES_REPORT_TTL (6 * USEC_PER_SEC)
/// Shortest time between two reports of an instance.
#define ORGANISATION_SHARES_REPORT_INTERVAL (2 * USEC_PER_SEC)
/// Reports of all instances together in a second. With 160 bytes each they stay
/// under 3 KB a second at every instance. In a fleet that has too many
/// instances for the shortest interval, the reports of the last seconds are a
/// sample.
#define ORGANISATION_SHARES_FLEET_RATE 16

/// The engines of a service, as this instance knows them.
struct organisation_shares_load {
	uint64_t service;     /// hash of its name
	int64_t capacity;     /// memory of the engines in service, in tokens
	int64_t used;         /// tokens that all instances hold there
	double utilisation;   /// of memory or slots, whichever is scarcer
	unsigned n_instances; /// live instances, including this one
};

/// What an instance reports of an organisation.
struct organisation_report {
	uint64_t service;
	uint64_t organisation; /// hash of its name
	uint32_t tokens;       /// that the organisation holds by the sender
	bool wants;            /// it has waiting requests
};

/// The sender and number of a report.
struct organisation_report_source {
	uint64_t sender;      /// hash of its name
	uint64_t incarnation; /// of the sender
	uint32_t number;      /// counted by the sender
};

/// State of an organisation at a service, for operators.
struct organisation_state {
	uint64_t service;
	uint64_t organisation;
	int64_t held;     /// tokens, by all instances
	int64_t share;    /// tokens
	double headroom;  /// share of each engine that it must leave free
	bool is_limited;  /// it holds more than its share of scarce memory
	bool is_estimate; /// there are no reports; from own figures alone
};

struct organisation_shares;

struct organisation_shares *organisation_shares_new(uint64_t own);
void organisation_shares_free(struct organisation_shares *shares);
void organisation_shares_charge(struct organisation_shares *shares,
    uint64_t service, uint64_t organisation, int32_t tokens);
void organisation_shares_begin_wait(struct organisation_shares *shares,
    uint64_t service, uint64_t organisation);
void organisation_shares_end_wait(struct organisation_shares *shares,
    usec_t now, uint64_t service, uint64_t organisation);
void organisation_shares_set_load(struct organisation_shares *shares,
    usec_t now, const struct organisation_shares_load *load);
bool organisation_shares_hear(struct organisation_shares *shares, usec_t now,
    const struct organisation_report_source *source,
    const struct organisation_report *reports, size_t n_reports);
void organisation_shares_remove_peer(
    struct organisation_shares *shares, uint64_t peer);
size_t organisation_shares_tick(struct organisation_shares *shares, usec_t now,
    struct organisation_state *changes, size_t max);
double organisation_shares_headroom(const struct organisation_shares *shares,
    usec_t now, uint64_t service, uint64_t organisation);
bool organisation_shares_is_due(
    const struct organisation_shares *shares, usec_t now);
size_t organisation_shares_list(struct organisation_shares *shares, usec_t now,
    struct organisation_report *reports, uint32_t *number);
size_t organisation_shares_list_states(const struct organisation_shares *shares,
    struct organisation_state *states, size_t max);
unsigned organisation_shares_count_limited(
    const struct organisation_shares *shares);
unsigned organisation_shares_count_reporting(
    const struct organisation_shares *shares);

#endif
