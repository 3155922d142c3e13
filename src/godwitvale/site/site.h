/*
 * Interface between an entry instance and the site that it runs on. The site's
 * adapter provides one `struct site`. Its functions only read and write the
 * formats of the site; they make no decisions.
 */
#ifndef GODWITVALE_SITE_SITE_H
#define GODWITVALE_SITE_SITE_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/config_finding.h"
#include "godwitvale/core/deployment_defs.h"
#include "godwitvale/http/head.h"

/// Size of a buffer for the id of an upstream or a copy.
#define SITE_ID_BYTES 80
/// Maximum length of the name of an item and of the names in an upstream's
/// entry, in bytes. Messages between instances hold no longer ones.
#define SITE_NAME_BYTES_MAX (SITE_ID_BYTES - 1)
/// Maximum length of an upstream's entry, in bytes. It fits into a message
/// between instances.
#define SITE_ENTRY_BYTES_MAX (32 * 1024)
/// Maximum number of shared prompt segments that are read from a request.
#define SITE_SEGMENTS_MAX 16
/// Event number used when no event has been delivered yet.
#define SITE_NO_EVENT (-1)

/// Kind of an item of the store.
enum site_item_kind {
	SITE_ITEM_OTHER = 0,
	SITE_ITEM_CONFIG,     /// the configuration
	SITE_ITEM_UPSTREAM,   /// an upstream; `name` is the upstream's id
	SITE_ITEM_EVACUATION, /// an evacuated zone; `name` is the zone's name
};

/// One item of the store, or its deletion.
struct site_item {
	enum site_item_kind kind;
	char *key;     /// key in the store; NULL if a peer sent the item
	char *name;    /// part of the key after the prefix of the kind
	GBytes *value; /// NULL if the item was deleted
	/// Store revision of its last change. The adapter reads the number
	/// only; see core/store_revision.h.
	uint64_t revision;
	/// Store revision at which the item came to be, likewise; 0: not told.
	uint64_t created;
};

/// Parsed reply of the store.
struct site_reply {
	GPtrArray *items; /// struct site_item *
	uint64_t as_of;   /// store revision of the reply; a number only, too
	bool has_more;    /// another page follows the last item
	/// key of the last item that has one, even if the item is malformed and
	/// skipped; NULL: none
	char *last_key;
};

/// Part of the store that is read by one call.
enum site_scope {
	SITE_SCOPE_UPSTREAMS,
	SITE_SCOPE_OPERATOR, /// configuration and evacuations
	SITE_SCOPE_ALL,      /// both; for watches only
};

/// Fields in the head of a caller's request.
struct site_request {
	const char *id;   /// id of this attempt; NULL: none
	const char *host; /// "" if there is none
	const char *key;  /// API key of an organisation; NULL: none
	usec_t timeout;   /// time limit of the caller; 0: not given
	int32_t prompt_tokens;
	int32_t max_output_tokens;
	int32_t output_hint; /// the caller's estimate of the output; 0: none
	int64_t last_event;  /// last event that the caller has received
	/// id of the caller's attempt that brought the first event of the
	/// stream that it takes up; NULL: it takes up none, or doesn't say
	const char *resumes;
	/// Ids of the prompt's segments that other requests may share, in
	/// order; without the last one, which is the request's own.
	uint64_t segments[SITE_SEGMENTS_MAX];
	unsigned n_segments;
};

/// Fields that are set in the head of a request to an upstream.
struct site_upstream_request {
	usec_t timeout;           /// time left before the caller's limit
	const char *upstream_id;  /// id of the upstream that must serve it
	const char *organisation; /// NULL: none
	int64_t last_event;       /// resume after it; SITE_NO_EVENT: start
	const char *copy_source;  /// address of the upstream with the copy
	const char *copy_handle;  /// copy to resume from; NULL: none
	const char *backup;       /// upstream that keeps a copy; NULL: none
	const char *reservation;  /// id of a reserved place; NULL: none
};

/// Whether an answer states a number.
enum site_statement {
	SITE_STATEMENT_NONE = 0,
	SITE_STATEMENT_MADE,
	SITE_STATEMENT_UNREADABLE, /// states something that isn't a number
};

/// Fields in the head of an upstream's answer.
struct site_answer {
	bool not_run; /// the upstream hasn't run the request and won't run it
	bool misdirected; /// another upstream uses the address now
	bool is_signed;   /// has the field that shows that an upstream sent it
	bool is_stream;
	bool leaving; /// the upstream leaves
	/// Whether it names a limit; without one, none is in force.
	enum site_statement limit;
	/// Requests a second that the upstream takes from all instances
	/// together; valid with SITE_STATEMENT_MADE.
	double rate_limit;
	/// Whether it says that it is brittle: that it falls over when it has
	/// to turn away more requests in a second than it names.
	enum site_statement brittle;
	/// Requests in a second that it names; valid with SITE_STATEMENT_MADE.
	double tolerated_refusals;
	/// Whether it turns the request away and asks for a pause.
	enum site_statement pause;
	/// Time for which the upstream wants nothing from this instance; valid
	/// with SITE_STATEMENT_MADE.
	usec_t pause_span;
};

