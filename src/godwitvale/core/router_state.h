/*
 * Internal state of the router: the tables and functions that its source files
 * share. Embedders must not include this header.
 */
#ifndef GODWITVALE_CORE_ROUTER_STATE_H
#define GODWITVALE_CORE_ROUTER_STATE_H

#include "godwitvale/core/retry_budget.h"
#include "godwitvale/core/estimate.h"
#include "godwitvale/core/fairqueue.h"
#include "godwitvale/core/handle_table.h"
#include "godwitvale/core/prefix.h"
#include "godwitvale/core/router_defs.h"
#include "godwitvale/core/warmup.h"

/// Horizons for which the router projects memory use, in tokens that each
/// running request generates from now on.
#define ROUTER_HORIZONS 6
extern const uint32_t router_horizons[ROUTER_HORIZONS];

/// Maximum number of entries for workload classes in a service's statistics.
#define ROUTER_CLASSES_MAX 16

/// Expected memory use at each horizon, in tokens, and its variance, in squared
/// tokens.
struct memory_profile {
	double mean[ROUTER_HORIZONS];
	double variance[ROUTER_HORIZONS];
};

enum slot_state {
	SLOT_FREE = 0,
	SLOT_REQUESTED,
	SLOT_IN_USE,
	SLOT_RETAINED, /// the slot's request failed, but may still be running
};

/// A slot whose lease is retained after the attempt to send a request with it
/// has failed.
struct retained_slot {
	router_request request;
	router_upstream upstream;
	uint32_t slot;
	bool may_have_run; /// false if the request is known not to have run
	/// n_restarts of the upstream when the request was placed there
	unsigned restarts_at_send;
	/// load reports sampled from this time on count the request if it runs
	usec_t visible_from;
};

/// This instance's state of one slot of an upstream.
struct slot {
	enum slot_state state;
	usec_t not_before; /// earliest time of the next request for this slot
};

/// Statistics of the requests of one workload class of a service.
struct class_statistics {
	uint32_t class_id;
	struct estimate_series *series; /// output lengths of the class
	double submitted; /// submitted requests, exponentially decaying count
};

struct service {
	uint32_t id;
	enum upstream_kind kind;
	struct fairqueue *queue;
	GPtrArray *upstreams;  /// struct upstream, in or out of service
	unsigned n_in_service; /// number of upstreams in service
	/// the upstreams that are in service and in this instance's subset
	GPtrArray *candidates;
	GSequence *by_pressure; /// the candidates, lowest pressure first
	unsigned next_index; /// next index in `candidates`, for the baselines
	unsigned n_slots_requested; /// pending slot requests of all upstreams
	uint64_t max_memory;        /// memory of the largest engine, in tokens

	struct class_statistics classes[ROUTER_CLASSES_MAX];
	unsigned n_classes;
	/// output lengths of all classes, used until `classes` has an entry
	struct estimate_series *series;
	double mean_prompt; /// mean prompt length of sent requests, in tokens
	/// means: fraction of the memory of running requests that belongs to
	/// requests still running at the horizon; variances: variance of the
	/// memory of one such request, in squared tokens
	struct memory_profile retention;
	/// means: tokens that a running request has added by the horizon, on
	/// average over all running requests; variances: unused
	struct memory_profile growth;
	/// means: memory of a request that has just been sent, in tokens;
	/// variances: mean square of this memory
	struct memory_profile new_request;
	usec_t population_due_at;  /// next update of `retention` and `growth`
	double send_rate;          /// sends of this instance per second
	double sends_since_update; /// sends since the last update of send_rate
};

struct upstream {
	router_upstream handle;
	struct router_upstream_options options;
	struct service *service;
	/// rendezvous hash of this instance and the upstream; the upstreams
	/// with the lowest ranks form this instance's subset
	uint64_t rank;
	bool in_service;
	bool is_candidate; /// the upstream is in the service's `candidates`
	struct warmup warmup;
	/// number of detected restarts; a SEND from before a restart is
	/// withdrawn
	unsigned n_restarts;
	bool was_cold; /// state at the last router_notify_upstream_cold()
	bool has_report;
	struct router_load_report report; /// newest report
	usec_t sampled_at;                /// estimated sample time of `report`
	/// earliest start time of the upstream that the reports of the current
	/// window and of the previous window imply
	usec_t earliest_start[2];
	usec_t start_window_end; /// end of the current window
	/// number of instances whose turn at the free capacity shown in
	/// `report` comes before the turn of this instance
	unsigned instances_ahead;
	/// weight of turn taking in the projection, from 0 (ample capacity) to
	/// 1 (scarce capacity)
	double turn_weight;
	/// requests that this instance has sent here since sampled_at
	unsigned sent_since_sample;
	/// the router ignores reports that were requested before this time
	usec_t ignore_reports_before;
	double other_requests; /// requests of other instances in `report`
	double other_tokens;   /// memory of these requests, in tokens
	/// struct request: requests of this instance that are placed here
	GQueue own_requests;
	struct memory_profile own_memory; /// memory use of own_requests
	GSequenceIter *pressure_iter; /// position in the service's by_pressure
	double pressure;    /// projected load as a fraction of the capacity
	struct slot *slots; /// array of max_running elements
	unsigned n_slots_requested; /// pending slot requests here
};

