/* Settings of an instance, as loaded from its settings file. */
#ifndef GODWITVALE_OPS_SETTINGS_DEFS_H
#define GODWITVALE_OPS_SETTINGS_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"

/// Size of each key, in bytes.
#define SETTINGS_KEY_BYTES 32

/// An IP address and port. Host names are not supported.
struct settings_address {
	char *ip;
	uint16_t port;
};

/// Settings of one instance. The comment on each field gives its key in the
/// settings file.
/// Durations are in milliseconds in the file, where their keys end in _ms, and
/// in microseconds here.
struct settings {
	char *instance;                    /// "instance": name of this instance
	char *zone;                        /// "zone": its availability zone
	struct settings_address caller;    /// "listen.caller": HTTP
	struct settings_address peer;      /// "listen.peer": UDP and HTTP
	struct settings_address operator_; /// "listen.operator": HTTP
	struct settings_address config;    /// "platform.config"
	struct settings_address members;   /// "platform.members"
	struct settings_address weights;   /// "platform.weights"; port 0: unset
	uint8_t peer_key[SETTINGS_KEY_BYTES];   /// "keys.peer", hex
	uint8_t bundle_key[SETTINGS_KEY_BYTES]; /// "keys.bundle", hex, public
	int log_level;              /// "log.level": error|warn|info|debug
	usec_t members_interval;    /// "timing.members_interval_ms"
	usec_t report_interval;     /// "timing.report_interval_ms"
	usec_t claim_timeout;       /// "timing.claim_timeout_ms"
	usec_t list_lag;            /// "timing.list_lag_ms"
	usec_t list_freshness;      /// "timing.list_freshness_ms"
	usec_t bundle_freshness;    /// "timing.bundle_freshness_ms"
	usec_t progress_timeout;    /// "timing.progress_timeout_ms"
	usec_t resend_window;       /// "timing.resend_window_ms"
	uint32_t max_request_bytes; /// "limits.max_request_bytes"
	uint32_t max_requests;      /// "limits.max_requests"
	uint32_t memory_mb;         /// "limits.memory_mb"
};

#endif
