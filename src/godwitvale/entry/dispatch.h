/*
 * Chooses an upstream for each request. Tracks the health of the upstreams as
 * observed by this instance, and the load and retries that it sends. Collects
 * the inputs of the decisions in core/ and keeps their state.
 */
#ifndef GODWITVALE_ENTRY_DISPATCH_H
#define GODWITVALE_ENTRY_DISPATCH_H

#include "godwitvale/core/eligibility.h"
#include "godwitvale/core/engine_pace.h"
#include "godwitvale/core/fleet_outcomes.h"
#include "godwitvale/core/loads.h"
#include "godwitvale/core/membership.h"
#include "godwitvale/core/outlier.h"
#include "godwitvale/core/placement.h"
#include "godwitvale/core/rate_limits.h"
#include "godwitvale/core/upstream_notices.h"
#include "godwitvale/entry/entry_settings.h"
#include "godwitvale/fleet/peers.h"
#include "godwitvale/fleet/view.h"
#include "godwitvale/http/pool.h"

/// Maximum number of upstreams that one request can be sent to.
#define DISPATCH_TRIED_MAX 16

struct dispatch;

/// The upstream chosen for a request. Owns its strings.
struct dispatch_target {
	char *id;
	char *address;
	char *zone;
	uint64_t key;             /// hash of the id
	uint64_t incarnation_key; /// hash of the id and the incarnation
	uint64_t version_key;     /// hash of the service and software version
	double pause_risk;        /// as in struct place_candidate
	/// as in struct engine_admission_target; also set without an upstream
	double scarcity;
	double utilisation;    /// after the placement; 1: full
	bool is_cold;          /// it has just started
	int32_t unread_tokens; /// prompt tokens that it had to read before
};

/// A request to be placed.
struct dispatch_request {
	/// Configuration that holds where the one in force doesn't have the
	/// service: that of a begun answer, which still needs it. NULL: none.
	const struct deployment *deployment;
	const char *service;
	struct place_request place;
	usec_t target_gap; /// longest time between two events; 0: no target
	const char *zone;  /// zone to prefer; NULL: the zone of this instance
	const uint64_t *tried; /// hashes of upstream ids to be excluded
	unsigned n_tried;
	/// only upstreams of a version may take it: a stream goes on
	bool needs_version;
	uint64_t version_key; /// that version; 0: unknown, so none may
	bool may_repeat;      /// it may run more than once
	usec_t target_latency;
	usec_t target_at; /// time until which it can meet that
	bool has_waited;  /// it has waited for capacity
	/// share of an engine that its organisation leaves free for others
	double organisation_headroom;
	/* Set by dispatch_place(). */
	double scarcity;  /// as in struct engine_admission_target
	bool needs_round; /// each engine is considered in some rounds only
};

/// The result of a request.
struct dispatch_result {
	enum outlier_result result;
	uint64_t fingerprint; /// of the request
};

/// How long a service counts as brittle after an upstream has said so.
#define DISPATCH_BRITTLE_SPAN (3 * USEC_PER_SEC)

/// Options of a dispatch. The objects are not owned by it.
struct dispatch_options {
	const struct entry_settings *settings;
	struct view *view;
	struct loads *loads;
	struct engine_pace *pace;
	struct rate_limits *rate_limits;
	struct upstream_notices *notices;
	struct pool *pool;
	struct membership *membership;
	struct fleet_outcomes *outcomes; /// NULL: this instance decides alone
	/// Called for a request to an upstream with a low limit, of which the
	/// other instances must be told at once.
	void (*turn_taken)(void *owner, const struct rate_limit_turn *turn);
	/// Called when the other instances must be told of an engine's speed.
	void (*pace_learnt)(void *owner);
	/// Called for a trial request to an upstream that the fleet has
	/// ejected, of which the other instances must be told at once.
	void (*trial_begun)(void *owner);
	/// Returns whether an upstream has started again since its entry was
	/// read, so that its software version isn't known.
	bool (*is_version_doubtful)(
	    void *owner, const struct upstream_record *record);
	void *owner; /// passed to the callbacks
};

struct dispatch *dispatch_new(const struct dispatch_options *options);
void dispatch_free(struct dispatch *dispatch);
void dispatch_on_upstream_change(struct dispatch *dispatch,
    enum directory_change change, const struct upstream_record *record);
enum place_outcome dispatch_place(struct dispatch *dispatch,
    const struct dispatch_request *request, struct dispatch_target *target);
struct eligibility dispatch_find_earliest(
    struct dispatch *dispatch, const struct dispatch_request *request);
void dispatch_set_pause(struct dispatch *dispatch,
    const struct dispatch_target *target, usec_t span);
void dispatch_target_clear(struct dispatch_target *target);
void dispatch_record_first_request(
    struct dispatch *dispatch, const char *service);
bool dispatch_has_retry_permit(struct dispatch *dispatch, const char *service);
bool dispatch_take_retry_permit(struct dispatch *dispatch, const char *service);
void dispatch_record_result(struct dispatch *dispatch,
    const struct dispatch_target *target, const struct dispatch_result *result);
void dispatch_tick(struct dispatch *dispatch, usec_t now);
void dispatch_set_full(struct dispatch *dispatch,
    const struct dispatch_target *target, const char *service);
void dispatch_set_no_place(struct dispatch *dispatch,
    const struct dispatch_target *target, int32_t tokens);
void dispatch_set_misdirected(
    struct dispatch *dispatch, const struct dispatch_target *target);
uint64_t dispatch_incarnation_key(
    const struct dispatch *dispatch, const char *id);
const struct upstream_record *dispatch_find_incarnation(
    const struct dispatch *dispatch, uint64_t incarnation_key);
enum rate_limit_change dispatch_set_limit(struct dispatch *dispatch,
    const struct dispatch_target *target, double rate);
void dispatch_log_limit_change(struct dispatch *dispatch,
    enum rate_limit_change change, const struct rate_limit_statement *statement,
    const char *source);
bool dispatch_set_brittle(
    struct dispatch *dispatch, uint64_t service, usec_t left);
size_t dispatch_list_brittle(
    const struct dispatch *dispatch, struct peers_brittle *brittle, size_t max);
struct eligibility dispatch_check_send(const struct dispatch *dispatch,
    const struct dispatch_target *target, enum send_path path);
bool dispatch_is_leaving(
    const struct dispatch *dispatch, const struct dispatch_target *target);
size_t dispatch_list_unreachable(
    struct dispatch *dispatch, uint64_t *upstreams, size_t max);
void dispatch_set_suspect(struct dispatch *dispatch, uint64_t upstream);
void dispatch_record_event_interval(struct dispatch *dispatch,
    const char *service, const struct dispatch_target *target, usec_t previous,
    usec_t interval);
void dispatch_record_read(struct dispatch *dispatch, const char *service,
    const struct dispatch_target *target, int32_t tokens, usec_t span);
void dispatch_adjust_load(struct dispatch *dispatch,
    const struct dispatch_target *target, const struct load *load, int sign);
const char *dispatch_outcome_name(enum place_outcome outcome);

#endif
