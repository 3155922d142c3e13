/* Types of one caller's request on its way through the filters. */
#ifndef GODWITVALE_SERVE_REQUEST_DEFS_H
#define GODWITVALE_SERVE_REQUEST_DEFS_H

#include <libsoup/soup.h>

#include "godwitvale/core/quorum_defs.h"
#include "godwitvale/core/relay.h"
#include "godwitvale/core/router_defs.h"
#include "godwitvale/serve/instance_defs.h"
#include "godwitvale/serve/refusal.h"

/// Handle of a request in the instance's table; 0 is none.
typedef uint64_t request_handle;

/// Paths of calls to plain services begin with this.
#define SERVICE_PREFIX "/services/"

enum request_kind { REQUEST_GENERATION = 1, REQUEST_CALL };

/// What a filter did with a request.
enum filter_result {
	FILTER_NEXT = 1, /// go on with the next filter
	FILTER_WAIT,     /// an event will advance the request
	FILTER_DONE,     /// the caller has its final answer
};

/// One stage of the pipe.
struct filter {
	enum filter_result (*run)(struct request *request);
	const char *name;
};

/// One caller's request.
struct request {
	const struct filter *stage; /// the filter that runs next
	struct instance *instance;
	request_handle handle;
	enum request_kind kind;
	SoupServerMessage *message; /// NULL once the caller is gone
	gulong finished_signal;
	char *path;   /// REQUEST_CALL: path behind the service's name
	char *target; /// name of the model or service
	GBytes *body;
	bool stream; /// the caller asked for a stream
	bool chat;
	bool headers_sent;
	bool answered;     /// the final answer was given
	usec_t hangup_due; /// when the caller's connection is looked at next
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	unsigned n_prefix;
	uint64_t prefix[ROUTER_PREFIX_BLOCKS_MAX];

	GQuark organisation;
	uint32_t weight;
	int priority;
	GQuark class_id;
	usec_t start_deadline;
	bool idempotent;
	usec_t call_timeout_at; /// an answer is waited for until then
	usec_t call_timeout;
	struct quorum_key key; /// identity; kind 0: none needed
	quorum_ticket ticket;
	bool granted;
	bool denied;          /// the voters told what is known of its runs
	bool refusing;        /// refused as soon as the claim is decided
	enum refusal refusal; /// .. for this reason
	usec_t retry_at;      /// .. to come back then
	node_id join_holder;  /// repeat: who holds the grant; 0: no repeat
	usec_t join_due;      /// repeat: when the holder is asked next
	bool join_pending;

	router_request routed;
	router_upstream upstream; /// where it goes; 0: not placed
	enum verdict verdict;
	unsigned attempt; /// events of earlier attempts are dropped
	GCancellable *cancellable;
	struct relay relay;
	GString *text;    /// whole answers: the text so far
	char *end_chunk;  /// data of the generation's end event
	GString *pending; /// streams: bytes not yet given to the caller
};

#endif
