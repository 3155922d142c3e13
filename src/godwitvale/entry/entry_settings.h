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
	char *instance;                  /// "instance": name of this instance
	char *zone;                      /// "zone": its availability zone
	struct settings_address caller;  /// "listen.caller": HTTP for callers
	struct settings_address ready;   /// "listen.ready": HTTP for balancers
	struct settings_address control; /// "listen.control": HTTP for peers
	uint16_t peer_port;              /// "listen.peer_port": UDP for peers
	uint16_t metrics_port;           /// "listen.metrics_port": 0: none
	char *seeds;   /// "seeds": control addresses of some instances
	char *store;   /// "store.address": IP:PORT of the platform's store
	int log_level; /// "log.level": error|warn|info|debug
	uint32_t max_callers; /// "limits.max_callers": open connections
	double retry_ratio;   /// "retries.ratio": retries per first request
	double retry_slack;   /// "retries.slack": more retries per window
	usec_t retry_window;  /// "retries.window_ms"
	double cold_overrun;  /// "cold.overrun": factor on the cold rate
	double cold_slack;    /// "cold.slack": more requests per second
	usec_t grace;         /// "leaving.grace_ms": SIGTERM to exit
};

struct entry_settings *entry_settings_load(const char *path, GError **error);
struct entry_settings *entry_settings_parse(const char *text, GError **error);
void entry_settings_free(struct entry_settings *settings);

#endif
