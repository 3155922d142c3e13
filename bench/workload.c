/* Draws requests. The parameters are fixed in docs/design/0003. */
#include "workload.h"

#include <math.h>

#include "godwitvale/core/hash.h"

/// Share of generations that are drafts.
#define DRAFT_SHARE 0.4
/// Share of all requests that the large organisations make together.
#define LARGE_SHARE 0.66
/// Lengths are lognormal: medians, spreads and limits in tokens.
#define DRAFT_MEDIAN 800.0
#define DRAFT_SIGMA 1.3
#define DRAFT_MAX 32000.0
#define DIAGRAM_MEDIAN 120.0
#define DIAGRAM_SIGMA 0.8
#define DIAGRAM_MAX 4000.0
#define OUTPUT_MIN 4.0
#define PROMPT_SIGMA 0.6
#define DRAFT_PROMPT_MEDIAN 1200.0
#define DIAGRAM_PROMPT_MEDIAN 500.0
#define PROMPT_MIN 32.0
#define PROMPT_MAX 4096.0
/// Prompts open with one of an organisation's shared documents.
#define N_DOCUMENTS 20
#define SHARED_SHARE 0.6
/// Lookups take this long, lognormal.
#define LOOKUP_MEDIAN_USEC 165000.0
#define LOOKUP_SIGMA 0.6
/// Calibration: requests kept waiting at one engine, and its length.
#define CALIBRATE_WAITING 64
#define CALIBRATE_FROM (600 * USEC_PER_SEC)
#define CALIBRATE_TO (2400 * USEC_PER_SEC)

const struct fleet fleets[] = {
    {"qasr-karton", 4, 20, 4, 9, 2.0, 1.0},
    {"trituranor", 3, 12, 3, 8, 1.0, 2.0},
};
const unsigned n_fleets = G_N_ELEMENTS(fleets);

static double
draw_normal(GRand *random)
{
	double u = 1 - g_rand_double(random);
	double v = g_rand_double(random);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * v);
}

static double
draw_lognormal(GRand *random, double median, double sigma)
{
	return median * exp(sigma * draw_normal(random));
}

static uint32_t
draw_organisation(GRand *random, double surge)
{
	double large = LARGE_SHARE / N_LARGE;
	double small = (1 - LARGE_SHARE) / (N_ORGANISATIONS - N_LARGE);
	double at = g_rand_double(random) * (1 + large * (surge - 1));

	if (at < large * surge)
		return 1;
	at -= large * surge;
	if (at < large * (N_LARGE - 1))
		return 2 + (uint32_t)(at / large);
	at -= large * (N_LARGE - 1);
	return 1 + N_LARGE +
	    MIN((uint32_t)(at / small), N_ORGANISATIONS - N_LARGE - 1);
}

/* Squaring makes the first documents the popular ones. */
static void
draw_prefix(GRand *random, struct arrival *out)
{
	double at = g_rand_double(random);
	uint64_t document = (uint64_t)(at * at * N_DOCUMENTS);
	uint64_t block =
	    hash_pair(out->organisation * 10 + out->class_id, document);
	unsigned shared;

	out->n_prefix =
	    MIN(out->prompt / ENGINE_BLOCK_TOKENS, ROUTER_PREFIX_BLOCKS_MAX);
	shared = (unsigned)(out->n_prefix * SHARED_SHARE + 0.5);
	for (unsigned i = 0; i < out->n_prefix; i++) {
		uint64_t own = i < shared ? i : g_rand_int(random);

		block = hash_pair(block, own);
		out->prefix[i] = block;
	}
}

int
class_priority(enum workload_class class_id)
{
	return class_id == CLASS_DRAFT ? 0 : 1;
}

/* How long a caller waits for the start. */
usec_t
class_patience(enum workload_class class_id)
{
	switch (class_id) {
	case CLASS_DRAFT:
		return 120 * USEC_PER_SEC;
	case CLASS_DIAGRAM:
		return 20 * USEC_PER_SEC;
	case CLASS_LOOKUP:
	default:
		return 3 * USEC_PER_SEC;
	}
}

