/* An engine's continuous batch: memory, preemption, prefix cache, warm-up. */
#include "engine_batch.h"

#include <string.h>

#include "godwitvale/core/hash.h"

#define PREFILL_TOKENS_PER_STEP 512
#define RESUMABLE_MS 60000
#define EXPIRE_EVERY_MS 50
#define EVENTS_KEPT 4096

static void
generation_free(gpointer data)
{
	struct generation *generation = data;

	g_array_unref(generation->blocks);
	g_free(generation);
}

static void
emit(struct batch *batch, uint64_t block, bool stored, int64_t now_ms)
{
	struct cache_event *event = NULL;
	uint64_t seq = batch->next_seq++;

	batch->events_made++;
	if (batch->options.gap_every > 0 &&
	    batch->events_made % (uint64_t)batch->options.gap_every == 0)
		return;
	event = g_new0(struct cache_event, 1);
	event->seq = seq;
	event->block = block;
	event->stored = stored;
	event->at_ms = now_ms;
	g_queue_push_tail(&batch->events, event);
	if (batch->events.length > EVENTS_KEPT)
		g_free(g_queue_pop_head(&batch->events));
}

static void
cache_store(struct batch *batch, uint64_t block, int64_t now_ms)
{
	GList *link = g_hash_table_lookup(batch->cached, &block);
	uint64_t *entry = NULL;

	if (link != NULL) {
		g_queue_unlink(&batch->cache, link);
		g_queue_push_tail_link(&batch->cache, link);
		return;
	}
	if (batch->options.cache_blocks <= 0)
		return;
	while (batch->cache.length >= (guint)batch->options.cache_blocks) {
		entry = g_queue_pop_head(&batch->cache);
		g_hash_table_remove(batch->cached, entry);
		emit(batch, *entry, false, now_ms);
		g_free(entry);
	}
	entry = g_memdup2(&block, sizeof(block));
	g_queue_push_tail(&batch->cache, entry);
	g_hash_table_insert(
	    batch->cached, entry, g_queue_peek_tail_link(&batch->cache));
	emit(batch, block, true, now_ms);
}

/// @return the tokens at the prompt's head that the cache holds
static uint32_t
cache_match(struct batch *batch, const struct generation *generation)
{
	uint32_t n = 0;

	while (n < generation->blocks->len &&
	    g_hash_table_contains(
		batch->cached, &g_array_index(generation->blocks, uint64_t, n)))
		n++;
	return n * ENGINE_BLOCK_TOKENS;
}

static uint32_t
generation_tokens(const struct generation *generation)
{
	return generation->prompt_tokens + generation->produced;
}

static gint
by_priority(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct generation *a = left;
	const struct generation *b = right;

	(void)data;
	if (a->priority != b->priority)
		return a->priority > b->priority ? -1 : 1;
	return a->id < b->id ? -1 : a->id > b->id;
}

static bool
is_cold(const struct batch *batch, int64_t now_ms)
{
	return now_ms < batch->started_ms + batch->options.cold_ms;
}

/// Takes a generation into the running batch, computing its tokens anew.
static void
start(struct batch *batch, struct generation *generation, int64_t now_ms)
{
	uint32_t hit = cache_match(batch, generation);

	generation->state = GENERATION_RUNNING;
	generation->prefill = generation_tokens(generation) - hit;
	batch->cached_tokens += hit;
	batch->used_tokens += generation_tokens(generation);
	g_queue_push_tail(&batch->running, generation);
	for (guint i = 0; i < generation->blocks->len; i++)
		cache_store(batch,
		    g_array_index(generation->blocks, uint64_t, i), now_ms);
	batch->max_running_seen =
	    MAX(batch->max_running_seen, batch->running.length);
	if (is_cold(batch, now_ms))
		batch->max_running_cold =
		    MAX(batch->max_running_cold, batch->running.length);
}

static void
stop(struct batch *batch, struct generation *generation)
{
	if (generation->state == GENERATION_WAITING)
		g_queue_remove(&batch->waiting, generation);
	if (generation->state != GENERATION_RUNNING)
		return;
	batch->used_tokens -= generation_tokens(generation);
	g_queue_remove(&batch->running, generation);
}

/// Sends the running generation of the lowest rank back to the queue.
static void
preempt(struct batch *batch)
{
	struct generation *victim = NULL;

	for (GList *item = batch->running.head; item; item = item->next) {
		if (victim == NULL || by_priority(item->data, victim, NULL) > 0)
			victim = item->data;
	}
	g_assert(victim != NULL);
	stop(batch, victim);
	victim->state = GENERATION_WAITING;
	g_queue_insert_sorted(&batch->waiting, victim, by_priority, NULL);
	batch->preemptions++;
}

static void
admit(struct batch *batch, int64_t now_ms)
{
	uint64_t memory = (uint64_t)batch->options.memory_tokens;

	while (batch->waiting.length > 0 &&
	    batch->running.length < (guint)batch->options.max_running) {
		struct generation *next = g_queue_peek_head(&batch->waiting);

		if (batch->running.length > 0 &&
		    batch->used_tokens + generation_tokens(next) >= memory)
			return;
		g_queue_pop_head(&batch->waiting);
		start(batch, next, now_ms);
	}
}

