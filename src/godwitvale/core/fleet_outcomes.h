/*
 * Outlier ejection for plain services by the evidence of all instances: each
 * one tells the others the recent results of its own requests, and decides on
 * the sum.
 *
 * Load pattern: one of three upstreams fails every request for some seconds
 * while its health check passes. With 85 instances and about one request a
 * second at each, a single instance needs seconds to notice. Errors that
 * healthy upstreams return (4 % and 14 %, by kind of request) eject nobody, nor
 * do failures that only one instance sees because its links are broken, nor
 * failures of all upstreams of a service.
 *
 * The test is a cumulative sum (CUSUM) of log-likelihood ratios over slots of
 * time: it compares the share of errors of the service's best other upstream
 * with that of an upstream that fails nearly everything, and forgets results
 * from before the failure began. As failures are told at once and served
 * requests only where they matter, the newest slot is left out until the served
 * requests of others have come.
 *
 * An ejected upstream gets one trial request at a time of the whole fleet. The
 * instances take turns in sending it. One that is served ends the ejection.
 */
#ifndef GODWITVALE_CORE_FLEET_OUTCOMES_H
#define GODWITVALE_CORE_FLEET_OUTCOMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/core/membership.h"
#include "godwitvale/core/outlier.h"
#include "godwitvale/core/time_defs.h"

/// Maximum number of upstreams in one message.
#define FLEET_OUTCOMES_UPSTREAMS_MAX 64
/// Resolution of the times of served requests.
#define FLEET_OUTCOMES_SLOT (125 * USEC_PER_MSEC)
/// Number of slots that are kept; older results count no more.
#define FLEET_OUTCOMES_SLOTS 64
/// Age from which on a result counts no more.
#define FLEET_OUTCOMES_WINDOW (FLEET_OUTCOMES_SLOTS * FLEET_OUTCOMES_SLOT)
/// Failures that an instance keeps for each upstream, the newest ones.
#define FLEET_OUTCOMES_FAILURES_MAX 12

/// One request that failed.
struct fleet_outcome_failure {
	usec_t at;
	enum outlier_result result; /// any but OUTLIER_SERVED
	uint64_t fingerprint;       /// of the request; 0: unknown
};

enum fleet_trial_state {
	FLEET_TRIAL_NONE = 0,
	FLEET_TRIAL_RUNNING,
	FLEET_TRIAL_SERVED,
	FLEET_TRIAL_FAILED,
};

/// The last trial request that an instance has sent to an upstream.
struct fleet_trial {
	enum fleet_trial_state state;
	uint32_t number; /// counts the instance's trials of the upstream
	usec_t at;       /// when it was sent
};

/// What one instance has seen of one upstream in FLEET_OUTCOMES_WINDOW.
struct fleet_outcome_report {
	uint64_t upstream; /// hash of its id and incarnation
	uint64_t service;  /// hash of its service's name
	/// requests served in each slot; element `slot` % FLEET_OUTCOMES_SLOTS
	uint8_t served[FLEET_OUTCOMES_SLOTS];
	int64_t newest_slot; /// time / FLEET_OUTCOMES_SLOT
	struct fleet_outcome_failure failures[FLEET_OUTCOMES_FAILURES_MAX];
	unsigned n_failures;
	struct fleet_trial trial;
};

/// Sender and number of a message.
struct fleet_outcome_source {
	uint64_t sender;      /// hash of the instance's name
	uint64_t incarnation; /// a higher one is of a later start
	uint64_t number;      /// counts the messages of the incarnation
};

/// Result of one request of this instance.
struct fleet_outcome_sample {
	uint64_t upstream; /// hash of its id and incarnation
	uint64_t service;  /// hash of its service's name
	uint64_t fingerprint;
	enum outlier_result result;
};

/// What an ejection is based on: results since the failures began.
struct fleet_outcome_evidence {
	unsigned n_served;
	unsigned n_errors;
	unsigned n_broken;
	unsigned n_unreachable;
	unsigned n_instances; /// that saw failures
};

enum fleet_outcome_event {
	FLEET_OUTCOME_EJECTED = 1,
	FLEET_OUTCOME_RETURNED, /// a trial request was served
	FLEET_OUTCOME_EXPIRED,  /// there is no evidence any more
};

/// An ejection or its end.
struct fleet_outcome_change {
	uint64_t upstream; /// hash of its id and incarnation
	usec_t span;       /// of the ejection; 0 when it begins
	struct fleet_outcome_evidence evidence; /// of the ejection
	enum fleet_outcome_event event;
};

struct fleet_outcomes;

struct fleet_outcomes *fleet_outcomes_new(uint64_t own);
void fleet_outcomes_free(struct fleet_outcomes *outcomes);
void fleet_outcomes_record(struct fleet_outcomes *outcomes, usec_t now,
    const struct fleet_outcome_sample *sample);
bool fleet_outcomes_hear(struct fleet_outcomes *outcomes, usec_t now,
    const struct fleet_outcome_source *source,
    const struct fleet_outcome_report *reports, size_t n_reports);
size_t fleet_outcomes_tick(struct fleet_outcomes *outcomes, usec_t now,
    struct fleet_outcome_change *changes, size_t max);
bool fleet_outcomes_has_news(const struct fleet_outcomes *outcomes);
bool fleet_outcomes_take_repeat(struct fleet_outcomes *outcomes);
size_t fleet_outcomes_list(struct fleet_outcomes *outcomes, usec_t now,
    struct fleet_outcome_report *reports, size_t max, uint64_t *number);
bool fleet_outcomes_has_ejected(const struct fleet_outcomes *outcomes);
bool fleet_outcomes_is_ejected(
    const struct fleet_outcomes *outcomes, uint64_t upstream);
bool fleet_outcomes_may_try(struct fleet_outcomes *outcomes, usec_t now,
    uint64_t upstream, const struct membership *membership);
void fleet_outcomes_begin_trial(
    struct fleet_outcomes *outcomes, usec_t now, uint64_t upstream);
unsigned fleet_outcomes_count_ejected(const struct fleet_outcomes *outcomes);

#endif
