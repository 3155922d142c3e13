/*
 * Generations whose upstream leaves or fails: asks for copies of their
 * memory, and goes on elsewhere where the caller's events end. What is done
 * when is decided by core/handover.c.
 */
#include <string.h>

#include "godwitvale/entry/meters.h"
#include "godwitvale/entry/rq_defs.h"
#include "godwitvale/ops/log.h"

/// From the notice to the refresh of a copy: upstreams leave no sooner than a
/// second and a half after it, and the first copies of all that runs there
/// need most of the time before.
#define CONTINUATION_REFRESH_DELAY (1100 * USEC_PER_MSEC)
/// From the refresh to the moment at which the upstream is gone, if it says
/// when that is: refreshes queue behind one another on its link.
#define CONTINUATION_REFRESH_MARGIN (400 * USEC_PER_MSEC)
/// From the stop to the moment at which the upstream is gone: for the last
/// copies of all that runs there, a few tokens each.
#define CONTINUATION_STOP_MARGIN (150 * USEC_PER_MSEC)
/// Over which the first tries for copies are spread: an instance that looks
/// for a target must have heard of those that others have chosen.
#define CONTINUATION_SPREAD_SPAN (120 * USEC_PER_MSEC)
/// Tokens that a generation which goes on reads again, as the last refresh
/// leaves them. Its target is told of them as of a prompt, so that further
/// ones and new prompts go elsewhere.
#define CONTINUATION_REREAD_TOKENS 800
/// Between tries for a copy: a target that was full may have room again.
#define CONTINUATION_RETRY_SPAN (80 * USEC_PER_MSEC)
/// For a copy's answer once the stream was cut.
#define CONTINUATION_ANSWER_SPAN (300 * USEC_PER_MSEC)
/// Targets that are asked for one copy.
#define CONTINUATION_TRIES 6
/// A copy takes no longer than this.
#define CONTINUATION_COPY_SPAN (5 * USEC_PER_SEC)
/// For the answer to a call that frees a copy.
#define CONTINUATION_DROP_SPAN (1 * USEC_PER_SEC)

static const struct handover_options handover_options = {
    .refresh_delay = CONTINUATION_REFRESH_DELAY,
    .refresh_margin = CONTINUATION_REFRESH_MARGIN,
    .spread_span = CONTINUATION_SPREAD_SPAN,
    .stop_margin = CONTINUATION_STOP_MARGIN,
    .retry_delay = CONTINUATION_RETRY_SPAN,
    .answer_timeout = CONTINUATION_ANSWER_SPAN,
    .max_tries = CONTINUATION_TRIES,
};

/// Gets a request ready.
///
/// @param request  a request
void
continuation_init(struct entry_request *request)
{
	handover_init(&request->handover, &handover_options);
}

/// Gives back what a copy was charged.
static void
uncharge_copy(struct entry_request *request)
{
	if (!request->is_charged_copy)
		return;
	dispatch_adjust_load(request->entry->dispatch, &request->copy,
	    &request->charged_copy, -1);
	request->is_charged_copy = false;
}

/// Counts a copy as work at its upstream: it takes memory and a slot.
static void
charge_copy(struct entry_request *request)
{
	request->charged_copy = rq_load(request);
	request->charged_copy.prompt_tokens = CONTINUATION_REREAD_TOKENS;
	dispatch_adjust_load(request->entry->dispatch, &request->copy,
	    &request->charged_copy, 1);
	request->is_charged_copy = true;
	peers_hurry(request->entry->peers);
}

/// Starts a handover anew: what was asked of the former upstream is of no
/// more use, and its answer must not come to the next.
static void
forget_copies(struct entry_request *request)
{
	g_clear_pointer(&request->copy_call, fetch_cancel);
	uncharge_copy(request);
	handover_reset(&request->handover);
}