enum request_state {
	REQUEST_QUEUED = 1,
	REQUEST_DELAYED, /// the request waits for its next attempt to be due
	REQUEST_SENDING, /// the request's SEND is in the outbox
	REQUEST_RUNNING,
	REQUEST_FAILED, /// the attempt failed; router_retry() decides next
};

struct request {
	router_request handle;
	struct router_request_options options;
	enum request_state state;
	struct service *service;
	/// output lengths of the requests with the same organisation, service
	/// and class
	struct estimate_series *series;
	struct upstream *upstream; /// where the request is placed, or NULL
	/// n_restarts of the upstream when the request was placed there
	unsigned restarts_at_send;
	GList own_link; /// element of the upstream's own_requests
	usec_t sent_at;
	usec_t submitted_at;
	/// start of the span that ends at start_deadline: submission, or the
	/// last failure of an attempt that may have run
	usec_t deadline_base;
	unsigned retries;            /// retries so far
	usec_t not_before;           /// earliest time of the next attempt
	GSequenceIter *delayed_iter; /// position in the router's `delayed`
	uint32_t generated_tokens;   /// tokens generated by the current attempt
	double charged_cost; /// cost for which the organisation is charged
	bool has_slot;       /// the request was sent with a slot lease
	uint32_t slot;       /// slot number; valid if has_slot
	struct memory_profile memory; /// projected memory use of the request
};

struct router {
	struct router_options options;
	bool has_instance_index;
	unsigned instance_index; /// position in the sorted list of instances
	usec_t now;              /// time of the current call into the router
	struct handle_table *requests;
	struct handle_table *upstreams;
	GHashTable *all_requests;  /// owns each struct request
	GHashTable *all_upstreams; /// owns each struct upstream
	GHashTable *services;      /// id -> struct service
	struct estimate *estimate;
	struct prefix_index *prefix;
	struct retry_budget *budget;
	GSequence *delayed;    /// struct request by not_before
	GQueue outbox;         /// struct router_action for the embedder
	GQueue retained_slots; /// struct retained_slot
	usec_t tick_at;        /// time of the next router_tick()
	/// memory kept free above the projected mean use of an engine, in
	/// standard deviations of the projection
	double headroom_deviations;
	usec_t statistics_due_at; /// next update of the service statistics
	usec_t statistics_updated_at;
};

/// Checks whether the router's policy projects the memory use of engines; the
/// benchmark baselines do not.
///
/// @return true for the memory policies
static inline bool
router_projects_memory(const struct router *router)
{
	return router->options.policy == ROUTER_POLICY_MEMORY ||
	    router->options.policy == ROUTER_POLICY_MEMORY_MEAN;
}

/// Estimates the number of instances that send to one upstream of a service:
/// all instances, or a proportional share of them if each instance considers
/// only a subset of the upstreams.
///
/// @param service  service of the upstream
/// @return number of instances including this one, 1 or more
static inline unsigned
router_count_senders(const struct router *router, const struct service *service)
{
	unsigned n_candidates = service->candidates->len;
	unsigned n_upstreams = MAX(service->n_in_service, 1);
	unsigned n_senders =
	    (router->options.n_instances * n_candidates + n_upstreams - 1) /
	    n_upstreams;

	return MAX(n_senders, 1);
}

/* router_pressure.c */
void router_project_request_memory(
    const struct request *request, struct memory_profile *memory);
void router_add_memory_profile(struct memory_profile *sum,
    const struct memory_profile *memory, double sign);
double router_compute_pressure(const struct router *router,
    const struct upstream *upstream, const struct request *extra);
bool router_request_fits(const struct router *router,
    const struct upstream *upstream, const struct request *request,
    double *pressure);
void router_update_own_memory(struct upstream *upstream);
void router_apply_report(struct router *router, struct upstream *upstream,
    const struct router_load_report *report);
void router_reset_start_time(struct upstream *upstream);
usec_t router_estimate_sample_time(const struct router *router,
    struct upstream *upstream, const struct router_load_report *report);

/* router_statistics.c */
void router_count_submission(
    struct router *router, struct service *service, uint32_t class_id);
void router_update_statistics(struct router *router, struct service *service);

/* router_place.c */
struct upstream *router_choose_upstream(
    struct router *router, struct request *request);
void router_place_request(
    struct router *router, struct request *request, struct upstream *upstream);
void router_detach_request(struct router *router, struct request *request);
void router_update_pressure(struct router *router, struct upstream *upstream);
void router_update_candidates(struct router *router, struct service *service);
void router_notify_upstream_cold(
    struct router *router, struct upstream *upstream);

/* router_slot.c */
void router_request_slots(struct router *router, struct service *service);
void router_release_slot(struct router *router, struct request *request);
void router_retain_slot(struct router *router, struct request *request);
void router_mark_request_not_run(
    struct router *router, const struct request *request);
void router_release_retained_slots(struct router *router);

/* router_queue.c */
void router_enqueue_request(struct router *router, struct request *request);
void router_delay_request(
    struct router *router, struct request *request, usec_t not_before);
void router_requeue_due_requests(struct router *router);
void router_dispatch_requests(struct router *router, struct service *service);
void router_dispatch_all_services(struct router *router);
void router_refuse_request(struct router *router, struct request *request,
    enum router_refusal refusal);
void router_refuse_late_requests(
    struct router *router, struct service *service);
bool router_refuse_request_if_late(
    struct router *router, struct request *request);
void router_free_request(struct router *router, struct request *request);
void router_push_action(
    struct router *router, const struct router_action *action);

#endif
