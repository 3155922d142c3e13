/*
 * Statistics of the requests of a service: the rate at which this instance
 * sends requests, and the expected growth and end of the running requests of
 * other instances.
 *
 * The running requests of other instances are modelled as a steady stream of
 * requests whose output lengths are distributed like the lengths of finished
 * requests. The running requests of this instance would be a biased sample: an
 * instance that sends few requests retains only the longest ones, would expect
 * the requests of other instances to be as long, and would send even fewer. For
 * the same reason, the mix of workload classes is counted over all submitted
 * requests, whether they are sent or refused.
 */
#include "godwitvale/core/router_state.h"

/// Weight of the newest value in the moving average of the send rate.
#define SEND_RATE_SMOOTHING 0.3
/// Factor by which the counts of submitted requests per class decay with each
/// submitted request of the service.
#define CLASS_DECAY 0.998
/// Interval between updates of the expected growth and end of a service's
/// running requests.
#define POPULATION_INTERVAL (2 * USEC_PER_SEC)
/// Running requests are grouped by age, the number of tokens generated so far.
/// Width of an age group as a fraction of its lowest age; minimum width, in
/// tokens; and maximum age, in tokens.
#define AGE_STEP 0.2
#define AGE_STEP_MIN 16
#define AGE_MAX 65536

/// Updates an exponential moving average.
///
/// @param mean   the average, updated
/// @param value  newest value
/// @param share  weight of the newest value, 0 to 1
static void
update_moving_average(double *mean, double value, double share)
{
	*mean += (value - *mean) * share;
}

/// Computes the fraction of a service's requests whose output reaches a length.
/// Each workload class is weighted by its number of submitted requests.
///
/// @param tokens  output length, in tokens
/// @return fraction, 0 to 1
static double
compute_mix_survival(struct service *service, uint32_t tokens)
{
	double sum = 0;
	double weight_sum = 0;

	for (unsigned i = 0; i < service->n_classes; i++) {
		struct class_statistics *statistics = &service->classes[i];

		weight_sum += statistics->submitted;
		sum += statistics->submitted *
		    estimate_survival(statistics->series, 0, tokens);
	}
	if (weight_sum <= 0)
		return estimate_survival(service->series, 0, tokens);
	return sum / weight_sum;
}

/// Sums over the modelled running requests of all age groups, for a rate of one
/// new request per token that each request generates.
struct population {
	double requests; /// number of running requests
	double tokens;   /// present memory of these requests, in tokens
	/// means: present memory of the requests that still run at the horizon;
	/// variances: variance of the memory at the horizon
	struct memory_profile retained;
	/// means: tokens that the requests which still run at the horizon have
	/// added by then; variances: unused
	struct memory_profile added;
};

/// Adds the running requests of one age group to the sums of the population.
///
/// @param sums     updated
/// @param service  gives the prompt and output lengths
/// @param age      age in the middle of the group, in generated tokens
/// @param width    width of the group, in tokens
static void
add_age_group(struct population *sums, struct service *service, uint32_t age,
    double width)
{
	double current = service->mean_prompt + age;
	double survival = compute_mix_survival(service, age);

	if (survival <= 0)
		return;
	sums->requests += width * survival;
	sums->tokens += width * survival * current;
	for (int i = 0; i < ROUTER_HORIZONS; i++) {
		uint32_t ahead = router_horizons[i];
		double surviving = compute_mix_survival(service, age + ahead);
		double total = current + ahead;

		sums->retained.mean[i] += width * surviving * current;
		sums->added.mean[i] += width * surviving * ahead;
		sums->retained.variance[i] += width * surviving * total *
		    total * (1 - surviving / survival);
	}
}

/// Counts a submitted request under its workload class. If a service has more
/// than ROUTER_CLASSES_MAX classes, the requests of all further classes are
/// counted in the last entry.
///
/// @param service   service of the request
/// @param class_id  workload class of the request
void
router_count_submission(
    struct router *router, struct service *service, uint32_t class_id)
{
	struct estimate_key key = {.organisation = ESTIMATE_ALL,
	    .service = service->id,
	    .class_id = class_id};
	unsigned class_index = 0;

	for (unsigned i = 0; i < service->n_classes; i++)
		service->classes[i].submitted *= CLASS_DECAY;
	while (class_index < service->n_classes &&
	    service->classes[class_index].class_id != class_id)
		class_index++;
	class_index = MIN(class_index, ROUTER_CLASSES_MAX - 1);
	if (class_index == service->n_classes) {
		service->n_classes++;
		service->classes[class_index].class_id = class_id;
		service->classes[class_index].series =
		    estimate_get_series(router->estimate, &key);
	}
	service->classes[class_index].submitted += 1;
}

/// Recomputes the expected growth and end of the running requests of a service
/// at each horizon: its `retention` and `growth`.
static void
update_population_profiles(struct service *service)
{
	struct population sums = {0};
	uint32_t age = 0;

	while (age < AGE_MAX) {
		uint32_t step = MAX((uint32_t)(age * AGE_STEP), AGE_STEP_MIN);

		add_age_group(&sums, service, age + step / 2, step);
		age += step;
	}
	if (sums.requests <= 0)
		return;
	for (int i = 0; i < ROUTER_HORIZONS; i++) {
		service->retention.mean[i] =
		    sums.retained.mean[i] / sums.tokens;
		service->retention.variance[i] =
		    sums.retained.variance[i] / sums.requests;
		service->growth.mean[i] = sums.added.mean[i] / sums.requests;
	}
}

/// Updates the statistics of a service: the send rate of this instance and, if
/// they are due and the policy projects memory, the expected growth and end of
/// the running requests.
void
router_update_statistics(struct router *router, struct service *service)
{
	double elapsed = (double)(router->now - router->statistics_updated_at) /
	    USEC_PER_SEC;

	if (elapsed > 0)
		update_moving_average(&service->send_rate,
		    service->sends_since_update / elapsed, SEND_RATE_SMOOTHING);
	service->sends_since_update = 0;
	if (service->kind != UPSTREAM_ENGINE ||
	    router->now < service->population_due_at ||
	    !router_projects_memory(router))
		return;
	service->population_due_at = router->now + POPULATION_INTERVAL;
	update_population_profiles(service);
}
