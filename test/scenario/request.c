/*
 * The way of a call through an instance, in the daemon's order: admit, place,
 * confirm, claim, check right before the send, relay, finish.
 */
#include "scenario.h"

#include "godwitvale/core/verdict.h"

/* As in the daemon. */
#define RETRY_SOON (1 * USEC_PER_SEC)
#define PATIENCE (10 * USEC_PER_SEC)
#define RESUME_LIMIT 4
#define JOIN_INTERVAL (100 * USEC_PER_MSEC)

static bool
naive(const struct call *call, enum naive flag)
{
	return (call->inst->world->naive & flag) != 0;
}

static void
settle_claim(struct call *call)
{
	struct quorum *quorum = call->inst->quorum;
	usec_t now = inst_now(call->inst);

	if (call->ticket != 0 && call->granted &&
	    call->verdict != VERDICT_NOT_RUN)
		quorum_report_outcome(quorum, now, call->ticket, call->verdict);
	else if (call->ticket != 0)
		quorum_release_claim(quorum, now, call->ticket);
	call->ticket = 0;
}

static void
close_conn(struct call *call)
{
	if (call->conn != NULL)
		call->conn->closed = true;
	call->conn = NULL;
}

static void
end_call(struct call *call, enum outcome outcome, const char *reason)
{
	call->outcome = outcome;
	call->reason = reason;
	settle_claim(call);
	if (call->routed != 0)
		router_finish(call->inst->router, inst_now(call->inst),
		    call->routed, ROUTER_OUTCOME_DONE, call->n_tokens);
	call->routed = 0;
	close_conn(call);
	g_ptr_array_remove_fast(call->inst->calls, call);
}

static void
refuse(struct call *call, const char *reason, usec_t retry_at)
{
	check_refusal(call, retry_at);
	end_call(call,
	    call->n_tokens > 0 && call->stream ? OUTCOME_FAILED
					       : OUTCOME_REFUSED,
	    reason);
}

static void
refuse_soon(struct call *call, const char *reason)
{
	refuse(call, reason, inst_now(call->inst) + RETRY_SOON);
}

static bool
may_admit(const struct call *call)
{
	return naive(call, NAIVE_AUTHORITY) ||
	    authority_may_admit(&call->inst->authority, inst_now(call->inst));
}

void
request_arrive(struct world *world, void *data)
{
	struct call *call = data;
	struct inst *inst = call->inst;
	usec_t now = inst_now(inst);
	struct router_request_options options = {.organisation = 1,
	    .service = world_service(inst->world, call->service),
	    .class_id = 1,
	    .weight = 1,
	    .prompt_tokens = 10,
	    .max_tokens = call->tokens,
	    .start_deadline = now + PATIENCE,
	    .idempotent = call->idempotent};

	if (inst->draining) {
		call->outcome = OUTCOME_NONE;
		call->abandoned = true;
		call->reason = "no-connection";
		return;
	}
	call->arrived_at = world->now;
	call->life = inst->life;
	/* What an earlier arrival did is not known before the claim. */
	if (!call->idempotent && !naive(call, NAIVE_VERDICT))
		call->verdict = VERDICT_MAY_HAVE_RUN;
	g_ptr_array_add(inst->calls, call);
	if (inst->bundle == NULL)
		refuse_soon(call, "no-bundle");
	else if (inst->taken_out)
		refuse_soon(call, "leaving");
	else if (!may_admit(call))
		refuse_soon(call, "isolated");
	else
		call->routed = router_submit(inst->router, now, &options);
	inst_drive(inst);
}

static bool
still_in_service(const struct call *call)
{
	return call->inst->in_service[call->upstream->end.index] != 0;
}

static void start_conn(struct call *call, bool resume);

/// Decides on another try after the last one ended without an answer.
static void
retry(struct call *call, enum router_outcome end, const char *reason)
{
	struct inst *inst = call->inst;
	usec_t now = inst_now(inst);
	bool again;

	close_conn(call);
	router_finish(inst->router, now, call->routed, end, 0);
	again = router_retry(inst->router, now, call->routed,
	    naive(call, NAIVE_RESEND) ? VERDICT_NOT_RUN : call->verdict);
	if (!again) {
		call->routed = 0;
		/* Once a grant has lapsed, a repeat may have got another. */
		if (!call->idempotent &&
		    !quorum_may_act(inst->quorum, now, call->ticket))
			call->verdict =
			    verdict_raise(call->verdict, VERDICT_MAY_HAVE_RUN);
		refuse_soon(call, reason);
		return;
	}
	if (naive(call, NAIVE_RESEND))
		return;
	settle_claim(call);
	call->granted = false;
	if (!call->idempotent)
		call->verdict = VERDICT_MAY_HAVE_RUN;
}

