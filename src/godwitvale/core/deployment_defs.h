/*
 * Defines the data types of the configuration that operators write (routes,
 * services, organisations) and of the entries that upstreams write to the
 * store.
 */
#ifndef GODWITVALE_CORE_DEPLOYMENT_DEFS_H
#define GODWITVALE_CORE_DEPLOYMENT_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"

/// Whether a request may be executed more than once.
enum route_kind {
	ROUTE_IDEMPOTENT = 1, /// a request may be executed again
	ROUTE_AT_MOST_ONCE,   /// a request must be executed at most once
	/// the answer to a request is a stream of events; the request may be
	/// executed again if its route is `resumable`
	ROUTE_STREAM,
};

/// One of the services among which a route's requests are split.
struct route_share {
	char *service;   /// name of the service
	uint32_t weight; /// share of the requests, relative to other weights
};

/// Assigns the requests to one host and path prefix to services, with their
/// limits.
struct route {
	uint32_t index; /// position in the operators' list, from 0
	char *name;
	char *host;
	char *prefix;   /// beginning of the requests' paths
	GArray *shares; /// struct route_share; the services and their weights
	enum route_kind kind;
	usec_t timeout; /// from a request's arrival to its final answer
	/// target time until the answer, or until the first event of a stream
	usec_t target_latency;
	usec_t target_gap;     /// target of the longest time between two events
	uint32_t priority;     /// 0 is served first
	uint32_t max_attempts; /// upstreams that one request may be sent to
	bool is_public;        /// requests need no key of an organisation
	bool resumable;     /// a cut stream can be regenerated from any event
	bool is_generation; /// requests carry prompts for an engine
};

/// Capacity and features of each engine of a service.
struct engine_limits {
	uint32_t slots;           /// generations that run concurrently
	uint32_t memory_tokens;   /// tokens of prompts and outputs in memory
	uint32_t bytes_per_token; /// memory of a generation, per token
	double link_mbps; /// bandwidth for moving generations between engines
	uint32_t tokens_per_event; /// output tokens in each event of a stream
	/// how long the copy of a moved generation is kept for its resumption
	usec_t handle_ttl;
	/// longest time for which a place can be reserved; 0: not at all
	usec_t reservation_ttl;
	bool supports_moves;   /// running generations can be moved
	bool supports_backups; /// running generations can be mirrored
};

/// A service and the limits of each of its upstreams.
struct service {
	uint32_t index; /// position in the operators' list, from 0
	char *name;
	char *health_path;
	/// connections to one upstream from all instances; 0: no limit
	uint32_t max_connections;
	/// requests per second that a cold upstream can serve; 0: no limit
	double cold_rate;
	bool has_engine; /// the upstreams are engines; `engine` is set
	struct engine_limits engine;
};

/// An organisation that sends requests.
struct organisation {
	uint32_t index; /// position in the operators' list, from 0
	char *name;
	int priority; /// overrides the route's priority; negative: unset
};

/// Limits on each request and connection of a caller.
struct caller_limits {
	uint32_t max_head_bytes;
	uint32_t max_body_bytes;
	usec_t head_timeout;
	usec_t idle_timeout;
};

/// Kinds of names that occur twice, of which the later one counts.
enum deployment_conflict_kind {
	DEPLOYMENT_SERVICE_REPLACED = 1, /// two services have the same name
	DEPLOYMENT_KEY_REPLACED, /// a key occurs twice; its earlier one is lost
};

/// A name that occurs twice.
struct deployment_conflict {
	enum deployment_conflict_kind kind;
	uint32_t index; /// position of the service or organisation that lost it
	uint32_t later; /// position of the one that has it now
	uint32_t item;  /// of a key: its position in the later list, from 0
};

/// One version of the configuration. Immutable after it is built; shared by
/// reference.
struct deployment {
	uint64_t version;  /// set by the operators; a higher version is newer
	uint64_t revision; /// store revision at which this version was written
	GPtrArray *routes; /// struct route *
	GHashTable
	    *routes_by_host;      /// host -> GPtrArray *, longest prefix first
	GHashTable *services;     /// name -> struct service *
	GHashTable *keys;         /// key -> struct organisation *
	GPtrArray *organisations; /// struct organisation *
	struct caller_limits limits;
	bool needs_keys; /// requests need a key: organisations are configured
	uint32_t service_count; /// services added, also those replaced since
	/// struct deployment_conflict; NULL: not recorded
	GArray *conflicts;
	int refs; /// number of references
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
	char *software_version; /// of the upstream's program
	uint32_t slots;         /// requests that run concurrently
	uint64_t incarnation;   /// differs after each start; 0: not reported
	uint64_t sequence;      /// counts the upstream's writes of this entry
	usec_t cold_left;       /// remaining warm-up time; 0: warm
};

#endif
