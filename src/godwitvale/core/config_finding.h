/*
 * Findings of the check of a configuration: their kinds, their places in the
 * configuration, and a list of them that is bounded in size.
 */
#ifndef GODWITVALE_CORE_CONFIG_FINDING_H
#define GODWITVALE_CORE_CONFIG_FINDING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/// Findings of each severity that a list keeps; others are only counted.
#define CONFIG_FINDINGS_MAX 100
/// Longest text that a finding keeps of a name or a value, in bytes.
#define CONFIG_TEXT_BYTES_MAX 64

/// How severe a finding is.
enum config_severity {
	CONFIG_NOTE = 0, /// a difference that needs no attention
	CONFIG_WARNING,  /// probably not what was meant
	CONFIG_ERROR,    /// instances reject the configuration, or requests
};

/// Kinds of findings. The severity of each is in config_finding.c.
enum config_finding_kind {
	/* What instances read differently from what is written. */
	CONFIG_UNREADABLE,    /// error: instances reject the configuration
	CONFIG_TOO_LONG,      /// error: longer than the store holds
	CONFIG_NOT_STRICT,    /// warning: read, but not strict JSON in UTF-8
	CONFIG_REPEATED,      /// error: twice in an object; the last counts
	CONFIG_UNKNOWN_FIELD, /// warning: ignored
	/// warning: not one of the values, and taken for the safest of them
	CONFIG_UNKNOWN_VALUE,
	CONFIG_WRONG_TYPE,   /// warning: ignored, as if the field were missing
	CONFIG_OUT_OF_RANGE, /// warning: the nearest number in range is used
	CONFIG_FRACTION,     /// warning: only the whole part is used
	/// error: the list of organisations is ignored, and no request needs a
	/// key
	CONFIG_OPEN_TO_ALL,
	CONFIG_KEY_UNUSABLE, /// error: a key that isn't a string
	/// warning: a service beside a list of services, which counts alone
	CONFIG_SERVICE_IGNORED,

	/* What can't be reached. */
	/// error: another route has the same host and prefix and comes first
	CONFIG_ROUTE_SHADOWED,
	/// error: no request has such a host: it is empty or too long, or names
	/// a port
	CONFIG_HOST_UNMATCHED,
	/// error: no request's path has such a prefix
	CONFIG_PREFIX_UNMATCHED,
	CONFIG_SERVICE_MISSING,     /// error: a route to no service of the list
	CONFIG_SERVICE_UNUSED,      /// warning: no route sends it a request
	CONFIG_SERVICE_REPEATED,    /// error: a later service replaces this one
	CONFIG_ROUTE_NAME_REPEATED, /// warning: two routes have one name
	CONFIG_ORGANISATION_REPEATED, /// error: two organisations, one name
	CONFIG_KEY_SHARED,            /// error: two organisations have a key
	CONFIG_KEY_REPEATED,    /// warning: an organisation has a key twice
	CONFIG_KEYLESS,         /// warning: an organisation without a key
	CONFIG_NO_ORGANISATION, /// error: no key is valid, but routes need one
	/// error: the weights of all services of a route are 0
	CONFIG_ROUTE_WITHOUT_WEIGHT,
	/// error: no service of a route has an upstream outside of the
	/// evacuated zones
	CONFIG_ROUTE_WITHOUT_UPSTREAM,
	/// warning: one service of a route has no such upstream; its share of
	/// the requests is refused
	CONFIG_SHARE_WITHOUT_UPSTREAM,

	/* Limits and times that contradict each other. */
	CONFIG_TIMEOUT_ZERO,         /// error: every request times out
	CONFIG_TIMEOUT_UNDER_TARGET, /// warning: the target can't be exceeded
	/// warning: several attempts for requests that run at most once
	CONFIG_ATTEMPTS_UNUSED,
	CONFIG_GAP_WITHOUT_STREAM, /// warning: answers have no events
	/// warning: one body takes more memory than is meant for all clients
	CONFIG_BODY_OVER_BOUND,
	CONFIG_BODY_OVER_MEMORY, /// error: one body exceeds the machine's
				 /// memory
	/// warning: one body doesn't fit beside the kernel's socket buffers
	CONFIG_BODY_AND_SOCKETS_OVER_MEMORY,

	/* Differences from the configuration in force. */
	/// error: instances ignore a version that isn't higher
	CONFIG_VERSION_NOT_HIGHER,
	CONFIG_ROUTE_ADDED,        /// note
	CONFIG_ROUTE_REMOVED,      /// warning: repeats and resumptions get 404
	CONFIG_SERVICE_ADDED,      /// note
	CONFIG_SERVICE_REMOVED,    /// warning: waiting requests are refused
	CONFIG_ORGANISATION_ADDED, /// note
	CONFIG_ORGANISATION_REMOVED, /// warning: all its keys are invalid
	CONFIG_KEY_ADDED,            /// note
	CONFIG_KEY_REMOVED, /// warning: repeats and resumptions get 401
	CONFIG_KEY_MOVED,   /// warning: requests count for another organisation
	CONFIG_SHARE_ADDED, /// note: a route is split to one more service
	/// warning: a route's repeats and resumptions go to other services
	CONFIG_SHARE_REMOVED,
	/// note: a field that applies to requests that arrive later
	CONFIG_CHANGED,
	/// note: a field that applies at once, also to running requests
	CONFIG_CHANGED_AT_ONCE,
	/// warning: a time or limit is lowered: what was accepted may fail
	CONFIG_LOWERED,
	CONFIG_LOWERED_AT_ONCE, /// warning: the same, also for running requests
	/// note: a limit on callers, also for requests that are being received
	CONFIG_LIMIT_CHANGED,
	CONFIG_LIMIT_LOWERED, /// warning: the same; what was accepted may fail
	CONFIG_KEYS_NOT_NEEDED, /// warning: requests need no key any more
	CONFIG_KEYS_NEEDED,     /// warning: requests without a key get 401

