/* Size of requests: the load that they add to an upstream while they run. */
#include "godwitvale/entry/entry_request_defs.h"
#include "godwitvale/entry/share_monitor.h"

/// Returns the size of the output that was forwarded to the caller so far.
///
/// @param request  request whose route and service are known
/// @return tokens; 0 if the service has no engine
uint32_t
entry_request_count_output_tokens(const struct entry_request *request)
{
	const struct service *service =
	    deployment_find_service(request->deployment, request->service);

	if (service == NULL || !service->has_engine)
		return 0;
	return request->events_sent * service->engine.tokens_per_event;
}

/// Estimates the size of a request's complete output: the mean of the route's
/// outputs that were at least as long as this one already is. Estimates that
/// callers send aren't used, because their errors are larger than the variation
/// of lengths within a route.
///
/// @param request  request whose route is known
/// @return tokens, at most the maximum that the caller allows
int32_t
entry_request_estimate_output_tokens(const struct entry_request *request)
{
	uint32_t output_tokens;

	if (request->output_series == NULL)
		return request->params.max_output_tokens;
	output_tokens = entry_request_count_output_tokens(request);
	return MIN(
	    (int32_t)estimate_mean(request->output_series, output_tokens),
	    request->params.max_output_tokens);
}

/// Adds load of a request to an upstream and to what its organisation holds, or
/// removes it.
///
/// @param request  request whose service is known
/// @param target   the upstream
/// @param load     the load to be added or removed
/// @param sign     1 to add, -1 to remove
void
entry_request_adjust_load(struct entry_request *request,
    const struct dispatch_target *target, const struct load *load, int sign)
{
	dispatch_adjust_load(request->entry->dispatch, target, load, sign);
	share_monitor_charge(request, sign * load->tokens);
}

/// Updates the load that a running generation counts as at its upstream. The
/// expected size of the complete output grows with the output so far.
///
/// @param request  request that was sent; others are left as they are
void
entry_request_update_load(struct entry_request *request)
{
	struct load growth = {0};

	if (!request->is_charged || !request->route->is_generation)
		return;
	growth.tokens = entry_request_make_place_request(request).tokens -
	    request->charged_load.tokens;
	request->charged_load.tokens += growth.tokens;
	entry_request_adjust_load(request, &request->target, &growth, 1);
}

/// Returns a request's size, as placement needs it.
///
/// @param request  request whose route is known
/// @return the size, in tokens of prompt and expected output
struct place_request
entry_request_make_place_request(const struct entry_request *request)
{
	const struct site_request *params = &request->params;
	int32_t output = entry_request_estimate_output_tokens(request);

	return (struct place_request){
	    .is_generation = request->route->is_generation,
	    .prompt_tokens = params->prompt_tokens,
	    .output_tokens =
		output - (int32_t)entry_request_count_output_tokens(request),
	    .tokens = params->prompt_tokens + output,
	};
}

/// Returns the load that a request adds to an upstream until the first event
/// arrives.
///
/// @param request  request whose route is known
/// @return the load, with all prompt tokens still to be read
struct load
entry_request_estimate_load(const struct entry_request *request)
{
	struct place_request place = entry_request_make_place_request(request);
	struct load load = {.requests = 1};

	if (place.is_generation) {
		load.tokens = place.tokens;
		load.prompt_tokens = place.prompt_tokens;
	}
	return load;
}
