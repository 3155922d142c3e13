/* Types of a bundle, the signed configuration that operators approve and roll
 * out. */
#ifndef GODWITVALE_OPS_BUNDLE_DEFS_H
#define GODWITVALE_OPS_BUNDLE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"

/// Maximum size of a signed bundle in bytes, as limited by the configuration
/// service.
#define BUNDLE_BYTES_MAX (1024 * 1024)

/// How the repeats of a call to a service are recognised.
enum bundle_identity {
	BUNDLE_IDENTITY_HEADER = 1, /// value of the service's identity_header
	BUNDLE_IDENTITY_BODY,       /// hash of method, path and body
};

/// Service state of a zone, instance or upstream, as set by operators.
enum bundle_state { BUNDLE_IN_SERVICE = 0, BUNDLE_OUT_OF_SERVICE };

struct bundle_zone {
	char *name;
	char *region;
	enum bundle_state state;
};

struct bundle_model {
	char *name;
	uint32_t max_tokens;     /// maximum output length
	uint32_t context_tokens; /// maximum length of prompt plus output
	char *version;           /// version of the weights to load
};

struct bundle_service {
	char *name;
	bool idempotent; /// a call may run more than once
	enum bundle_identity identity;
	char *identity_header; /// NULL unless identity is by header
	usec_t resend_window;  /// devices may repeat a call within it
	usec_t timeout;        /// maximum duration of a call
};

struct bundle_organisation {
	char *name;
	char *token;     /// bearer token that its devices send
	uint32_t weight; /// weight in fair queueing, 1 or more
};

/// A workload class, selected by the header X-Class of a request.
struct bundle_class {
	char *name;      /// header value; "default" applies to other requests
	int priority;    /// requests of higher priority start first
	usec_t patience; /// maximum wait before a request starts
};

struct bundle_upstream {
	char *name;
	char *ip;
	uint16_t port;
	char *zone;
	char *serves;      /// name of a model or service
	bool engine;       /// true: model engine; false: plain service
	bool checks_fence; /// rejects model orders with an old fencing number
	uint64_t memory_tokens; /// engine: memory capacity in tokens
	uint32_t max_running;   /// maximum concurrent requests when warm
	uint32_t cold_limit;    /// maximum concurrent requests after a start
	usec_t warm_span;       /// duration from cold_limit to max_running
	enum bundle_state state;
};

struct bundle_instance {
	char *name;
	enum bundle_state state;
};

/// Parameters of the routing policy.
struct bundle_policy {
	double stall_weight;   /// importance of avoiding stalls, preemptions
	double zone_weight;    /// importance of service during zone changes
	double prefix_weight;  /// value of a cached prompt token
	double memory_reserve; /// fraction of an engine's memory kept free
	double retry_ratio;    /// retries allowed per first attempt
	uint32_t queue_limit;  /// queued requests per organisation
	usec_t ageing_span;    /// waiting time that raises priority by one
	uint32_t subset;       /// upstreams considered per service; 0: all
};

/// A validated bundle. Each array holds pointers to one of the structs above.
struct bundle {
	uint64_t version;
	char *signed_by; /// person who approved it, for the audit trail
	GPtrArray *zones;
	GPtrArray *models;
	GPtrArray *services;
	GPtrArray *organisations;
	GPtrArray *classes;
	GPtrArray *upstreams;
	GPtrArray *instances;
	struct bundle_policy policy;
};

#endif
