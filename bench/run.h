/*
 * One run of the bench: the real routers of all entry instances before fake
 * engines and plain services, in virtual time.
 */
#ifndef GODWITVALE_BENCH_RUN_H
#define GODWITVALE_BENCH_RUN_H

#include "measure.h"

struct run_options {
	const struct fleet *fleet;
	enum router_policy policy;
	enum scenario scenario;
	double load; /// share of the fleet's capacity that is asked for
	double engine_capacity;  /// generations a second, one engine
	double service_capacity; /// lookups a second, one service
	double prefix_weight;
	uint32_t seed;
};

extern const struct engine_options run_engine_options;
#define RUN_SERVICE_MAX_RUNNING 4

void run_measure(const struct run_options *options, double values[N_MEASURES]);

#endif