static void
end(struct generation *generation, enum generation_state state, int64_t now_ms)
{
	generation->state = state;
	generation->expiry_ms = now_ms + RESUMABLE_MS;
}

static void
advance(struct batch *batch, struct generation *generation, int64_t now_ms)
{
	if (generation->prefill > PREFILL_TOKENS_PER_STEP) {
		generation->prefill -= PREFILL_TOKENS_PER_STEP;
		return;
	}
	generation->prefill = 0;
	if (generation->produced < generation->length) {
		generation->produced++;
		batch->used_tokens++;
	}
	if (generation->produced < generation->length)
		return;
	stop(batch, generation);
	end(generation, GENERATION_FINISHED, now_ms);
	batch->finished++;
}

static void
expire(struct batch *batch, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value = NULL;

	if (now_ms < batch->next_expire_ms)
		return;
	batch->next_expire_ms = now_ms + EXPIRE_EVERY_MS;
	g_hash_table_iter_init(&iter, batch->generations);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct generation *generation = value;

		if (generation->expiry_ms != 0) {
			if (generation->expiry_ms <= now_ms)
				g_hash_table_iter_remove(&iter);
		} else if (generation->orphan_deadline_ms != 0 &&
		    generation->orphan_deadline_ms <= now_ms) {
			batch_cancel(batch, generation, now_ms);
		}
	}
}

/// Hashes each word, then chains each whole block of words to the last.
static void
read_prompt(struct generation *generation, const char *prompt)
{
	char **words = g_strsplit_set(prompt, " \t\r\n", -1);
	uint64_t block[ENGINE_BLOCK_TOKENS];
	uint64_t chain = 0;

	generation->blocks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (char **word = words; *word != NULL; word++) {
		guint at = generation->prompt_tokens % ENGINE_BLOCK_TOKENS;

		if (**word == '\0')
			continue;
		block[at] = hash_name(*word);
		generation->prompt_tokens++;
		if (at + 1 < ENGINE_BLOCK_TOKENS)
			continue;
		chain = hash_pair(chain, hash_bytes(block, sizeof(block), 0));
		g_array_append_val(generation->blocks, chain);
	}
	g_strfreev(words);
}

void
batch_init(
    struct batch *batch, const struct batch_options *options, int64_t now_ms)
{
	memset(batch, 0, sizeof(*batch));
	batch->options = *options;
	batch->generations = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, generation_free);
	batch->cached = g_hash_table_new(g_int64_hash, g_int64_equal);
	batch_restart(batch, now_ms);
}

/// Forgets all, as a new start of the engine does; counters stay.
void
batch_restart(struct batch *batch, int64_t now_ms)
{
	g_queue_clear(&batch->waiting);
	g_queue_clear(&batch->running);
	g_hash_table_remove_all(batch->generations);
	g_hash_table_remove_all(batch->cached);
	g_queue_clear_full(&batch->cache, g_free);
	g_queue_clear_full(&batch->events, g_free);
	batch->used_tokens = 0;
	batch->next_seq = 1;
	batch->start_epoch = (uint64_t)g_random_int() + 1;
	batch->next_id = (batch->start_epoch << 20) + 1;
	batch->started_ms = now_ms;
}

/// Queues a new generation; the batch owns it.
struct generation *
batch_add(
    struct batch *batch, const char *prompt, int64_t priority, uint32_t length)
{
	struct generation *generation = g_new0(struct generation, 1);

	generation->id = batch->next_id++;
	generation->priority = priority;
	generation->length = length;
	read_prompt(generation, prompt);
	g_hash_table_insert(batch->generations, &generation->id, generation);
	g_queue_insert_sorted(&batch->waiting, generation, by_priority, NULL);
	batch->started++;
	return generation;
}

struct generation *
batch_find(struct batch *batch, uint64_t id)
{
	return g_hash_table_lookup(batch->generations, &id);
}

void
batch_cancel(struct batch *batch, struct generation *generation, int64_t now_ms)
{
	if (generation->state == GENERATION_FINISHED ||
	    generation->state == GENERATION_CANCELLED)
		return;
	stop(batch, generation);
	end(generation, GENERATION_CANCELLED, now_ms);
	batch->cancelled++;
}

/// One step: admits, gives each running generation a token, makes room.
///
/// @return false when the engine fell over, being cold and overloaded
bool
batch_step(struct batch *batch, int64_t now_ms)
{
	GList *running = NULL;

	expire(batch, now_ms);
	admit(batch, now_ms);
	if (is_cold(batch, now_ms) &&
	    batch->running.length > (guint)batch->options.cold_limit) {
		batch->overloads++;
		return false;
	}
	while (batch->running.length > 1 &&
	    batch->used_tokens + batch->running.length >
		(uint64_t)batch->options.memory_tokens)
		preempt(batch);
	running = g_list_copy(batch->running.head);
	for (GList *item = running; item != NULL; item = item->next)
		advance(batch, item->data, now_ms);
	g_list_free(running);
	return true;
}