void
workload_draw_generation(GRand *random, double surge, struct arrival *out)
{
	bool draft = g_rand_double(random) < DRAFT_SHARE;
	double prompt = draw_lognormal(random,
	    draft ? DRAFT_PROMPT_MEDIAN : DIAGRAM_PROMPT_MEDIAN, PROMPT_SIGMA);
	double output =
	    draw_lognormal(random, draft ? DRAFT_MEDIAN : DIAGRAM_MEDIAN,
		draft ? DRAFT_SIGMA : DIAGRAM_SIGMA);

	out->organisation = draw_organisation(random, surge);
	out->class_id = draft ? CLASS_DRAFT : CLASS_DIAGRAM;
	out->prompt = (uint32_t)CLAMP(prompt, PROMPT_MIN, PROMPT_MAX);
	out->output = (uint32_t)CLAMP(
	    output, OUTPUT_MIN, draft ? DRAFT_MAX : DIAGRAM_MAX);
	draw_prefix(random, out);
}

void
workload_draw_lookup(GRand *random, struct arrival *out)
{
	*out = (struct arrival){.organisation = draw_organisation(random, 1),
	    .class_id = CLASS_LOOKUP,
	    .service_time = (usec_t)draw_lognormal(
		random, LOOKUP_MEDIAN_USEC, LOOKUP_SIGMA)};
}

/* How much more arrives in all while one large organisation surges. */
double
workload_surge_rate(double surge)
{
	return 1 + LARGE_SHARE / N_LARGE * (surge - 1);
}

double
workload_exponential(GRand *random, double mean)
{
	return -mean * log(1 - g_rand_double(random));
}

/// A queue that never empties before one engine.
struct calibration {
	struct engine_listener listener;
	struct engine *engine;
	GRand *random;
	GPtrArray *spent; /// struct arrival and struct job
	unsigned finished;
	bool counting;
};

static void
feed(struct calibration *calibration, usec_t now)
{
	struct arrival *arrival = g_new0(struct arrival, 1);
	struct job *job = g_new0(struct job, 1);

	workload_draw_generation(calibration->random, 1, arrival);
	job->prompt = arrival->prompt;
	job->output = arrival->output;
	job->n_prefix = arrival->n_prefix;
	job->prefix = arrival->prefix;
	g_ptr_array_add(calibration->spent, arrival);
	g_ptr_array_add(calibration->spent, job);
	engine_submit(calibration->engine, now, job);
}

static void
ignore_job(struct engine_listener *listener, struct job *job, usec_t now)
{
	(void)listener;
	(void)job;
	(void)now;
}

static void
count_finished(struct engine_listener *listener, struct job *job, usec_t now)
{
	struct calibration *calibration = (struct calibration *)listener;

	(void)job;
	calibration->finished += calibration->counting;
	feed(calibration, now);
}

static void
ignore_gaps(struct engine_listener *listener, usec_t gap, unsigned n)
{
	(void)listener;
	(void)gap;
	(void)n;
}

static void
ignore_cache(struct engine_listener *listener, struct engine *engine,
    uint64_t block, bool stored)
{
	(void)listener;
	(void)engine;
	(void)block;
	(void)stored;
}

/* Generations a second that one engine completes while its own queue never
   empties and nobody is preferred. */
double
workload_engine_capacity(const struct engine_options *engine)
{
	struct calibration calibration = {
	    .listener = {ignore_job, ignore_job, count_finished, ignore_job,
		ignore_gaps, ignore_cache},
	    .random = g_rand_new_with_seed(42),
	    .spent = g_ptr_array_new_with_free_func(g_free)};
	struct engine_options options = *engine;
	usec_t now = 1;

	options.listener = &calibration.listener;
	calibration.engine = engine_new(&options);
	for (int i = 0; i < CALIBRATE_WAITING; i++)
		feed(&calibration, now);
	while (now < CALIBRATE_TO) {
		calibration.counting = now >= CALIBRATE_FROM;
		now += engine_begin_step(calibration.engine, now);
		engine_end_step(calibration.engine, now);
	}
	engine_free(calibration.engine);
	g_ptr_array_free(calibration.spent, TRUE);
	g_rand_free(calibration.random);
	return calibration.finished /
	    ((double)(CALIBRATE_TO - CALIBRATE_FROM) / USEC_PER_SEC);
}

/* Lookups a second that one plain service bears. */
double
workload_service_capacity(uint32_t max_running)
{
	double mean = LOOKUP_MEDIAN_USEC * exp(LOOKUP_SIGMA * LOOKUP_SIGMA / 2);

	return max_running * USEC_PER_SEC / mean;
}
