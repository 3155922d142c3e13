/*
 * What the product needs to know of the site that it runs on. An adapter
 * fills in one `struct site`; it reads and writes the site's formats and
 * decides nothing.
 */
#ifndef GODWITVALE_SITE_SITE_H
#define GODWITVALE_SITE_SITE_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/deployment_defs.h"
#include "godwitvale/http/head.h"

/// Room for an upstream's or a copy's id.
#define SITE_ID_BYTES 80
/// No event has been delivered yet.
#define SITE_NO_EVENT (-1)

/// What an item of the store is about.
enum site_item_kind {
	SITE_ITEM_OTHER = 0,
	SITE_ITEM_CONFIG,     /// the configuration
	SITE_ITEM_UPSTREAM,   /// an upstream's entry; named by its id
	SITE_ITEM_EVACUATION, /// an evacuated zone; named by the zone
};

/// One item of the store, or its deletion.
struct site_item {
	enum site_item_kind kind;
	char *key;         /// in the store; NULL when a peer told of it
	char *name;        /// what follows the kind's prefix in the key
	GBytes *value;     /// NULL: deleted
	uint64_t revision; /// of its last change
};

/// What a call to the store answered.
struct site_reply {
	GPtrArray *items; /// struct site_item *
	uint64_t as_of;   /// the store's revision
	bool has_more;    /// a further page follows the last item
};

/// What of the store is read at a time.
enum site_scope {
	SITE_SCOPE_UPSTREAMS,
	SITE_SCOPE_OPERATOR, /// configuration and evacuations
};

/// What a request's head says to the system.
struct site_request {
	const char *id;   /// of this attempt; NULL: none
	const char *host; /// "" when there is none
	const char *key;  /// of an organisation; NULL: none
	usec_t patience;  /// how long the caller waits; 0: not said
	int32_t prompt_tokens;
	int32_t max_output_tokens;
	int32_t output_hint; /// the caller's estimate; 0: none
	int64_t last_event;  /// the caller has events up to it
};

/// What the system adds to a request for an upstream.
struct site_send {
	usec_t patience;          /// what is left of it
	const char *instance;     /// the upstream that is meant
	const char *organisation; /// NULL: none
	int64_t last_event; /// goes on after it; SITE_NO_EVENT: from the start
	const char *copy_source; /// upstream whose copy it goes on from; NULL
	const char *copy_handle; /// of that copy
	const char *backup;      /// upstream that keeps a copy; NULL: none
};

/// What an answer's head says.
struct site_answer {
	bool not_run;     /// the upstream has not run the request and won't
	bool misdirected; /// another upstream has the address now
	bool is_signed;   /// it comes from an upstream
	bool is_stream;
};

/// What became of a copy that was asked for.
enum site_copy_outcome {
	SITE_COPY_MADE = 1,
	SITE_COPY_NO_ROOM,
	SITE_COPY_NOT_RUNNING,
	SITE_COPY_IN_PROGRESS,
	SITE_COPY_UNKNOWN, /// no answer that can be understood
};

/// Answer to a copy that was asked for.
struct site_copy {
	enum site_copy_outcome outcome;
	char handle[SITE_ID_BYTES]; /// "": none
	int64_t events;             /// made before the copy; SITE_NO_EVENT
};

/// What an engine says of itself when it is asked.
struct site_report {
	bool leaving;
	usec_t leaves_in; /// span until it is gone; negative: not said
};

/// The adapter's calls.
struct site {
	/// Field by which answers name the request that they belong to.
	const char *id_field;

	/// @return target of a GET for a page of a scope's items, after a key
	char *(*list_target)(
	    enum site_scope scope, const char *after, bool may_be_stale);
	/// @return target of a GET that waits for changes after a revision
	char *(*watch_target)(
	    enum site_scope scope, uint64_t after, usec_t wait);
	/// Reads the answer to either.
	struct site_reply *(*read_reply)(
	    const char *body, size_t len, GError **error);
	/// @return whether a status says that the history is gone
	bool (*is_history_lost)(unsigned status);

	/// Reads a configuration.
	struct deployment *(*read_config)(
	    const char *text, size_t len, uint64_t revision, GError **error);
	/// Reads an upstream's entry; free with site_entry_free().
	struct upstream_entry *(*read_upstream)(
	    const char *id, const char *text, size_t len, GError **error);

	/// Reads a request's head; what it points to is the head's.
	void (*read_request)(
	    const struct http_head *head, struct site_request *request);
	/// Writes the head that an upstream gets.
	void (*write_request)(const struct http_head *from,
	    const struct site_send *send, struct http_head *to);
	/// Reads an answer's head.
	void (*read_answer)(
	    const struct http_head *head, struct site_answer *answer);

	/// Asks for a copy of a running generation.
	void (*write_copy)(const char *request_id, const char *target_address,
	    bool stop, char **target, char **body);
	void (*read_copy)(unsigned status, const char *body, size_t len,
	    struct site_copy *copy);
	/// @return target of a DELETE that frees a copy
	char *(*drop_copy_target)(const char *handle);
	/// Target of a GET for an engine's report.
	const char *report_target;
	bool (*read_report)(
	    const char *body, size_t len, struct site_report *report);
};

void site_item_free(void *item);
void site_reply_free(struct site_reply *reply);
void site_entry_free(struct upstream_entry *entry);

#endif
