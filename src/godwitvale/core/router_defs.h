/*
 * Types of the router, which admits and queues requests and places them on
 * upstreams of limited capacity.
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
	UPSTREAM_ENGINE = 1, /// an engine that generates tokens
	UPSTREAM_SERVICE,    /// a plain service, whose calls generate no tokens
};

/// Properties of an upstream, set when it is added.
struct router_upstream_options {
	enum upstream_kind kind;
	uint32_t service; /// model or service id, assigned by the embedder
	uint32_t zone;    /// zone id, assigned by the embedder
	uint64_t memory_tokens; /// engine: memory capacity in tokens
	/// maximum number of concurrent requests from all instances when warm
	uint32_t max_running;
	/// the same maximum right after a start of the upstream
	uint32_t cold_limit;
	/// time after a start in which the maximum rises to max_running
	usec_t warm_span;
};

/// A load report of an upstream.
struct router_load_report {
	usec_t requested_at;  /// local time of this instance's report request
	uint64_t start_epoch; /// changes with each restart of the upstream
	usec_t uptime;        /// time since the upstream's last start
	uint64_t used_tokens; /// memory in use, in tokens
	uint32_t running;     /// requests that the upstream runs
	uint32_t waiting;     /// requests queued in the upstream
	uint64_t preemptions; /// preemptions since the upstream's last start
};

/// Properties of a request, set when it is submitted.
struct router_request_options {
	uint32_t organisation; /// organisation id, assigned by the embedder
	uint32_t service;      /// service id, as in the upstream's options
	uint32_t class_id; /// workload class, which selects length estimates
	uint32_t weight;   /// fair share of the organisation, 1 or more
	int priority;      /// requests with a higher number start earlier
	uint32_t prompt_tokens;
	uint32_t max_tokens; /// output limit in tokens; 0: unlimited
	/// the router refuses the request if it cannot start before this time
	usec_t start_deadline;
	bool idempotent;   /// the request may safely run more than once
	unsigned n_prefix; /// number of prefix blocks
	uint64_t prefix[ROUTER_PREFIX_BLOCKS_MAX]; /// chained block hashes
};

enum router_refusal {
	ROUTER_REFUSE_NONE = 0,
	/// the request cannot start before its start deadline
	ROUTER_REFUSE_DEADLINE,
	/// the organisation has the maximum number of queued requests
	ROUTER_REFUSE_QUEUE_FULL,
	/// no upstream in service serves the request's service
	ROUTER_REFUSE_NO_UPSTREAM,
	/// the organisation's retry budget is exhausted
	ROUTER_REFUSE_RETRIES,
	/// the prompt exceeds the memory of every engine
	ROUTER_REFUSE_TOO_LARGE,
};

enum router_action_type {
	ROUTER_ACTION_SEND = 1,     /// send `request` to `upstream` immediately
	ROUTER_ACTION_REFUSE,       /// refuse `request`, as its final answer
	ROUTER_ACTION_ACQUIRE_SLOT, /// acquire a lease on `slot` of `upstream`
	ROUTER_ACTION_RELEASE_SLOT, /// release the lease on `slot` of
				    /// `upstream`
	ROUTER_ACTION_REPORT_COLD, /// log for audit that `upstream` became cold
};

/// An action that the embedder carries out; `type` says which fields are set.
struct router_action {
	enum router_action_type type;
	router_request request;
	router_upstream upstream;
	uint32_t slot;
	enum router_refusal refusal;
	usec_t retry_at; /// REFUSE: time at which the caller should retry
};

/// Outcome of an attempt to send a request, as reported to the router.
enum router_outcome {
	ROUTER_OUTCOME_DONE = 1,  /// the whole response was delivered
	ROUTER_OUTCOME_CANCELLED, /// the caller disconnected
	ROUTER_OUTCOME_FAILED,    /// the upstream failed
	/// the upstream refused the request without running it
	ROUTER_OUTCOME_BUSY,
};

/// Rules by which the router chooses an upstream; some serve only as baselines
/// of benchmarks.
enum router_policy {
	/// production policy: lowest projected pressure
	ROUTER_POLICY_MEMORY = 0,
	/// baseline: upstreams in turn, requests never wait
	ROUTER_POLICY_ROUND_ROBIN,
	/// baseline: upstream with the fewest requests of this instance
	ROUTER_POLICY_LEAST_OUTSTANDING,
	/// former policy: projects only the expected memory, without variance,
	/// turn taking of instances and wait time of requests
	ROUTER_POLICY_MEMORY_MEAN,
};

/// Routing policy settings from a bundle.
struct router_weights {
	/// maximum number of queued requests per organisation; 0: unlimited
	uint32_t queue_limit;
	usec_t ageing_span;    /// wait time worth one priority level
	double memory_reserve; /// fraction of an engine's memory kept free
	double stall_weight;   /// importance of avoiding stalls and preemptions
	double zone_weight;    /// importance of serving through zone changes
	double prefix_weight;  /// value of a cached prompt token; 0: none
	double retry_ratio;    /// retries allowed per first attempt
	unsigned subset;       /// upstreams considered per service; 0: all
};

/// Current numbers of requests and cold upstreams in a router.
struct router_counts {
	unsigned waiting; /// queued requests, without those that await a retry
	unsigned running; /// requests that this instance has at upstreams
	unsigned cold;    /// upstreams in service that are cold
};

/// Initial options of a router. The fields that are also in struct
/// router_weights are replaced when a bundle is applied.
struct router_options {
	enum router_policy policy;
	GRand *random;        /// owned by the embedder
	unsigned n_instances; /// instances that share the upstreams
	unsigned subset;      /// upstreams considered per service; 0: all
	uint64_t instance_id; /// determines this instance's subset
	/// maximum number of queued requests per organisation; 0: unlimited
	uint32_t queue_limit;
	usec_t ageing_span;     /// wait time worth one priority level
	usec_t report_interval; /// interval between load report requests
	double memory_reserve;  /// fraction of an engine's memory kept free
	double stall_weight;    /// importance of avoiding stalls, preemptions
	double zone_weight;     /// importance of serving through zone changes
	double prefix_weight;   /// value of a cached prompt token; 0: none
	double retry_ratio;     /// retries allowed per first attempt
	uint32_t retry_burst;   /// capacity of each retry budget, in retries
	bool use_slots;         /// requests to cold upstreams need a slot lease
};

#endif
