/*
 * Queues requests that wait for capacity at an upstream.
 *
 * Load pattern: a burst fills every engine for a moment. A request that waits
 * in this queue costs nothing; a request that waits in an engine is preempted
 * or delays other requests. Requests are tried in the order of priority, and of
 * deadline within the same priority. Upstreams without capacity don't block
 * the requests that other upstreams may take: those of other services, or a
 * stream that must go on at another software version. Nor does a group, an
 * organisation, that must leave capacity free block those of other groups.
 */
#ifndef GODWITVALE_CORE_WAIT_QUEUE_H
#define GODWITVALE_CORE_WAIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// A waiting request.
struct wait_queue_entry {
	void *request;      /// owned by the caller; identifies the entry
	uint64_t upstreams; /// hash that names those that may take the request
	uint32_t priority;  /// 0 is the most urgent
	usec_t deadline;    /// latest end of the wait; orders equal priorities
	uint64_t group; /// hash of those that share a limit, an organisation
};

/// What came of an attempt to place a waiting request.
enum wait_queue_result {
	WAIT_QUEUE_DONE = 1, /// the request no longer waits
	WAIT_QUEUE_FULL,     /// its upstreams have no capacity now
	/// its upstreams have no capacity that its group may use now
	WAIT_QUEUE_GROUP_FULL,
	WAIT_QUEUE_NOT_TRIED, /// it keeps waiting, and others are tried
};

/// Tries to place a request.
typedef enum wait_queue_result (*wait_queue_attempt)(
    void *owner, void *request);

struct wait_queue;

struct wait_queue *wait_queue_new(void);
void wait_queue_free(struct wait_queue *queue);
void wait_queue_add(
    struct wait_queue *queue, const struct wait_queue_entry *entry);
void wait_queue_remove(struct wait_queue *queue, const void *request);
void wait_queue_process(
    struct wait_queue *queue, wait_queue_attempt attempt, void *owner);
unsigned wait_queue_length(const struct wait_queue *queue);

#endif
