/*
 * Requests that wait for room at an upstream, in the order in which they get
 * it.
 *
 * Load pattern: a burst fills every engine for a moment. What waits here
 * costs nothing, what waits in an engine is preempted or holds others up. The
 * more urgent go first, among equals the one whose time runs out first; one
 * service that is full holds up no other.
 */
#ifndef GODWITVALE_CORE_WAIT_QUEUE_H
#define GODWITVALE_CORE_WAIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// One that waits.
struct wait_entry {
	void *request;
	uint64_t service;  /// hash of its name
	uint32_t priority; /// 0 goes first
	usec_t deadline;   /// until which it may wait
};

/// Tries to place a request.
///
/// @return true when it no longer waits
typedef bool (*wait_attempt)(void *owner, void *request);

struct wait_queue;

struct wait_queue *wait_queue_new(void);
void wait_queue_free(struct wait_queue *queue);
void wait_queue_add(struct wait_queue *queue, const struct wait_entry *entry);
void wait_queue_remove(struct wait_queue *queue, const void *request);
void wait_queue_run(
    struct wait_queue *queue, wait_attempt attempt, void *owner);
unsigned wait_queue_length(const struct wait_queue *queue);

#endif