/// The step in which the bytes leave.
static void
on_connected(struct world *world, void *data)
{
	struct conn *conn = data;
	struct call *call = conn->call;
	bool may = true;

	if (call->conn != conn || call->outcome != OUTCOME_NONE)
		return;
	if (!conn->resume && !naive(call, NAIVE_CONFIRM)) {
		may = still_in_service(call) &&
		    (naive(call, NAIVE_EARLY) || may_admit(call));
		if (!call->idempotent)
			may = may &&
			    quorum_may_act(call->inst->quorum,
				inst_now(call->inst), call->ticket);
	}
	if (!may) {
		retry(call, ROUTER_OUTCOME_BUSY, "not-sent");
		inst_drive(call->inst);
		return;
	}
	if (!conn->resume) {
		call->verdict =
		    verdict_raise(call->verdict, VERDICT_MAY_HAVE_RUN);
		check_send(call);
	}
	upstream_open(world, conn);
}

static void
start_conn(struct call *call, bool resume)
{
	struct world *world = call->inst->world;
	struct conn *conn = world_alloc(world, sizeof(*conn));

	if (call->conn != NULL)
		call->conn->closed = true;
	conn->inst = call->inst;
	conn->life = call->inst->life;
	conn->upstream = call->upstream;
	conn->call = call;
	conn->resume = resume;
	conn->offset = call->relay.next_offset;
	conn->generation = call->relay.generation;
	call->conn = conn;
	world_after(world, 2 * world_delay(world, true), call->inst,
	    on_connected, conn, false);
}

static void
forward(struct call *call)
{
	struct relay_options options = {.now = inst_now(call->inst),
	    .progress_timeout = call->inst->world->timing.progress,
	    .resume_limit = RESUME_LIMIT};

	if (call->engine)
		relay_init(&call->relay, &options);
	call->timeout_at = options.now + call->inst->world->timing.timeout;
	start_conn(call, false);
}

static void
place(struct call *call, router_upstream upstream)
{
	struct inst *inst = call->inst;
	struct quorum_claim_options options = {0};

	for (guint i = 0; i < inst->world->upstreams->len; i++) {
		if (inst->handles[i] == upstream)
			call->upstream = inst->world->upstreams->pdata[i];
	}
	if (!may_admit(call))
		refuse_soon(call, "isolated");
	else if (call->idempotent || call->ticket != 0)
		forward(call);
	else
		call->ticket = quorum_start_claim(
		    inst->quorum, inst_now(inst), &call->key, &options);
}

/// Takes the router's decision on a request.
void
request_routed(struct inst *inst, const struct router_action *action)
{
	static const char *const reasons[] = {"refused", "overloaded",
	    "queue-full", "no-upstream", "retries", "too-large"};
	struct call *call = NULL;

	for (guint i = 0; i < inst->calls->len; i++) {
		struct call *other = inst->calls->pdata[i];

		if (other->routed == action->request)
			call = other;
	}
	if (call == NULL || action->request == 0)
		return;
	if (action->type == ROUTER_ACTION_SEND) {
		place(call, action->upstream);
	} else if (action->type == ROUTER_ACTION_REFUSE) {
		call->routed = 0;
		refuse(call, reasons[action->refusal], action->retry_at);
	}
}

static void
deny(struct call *call, const struct quorum_action *action)
{
	struct inst *inst = call->inst;
	bool held = action->reason == QUORUM_REASON_HELD ||
	    action->reason == QUORUM_REASON_CONTESTED;
	usec_t retry_at = action->deadline == 0 ? inst_now(inst) + RETRY_SOON
						: action->deadline;

	call->ticket = 0;
	call->verdict = action->verdict;
	router_finish(inst->router, inst_now(inst), call->routed,
	    ROUTER_OUTCOME_CANCELLED, 0);
	call->routed = 0;
	if (held &&
	    g_hash_table_contains(inst->world->by_id, &action->holder)) {
		call->join_holder = action->holder;
		call->join_due = inst_now(inst);
		call->timeout_at = call->join_due + inst->world->timing.timeout;
		return;
	}
	refuse(call, held ? "repeated" : "no-grant", retry_at);
}

/// Takes the result of a claim.
void
request_claimed(struct inst *inst, const struct quorum_action *action)
{
	for (guint i = 0; i < inst->calls->len; i++) {
		struct call *call = inst->calls->pdata[i];

		if (call->ticket != action->ticket || action->ticket == 0)
			continue;
		if (action->type == QUORUM_ACTION_DENIED) {
			deny(call, action);
		} else if (action->type == QUORUM_ACTION_GRANTED) {
			call->granted = true;
			call->verdict = VERDICT_NOT_RUN;
			forward(call);
		}
		return;
	}
}

