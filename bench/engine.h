/*
 * A small fake of a model engine in virtual time: continuous batching, memory
 * that grows a token at a time, preemption by recomputation, a prefix cache,
 * and a slow start during which overload makes it fall over.
 */
#ifndef GODWITVALE_BENCH_ENGINE_H
#define GODWITVALE_BENCH_ENGINE_H

#include <stdbool.h>

#include "godwitvale/core/router_defs.h"

/// Tokens in a block of the prefix cache.
#define ENGINE_BLOCK_TOKENS 256

/// One generation, owned by the caller.
struct job {
	uint32_t prompt;
	uint32_t output; /// known to the fake alone
	int priority;
	unsigned n_prefix;
	const uint64_t *prefix;
	uint32_t generated;
	uint32_t prefill_left;
	usec_t arrived;
	usec_t last_token; /// 0: none yet
};

struct engine;

/// What the engine tells. First member of the listener.
struct engine_listener {
	void (*first_token)(
	    struct engine_listener *listener, struct job *job, usec_t now);
	void (*progress)(
	    struct engine_listener *listener, struct job *job, usec_t now);
	void (*finished)(
	    struct engine_listener *listener, struct job *job, usec_t now);
	void (*failed)(
	    struct engine_listener *listener, struct job *job, usec_t now);
	void (*gaps)(struct engine_listener *listener, usec_t gap, unsigned n);
	void (*cache_event)(struct engine_listener *listener,
	    struct engine *engine, uint64_t block, bool stored);
};

struct engine_options {
	uint32_t memory_tokens;
	uint32_t max_running;
	uint32_t cold_limit;
	usec_t warm_span;
	struct engine_listener *listener;
};

/// Sums over an engine's life.
struct engine_totals {
	uint64_t preemptions;
	uint64_t recomputed; /// prompt and output tokens computed again
	uint64_t prefilled;
	uint64_t cached; /// prompt tokens served by the prefix cache
	uint64_t collapses;
	uint64_t over_limit; /// arrivals beyond what the engine bore, cold
};

struct engine *engine_new(const struct engine_options *options);
void engine_free(struct engine *engine);
void engine_submit(struct engine *engine, usec_t now, struct job *job);
usec_t engine_begin_step(struct engine *engine, usec_t now);
void engine_end_step(struct engine *engine, usec_t now);
void engine_restart(struct engine *engine, usec_t now, usec_t down_for);
bool engine_is_up(const struct engine *engine, usec_t now);
void engine_report(
    const struct engine *engine, usec_t now, struct router_load_report *report);
const struct engine_totals *engine_totals(const struct engine *engine);

#endif
