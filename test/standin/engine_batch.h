/* An engine's continuous batch: memory, preemption, prefix cache, warm-up. */
#ifndef GODWITVALE_TEST_ENGINE_BATCH_H
#define GODWITVALE_TEST_ENGINE_BATCH_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#define ENGINE_BLOCK_TOKENS 16

enum generation_state {
	GENERATION_WAITING = 0,
	GENERATION_RUNNING,
	GENERATION_FINISHED,
	GENERATION_CANCELLED,
};

struct generation {
	uint64_t id;
	enum generation_state state;
	int64_t priority; /// higher first
	uint32_t prompt_tokens;
	uint32_t length;   /// tokens that it will have
	uint32_t produced; /// tokens that it has
	uint32_t prefill;  /// tokens to compute before the next new one
	GArray *blocks;    /// chained hashes of the prompt's whole blocks
	bool chat;
	int64_t orphan_deadline_ms; /// cancelled then; 0 while it has a reader
	int64_t expiry_ms;          /// forgotten then; 0 until it ends
};

struct batch_options {
	int max_running;
	int memory_tokens;
	int cache_blocks;
	int gap_every; /// each so many-th cache event is lost; 0 for none
	int cold_ms;
	int cold_limit;
};

struct cache_event {
	uint64_t seq;
	uint64_t block;
	bool stored;
	int64_t at_ms;
};

struct batch {
	struct batch_options options;
	GHashTable *generations; /// id -> generation
	GQueue waiting;          /// by priority, then by age
	GQueue running;          /// oldest first
	GQueue cache;            /// blocks, least recently used first
	GHashTable *cached;      /// block -> its link in cache
	GQueue events;
	uint64_t events_made;
	uint64_t next_seq;
	uint64_t next_id;
	uint64_t start_epoch;
	int64_t started_ms;
	int64_t next_expire_ms;
	uint64_t used_tokens;
	uint64_t started;
	uint64_t finished;
	uint64_t cancelled;
	uint64_t preemptions;
	uint64_t overloads;
	uint64_t cached_tokens;
	guint max_running_seen;
	guint max_running_cold;
};

void batch_init(
    struct batch *batch, const struct batch_options *options, int64_t now_ms);
void batch_restart(struct batch *batch, int64_t now_ms);
struct generation *batch_add(
    struct batch *batch, const char *prompt, int64_t priority, uint32_t length);
struct generation *batch_find(struct batch *batch, uint64_t id);
void batch_cancel(
    struct batch *batch, struct generation *generation, int64_t now_ms);
bool batch_step(struct batch *batch, int64_t now_ms);

#endif
