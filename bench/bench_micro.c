/* Processor time of a decision at growing numbers of upstreams. */
#include <stdio.h>
#include <time.h>

#include "godwitvale/core/router.h"

#define N_REQUESTS 50000
/// The least of so many is taken: others use the machine too.
#define N_REPEATS 5
#define N_WARM_UP 20000
#define RUNNING_PER_UPSTREAM 4
#define PREFIX_BLOCKS 8
#define SUBSET 32

static const unsigned sizes[] = {12, 90, 720};

/* Processor time of this process, in nanoseconds. */
static int64_t
processor_time(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return now.tv_sec * INT64_C(1000000000) + now.tv_nsec;
}

static struct router *
router_make(GRand *random, unsigned n_upstreams, unsigned subset)
{
	struct router_options options = {.random = random,
	    .n_instances = 9,
	    .instance_id = 1,
	    .subset = subset,
	    .queue_limit = 100,
	    .memory_reserve = 0.05,
	    .prefix_weight = 1,
	    .use_slots = true};
	struct router_upstream_options upstream = {.kind = UPSTREAM_ENGINE,
	    .service = 1,
	    .memory_tokens = 96000,
	    .max_running = 64,
	    .cold_limit = 4,
	    .warm_span = USEC_PER_SEC};
	struct router_load_report report = {
	    .start_epoch = 1, .uptime = 3600 * USEC_PER_SEC};
	struct router *router = router_new(&options);

	for (unsigned i = 0; i < n_upstreams; i++) {
		router_upstream handle =
		    router_add_upstream(router, 1, &upstream);

		router_report_load(router, 1, handle, &report);
	}
	return router;
}

/* Submits one request, as in steady use; gives its handle back. */
static router_request
submit_one(struct router *router, GRand *random, usec_t now)
{
	struct router_request_options options = {
	    .organisation = 1 + g_rand_int(random) % 330,
	    .service = 1,
	    .class_id = 1,
	    .weight = 1,
	    .prompt_tokens = 500,
	    .start_deadline = now + USEC_PER_SEC,
	    .idempotent = true,
	    .n_prefix = PREFIX_BLOCKS};
	uint64_t document = g_rand_int(random) % 1000;

	for (unsigned i = 0; i < PREFIX_BLOCKS; i++)
		options.prefix[i] = document * PREFIX_BLOCKS + i + 1;
	return router_submit(router, now, &options);
}

static void
drain(struct router *router)
{
	struct router_action action;

	while (router_next_action(router, &action))
		;
}

/* A request's whole way: submit, send, progress, finish. */
static double
cost_of_request(unsigned n_upstreams, unsigned subset)
{
	GRand *random = g_rand_new_with_seed(1);
	struct router *router = router_make(random, n_upstreams, subset);
	unsigned n_running = RUNNING_PER_UPSTREAM *
	    (subset != 0 ? MIN(subset, n_upstreams) : n_upstreams);
	router_request *running = g_new0(router_request, n_running);
	int64_t start = 0;

	for (unsigned i = 0; i < N_WARM_UP + N_REQUESTS; i++) {
		usec_t now = 2 + i;
		router_request *slot = &running[i % n_running];

		if (i == N_WARM_UP)
			start = processor_time();
		router_finish(router, now, *slot, ROUTER_OUTCOME_DONE, 200);
		drain(router);
		*slot = submit_one(router, random, now);
		drain(router);
		router_report_progress(router, now, *slot, 10);
	}
	start = processor_time() - start;
	g_free(running);
	router_free(router);
	g_rand_free(random);
	return (double)start / N_REQUESTS;
}

/* Taking one load report, with others' requests in it. */
static double
cost_of_report(unsigned n_upstreams)
{
	GRand *random = g_rand_new_with_seed(1);
	struct router *router = router_make(random, n_upstreams, 0);
	int64_t start;

	start = processor_time();
	for (unsigned i = 0; i < N_REQUESTS; i++) {
		struct router_load_report report = {.requested_at = 2 + i,
		    .start_epoch = 1,
		    .uptime = 3600 * USEC_PER_SEC + i,
		    .used_tokens = 40000 + i % 1000,
		    .running = 16};

		/* Handles of a new router count from 1. */
		router_report_load(router, 2 + i, 1 + i % n_upstreams, &report);
	}
	start = processor_time() - start;
	router_free(router);
	g_rand_free(random);
	return (double)start / N_REQUESTS;
}

static double
least_cost(unsigned n_upstreams, unsigned subset)
{
	double least = cost_of_request(n_upstreams, subset);

	for (int i = 1; i < N_REPEATS; i++)
		least = MIN(least, cost_of_request(n_upstreams, subset));
	return least;
}

int
main(void)
{
	printf("%10s %10s %14s %14s\n", "upstreams", "subset", "ns/request",
	    "ns/report");
	for (unsigned i = 0; i < G_N_ELEMENTS(sizes); i++) {
		printf("%10u %10s %14.0f %14.0f\n", sizes[i], "all",
		    least_cost(sizes[i], 0), cost_of_report(sizes[i]));
		printf("%10u %10u %14.0f\n", sizes[i], SUBSET,
		    least_cost(sizes[i], SUBSET));
	}
	return 0;
}
