/*
 * What the router's own modules share: its tables and the steps between them.
 * Not for embedders.
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

/// Memory is projected to these many generated tokens ahead.
#define ROUTER_HORIZONS 6
extern const uint32_t router_horizons[ROUTER_HORIZONS];

/// Classes of a service that are told apart when the mix is worked out.
#define ROUTER_CLASSES_MAX 16

/// Expected memory at each horizon, in tokens, and its variance.
struct memory_profile {
	double at[ROUTER_HORIZONS];
	double variance[ROUTER_HORIZONS];
};

enum slot_state {
	SLOT_FREE = 0,
	SLOT_ASKED,
	SLOT_IN_USE,
	SLOT_LEFT, /// its request was given up on, but may still run there
};

/// A slot whose lease is kept though its request has ended.
struct slot_left {
	router_request request;
	router_upstream upstream;
	uint32_t slot;
	bool has_run;      /// as far as is known
	unsigned n_starts; /// of the upstream when the request went
	usec_t shown_at;   /// reports sampled from then on show its run
};

/// One slot of a cold upstream, as this instance sees it.
struct slot {
	enum slot_state state;
	usec_t not_before; /// don't ask again before this
};

/// How much of a service's requests a class makes, and its lengths.
struct class_share {
	uint32_t class_id;
	struct estimate_series *series;
	double submitted; /// decaying count
};

struct service {
	uint32_t id;
	enum upstream_kind kind;
	struct fairqueue *queue;
	GPtrArray *all; /// struct upstream, every one
	unsigned n_in_service;
	GPtrArray *considered;  /// in service and in this instance's subset
	GSequence *by_pressure; /// the considered ones
	unsigned next_turn;     /// round robin
	unsigned n_asked;       /// slots asked for
	uint64_t max_memory;    /// largest engine's, in tokens

	struct class_share classes[ROUTER_CLASSES_MAX];
	unsigned n_classes;
	struct estimate_series *series; /// of all classes, before any is known
	double mean_prompt;             /// of those sent, in tokens
	struct memory_profile keep;     /// share of tokens kept, of any request
	struct memory_profile growth;   /// tokens added, by any request
	struct memory_profile newcomer; /// memory of a request just sent
	usec_t population_at; /// when to look at the running ones again
	double send_rate;     /// own sends a second
	double sends;         /// since the rate was worked out
};

struct upstream {
	router_upstream handle;
	struct router_upstream_options options;
	struct service *service;
	uint64_t rank; /// rendezvous hash: lowest are in the subset
	bool in_service;
	bool considered;
	struct warmup warmup;
	unsigned n_starts; /// starts seen; a send is bound to one
	bool was_cold;     /// told to the embedder
	bool reported;
	struct router_report report;
	usec_t sampled_at;    /// when the report was true, at the latest
	usec_t start_seen[2]; /// earliest start by the reports, this window's
			      /// and the last one's
	usec_t window_end;
	unsigned turn;       /// instances thought to send here before us
	double contention;   /// how much turns count, 0 to 1
	unsigned sent_since; /// own sends since sampled_at
	usec_t trusted_from; /// reports asked for before this are ignored
	double others;       /// requests of other instances in the report
	double others_tokens;
	GQueue own; /// struct request, running here
	struct memory_profile own_memory;
	GSequenceIter *place; /// in by_pressure
	double pressure;
	struct slot *slots; /// max_running of them
	unsigned n_asked;
};

enum request_state {
	REQUEST_QUEUED = 1,
	REQUEST_DELAYED, /// waits for its next try
	REQUEST_SENDING, /// SEND is in the outbox
	REQUEST_RUNNING,
	REQUEST_ENDED, /// failed; router_retry() decides
};

struct request {
	router_request handle;
	struct router_request_options options;
	enum request_state state;
	struct service *service;
	struct estimate_series *series;
	struct upstream *upstream;
	unsigned start_seen; /// the upstream's n_starts at the decision
	GList link;          /// in the upstream's own
	usec_t sent_at;
	usec_t since;        /// submitted
	usec_t counted_from; /// its start deadline counts from here
	unsigned retries;
	usec_t not_before;
	GSequenceIter *delayed;
	uint32_t so_far; /// tokens generated
	double charged;
	bool has_slot;
	uint32_t slot;
	struct memory_profile memory;
};

struct router {
	struct router_options options;
	bool has_index;
	unsigned index; /// place among the instances
	usec_t now;
	struct handle_table *requests;
	struct handle_table *upstreams;
	GHashTable *all_requests;  /// struct request, for the end
	GHashTable *all_upstreams; /// struct upstream
	GHashTable *services;      /// id -> struct service
	struct estimate *estimate;
	struct prefix_index *prefix;
	struct retry_budget *budget;
	GSequence *delayed; /// struct request by not_before
	GQueue outbox;      /// struct router_action
	GQueue slots_left;  /// struct slot_left
	usec_t tick_at;
	double spread;    /// standard deviations kept free above the mean
	usec_t survey_at; /// next survey of the running requests
	usec_t surveyed_at;
};

/// Says whether the policy projects memory at all; the baselines don't.
///
/// @param router  the router
/// @return whether it does
static inline bool
router_projects(const struct router *router)
{
	return router->options.policy == ROUTER_POLICY_MEMORY ||
	    router->options.policy == ROUTER_POLICY_MEMORY_MEAN;
}

/// Gives the number of instances that send to one upstream of a service: all
/// of them, or their share when each considers only a subset.
///
/// @param router   the router
/// @param service  the service
/// @return instances, 1 or more
static inline unsigned
router_senders(const struct router *router, const struct service *service)
{
	unsigned considered = service->considered->len;
	unsigned all = MAX(service->n_in_service, 1);
	unsigned n = (router->options.n_entries * considered + all - 1) / all;

	return MAX(n, 1);
}

/* router_pressure.c */
void router_profile_request(
    const struct request *request, struct memory_profile *memory);
