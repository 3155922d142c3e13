/*
 * Types of the router part: admission, queueing and placement of requests
 * before upstreams of limited memory.
 */
#ifndef GODWITVALE_CORE_ROUTER_DEFS_H
#define GODWITVALE_CORE_ROUTER_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"
#include "godwitvale/core/verdict_defs.h"

/// Handles into the router's tables; 0 is none.
typedef uint32_t router_request;
typedef uint32_t router_upstream;

/// The most prefix blocks that a request is described by.
#define ROUTER_PREFIX_BLOCKS_MAX 16

enum upstream_kind {
	UPSTREAM_ENGINE = 1, /// generates tokens
	UPSTREAM_SERVICE,    /// answers plain calls
};

/// How an upstream is entered into the table.
struct router_upstream_options {
	enum upstream_kind kind;
	uint32_t service;       /// model or service, an id of the embedder's
	uint32_t zone;          /// an id of the embedder's
	uint64_t memory_tokens; /// engine: tokens that fit into its memory
	uint32_t max_running;   /// most requests at a time when warm
	uint32_t cold_limit;    /// most at a time right after a start
	usec_t warm_span;       /// from cold_limit to max_running
};

/// A load report of an upstream.
struct router_report {
	usec_t asked_at;      /// when it was asked for, on our clock
	uint64_t start_epoch; /// changes when the upstream starts anew
	usec_t uptime;        /// span since that start
	uint64_t used_tokens; /// memory in use
	uint32_t running;
	uint32_t waiting;
	uint64_t preemptions; /// since the start
};

/// A request to be admitted.
struct router_request_options {
	uint32_t organisation; /// an id of the embedder's
	uint32_t service;
	uint32_t class_id; /// workload class of the bundle, for estimates
	uint32_t weight;   /// fair share of the organisation, 1 or more
	int priority;      /// higher goes first
	uint32_t prompt_tokens;
	uint32_t max_tokens;   /// output limit asked for; 0: none
	usec_t start_deadline; /// refuse when it can't start before this
	bool idempotent;
	unsigned n_prefix;
	uint64_t prefix[ROUTER_PREFIX_BLOCKS_MAX]; /// chained block hashes
};

enum router_refusal {
	ROUTER_REFUSE_NONE = 0,
	ROUTER_REFUSE_DEADLINE,    /// can't start before its deadline
	ROUTER_REFUSE_QUEUE_FULL,  /// its organisation's queue is full
	ROUTER_REFUSE_NO_UPSTREAM, /// no upstream serves it at present
	ROUTER_REFUSE_RETRIES,     /// its retry budget is used up
	ROUTER_REFUSE_TOO_LARGE,   /// exceeds every engine's memory
};

enum router_action_type {
	ROUTER_ACTION_SEND = 1,  /// send `request` to `upstream` now
	ROUTER_ACTION_REFUSE,    /// final answer for `request`, at once
	ROUTER_ACTION_SLOT,      /// get a lease on slot `slot` of `upstream`
	ROUTER_ACTION_SLOT_DONE, /// give the lease on that slot back
	ROUTER_ACTION_COLD,      /// `upstream` was found to be cold (audit)
};

struct router_action {
	enum router_action_type type;
	router_request request;
	router_upstream upstream;
	uint32_t slot;
	enum router_refusal refusal;
	usec_t retry_at; /// REFUSE: when to come back
};

/// How sending ended, as told to the router.
enum router_end {
	ROUTER_END_DONE = 1,  /// whole answer delivered
	ROUTER_END_CANCELLED, /// the caller went away
	ROUTER_END_FAILED,    /// the upstream failed
	ROUTER_END_BUSY,      /// the upstream refused it; it was not run
};

/// Which decision rules are used; the baselines of the bench are among them.
enum router_policy {
	ROUTER_POLICY_MEMORY = 0,        /// the product's policy
	ROUTER_POLICY_ROUND_ROBIN,       /// baseline: next in turn, no queue
	ROUTER_POLICY_LEAST_OUTSTANDING, /// baseline: fewest of our own
	ROUTER_POLICY_MEMORY_MEAN, /// earlier: expected memory alone, without
				   /// its spread, turns or waiting time
};

/// What a bundle says of the routing policy.
struct router_weights {
	uint32_t queue_limit;  /// waiting requests an organisation
	usec_t ageing_span;    /// waiting this long is worth one priority
	double memory_reserve; /// share of an engine's memory kept free
	double stall_weight;
	double zone_weight;
	double prefix_weight;
	double retry_ratio; /// retries allowed for each first try
	unsigned subset;    /// upstreams considered a service; 0: all
};

/// What a router holds at present.
struct router_counts {
	unsigned waiting; /// requests in its queues
	unsigned running; /// requests at upstreams
	unsigned cold;    /// upstreams in service that are cold
};

/// How a router is built. Weights come from the bundle.
struct router_options {
	enum router_policy policy;
	GRand *random;          /// owned by the caller
	unsigned n_entries;     /// instances that share the upstreams
	unsigned subset;        /// upstreams considered a service; 0: all
	uint64_t self;          /// picks this instance's subset
	uint32_t queue_limit;   /// waiting requests an organisation
	usec_t ageing_span;     /// waiting this long is worth one priority
	usec_t report_interval; /// how often reports are asked for
	double memory_reserve;  /// share of an engine's memory kept free
	double stall_weight;    /// bundle: stall and preemption against..
	double zone_weight;     /// ..service through zone changes
	double prefix_weight;   /// worth of a cached prompt token; 0: none
	double retry_ratio;     /// retries allowed for each first try
	uint32_t retry_burst;   /// retries allowed on top, at once
	bool use_slots;         /// cold upstreams need a fleet-wide slot
};

#endif