/// Outcome of a request to copy a generation to another upstream.
enum site_copy_outcome {
	SITE_COPY_MADE = 1,
	SITE_COPY_NO_ROOM,
	SITE_COPY_NOT_RUNNING,
	SITE_COPY_IN_PROGRESS,
	SITE_COPY_UNKNOWN, /// no answer, or an invalid one
};

/// Answer to a request to copy a generation.
struct site_copy {
	enum site_copy_outcome outcome;
	char handle[SITE_ID_BYTES]; /// handle of the copy; "": none
	int64_t events; /// number made before the copy; SITE_NO_EVENT: unknown
};

/// Outcome of a request to reserve a place at an engine.
enum site_reservation_outcome {
	SITE_RESERVATION_MADE = 1,
	SITE_RESERVATION_NO_ROOM,
	SITE_RESERVATION_UNKNOWN, /// no answer, or an invalid one
};

/// Answer to a request to reserve a place at an engine.
struct site_reservation {
	enum site_reservation_outcome outcome;
	char id[SITE_ID_BYTES]; /// valid with SITE_RESERVATION_MADE
};

/// Contents of an engine's report on itself.
struct site_report {
	bool leaving;
	usec_t leaves_in; /// time until it is gone; negative: unknown
	/// differs after each start of the engine, as in its entry; 0: not
	/// reported
	uint64_t incarnation;
};

/// Functions and constants of an adapter.
struct site {
	/// Header field by which an answer names its request.
	const char *id_field;

	/// @return target of a GET for a page of a scope's items after a key;
	///         owned by the caller
	char *(*list_target)(
	    enum site_scope scope, const char *after, bool may_be_stale);
	/// @return target of a GET that waits for changes after a revision;
	///         owned by the caller
	char *(*watch_target)(
	    enum site_scope scope, uint64_t after, usec_t wait);
	/// Parses the body of the answer to either GET.
	struct site_reply *(*read_reply)(
	    const char *body, size_t len, GError **error);
	/// @return whether a status means that the store has lost its history
	bool (*is_history_lost)(unsigned status);
	/// Reads the store's era from the head of any of its answers; 0: none.
	uint64_t (*read_era)(const struct http_head *head);

	/// Parses a configuration.
	struct deployment *(*read_config)(
	    const char *text, size_t len, uint64_t revision, GError **error);
	/// Parses a configuration as read_config() does, and adds what is read
	/// otherwise than it is written. NULL: instances reject the text; the
	/// findings tell why.
	struct deployment *(*check_config)(
	    const char *text, size_t len, struct config_findings *findings);
	/// @return path of a place in the site's names; owned by the caller
	char *(*config_path)(const struct config_place *place);
	/// Sets a finding's path, line and column in the text it is about.
	void (*locate_finding)(
	    const char *text, size_t len, struct config_finding *finding);
	/// Parses an upstream's entry; free with site_entry_free().
	struct upstream_entry *(*read_upstream)(
	    const char *id, const char *text, size_t len, GError **error);

	/// Reads the head of a caller's request. The strings in `request`
	/// belong to `head`.
	void (*read_request)(
	    const struct http_head *head, struct site_request *request);
	/// Writes the head of a request to an upstream.
	void (*write_request)(const struct http_head *from,
	    const struct site_upstream_request *fields, struct http_head *to);
	/// Reads the head of an upstream's answer.
	void (*read_answer)(
	    const struct http_head *head, struct site_answer *answer);
	/// @return whether callers take a request as not run, now and later, if
	///         it is answered with a status
	bool (*means_not_run)(unsigned status);

	/// Writes a request to copy a running generation to another upstream.
	/// `target` and `body` are owned by the caller.
	void (*write_copy_request)(const char *request_id,
	    const char *target_address, bool stop, char **target, char **body);
	void (*read_copy_answer)(unsigned status, const char *body, size_t len,
	    struct site_copy *copy);
	/// @return target of a DELETE that frees a copy; owned by the caller
	char *(*drop_copy_target)(const char *handle);
	/// Writes a request to reserve a place for a number of tokens.
	/// `target` and `body` are owned by the caller.
	void (*write_reservation)(
	    uint32_t tokens, usec_t ttl, char **target, char **body);
	void (*read_reservation)(unsigned status, const char *body, size_t len,
	    struct site_reservation *reservation);
	/// @return target of a DELETE that releases an unused reservation;
	///         owned by the caller
	char *(*release_target)(const char *id);
	/// Target of a GET for an engine's report.
	const char *report_target;
	bool (*read_report)(
	    const char *body, size_t len, struct site_report *report);
};

void site_item_free(void *item);
void site_reply_free(struct site_reply *reply);
void site_entry_free(struct upstream_entry *entry);

#endif
