/* The requests of the bench: organisations, classes, lengths, arrivals. */
#ifndef GODWITVALE_BENCH_WORKLOAD_H
#define GODWITVALE_BENCH_WORKLOAD_H

#include "engine.h"

#define N_ORGANISATIONS 10
/// The first ones are large.
#define N_LARGE 3
/// Generations and plain calls are different services.
#define SERVICE_MODEL 1
#define SERVICE_LOOKUP 2

enum workload_class {
	CLASS_DRAFT = 1, /// long, low priority, must finish
	CLASS_DIAGRAM,   /// short answers that may wait a little
	CLASS_LOOKUP,    /// plain calls that must come back
};

/// What happens in a run.
enum scenario {
	SCENARIO_STEADY = 0,
	SCENARIO_ZONE,    /// a zone leaves and comes back cold
	SCENARIO_RESTART, /// a third of the upstreams turn cold at once
	SCENARIO_SURGE,   /// one organisation asks for five times as much
	N_SCENARIOS,
};

/// One user's fleet.
struct fleet {
	const char *name;
	unsigned n_zones;
	unsigned n_engines;
	unsigned n_services;
	unsigned n_entries;
	double stall_weight;
	double zone_weight;
};

/// What one request is; lengths are known to the fakes alone.
struct arrival {
	uint32_t organisation;
	enum workload_class class_id;
	uint32_t prompt;
	uint32_t output;     /// tokens
	usec_t service_time; /// of a lookup
	unsigned n_prefix;
	uint64_t prefix[ROUTER_PREFIX_BLOCKS_MAX];
};

extern const struct fleet fleets[];
extern const unsigned n_fleets;

/// Times of the events, and of what is measured, in every run.
#define MEASURE_FROM (300 * USEC_PER_SEC)
#define MEASURE_TO (900 * USEC_PER_SEC)
#define EVENT_AT (600 * USEC_PER_SEC)
#define EVENT_END (720 * USEC_PER_SEC)
#define RUN_END (1200 * USEC_PER_SEC)

#define SURGE_FACTOR 5.0

int class_priority(enum workload_class class_id);
usec_t class_patience(enum workload_class class_id);
void workload_draw_generation(GRand *random, double surge, struct arrival *out);
void workload_draw_lookup(GRand *random, struct arrival *out);
double workload_surge_rate(double surge);
double workload_exponential(GRand *random, double mean);
double workload_engine_capacity(const struct engine_options *engine);
double workload_service_capacity(uint32_t max_running);

#endif
