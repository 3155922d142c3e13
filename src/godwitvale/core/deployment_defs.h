/*
 * What operators configure and what upstreams announce, in the project's own
 * terms: routes, services, organisations, upstream entries.
 */
#ifndef GODWITVALE_CORE_DEPLOYMENT_DEFS_H
#define GODWITVALE_CORE_DEPLOYMENT_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"

/// What may be done with a request more than once.
enum route_kind {
	ROUTE_IDEMPOTENT = 1, /// may run again
	ROUTE_ONCE,           /// runs at most once
	ROUTE_STREAM,         /// a stream of events; see `resumable`
};

/// One of the services that a route is split among.
struct route_share {
	char *service;
	uint32_t weight;
};

/// Where requests go, and how.
struct route {
	char *name;
	char *host;
	char *prefix;
	GArray *shares; /// struct route_share
	enum route_kind kind;
	usec_t timeout;        /// longest time to a final answer
	usec_t target_latency; /// to the answer, of a stream: its first event
	usec_t target_gap;     /// longest pause between events
	uint32_t priority;     /// 0 goes first
	uint32_t max_attempts; /// upstreams that one request is sent to
	bool is_public;        /// needs no key
	bool resumable;        /// a stream may be generated again from an event
	bool is_generation;    /// requests carry prompts for an engine
};

/// What the engines of a service can do.
struct engine_limits {
	uint32_t slots;           /// generations at a time
	uint32_t memory_tokens;   /// of prompts and outputs together
	uint32_t bytes_per_token; /// of a generation's memory
	double link_mbps;         /// of an engine, for moving memory
	uint32_t tokens_per_event;
	usec_t handle_span; /// how long a copy is kept for its use
	bool moves;         /// running generations can be moved
	bool backups;       /// running generations can be mirrored
};

/// A service and what its upstreams bear.
struct service {
	char *name;
	char *health_path;
	uint32_t max_connections; /// of one upstream, from all instances
	double cold_rate; /// requests a second that a cold upstream bears
	bool has_engine;
	struct engine_limits engine;
};

/// Who sends requests.
struct organisation {
	char *name;
	int priority; /// in place of the route's; negative: none of its own
};

/// Bounds on what a caller may send.
struct caller_limits {
	uint32_t max_head_bytes;
	uint32_t max_body_bytes;
	usec_t head_timeout;
	usec_t idle_timeout;
};

/// One version of the configuration. Immutable; shared by reference.
struct deployment {
	uint64_t version;
	uint64_t revision; /// of the store at which it was written
	GPtrArray *routes; /// struct route *
	GHashTable
	    *routes_by_host;      /// host -> GPtrArray *, longest prefix first
	GHashTable *services;     /// name -> struct service *
	GHashTable *keys;         /// key -> struct organisation *
	GPtrArray *organisations; /// struct organisation *
	struct caller_limits limits;
	bool needs_keys; /// organisations are configured
	int refs;
};

/// What an upstream says of itself.
enum upstream_state {
	UPSTREAM_READY = 1,
	UPSTREAM_DRAINING,
};

/// One upstream's entry.
struct upstream_entry {
	char *id;
	char *service;
	char *address; /// IP:PORT
	char *zone;
	enum upstream_state state;
	uint32_t slots;
	uint64_t incarnation; /// differs after each start; 0: not said
	uint64_t sequence;    /// counts its own writes
	usec_t cold_left;     /// how much longer it is cold; 0: warm
};

#endif