	CONFIG_FINDING_KINDS, /// number of kinds
};

/// Lists and objects at the top of a configuration.
enum config_section {
	CONFIG_TOP = 0, /// the configuration itself
	CONFIG_ROUTES,
	CONFIG_SERVICES,
	CONFIG_ORGANISATIONS,
	CONFIG_LIMITS,
};

/// Fields of a configuration; the site's adapter knows their names.
enum config_field {
	CONFIG_FIELD_NONE = 0,
	CONFIG_FIELD_VERSION,
	CONFIG_FIELD_ROUTES,
	CONFIG_FIELD_SERVICES,
	CONFIG_FIELD_ORGANISATIONS,
	CONFIG_FIELD_LIMITS,
	CONFIG_FIELD_NAME,
	CONFIG_FIELD_HOST,
	CONFIG_FIELD_PREFIX,
	CONFIG_FIELD_KIND,
	CONFIG_FIELD_SHARES,
	CONFIG_FIELD_SERVICE,
	CONFIG_FIELD_WEIGHT,
	CONFIG_FIELD_TIMEOUT,
	CONFIG_FIELD_TARGET_LATENCY,
	CONFIG_FIELD_TARGET_GAP,
	CONFIG_FIELD_PRIORITY,
	CONFIG_FIELD_MAX_ATTEMPTS,
	CONFIG_FIELD_PUBLIC,
	CONFIG_FIELD_RESUMABLE,
	CONFIG_FIELD_GENERATION,
	CONFIG_FIELD_HEALTH_PATH,
	CONFIG_FIELD_MAX_CONNECTIONS,
	CONFIG_FIELD_COLD_RATE,
	CONFIG_FIELD_ENGINE,
	CONFIG_FIELD_SLOTS,
	CONFIG_FIELD_MEMORY_TOKENS,
	CONFIG_FIELD_BYTES_PER_TOKEN,
	CONFIG_FIELD_LINK_RATE,
	CONFIG_FIELD_TOKENS_PER_EVENT,
	CONFIG_FIELD_HANDLE_TTL,
	CONFIG_FIELD_RESERVATION_TTL,
	CONFIG_FIELD_MOVES,
	CONFIG_FIELD_BACKUPS,
	CONFIG_FIELD_KEYS,
	CONFIG_FIELD_MAX_HEAD_BYTES,
	CONFIG_FIELD_MAX_BODY_BYTES,
	CONFIG_FIELD_HEAD_TIMEOUT,
	CONFIG_FIELD_IDLE_TIMEOUT,
	CONFIG_FIELDS, /// number of fields; at most 64, see
		       /// platform/config_read.h
};

/// A place in a configuration, such as the weight of the second service of the
/// first route. Parts that aren't needed are 0.
struct config_place {
	enum config_section section;
	uint32_t index;          /// position in the list of the section, from 0
	enum config_field field; /// field of the object there
	uint32_t item; /// position in the field's list from 1; 0: it has none
	enum config_field
	    inner; /// field of that item, or of the field's object
};

/// One finding. Texts that are NULL don't apply.
struct config_finding {
	enum config_finding_kind kind;
	struct config_place place;
	struct config_place related; /// the other place, if `has_related`
	bool has_related;
	bool in_force; /// about the configuration in force, not the checked one
	/// Path of the place, set if `place` doesn't tell it.
	char *path;
	char *subject;   /// name of the route, service or organisation
	char *other;     /// name of the other one
	char *before;    /// value in the configuration in force, or the limit
	char *after;     /// value in the checked configuration
	uint32_t line;   /// from 1; 0: unknown
	uint32_t column; /// in bytes, from 1
};

/// Findings, of which CONFIG_FINDINGS_MAX of each severity are kept.
struct config_findings {
	GPtrArray *kept[CONFIG_ERROR + 1]; /// struct config_finding *
	size_t counts[CONFIG_ERROR + 1];   /// also of those not kept
};

struct config_findings *config_findings_new(void);
void config_findings_free(struct config_findings *findings);
struct config_finding *config_findings_add(struct config_findings *findings,
    enum config_finding_kind kind, const struct config_place *place);
enum config_severity config_finding_severity(enum config_finding_kind kind);
char *config_finding_text(const char *text);
char *config_finding_key_text(const char *key);

#endif
