/*
 * Internal state of the router: the tables and functions that its modules
 * share. Not part of the interface for embedders.
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

/// Horizons, in generated tokens ahead, for which memory use is projected.
#define ROUTER_HORIZONS 6
extern const uint32_t router_horizons[ROUTER_HORIZONS];

/// Maximum number of classes per service with statistics of their own.
#define ROUTER_CLASSES_MAX 16

/// Expected memory at each horizon, in tokens, and its variance.
struct memory_profile {
	double mean[ROUTER_HORIZONS];
	double variance[ROUTER_HORIZONS];
};

enum slot_state {
	SLOT_FREE = 0,
	SLOT_REQUESTED,
	SLOT_IN_USE,
	SLOT_RETAINED, /// its request failed here, but may still be running
};

/// A slot whose lease is retained although its request has ended.
struct retained_slot {
	router_request request;
	router_upstream upstream;
	uint32_t slot;
	bool may_have_run; /// false if the request is known not to have run
	unsigned restarts_at_send; /// the upstream's n_restarts at that time
	usec_t visible_from; /// reports sampled since then include its run
};

/// One slot of a cold upstream, as known to this instance.
struct slot {
	enum slot_state state;
	usec_t not_before; /// earliest time of the next slot request
};

/// Statistics of one class of a service's requests.
struct class_statistics {
	uint32_t class_id;
	struct estimate_series *series; /// output lengths
	double submitted;               /// exponentially decaying count
};

struct service {
	uint32_t id;
	enum upstream_kind kind;
	struct fairqueue *queue;
	GPtrArray *upstreams; /// struct upstream, in or out of service
	unsigned n_in_service;
	GPtrArray *candidates;      /// in service and in this instance's subset
	GSequence *by_pressure;     /// the candidates, lowest pressure first
	unsigned next_index;        /// round robin position
	unsigned n_slots_requested; /// pending slot requests of all upstreams
	uint64_t max_memory;        /// memory of the largest engine, in tokens

	struct class_statistics classes[ROUTER_CLASSES_MAX];
	unsigned n_classes;
	struct estimate_series *series; /// all classes; used until one is known
	double mean_prompt;             /// of sent requests, in tokens
	/// fraction of current tokens that remains; variance per request
	struct memory_profile retention;
	struct memory_profile growth;      /// tokens added per request
	struct memory_profile new_request; /// memory of a request just sent
	usec_t population_due_at;          /// of retention and growth
	double send_rate;                  /// sends of this instance per second
	double sends_since_update; /// since the last update of send_rate
};

struct upstream {
	router_upstream handle;
	struct router_upstream_options options;
	struct service *service;
	uint64_t rank; /// rendezvous hash; the lowest ranks form the subset
	bool in_service;
	bool is_candidate;
	struct warmup warmup;
	unsigned n_restarts; /// restarts detected; invalidates pending sends
	bool was_cold;       /// state at the last router_notify_upstream_cold()
	bool has_report;
	struct router_load_report report;
	usec_t sampled_at; /// latest possible sample time of the report
	/// earliest start time in the reports of the current window and of
	/// the previous one
	usec_t earliest_start[2];
	usec_t start_window_end;
	unsigned instances_ahead;   /// instances assumed to send here before us
	double turn_weight;         /// weight of turn taking, 0 to 1
	unsigned sent_since_sample; /// own sends since sampled_at
	/// reports requested before this time are ignored
	usec_t ignore_reports_before;
	double other_requests; /// requests of other instances in the report
	double other_tokens;   /// memory of these requests, in tokens
	GQueue own_requests;   /// struct request, running here
	struct memory_profile own_memory;
	GSequenceIter *pressure_iter; /// position in by_pressure
	double pressure;
	struct slot *slots; /// array of max_running elements
	unsigned n_slots_requested;
};

enum request_state {
	REQUEST_QUEUED = 1,
	REQUEST_DELAYED, /// waits for its next attempt
	REQUEST_SENDING, /// SEND is in the outbox
	REQUEST_RUNNING,
	REQUEST_FAILED, /// waits for a decision by router_retry()
};

struct request {
	router_request handle;
	struct router_request_options options;
	enum request_state state;
	struct service *service;
	struct estimate_series *series;
	struct upstream *upstream;
	unsigned restarts_at_send; /// the upstream's n_restarts at that time
	GList own_link;            /// in the upstream's own_requests
	usec_t sent_at;
	usec_t submitted_at;
	usec_t deadline_base; /// start of the wait that start_deadline limits
	unsigned retries;
	usec_t not_before;           /// earliest time of the next attempt
	GSequenceIter *delayed_iter; /// position in the router's delayed
	uint32_t generated_tokens;   /// by the current attempt
	double charged_cost; /// charged to the organisation in the queue
	bool has_slot;
	uint32_t slot;
	struct memory_profile memory;
};

struct router {
	struct router_options options;
	bool has_instance_index;
	unsigned instance_index; /// position in the sorted list of instances
	usec_t now;
	struct handle_table *requests;
	struct handle_table *upstreams;
	GHashTable *all_requests;  /// owns each struct request
	GHashTable *all_upstreams; /// owns each struct upstream
	GHashTable *services;      /// id -> struct service
	struct estimate *estimate;
	struct prefix_index *prefix;
	struct retry_budget *budget;
	GSequence *delayed;    /// struct request by not_before
	GQueue outbox;         /// struct router_action
	GQueue retained_slots; /// struct retained_slot
	usec_t tick_at;        /// when router_tick() is due
	/// standard deviations of projected memory kept free above the mean
	double headroom_deviations;
	usec_t statistics_due_at; /// next router_update_statistics()
	usec_t statistics_updated_at;
};

/// Checks whether the policy projects memory; the baselines do not.
///
/// @return true for the memory policies
static inline bool
router_projects_memory(const struct router *router)
{
	return router->options.policy == ROUTER_POLICY_MEMORY ||
	    router->options.policy == ROUTER_POLICY_MEMORY_MEAN;
}

/// Estimates the number of instances that send to one upstream of a service:
/// all of them, or a proportional share if each considers only a subset.
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