/// Fetch callback: a copy was freed, or will lapse.
static void
on_dropped(void *owner, const struct fetch_answer *answer)
{
	char *handle = owner;

	if (answer->status == 0)
		log_event(LOG_LEVEL_INFO, "copy-drop-failed",
		    "handle=%s reason=%s", handle, answer->failure);
	g_free(handle);
}

/// Frees a copy that is of no more use, at both ends.
static void
drop_copy(struct entry_request *request)
{
	char *target =
	    request->entry->site->drop_copy_target(request->handover.handle);
	const struct fetch_options options = {
	    .pool = request->entry->pool,
	    .address = request->source.address,
	    .method = "DELETE",
	    .target = target,
	    .deadline = g_get_monotonic_time() + CONTINUATION_DROP_SPAN,
	    .handler = on_dropped,
	    .owner = g_strdup(request->handover.handle),
	};

	fetch_start(&options);
	g_free(target);
}

/// Ends a request's part in handovers.
///
/// @param request  a request that is done
void
continuation_clear(struct entry_request *request)
{
	g_clear_pointer(&request->copy_call, fetch_cancel);
	if (handover_has_copy(&request->handover) && !request->resuming &&
	    request->source.address != NULL)
		drop_copy(request);
	uncharge_copy(request);
	dispatch_target_clear(&request->copy);
	dispatch_target_clear(&request->source);
}

/// Whether a request's service can move running generations.
///
/// @param request  a request
/// @return true when its memory can be copied
bool
continuation_can_move(const struct entry_request *request)
{
	const struct service *service = request->service == NULL
	    ? NULL
	    : deployment_find_service(request->deployment, request->service);

	return service != NULL && service->engine.supports_moves &&
	    request->route->is_generation && request->facts.id != NULL;
}

/// Takes it that the upstream of a request leaves. May be told again once
/// more is known.
///
/// @param request    a request that was sent there
/// @param leaves_at  when it will be gone; 0: not known
void
continuation_notice(struct entry_request *request, usec_t leaves_at)
{
	bool is_news = request->handover.state == HANDOVER_IDLE ||
	    (leaves_at != 0 && request->handover.stop_at == USEC_NEVER);

	if (!continuation_can_move(request) || request->resuming)
		return;
	handover_note_leaving(&request->handover, g_get_monotonic_time(),
	    leaves_at, g_random_double());
	if (is_news)
		log_event(LOG_LEVEL_INFO, "handover-noticed",
		    "id=%s upstream=%s events=%u gone_in_ms=%" G_GINT64_FORMAT,
		    request->facts.id, request->target.id, request->events,
		    leaves_at == 0
			? -1
			: (leaves_at - g_get_monotonic_time()) / USEC_PER_MSEC);
	continuation_run(request);
	if (!request->done)
		rq_set_timer(request);
}

/// @return why a copy was not made, for the decision
static enum handover_copy_failure
refusal_of(enum site_copy_outcome outcome)
{
	switch (outcome) {
	case SITE_COPY_NO_ROOM:
		return HANDOVER_NO_ROOM;
	case SITE_COPY_NOT_RUNNING:
		return HANDOVER_NOT_RUNNING;
	case SITE_COPY_IN_PROGRESS:
		return HANDOVER_IN_PROGRESS;
	default:
		return HANDOVER_UNKNOWN;
	}
}

