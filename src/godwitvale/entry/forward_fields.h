/*
 * Header fields of requests that one instance forwards to another, and of the
 * answers to them.
 */
#ifndef GODWITVALE_ENTRY_FORWARD_FIELDS_H
#define GODWITVALE_ENTRY_FORWARD_FIELDS_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/retry_after.h"
#include "godwitvale/core/verdict_defs.h"
#include "godwitvale/http/head.h"

/// What a forwarded request says of itself.
struct forward_request {
	char *sender;         /// name of the instance that forwards it
	uint64_t incarnation; /// of that instance
	/// name of the organisation that the sender found by the caller's key;
	/// NULL: none
	char *organisation;
	uint64_t config_version; /// of the sender
	unsigned attempts;       /// sends to upstreams so far
	/// The sender has counted the next send to an upstream: as a first one,
	/// or by a retry permit. Senders of older builds never say so.
	bool is_counted;
	bool has_version;     /// the caller has events of the stream
	uint64_t version_key; /// version that the stream goes on at
};

/// What the answer to a forwarded request says, beside the upstream's own head.
struct forward_answer {
	/// The receiver answers by itself; `verdict` tells whether the request
	/// ran.
	bool is_own;
	enum verdict verdict;
	/// Why the receiver refuses; 0: it doesn't, or another reason.
	enum retry_after_reason reason;
	uint64_t version_key; /// of the upstream that answers; 0: unknown
};

void forward_fields_remove(struct http_head *head);
void forward_fields_write_request(
    struct http_head *head, const struct forward_request *request);
bool forward_fields_read_request(
    const struct http_head *head, struct forward_request *request);
void forward_request_clear(struct forward_request *request);
void forward_fields_write_own(struct http_head *head, enum verdict verdict,
    enum retry_after_reason reason);
void forward_fields_write_version(struct http_head *head, uint64_t version_key);
void forward_fields_read_answer(
    const struct http_head *head, struct forward_answer *answer);

#endif
