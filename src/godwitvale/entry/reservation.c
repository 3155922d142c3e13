/* Asks engines for places, and handles what they answer. */
#include "godwitvale/entry/reservation.h"

#include "godwitvale/core/engine_admission.h"
#include "godwitvale/entry/departures.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/send_check.h"
#include "godwitvale/ops/log.h"

/// Time that an engine has to answer. Without an answer the request is sent
/// without a reservation.
#define RESERVATION_TIMEOUT (150 * USEC_PER_MSEC)
/// Time for which a place is reserved: until the request that follows at once
/// has arrived.
#define RESERVATION_TTL (500 * USEC_PER_MSEC)

/// @return the service of a request whose upstreams are engines that reserve
///         places; NULL: there is none
static const struct service *
find_reserving_service(const struct entry_request *request)
{
	const struct service *service =
	    deployment_find_service(request->deployment, request->service);

	return service != NULL && service->has_engine &&
		service->engine.reservation_ttl > 0
	    ? service
	    : NULL;
}

/// @param request  request whose service is known
/// @return whether its engines reserve places
bool
reservation_is_supported(const struct entry_request *request)
{
	return request->route->is_generation &&
	    find_reserving_service(request) != NULL;
}

/// Checks whether a place must be reserved before a request is sent.
///
/// @param request  request with a target, without an exchange
/// @return false if its target has room in any case, or reserves no places
bool
reservation_is_needed(const struct entry_request *request)
{
	const struct engine_admission_target place = {
	    .scarcity = request->target.scarcity,
	    .utilisation = request->target.utilisation,
	    .is_cold = request->target.is_cold,
	    .has_waited = request->wait_deadline != 0,
	};

	return !request->response_started &&
	    reservation_is_supported(request) &&
	    engine_admission_needs_reservation(&place);
}

/// Fetch callback: a release was answered, or wasn't. An engine that doesn't
/// answer drops the reservation by itself.
static void
on_released(void *owner, const struct fetch_response *answer)
{
	(void)owner;
	(void)answer;
}

/// Releases an unused reservation at the target.
static void
release(const struct entry_request *request, const char *id)
{
	char *target = request->entry->site->release_target(id);
	const struct fetch_options options = {
	    .max_body = FETCH_UPSTREAM_BYTES_MAX,
	    .pool = request->entry->pool,
	    .address = request->target.address,
	    .method = "DELETE",
	    .target = target,
	    .deadline = g_get_monotonic_time() + RESERVATION_TIMEOUT,
	    .handler = on_released,
	};

	fetch_start(&options);
	g_free(target);
}

/// Places a request again whose target has no room, unless it has been without
/// a place for as long as it may wait.
static void
handle_no_room(struct entry_request *request)
{
	struct place_request place = entry_request_make_place_request(request);

	entry_request_cancel_exchange(request);
	dispatch_set_no_place(
	    request->entry->dispatch, &request->target, place.tokens);
	if (entry_request_is_wait_over(request))
		entry_request_refuse_without_room(request);
	else
		entry_request_place(request);
}

/// Sends a request to its target, with the place that is reserved for it, if
/// any, unless it may not be sent there any more.
static void
use_place(
    struct entry_request *request, const struct site_reservation *reservation)
{
	bool has_place = reservation->outcome == SITE_RESERVATION_MADE;
	enum send_path path = send_check_attempt_path(request);
	bool is_eligible =
	    send_check(request, &request->target, path).reason == ELIGIBLE;

	if (is_eligible && !entry_request_refuse_if_barred(request)) {
		g_strlcpy(request->reservation, reservation->id,
		    sizeof(request->reservation));
		entry_request_start_attempt(request);
		request->reservation[0] = '\0';
		return;
	}
	if (has_place)
		release(request, reservation->id);
	if (request->is_done)
		return;
	entry_request_cancel_exchange(request);
	entry_request_place(request);
}

/// @return an outcome as a label of the metric
static const char *
outcome_name(enum site_reservation_outcome outcome)
{
	static const char *const names[] = {
	    [SITE_RESERVATION_MADE] = "made",
	    [SITE_RESERVATION_NO_ROOM] = "no-room",
	    [SITE_RESERVATION_UNKNOWN] = "unknown",
	};

	return names[outcome];
}

/// Fetch callback: an engine has reserved a place, or hasn't.
static void
on_answered(void *owner, const struct fetch_response *answer)
{
	struct entry_request *request = entry_request_ref(owner);
	struct entry *entry = request->entry;
	struct site_reservation reservation;
	struct site_answer info = {0};

	request->reservation_fetch = NULL;
	entry->site->read_reservation(
	    answer->status, answer->body, answer->len, &reservation);
	if (answer->head != NULL) {
		entry->site->read_answer(answer->head, &info);
		if (info.leaving)
			departures_note(entry, &request->target, "reservation");
	}
	series_add(&entry_metric_reservations, request->service,
	    outcome_name(reservation.outcome), 1);
	/* A request that waits asks many engines; the metric counts them. */
	log_event(reservation.outcome == SITE_RESERVATION_NO_ROOM
		? LOG_LEVEL_DEBUG
		: LOG_LEVEL_INFO,
	    "reservation-answered",
	    "id=%s upstream=%s status=%u outcome=%s utilisation=%.2f "
	    "after_ms=%" G_GINT64_FORMAT,
	    request->params.id == NULL ? "-" : request->params.id,
	    request->target.id, answer->status,
	    outcome_name(reservation.outcome), request->target.utilisation,
	    (g_get_monotonic_time() - request->arrived_at) / USEC_PER_MSEC);
	if (reservation.outcome == SITE_RESERVATION_NO_ROOM)
		handle_no_room(request);
	else
		use_place(request, &reservation);
	entry_request_unref(request);
}

/// Asks the target of a request for a place. The request is then sent there,
/// or placed again. It counts as load there meanwhile.
///
/// @param request  request with a target, without an exchange
void
reservation_start(struct entry_request *request)
{
	struct entry *entry = request->entry;
	const struct service *service = find_reserving_service(request);
	struct place_request place = entry_request_make_place_request(request);
	struct fetch_options options = {
	    .max_body = FETCH_UPSTREAM_BYTES_MAX,
	    .pool = entry->pool,
	    .address = request->target.address,
	    .method = "POST",
	    .deadline = g_get_monotonic_time() + RESERVATION_TIMEOUT,
	    .handler = on_answered,
	    .owner = request,
	};
	char *target;
	char *body;

	entry_request_stop_waiting(request);
	entry_request_charge(request);
	entry->site->write_reservation(
	    engine_admission_reserved_tokens(place.tokens, place.output_tokens),
	    MIN(service->engine.reservation_ttl, RESERVATION_TTL), &target,
	    &body);
	options.target = target;
	options.body = body;
	request->reservation_fetch = fetch_start(&options);
	entry_request_set_timer(request);
	g_free(target);
	g_free(body);
}

/// Cancels the call for a place, if one is running. A place that the engine has
/// reserved meanwhile isn't released; it expires after RESERVATION_TTL.
///
/// @param request  request in any state
void
reservation_clear(struct entry_request *request)
{
	g_clear_pointer(&request->reservation_fetch, fetch_cancel);
}
