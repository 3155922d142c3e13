/* Types of a bundle: what operators sign off and roll out. */
#ifndef GODWITVALE_OPS_BUNDLE_DEFS_H
#define GODWITVALE_OPS_BUNDLE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"

/// Largest signed bundle, in bytes: what the configuration service holds.
#define BUNDLE_BYTES_MAX (1024 * 1024)

/// Where a caller's request identity comes from.
enum bundle_identity {
	BUNDLE_IDENTITY_HEADER = 1, /// the header named in the bundle
	BUNDLE_IDENTITY_BODY,       /// hash of method, path and body
};

/// Service state of a zone, instance or upstream; operators set it.
enum bundle_state { BUNDLE_IN = 0, BUNDLE_OUT };

struct bundle_zone {
	char *name;
	char *region;
	enum bundle_state state;
};

struct bundle_model {
	char *name;
	uint32_t max_tokens;     /// longest output allowed
	uint32_t context_tokens; /// prompt and output together
	char *version;           /// version of the weights to be loaded
};

struct bundle_service {
	char *name;
	bool idempotent; /// its calls may be repeated
	enum bundle_identity identity;
	char *identity_header; /// NULL unless by header
	usec_t resend_window;  /// devices repeat a call within this
	usec_t timeout;        /// longest call
};

struct bundle_organisation {
	char *name;
	char *token;     /// what its devices send as bearer token
	uint32_t weight; /// fair share, 1 or more
};

/// A workload class: requests matched by model and path or header value.
struct bundle_class {
	char *name;      /// matched against header x-class; "default" else
	int priority;    /// higher goes first
	usec_t patience; /// refuse when it can't start within this
};

struct bundle_upstream {
	char *name;
	char *ip;
	uint16_t port;
	char *zone;
	char *serves;      /// name of a model or service
	bool engine;       /// a model engine, else a plain service
	bool checks_fence; /// refuses orders with an old fencing number
	uint64_t memory_tokens;
	uint32_t max_running;
	uint32_t cold_limit;
	usec_t warm_span;
	enum bundle_state state;
};

struct bundle_instance {
	char *name;
	enum bundle_state state;
};

/// Weights of the routing policy.
struct bundle_policy {
	double stall_weight;
	double zone_weight;
	double prefix_weight;
	double memory_reserve;
	double retry_ratio;
	uint32_t queue_limit;
	usec_t ageing_span;
	uint32_t subset;
};

/// A checked bundle. Arrays hold pointers to the structs above.
struct bundle {
	uint64_t version;
	char *signed_by; /// who signed it off, for the audit trail
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
