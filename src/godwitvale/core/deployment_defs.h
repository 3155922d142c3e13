/*
 * Data types of the configuration that operators write (routes, services,
 * organisations) and of the entries that upstreams publish.
 */
#ifndef GODWITVALE_CORE_DEPLOYMENT_DEFS_H
#define GODWITVALE_CORE_DEPLOYMENT_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"

/// Whether a request may be executed more than once.
enum route_kind {
	ROUTE_IDEMPOTENT = 1, /// may be executed again
	ROUTE_AT_MOST_ONCE,   /// must be executed at most once
	ROUTE_STREAM,         /// answers a stream of events; see `resumable`
};

/// One of the services that a route is split among.
struct route_share {
	char *service;
	uint32_t weight;
};

/// Which requests go to which services, and under which limits.
struct route {
	char *name;
	char *host;
	char *prefix;
	GArray *shares; /// struct route_share
	enum route_kind kind;
	usec_t timeout; /// longest time until the final answer
	/// target time until the answer, or until the first event of a stream
	usec_t target_latency;
	usec_t target_gap;     /// target for the longest gap between events
	uint32_t priority;     /// 0 is served first
	uint32_t max_attempts; /// upstreams that one request may be sent to
	bool is_public;        /// requests need no key
	bool resumable;        /// a stream can be regenerated from any event
	bool is_generation;    /// requests carry prompts for an engine
};

/// Capacity and features of a service's engines.
struct engine_limits {
	uint32_t slots;           /// concurrent generations
	uint32_t memory_tokens;   /// of prompts and outputs together
	uint32_t bytes_per_token; /// memory of a generation, per token
	double link_mbps; /// bandwidth of an engine for moving generations
	uint32_t tokens_per_event;
	usec_t handle_ttl;     /// time for which a copy waits to be fetched
	bool supports_moves;   /// running generations can be moved
	bool supports_backups; /// running generations can be mirrored
};

/// A service and the limits of each of its upstreams.
struct service {
	char *name;
	char *health_path;
	uint32_t max_connections; /// to one upstream, from all instances
	double cold_rate; /// requests per second that a cold upstream can serve
	bool has_engine;
	struct engine_limits engine;
};

/// An organisation that sends requests.
struct organisation {
	char *name;
	int priority; /// overrides the route's priority; negative: unset
};

/// Limits on requests of callers.
struct caller_limits {
	uint32_t max_head_bytes;
	uint32_t max_body_bytes;
	usec_t head_timeout;
	usec_t idle_timeout;
};

/// One version of the configuration. Immutable; shared by reference.
struct deployment {
	uint64_t version;
	uint64_t revision; /// store revision at which it was written
	GPtrArray *routes; /// struct route *
	GHashTable
	    *routes_by_host;      /// host -> GPtrArray *, longest prefix first
	GHashTable *services;     /// name -> struct service *
	GHashTable *keys;         /// key -> struct organisation *
	GPtrArray *organisations; /// struct organisation *
	struct caller_limits limits;
	bool needs_keys; /// true when organisations are configured
	int refs;
};

/// State that an upstream reports about itself.
enum upstream_state {
	UPSTREAM_READY = 1,
	UPSTREAM_DRAINING,
};

/// An upstream's entry in the store.
struct upstream_entry {
	char *id;
	char *service;
	char *address; /// IP:PORT
	char *zone;
	enum upstream_state state;
	uint32_t slots;
	uint64_t incarnation; /// differs after each start; 0: not reported
	uint64_t sequence;    /// number of the write, counted by the upstream
	usec_t cold_left;     /// remaining warm-up time; 0: warm
};

#endif
