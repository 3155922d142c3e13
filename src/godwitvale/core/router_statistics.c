/*
 * How the running requests of other instances are taken to grow and end: as a
 * steady stream of requests with the lengths that have been learnt. Our own
 * running requests would not do as a sample: an instance that sends little
 * keeps the longest ones only, would think that all are as long, and would
 * send even less. For the same reason the mix of classes is that of what is
 * submitted here, whether it is sent or refused.
 */
#include "godwitvale/core/router_state.h"

/// The rate of sends moves by this share at each survey.
#define SURVEY_SHARE 0.3
/// What a submitted request counts after the next one.
#define CLASS_FADE 0.998
/// How long a picture of the running requests is used.
#define POPULATION_SPAN (2 * USEC_PER_SEC)
/// Ages are summed over in steps of this share, and at least of this many
/// tokens, up to this age.
#define AGE_STEP 0.2
#define AGE_STEP_MIN 16
#define AGE_MAX 65536

/// Moves a mean towards a value.
///
/// @param mean   changed in place
/// @param value  newest value
/// @param share  how far
static void
blend(double *mean, double value, double share)
{
	*mean += (value - *mean) * share;
}

/// Gives the share of requests that reach a length, over all classes.
///
/// @param service  the service
/// @param tokens   the length
/// @return share, 0 to 1
static double
mix_survival(struct service *service, uint32_t tokens)
{
	double sum = 0;
	double all = 0;

	for (unsigned i = 0; i < service->n_classes; i++) {
		struct class_share *share = &service->classes[i];

		all += share->submitted;
		sum += share->submitted *
		    estimate_survival(share->series, 0, tokens);
	}
	if (all <= 0)
		return estimate_survival(service->series, 0, tokens);
	return sum / all;
}

/// Sums over the requests of one age.
struct population {
	double requests;
	double tokens;
	struct memory_profile kept;  /// tokens of those that run on, as of now
	struct memory_profile grown; /// tokens that they add
};

/// Adds the requests of one age to the sums.
///
/// @param sums     changed
/// @param service  the service
/// @param age      tokens generated
/// @param width    ages that this one stands for
static void
add_age(struct population *sums, struct service *service, uint32_t age,
    double width)
{
	double now = service->mean_prompt + age;
	double alive = mix_survival(service, age);

	if (alive <= 0)
		return;
	sums->requests += width * alive;
	sums->tokens += width * alive * now;
	for (int i = 0; i < ROUTER_HORIZONS; i++) {
		uint32_t ahead = router_horizons[i];
		double then = mix_survival(service, age + ahead);
		double whole = now + ahead;

		sums->kept.at[i] += width * then * now;
		sums->grown.at[i] += width * then * ahead;
		sums->kept.variance[i] +=
		    width * then * whole * whole * (1 - then / alive);
	}
}

/// Counts a submitted request for the mix of classes. Beyond
/// ROUTER_CLASSES_MAX the last one stands for all others.
///
/// @param router    the router
/// @param service   its service
/// @param class_id  its class
void
router_note_class(
    struct router *router, struct service *service, uint32_t class_id)
{
	struct estimate_key key = {.organisation = ESTIMATE_ALL,
	    .service = service->id,
	    .class_id = class_id};
	unsigned at = 0;

	for (unsigned i = 0; i < service->n_classes; i++)
		service->classes[i].submitted *= CLASS_FADE;
	while (at < service->n_classes &&
	    service->classes[at].class_id != class_id)
		at++;
	at = MIN(at, ROUTER_CLASSES_MAX - 1);
	if (at == service->n_classes) {
		service->n_classes++;
		service->classes[at].class_id = class_id;
		service->classes[at].series =
		    estimate_series_of(router->estimate, &key);
	}
	service->classes[at].submitted += 1;
}

/// Works out anew how the running requests of a service grow and end.
///
/// @param service  the service
static void
survey_population(struct service *service)
{
	struct population sums = {0};
	uint32_t age = 0;

	while (age < AGE_MAX) {
		uint32_t step = MAX((uint32_t)(age * AGE_STEP), AGE_STEP_MIN);

		add_age(&sums, service, age + step / 2, step);
		age += step;
	}
	if (sums.requests <= 0)
		return;
	for (int i = 0; i < ROUTER_HORIZONS; i++) {
		service->keep.at[i] = sums.kept.at[i] / sums.tokens;
		service->keep.variance[i] =
		    sums.kept.variance[i] / sums.requests;
		service->growth.at[i] = sums.grown.at[i] / sums.requests;
	}
}

/// Works out anew how requests of a service grow and end, and how often this
/// instance sends.
///
/// @param router   the router
/// @param service  the service
void
router_survey(struct router *router, struct service *service)
{
	double span =
	    (double)(router->now - router->surveyed_at) / USEC_PER_SEC;

	if (span > 0)
		blend(&service->send_rate, service->sends / span, SURVEY_SHARE);
	service->sends = 0;
	if (service->kind != UPSTREAM_ENGINE ||
	    router->now < service->population_at || !router_projects(router))
		return;
	service->population_at = router->now + POPULATION_SPAN;
	survey_population(service);
}
