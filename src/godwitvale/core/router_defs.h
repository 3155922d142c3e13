/*
 * Types of the router, which admits, queues and places requests on upstreams
 * of limited memory.
 */
#ifndef GODWITVALE_CORE_ROUTER_DEFS_H
#define GODWITVALE_CORE_ROUTER_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"
#include "godwitvale/core/verdict_defs.h"

/// Handles into the router's tables; 0 is never a valid handle.
typedef uint32_t router_request;
typedef uint32_t router_upstream;

/// Maximum number of prefix blocks that describe a request.
#define ROUTER_PREFIX_BLOCKS_MAX 16

enum upstream_kind {
	UPSTREAM_ENGINE = 1, /// generates tokens
	UPSTREAM_SERVICE,    /// answers plain calls
};

/// Properties of an upstream, set when it is added.
struct router_upstream_options {
	enum upstream_kind kind;
	uint32_t service; /// model or service id, assigned by the embedder
	uint32_t zone;    /// zone id, assigned by the embedder
	uint64_t memory_tokens; /// engine: memory capacity in tokens
	uint32_t max_running;   /// concurrent request limit when warm
	uint32_t cold_limit;    /// concurrent request limit right after a start
	usec_t warm_span;       /// duration from cold_limit to max_running
};

/// A load report of an upstream.
struct router_load_report {
	usec_t requested_at;  /// when it was requested, on the local clock
	uint64_t start_epoch; /// changes with each restart of the upstream
	usec_t uptime;        /// duration since that start
	uint64_t used_tokens; /// memory in use
	uint32_t running;
	uint32_t waiting;
	uint64_t preemptions; /// since the start
};

/// A request to be admitted.
struct router_request_options {
	uint32_t organisation; /// id, assigned by the embedder
	uint32_t service;
	uint32_t class_id; /// workload class from the bundle, for estimates
	uint32_t weight;   /// fair share of the organisation, 1 or more
	int priority;      /// higher goes first
	uint32_t prompt_tokens;
	uint32_t max_tokens;   /// requested output limit; 0: unlimited
	usec_t start_deadline; /// refuse if it cannot start before this time
	bool idempotent;
	unsigned n_prefix;
	uint64_t prefix[ROUTER_PREFIX_BLOCKS_MAX]; /// chained block hashes
};

enum router_refusal {
	ROUTER_REFUSE_NONE = 0,
	ROUTER_REFUSE_DEADLINE,    /// cannot start before its deadline
	ROUTER_REFUSE_QUEUE_FULL,  /// its organisation's queue is full
	ROUTER_REFUSE_NO_UPSTREAM, /// no upstream currently serves it
	ROUTER_REFUSE_RETRIES,     /// its retry budget is exhausted
	ROUTER_REFUSE_TOO_LARGE,   /// exceeds every engine's memory
};

enum router_action_type {
	ROUTER_ACTION_SEND = 1,     /// send `request` to `upstream` immediately
	ROUTER_ACTION_REFUSE,       /// refuse `request`, as its final answer
	ROUTER_ACTION_ACQUIRE_SLOT, /// acquire a lease on `slot` of `upstream`
	ROUTER_ACTION_RELEASE_SLOT, /// release the lease on that slot
	ROUTER_ACTION_REPORT_COLD,  /// audit that `upstream` has become cold
};

struct router_action {
	enum router_action_type type;
	router_request request;
	router_upstream upstream;
	uint32_t slot;
	enum router_refusal refusal;
	usec_t retry_at; /// REFUSE: when the caller should retry
};

/// Outcome of sending a request, as reported to the router.
enum router_outcome {
	ROUTER_OUTCOME_DONE = 1,  /// the whole answer was delivered
	ROUTER_OUTCOME_CANCELLED, /// the caller disconnected
	ROUTER_OUTCOME_FAILED,    /// the upstream failed
	ROUTER_OUTCOME_BUSY,      /// the upstream refused it without running it
};

/// Decision rules of the router; the benchmark baselines are among them.
enum router_policy {
	ROUTER_POLICY_MEMORY = 0,        /// policy in production
	ROUTER_POLICY_ROUND_ROBIN,       /// baseline: rotation, no queue
	ROUTER_POLICY_LEAST_OUTSTANDING, /// baseline: fewest own requests
	ROUTER_POLICY_MEMORY_MEAN, /// earlier policy: expected memory only,
				   /// ignoring variance, turns and wait time
};

/// Routing policy settings from a bundle.
struct router_weights {
	uint32_t queue_limit;  /// queued requests per organisation
	usec_t ageing_span;    /// wait time that raises priority by one
	double memory_reserve; /// fraction of an engine's memory kept free
	double stall_weight;
	double zone_weight;
	double prefix_weight;
	double retry_ratio; /// retries allowed per first attempt
	unsigned subset;    /// upstreams considered per service; 0: all
};

/// Current numbers of requests and cold upstreams in a router.
struct router_counts {
	unsigned waiting; /// queued requests
	unsigned running; /// requests at upstreams
	unsigned cold;    /// upstreams in service that are cold
};

/// Initial options of a router. The weights come from the bundle.
struct router_options {
	enum router_policy policy;
	GRand *random;          /// owned by the caller
	unsigned n_instances;   /// instances that share the upstreams
	unsigned subset;        /// upstreams considered per service; 0: all
	uint64_t instance_id;   /// determines this instance's subset
	uint32_t queue_limit;   /// queued requests per organisation
	usec_t ageing_span;     /// wait time that raises priority by one
	usec_t report_interval; /// interval between load report requests
	double memory_reserve;  /// fraction of an engine's memory kept free
	double stall_weight;    /// importance of avoiding stalls, preemptions
	double zone_weight;     /// importance of service through zone changes
	double prefix_weight;   /// value of a cached prompt token; 0: none
	double retry_ratio;     /// retries allowed per first attempt
	uint32_t retry_burst;   /// additional retries allowed in a burst
	bool use_slots;         /// cold upstreams require a fleet-wide slot
};

#endif
