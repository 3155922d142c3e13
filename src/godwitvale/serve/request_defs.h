/* Types of a caller's request and of the filters that process it. */
#ifndef GODWITVALE_SERVE_REQUEST_DEFS_H
#define GODWITVALE_SERVE_REQUEST_DEFS_H

#include <libsoup/soup.h>

#include "godwitvale/core/quorum_defs.h"
#include "godwitvale/core/relay.h"
#include "godwitvale/core/router_defs.h"
#include "godwitvale/serve/instance_defs.h"
#include "godwitvale/serve/refusal.h"

/// Handle of a request in the instance's table; 0 means no request.
typedef uint64_t request_handle;

/// Prefix of the paths of calls to plain services.
#define SERVICE_PREFIX "/services/"

enum request_kind {
	REQUEST_GENERATION = 1, /// generates tokens with a model
	REQUEST_CALL,           /// calls a plain service
};

/// Result of running a filter on a request.
enum filter_result {
	FILTER_NEXT = 1, /// run the next filter
	FILTER_WAIT,     /// a later event continues or ends the request
	FILTER_DONE,     /// the final answer was given
};

/// One stage of the filter pipeline.
struct filter {
	enum filter_result (*run)(struct request *request);
	const char *name;
};

/// One caller's request.
struct request {
	const struct filter *stage; /// next filter to run
	struct instance *instance;
	request_handle handle;
	enum request_kind kind;
	SoupServerMessage *message; /// NULL after the caller has disconnected
	gulong finished_handler_id;
	char *path;   /// REQUEST_CALL: path and query sent to the service
	char *target; /// name of the requested model or service
	GBytes *body;
	bool stream;       /// the caller requested a streamed answer
	bool chat;         /// chat completion; otherwise a text completion
	bool headers_sent; /// response headers of a streamed answer were sent
	bool answered;     /// the final answer was given to the caller
	usec_t next_hangup_check_at; /// next check of the caller's connection
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	unsigned n_prefix; /// number of hashes in `prefix`
	uint64_t prefix[ROUTER_PREFIX_BLOCKS_MAX]; /// chained block hashes

	GQuark organisation;
	uint32_t weight;       /// fair share of the organisation
	int priority;          /// from the workload class; higher goes first
	GQuark class_id;       /// workload class
	usec_t start_deadline; /// refused if it cannot start before this time
	bool idempotent;       /// may run more than once
	usec_t call_deadline;  /// when the wait for the answer times out
	usec_t call_timeout; /// time limit of an attempt or of a repeat's wait
	struct quorum_key key; /// key of the call's claim; kind 0: no key
	quorum_ticket ticket;  /// claim on `key`; 0: no claim
	bool claim_granted;    /// a claim on `key` was granted
	bool claim_denied; /// a claim on `key` was denied, which set `verdict`
	bool refuse_after_claim; /// refuse when the claim is decided
	enum refusal refusal;    /// refuse_after_claim: reason for the refusal
	usec_t retry_at;     /// refuse_after_claim: when the caller may retry
	node_id join_holder; /// repeated call: holder of the grant; otherwise 0
	usec_t next_join_poll_at; /// repeated call: next query to the holder
	bool join_pending; /// repeated call: a query to the holder is running

	router_request router_handle; /// 0: not known to the router
	router_upstream upstream;     /// chosen upstream; 0: not placed
	enum verdict verdict;         /// whether an attempt may have run
	unsigned attempt; /// serial; events of earlier attempts are ignored
	GCancellable *cancellable; /// cancels the current attempt
	struct relay relay;
	GString *answer_text; /// whole answer: text received so far
	char *end_event_data; /// never set, only freed
	GString *unsent;      /// streamed answer: bytes to be flushed
};

#endif
