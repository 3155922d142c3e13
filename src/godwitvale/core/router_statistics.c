/*
 * Statistics of requests: the send rate of this instance and the expected
 * growth and end of the running requests of other instances. The latter are
 * modelled as a steady stream of requests with the learned output lengths. The
 * running requests of this instance would be a biased sample: an instance that
 * sends few requests retains only the longest ones, would expect all others to
 * be as long, and would send even fewer. For the same reason the class mix
 * includes all submitted requests, whether they are sent or refused.
 */
#include "godwitvale/core/router_state.h"

/// Smoothing factor of the send rate, applied per update.
#define SEND_RATE_SMOOTHING 0.3
/// Factor by which the class counts decay with each submitted request.
#define CLASS_DECAY 0.998
/// Interval between updates of the population statistics.
#define POPULATION_INTERVAL (2 * USEC_PER_SEC)
/// Widths of the age groups as a fraction of the age, their minimum width and
/// the maximum age; ages are in generated tokens.
#define AGE_STEP 0.2
#define AGE_STEP_MIN 16
#define AGE_MAX 65536

/// Updates an exponential moving average.
///
/// @param mean   updated in place
/// @param value  newest value
/// @param share  weight of the newest value, 0 to 1
static void
update_moving_average(double *mean, double value, double share)
{
	*mean += (value - *mean) * share;
}

/// Computes the fraction of requests that reach a length, over all classes.
///
/// @param tokens  output length
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

/// Sums over the running requests of all age groups.
struct population {
	double requests;
	double tokens;
	struct memory_profile retained; /// present tokens of those that remain
	struct memory_profile added;    /// tokens that these add
};

/// Adds the running requests of one age group to the sums.
///
/// @param sums   updated
/// @param age    generated tokens in the middle of the group
/// @param width  width of the group, in tokens
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

/// Counts a submitted request of a class. If there are more than
/// ROUTER_CLASSES_MAX classes, the last entry represents all further ones.
///
/// @param service   service of the request
/// @param class_id  class of the request
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

/// Recomputes the expected growth and end of a service's running requests.
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

/// Updates the statistics of a service: this instance's send rate and the
/// expected growth and end of running requests.
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
