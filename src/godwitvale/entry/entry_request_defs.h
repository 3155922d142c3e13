/*
 * State of one request of a caller, and the functions that entry_request.c,
 * answer.c and continuation.c share.
 */
#ifndef GODWITVALE_ENTRY_ENTRY_REQUEST_DEFS_H
#define GODWITVALE_ENTRY_ENTRY_REQUEST_DEFS_H

#include "godwitvale/core/retry_after.h"
#include "godwitvale/core/event_splitter.h"
#include "godwitvale/core/handover.h"
#include "godwitvale/core/verdict.h"
#include "godwitvale/entry/entry_defs.h"
#include "godwitvale/http/exchange.h"
#include "godwitvale/http/fetch.h"

/// Instances that a request can be forwarded to, one after the other.
#define ENTRY_REQUEST_HELPERS_MAX 2

/// A request. A callback holds a reference while it runs, because the request
/// may end in the meantime. `is_done` is set once the final answer was written
/// or aborted.
struct entry_request {
	struct entry *entry;
	struct http_call *call;
	uint64_t connection; /// number of the caller's connection

	/* Content of the request. */
	struct site_request params;
	/// Operator's configuration that was in force when the request arrived.
	struct deployment *deployment;
	const struct route *route;
	const struct organisation *organisation;
	const char *service;
	struct estimate_series *output_series; /// output lengths of the route
	/// Identifies what is asked for: hash of path, caller and body. Other
	/// attempts of the caller have the same one, whatever their ids are.
	uint64_t fingerprint;
	usec_t arrived_at;  /// when its first byte was read
	usec_t received_at; /// when its last byte was read
	usec_t deadline;    /// time by which the whole answer must be sent
	/// time by which the answer, or its first event, meets the target of
	/// the route; earlier attempts of the caller count
	usec_t target_at;
	/// stream that the caller takes up: hash of the id of the attempt that
	/// brought its first event; 0: none is named
	uint64_t resumed_stream;
	struct stream_lookup *lookup; /// NULL unless its version is searched

	/* Current attempt, or wait for capacity. */
	struct exchange *exchange;
	struct dispatch_target target;
	uint64_t tried[DISPATCH_TRIED_MAX];
	usec_t sent_at;
	/// the engine has confirmed since when it is the process that the
	/// directory describes
	bool is_confirmed;
	usec_t heard_at; /// when anything last came from the upstream
	/// 0 until this attempt first waits for capacity; kept while engines
	/// are asked for a place
	usec_t wait_deadline;
	struct load charged_load;
	enum verdict verdict;
	/// software version that began the stream; 0: unknown. Valid if
	/// `has_version`.
	uint64_t version_key;
	/// call that asks for a place at `target`; NULL: none is running
	struct fetch *reservation_fetch;
	/// id of the place that is reserved at `target`; "": none
	char reservation[SITE_ID_BYTES];
	struct fetch *version_check; /// of `target`; NULL: none is running
	usec_t version_asked_at;     /// when it was started
	/// incarnation whose version a report has confirmed; 0: none
	uint64_t checked_key;
	unsigned attempts;
	unsigned placements; /// like `attempts`, but never corrected
	unsigned n_tried;
	unsigned n_unreachable; /// upstreams that accepted no connection
	guint timer;

	/* Answer. */
	struct http_head answer_head;
	GString *answer_body;           /// buffered part; unused by a stream
	struct client_hold answer_hold; /// of that part
	struct event_splitter splitter;
	int64_t last_event_id;
	usec_t first_event_at;
	usec_t last_event_at;
	usec_t last_interval; /// between two events of this attempt; or 0
	usec_t longest_gap;   /// between two consecutive events
	unsigned events_sent;
	unsigned events_of_attempt; /// since the request was last sent
	bool answer_began; /// a head has arrived since it was last sent
	/// the upstream has survived the beginning of this attempt's answer
	bool has_survived;
	/// when it counts as having survived; valid from the first event on
	usec_t survives_at;
	double named_limit; /// limit that the last head named; negative: none

	/* Forwarding to another instance, which `target` then names. */
	uint64_t helpers[ENTRY_REQUEST_HELPERS_MAX]; /// asked, by name hash
	unsigned n_helpers;
	uint64_t helper_incarnation; /// of the one that was asked last
	/* What an answer of the other instance's own says. */
	enum verdict own_verdict;
	enum retry_after_reason own_reason; /// 0: it refuses for no known one
	unsigned own_status;
	usec_t own_retry_at; /// USEC_NEVER: not given