void router_add_profile(struct memory_profile *sum,
    const struct memory_profile *memory, double sign);
double router_pressure(const struct router *router,
    const struct upstream *upstream, const struct request *extra);
bool router_fits(const struct router *router, const struct upstream *upstream,
    const struct request *request, double *pressure);
void router_update_own(struct upstream *upstream);
void router_take_report(struct router *router, struct upstream *upstream,
    const struct router_report *report);
void router_forget_start(struct upstream *upstream);
usec_t router_date_report(const struct router *router,
    struct upstream *upstream, const struct router_report *report);

/* router_survey.c */
void router_note_class(
    struct router *router, struct service *service, uint32_t class_id);
void router_survey(struct router *router, struct service *service);

/* router_place.c */
struct upstream *router_choose(struct router *router, struct request *request);
void router_place_request(
    struct router *router, struct request *request, struct upstream *upstream);
void router_unplace_request(struct router *router, struct request *request);
void router_reindex(struct router *router, struct upstream *upstream);
void router_consider(struct router *router, struct service *service);
void router_note_cold(struct router *router, struct upstream *upstream);

/* router_slot.c */
void router_ask_slots(struct router *router, struct service *service);
void router_give_slot_back(struct router *router, struct request *request);
void router_leave_slot(struct router *router, struct request *request);
void router_forget_run(struct router *router, const struct request *request);
void router_release_left(struct router *router);

/* router_queue.c */
void router_enqueue(struct router *router, struct request *request);
void router_delay(
    struct router *router, struct request *request, usec_t not_before);
void router_requeue_due(struct router *router);
void router_dispatch(struct router *router, struct service *service);
void router_dispatch_all(struct router *router);
void router_refuse(struct router *router, struct request *request,
    enum router_refusal refusal);
void router_refuse_hopeless(struct router *router, struct service *service);
bool router_refuse_late(struct router *router, struct request *request);
void router_release(struct router *router, struct request *request);
void router_push_action(
    struct router *router, const struct router_action *action);

#endif