/// Finds what became of an identity at the instance that holds its grant.
static const struct call *
find_holding(struct world *world, const struct call *repeat)
{
	struct inst *holder =
	    g_hash_table_lookup(world->by_id, &repeat->join_holder);

	if (!holder->up || holder->paused ||
	    !world_linked(world, &repeat->inst->end, &holder->end))
		return NULL;
	for (guint i = 0; i < world->calls->len; i++) {
		const struct call *call = world->calls->pdata[i];

		if (call->inst == holder && call->life == holder->life &&
		    call->granted && call->key.high == repeat->key.high &&
		    call->key.low == repeat->key.low &&
		    call->outcome != OUTCOME_REFUSED)
			return call;
	}
	return NULL;
}

/// Looks after a repeat that waits for the answer of the first arrival.
static void
join_tick(struct call *call, usec_t now)
{
	const struct call *holding;

	if (now < call->join_due)
		return;
	call->join_due = now + JOIN_INTERVAL;
	holding = find_holding(call->inst->world, call);
	if (holding != NULL && holding->outcome == OUTCOME_WHOLE) {
		call->verdict = VERDICT_RAN;
		check_answer(call, holding);
		end_call(call, OUTCOME_WHOLE, "joined");
	} else if (holding == NULL || now >= call->timeout_at) {
		refuse_soon(call, "repeated");
	}
}

static void
recover(struct call *call, enum relay_action step)
{
	if (naive(call, NAIVE_SPLICE) && call->relay.delivered &&
	    step == RELAY_FAIL) {
		call->relay.delivered = false;
		relay_restart(&call->relay, inst_now(call->inst));
		retry(call, ROUTER_OUTCOME_FAILED, "engine-failed");
		return;
	}
	switch (step) {
	case RELAY_RESUME:
		start_conn(call, true);
		break;
	case RELAY_RESTART:
		call->n_tokens = 0;
		call->generation = 0;
		relay_restart(&call->relay, inst_now(call->inst));
		retry(call, ROUTER_OUTCOME_FAILED, "engine-failed");
		break;
	case RELAY_FAIL:
		refuse_soon(call, "generation-lost");
		break;
	default:
		break;
	}
}

/// Looks after a request's deadlines.
void
request_tick(struct call *call)
{
	usec_t now = inst_now(call->inst);

	if (call->join_holder != 0)
		join_tick(call, now);
	else if (call->conn == NULL)
		return;
	else if (call->engine)
		recover(call, relay_check_timeout(&call->relay, now));
	else if (now >= call->timeout_at)
		retry(call, ROUTER_OUTCOME_FAILED, "service-failed");
}

/// Takes an event of an engine's stream.
void
request_event(struct conn *conn, uint64_t generation, uint32_t offset, bool end)
{
	struct call *call = conn->call;
	usec_t now = inst_now(call->inst);
	enum relay_action step;

	if (call->outcome != OUTCOME_NONE || call->conn != conn)
		return;
	step = end ? relay_handle_end(&call->relay, now, generation, offset)
		   : relay_handle_token(&call->relay, now, generation, offset);
	if (naive(call, NAIVE_RELAY))
		step = end ? RELAY_DONE : RELAY_PASS;
	switch (step) {
	case RELAY_PASS:
		call->verdict = VERDICT_RAN;
		check_token(call, generation, offset);
		if (call->stream)
			relay_mark_delivered(&call->relay);
		router_report_progress(
		    call->inst->router, now, call->routed, call->n_tokens);
		break;
	case RELAY_DONE:
		call->verdict = VERDICT_RAN;
		call->total = offset;
		check_answer(call, call);
		end_call(call, OUTCOME_WHOLE, "whole");
		break;
	default:
		recover(call, step);
		break;
	}
	inst_drive(call->inst);
}

/// Takes the end of a connection that brought no whole answer.
void
request_lost(struct conn *conn, bool gone, bool not_run)
{
	struct call *call = conn->call;
	usec_t now = inst_now(call->inst);

	if (call->outcome != OUTCOME_NONE || call->conn != conn)
		return;
	if (not_run && !conn->resume)
		call->verdict = VERDICT_NOT_RUN;
	if (not_run && !conn->resume)
		retry(call, ROUTER_OUTCOME_BUSY, "busy");
	else if (!call->engine)
		retry(call, ROUTER_OUTCOME_FAILED, "service-failed");
	else if (gone)
		recover(call, relay_handle_resume_refusal(&call->relay, now));
	else
		recover(call, relay_handle_loss(&call->relay, now));
	inst_drive(call->inst);
}

/// Takes a plain service's answer, which is the one to `of`.
void
request_answered(struct conn *conn, const struct call *of)
{
	struct call *call = conn->call;

	if (call->outcome != OUTCOME_NONE || call->conn != conn)
		return;
	call->verdict = VERDICT_RAN;
	check_answer(call, of);
	end_call(call, OUTCOME_WHOLE, "whole");
	inst_drive(call->inst);
}