	/* Handover to another upstream. */
	unsigned handovers;
	struct handover handover;
	struct dispatch_target copy_target; /// upstream to copy to
	struct dispatch_target copy_source; /// upstream to copy from
	int64_t events_copied; /// events generated before the last copy
	struct fetch *copy_fetch;
	struct load charged_copy_load;

	int refs;
	bool is_done;
	bool is_charged;
	bool is_copy_charged;
	bool is_waiting;
	bool is_stream;        /// events are forwarded one by one
	bool response_started; /// the head was written to the caller
	/// the last event that the caller has bears no id, so no other attempt
	/// can go on after it
	bool has_unnumbered_tail;
	bool is_resuming;   /// sent to resume from a copy; no event yet
	bool is_forwarding; /// its exchange is with another instance
	bool is_own_answer; /// that instance answers by itself
	bool is_forwarded;  /// another instance has forwarded it to this one
	bool is_trial;      /// sent although a quarantine covers it
	bool has_version;   /// the caller has events of the stream
	/// the current attempt, or the next one if none runs, is counted as a
	/// first request or by a retry permit, here or at the sender
	bool is_counted;
};

/* entry_request_log.c */
char *entry_request_format_segments(
    const uint64_t *segments, unsigned n_segments);

void entry_request_log_end(
    const struct entry_request *request, unsigned status, const char *outcome);
void entry_request_record_metrics(
    const struct entry_request *request, const char *outcome);

/* entry_request_load.c */
uint32_t entry_request_count_output_tokens(const struct entry_request *request);
int32_t entry_request_estimate_output_tokens(
    const struct entry_request *request);
struct place_request entry_request_make_place_request(
    const struct entry_request *request);
void entry_request_update_load(struct entry_request *request);
void entry_request_adjust_load(struct entry_request *request,
    const struct dispatch_target *target, const struct load *load, int sign);
struct load entry_request_estimate_load(const struct entry_request *request);

/* entry_request_place.c */
void entry_request_place(struct entry_request *request);
void entry_request_start_attempt(struct entry_request *request);
bool entry_request_refuse_if_barred(struct entry_request *request);
bool entry_request_is_engine_scarce(const struct entry_request *request);
bool entry_request_is_wait_over(struct entry_request *request);
void entry_request_stop_waiting(struct entry_request *request);

/* entry_request.c */
usec_t entry_request_time_left(const struct entry_request *request);
void entry_request_note_sent(struct entry_request *request);
void entry_request_refuse_until(struct entry_request *request, usec_t retry_at,
    enum retry_after_reason reason, const char *outcome);
struct entry_request *entry_request_ref(struct entry_request *request);
void entry_request_unref(struct entry_request *request);
void entry_request_send(struct entry_request *request,
    const struct site_upstream_request *continuation);
void entry_request_refuse(struct entry_request *request,
    enum retry_after_reason reason, const char *outcome);
void entry_request_refuse_quarantined(
    struct entry_request *request, const char *outcome);
void entry_request_fail(
    struct entry_request *request, unsigned status, const char *outcome);
void entry_request_finish(
    struct entry_request *request, unsigned status, const char *outcome);
void entry_request_set_timer(struct entry_request *request);
void entry_request_charge(struct entry_request *request);
void entry_request_refuse_without_room(struct entry_request *request);
void entry_request_cancel_exchange(struct entry_request *request);
void entry_request_cancel_refused_exchange(struct entry_request *request);
void entry_request_add_tried(struct entry_request *request, uint64_t key);
bool entry_request_can_go_on(const struct entry_request *request);
bool entry_request_is_repeatable(const struct entry_request *request);
bool entry_request_can_be_retried(const struct entry_request *request);
bool entry_request_take_retry_permit(struct entry_request *request);

/* continuation.c */
void continuation_init(struct entry_request *request);
void continuation_clear(struct entry_request *request);
void continuation_note_leaving(struct entry_request *request, usec_t leaves_at);
void continuation_advance(struct entry_request *request);
usec_t continuation_wake_time(const struct entry_request *request);
void continuation_handle_cut(struct entry_request *request, const char *reason);
bool continuation_handle_end(struct entry_request *request);
void continuation_handle_resumed(struct entry_request *request);
void continuation_handle_not_taken(
    struct entry_request *request, const char *reason, bool has_arrived);
void continuation_handle_refusal(
    struct entry_request *request, const char *reason);
bool continuation_is_supported(const struct entry_request *request);
bool continuation_is_in_progress(const struct entry_request *request);

/* answer.c */
const struct exchange_vtable *answer_vtable(void);
bool answer_accept_head(struct entry_request *request,
    const struct http_head *head, const struct site_answer *info);
void answer_complete(struct entry_request *request);

#endif
