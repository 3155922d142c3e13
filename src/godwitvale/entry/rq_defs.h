/* One request of a caller; shared by the files that carry it along. */
#ifndef GODWITVALE_ENTRY_RQ_DEFS_H
#define GODWITVALE_ENTRY_RQ_DEFS_H

#include "godwitvale/core/retry_after.h"
#include "godwitvale/core/event_splitter.h"
#include "godwitvale/core/handover.h"
#include "godwitvale/core/verdict.h"
#include "godwitvale/entry/entry_defs.h"
#include "godwitvale/http/exchange.h"
#include "godwitvale/http/fetch.h"

/// A request. Callbacks hold a reference while they run; `done` says that
/// its final answer is out.
struct entry_request {
	struct entry *entry;
	struct http_call *call;

	/* What was asked. */
	struct site_request facts;
	struct deployment *deployment; /// in force when it came
	const struct route *route;
	const struct organisation *organisation;
	const char *service;
	struct estimate_series *series; /// output lengths of its route
	usec_t arrived_at;
	usec_t deadline; /// of the final answer

	/* Where it is. */
	struct exchange *exchange;
	struct dispatch_target target;
	uint64_t tried[DISPATCH_TRIED_MAX];
	usec_t sent_at;
	usec_t wait_deadline;
	struct load charged;
	enum verdict verdict;
	unsigned attempts;
	unsigned n_tried;
	guint timer;

	/* Its answer. */
	struct http_head answer;
	GString *body; /// of an answer that isn't streamed
	struct event_splitter splitter;
	int64_t last_event;
	usec_t first_event_at;
	usec_t last_event_at;
	usec_t longest_gap; /// between two events
	unsigned events;
	unsigned events_of_run; /// since it was last sent to an upstream

	/* Its handover to another upstream. */
	unsigned handovers;
	struct handover handover;
	struct dispatch_target copy;   /// the upstream that gets a copy
	struct dispatch_target source; /// the upstream it was copied from
	int64_t events_copied;         /// made before the last copy
	struct fetch *copy_call;
	struct load charged_copy;

	int refs;
	bool done;
	bool is_charged;
	bool is_charged_copy;
	bool is_waiting;
	bool is_stream; /// events are passed on one by one
	bool begun;     /// the answer's head has left for the caller
	bool resuming;  /// sent to go on, no event yet
};

/* rq.c */
struct entry_request *rq_ref(struct entry_request *request);
void rq_unref(struct entry_request *request);
void rq_send(
    struct entry_request *request, const struct site_upstream_request *how);
void rq_place(struct entry_request *request);
void rq_refuse(struct entry_request *request, enum retry_after_reason reason,
    const char *why);
void rq_fail(struct entry_request *request, unsigned status, const char *why);
void rq_done(
    struct entry_request *request, unsigned status, const char *outcome);
void rq_set_timer(struct entry_request *request);
void rq_drop_exchange(struct entry_request *request);
void rq_note_tried(struct entry_request *request, uint64_t key);
bool rq_may_repeat(const struct entry_request *request);
uint32_t rq_tokens_made(const struct entry_request *request);
int32_t rq_expected_output(const struct entry_request *request);
struct place_request rq_size(const struct entry_request *request);
void rq_grow(struct entry_request *request);
struct load rq_load(const struct entry_request *request);

/* continuation.c */
void continuation_init(struct entry_request *request);
void continuation_clear(struct entry_request *request);
void continuation_notice(struct entry_request *request, usec_t leaves_at);
void continuation_run(struct entry_request *request);
void continuation_cut(struct entry_request *request, const char *why);
void continuation_resumed(struct entry_request *request);
void continuation_refused(struct entry_request *request, const char *why);
bool continuation_can_move(const struct entry_request *request);
bool continuation_is_possible(const struct entry_request *request);

/* answer.c */
const struct exchange_vtable *answer_vtable(void);

#endif
