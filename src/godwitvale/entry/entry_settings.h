/* Reads the settings file of an entry instance on a site. */
#ifndef GODWITVALE_ENTRY_ENTRY_SETTINGS_H
#define GODWITVALE_ENTRY_ENTRY_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"
#include "godwitvale/ops/settings_defs.h"

/// Settings of one entry instance. Durations are in microseconds; in the file
/// they are in milliseconds and their keys end in _ms.
struct entry_settings {
	char *instance; /// "instance": name of this instance
	char *zone;     /// "zone": availability zone of this instance
	struct settings_address caller; /// "listen.caller": HTTP for callers
	struct settings_address ready;  /// "listen.ready": HTTP for balancers
	/// "listen.control": HTTP for snapshots that other instances request.
	struct settings_address control;
	/// "listen.peer_port": UDP for heartbeats, loads and changes of the
	/// upstreams, which instances send to each other.
	uint16_t peer_port;
	uint16_t metrics_port; /// "listen.metrics_port": 0: none
	/// "seeds": comma-separated IP:PORT of other instances that always get
	/// heartbeats, so that this instance finds all instances.
	char *seeds;
	/// "store.address": IP:PORT of the platform's store, which holds the
	/// configuration, the evacuated zones and the upstreams.
	char *store;
	/// "upstreams.source": IP that connections to upstreams come from; "":
	/// the system chooses.
	char *upstream_source;
	/// "hubs.min_instances": size of the fleet from which on instances
	/// exchange messages through hubs.
	uint32_t hub_min_instances;
	/// "pace.enabled": whether engines that differ in speed get generations
	/// by how long these pause there.
	bool pace_enabled;
	int log_level;        /// "log.level": error|warn|info|debug
	uint32_t max_callers; /// "limits.max_callers": open connections
	/// "limits.memory_mb": memory of the machine; 0: the smallest one's
	uint32_t memory_mb;
	/// "limits.max_fds": descriptors of the machine; 0: the smallest
	/// machine's
	uint32_t max_fds;
	/// "limits.caller_memory_mb": bound on the bytes held for callers; 0:
	/// derived from `memory_mb`
	uint32_t caller_memory_mb;
	/// "limits.socket_memory_mb": bound on the kernel's buffers for
	/// clients' sockets; 0: derived from the machine's memory
	uint32_t socket_memory_mb;
	/// "limits.body_min_bytes_per_s": lowest average rate of a body
	uint32_t body_min_bytes_per_s;
	/// "limits.body_grace_ms": time of a body in addition to that rate
	usec_t body_grace;
	usec_t body_max_time; /// "limits.body_max_ms": 0: not limited
	/// "limits.link_mbps": rate of the machine's link; 0: unknown
	double link_mbps;
	/// "retries.ratio": maximum ratio of retries to first requests.
	double retry_ratio;
	/// "retries.slack": retries per window in addition to that ratio.
	double retry_slack;
	usec_t retry_window; /// "retries.window_ms"
	/// "cold.overrun": maximum rate of requests to a cold upstream, as a
	/// multiple of the service's cold rate.
	double cold_overrun;
	/// "cold.slack": requests per second in addition to "cold.overrun".
	double cold_slack;
	/// "outcomes.enabled": exchange results of requests to plain services.
	bool exchange_outcomes;
	/// "shares.enabled": whether organisations above their fair share of
	/// scarce engine memory leave a part of it free for others.
	bool share_memory;
	/// "leaving.grace_ms": time from SIGTERM until the platform kills the
	/// process; see ENTRY_LEAVE_MARGIN.
	usec_t grace;
};

struct entry_settings *entry_settings_load(const char *path, GError **error);
struct entry_settings *entry_settings_parse(const char *text, GError **error);
void entry_settings_free(struct entry_settings *settings);

#endif