/// Fetch callback: the answer to a copy that was asked for.
static void
on_copy(void *owner, const struct fetch_answer *answer)
{
	struct entry_request *request = rq_ref(owner);
	usec_t now = g_get_monotonic_time();
	struct site_copy copy;

	request->copy_call = NULL;
	request->entry->site->read_copy_answer(
	    answer->status, answer->body, answer->len, &copy);
	log_event(LOG_LEVEL_INFO, "handover-copy",
	    "id=%s source=%s target=%s state=%d status=%u handle=%s "
	    "events_made=%" G_GINT64_FORMAT " events_passed=%u",
	    request->facts.id, request->source.id, request->copy.id,
	    (int)request->handover.state, answer->status,
	    copy.handle[0] == '\0' ? "-" : copy.handle, copy.events,
	    request->events);
	if (copy.outcome == SITE_COPY_MADE) {
		request->events_copied = copy.events;
		handover_copy_completed(&request->handover, now, copy.handle);
	} else {
		handover_copy_failed(
		    &request->handover, now, refusal_of(copy.outcome));
		if (request->handover.state == HANDOVER_NOTICED)
			uncharge_copy(request);
	}
	continuation_run(request);
	if (!request->done)
		rq_set_timer(request);
	rq_unref(request);
}

/// Asks the source for a copy.
static void
ask_copy(struct entry_request *request, enum handover_step step)
{
	struct fetch_options options = {
	    .pool = request->entry->pool,
	    .address = request->source.address,
	    .method = "POST",
	    .deadline = g_get_monotonic_time() + CONTINUATION_COPY_SPAN,
	    .handler = on_copy,
	    .owner = request,
	};
	char *target;
	char *body;

	request->entry->site->write_copy_request(request->facts.id,
	    request->copy.address, step == HANDOVER_STOP, &target, &body);
	options.target = target;
	options.body = body;
	handover_copy_requested(&request->handover, step);
	g_assert(request->copy_call == NULL);
	request->copy_call = fetch_start(&options);
	g_free(target);
	g_free(body);
}

/// Copies a target's texts.
static void
copy_target(struct dispatch_target *to, const struct dispatch_target *from)
{
	dispatch_target_clear(to);
	to->id = g_strdup(from->id);
	to->address = g_strdup(from->address);
	to->zone = g_strdup(from->zone);
	to->key = from->key;
}

/// Finds an upstream for a copy and asks for it.
static void
begin_copy(struct entry_request *request)
{
	const uint64_t tried[] = {request->target.key, request->copy.key};
	const struct dispatch_request wanted = {
	    .service = request->service,
	    .place = rq_size(request),
	    .zone = request->target.zone,
	    .tried = tried,
	    .n_tried = G_N_ELEMENTS(tried),
	};
	struct dispatch_request move = wanted;
	struct dispatch_target found = {0};
	enum place_outcome outcome;

	move.place.is_move = true;
	move.place.prompt_tokens = 0;
	outcome = dispatch_place(request->entry->dispatch, &move, &found);
	if (outcome != PLACE_FOUND) {
		log_event(LOG_LEVEL_WARN, "handover-no-target",
		    "id=%s source=%s outcome=%s", request->facts.id,
		    request->target.id, dispatch_outcome_name(outcome));
		handover_target_unavailable(
		    &request->handover, g_get_monotonic_time());
		return;
	}
	uncharge_copy(request);
	dispatch_target_clear(&request->copy);
	request->copy = found;
	copy_target(&request->source, &request->target);
	charge_copy(request);
	ask_copy(request, HANDOVER_COPY);
}

/// Goes on from a copy, at the upstream in `target`.
static void
resume(struct entry_request *request)
{
	const struct site_upstream_request how = {
	    .last_event = request->last_event,
	    .copy_source = request->source.address,
	    .copy_handle = request->handover.handle,
	};

	/* A copy that is still awaited would be of a run that has ended. */
	g_clear_pointer(&request->copy_call, fetch_cancel);
	rq_drop_exchange(request);
	request->resuming = true;
	request->handovers++;
	log_event(LOG_LEVEL_INFO, "handover-resumed",
	    "id=%s source=%s target=%s handle=%s last_event=%" G_GINT64_FORMAT
	    " silent_ms=%" G_GINT64_FORMAT,
	    request->facts.id, request->source.id, request->target.id,
	    request->handover.handle, request->last_event,
	    request->last_event_at == 0
		? -1
		: (g_get_monotonic_time() - request->last_event_at) /
		    USEC_PER_MSEC);
	rq_send(request, &how);
}

/// Goes on at the upstream that has the copy.
static void
resume_at_copy(struct entry_request *request)
{
	rq_drop_exchange(request);
	uncharge_copy(request);
	copy_target(&request->target, &request->copy);
	resume(request);
}

/// Generates a stream anew from its last event, where that is allowed.
static void
read_again(struct entry_request *request, const char *why)
{
	if (rq_may_repeat(request) &&
	    request->attempts < request->route->max_attempts &&
	    dispatch_take_retry_permit(
		request->entry->dispatch, request->service)) {
		forget_copies(request);
		rq_place(request);
		return;
	}
	rq_fail(request, 502, why);
}

/// Does what is due in a handover.
///
/// @param request  a request
void
continuation_run(struct entry_request *request)
{
	enum handover_step step;

	if (request->resuming || request->done)
		return;
	if (request->exchange == NULL && request->handover.cut_at == 0)
		return;
	step = handover_next_step(&request->handover, g_get_monotonic_time());
	if (step != HANDOVER_WAIT)
		series_add(&meter_handovers, handover_step_name(step), NULL, 1);
	switch (step) {
	case HANDOVER_COPY:
		begin_copy(request);
		break;
	case HANDOVER_REFRESH:
	case HANDOVER_STOP:
		ask_copy(request, step);
		break;
	case HANDOVER_RESUME:
		resume_at_copy(request);
		break;
	case HANDOVER_BREAK:
		read_again(request, "stream-cut");
		break;
	default:
		break;
	}
}

/// Takes it that a stream was cut before its end.
///
/// @param request  a request without an exchange
/// @param why      one word for the log
void
continuation_cut(struct entry_request *request, const char *why)
{
	request->verdict =
	    verdict_raise(request->verdict, VERDICT_MAY_HAVE_RUN);
	if (request->resuming) {
		/* What was copied was used up by the run that is cut now. */
		request->resuming = false;
		forget_copies(request);
		read_again(request, why);
		return;
	}
	handover_stream_cut(&request->handover, g_get_monotonic_time());
	continuation_run(request);
	if (!request->done)
		rq_set_timer(request);
}

/// Takes it that a resumed stream has gone on.
///
/// @param request  a request
void
continuation_resumed(struct entry_request *request)
{
	const struct upstream_record *record;

	log_event(LOG_LEVEL_INFO, "handover-continued",
	    "id=%s target=%s last_event=%" G_GINT64_FORMAT
	    " events_copied=%" G_GINT64_FORMAT " silent_ms=%" G_GINT64_FORMAT,
	    request->facts.id, request->target.id, request->last_event,
	    request->events_copied,
	    request->last_event_at == 0
		? -1
		: (g_get_monotonic_time() - request->last_event_at) /
		    USEC_PER_MSEC);
	request->resuming = false;
	forget_copies(request);
	dispatch_target_clear(&request->copy);
	dispatch_target_clear(&request->source);
	record = directory_find(
	    view_directory(request->entry->view), request->target.id);
	if (record != NULL && record->entry.state == UPSTREAM_DRAINING)
		continuation_notice(request, 0);
}

/// Takes it that the upstream did not go on: what was copied is of no use.
///
/// @param request  a request without an exchange
/// @param why      one word for the log
void
continuation_refused(struct entry_request *request, const char *why)
{
	request->resuming = false;
	log_event(LOG_LEVEL_WARN, "handover-refused",
	    "id=%s target=%s reason=%s", request->facts.id, request->target.id,
	    why);
	forget_copies(request);
	read_again(request, why);
}

/// Whether a request could go on elsewhere from memory.
///
/// @param request  a request
/// @return true when a copy stands or is under way
bool
continuation_is_possible(const struct entry_request *request)
{
	return request->resuming || request->handover.state != HANDOVER_IDLE;
}
