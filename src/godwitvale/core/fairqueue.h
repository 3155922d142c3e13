/*
 * Fair queue: holds the waiting requests of one service and decides which one
 * starts next. Organisations share the service in proportion to their weights;
 * the requests of one organisation are ordered by priority and wait time.
 */
#ifndef GODWITVALE_CORE_FAIRQUEUE_H
#define GODWITVALE_CORE_FAIRQUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// One waiting request.
struct fairqueue_item {
	uint32_t id;           /// request id, not 0
	uint32_t organisation; /// organisation id
	uint32_t weight;       /// weight of the organisation, at least 1
	int priority;          /// requests with a higher number start earlier
	usec_t waiting_since;  /// time since which the request waits
	usec_t start_deadline; /// latest time at which the request may start
	/// cost that is charged to the organisation when the request starts, in
	/// a unit chosen by the queue's owner
	double cost;
};

/// Settings of a queue.
struct fairqueue_options {
	usec_t now;         /// current time when the queue is created
	usec_t ageing_span; /// wait time worth one priority level
	/// difference up to which the virtual times of organisations count as
	/// equal, in units of cost divided by weight
	double slack;
};

struct fairqueue;

struct fairqueue *fairqueue_new(const struct fairqueue_options *options);
void fairqueue_free(struct fairqueue *queue);
void fairqueue_set_ageing_span(struct fairqueue *queue, usec_t ageing_span);
void fairqueue_push_request(
    struct fairqueue *queue, usec_t now, const struct fairqueue_item *item);
uint32_t fairqueue_peek(const struct fairqueue *queue);
void fairqueue_start_request(struct fairqueue *queue, usec_t now, uint32_t id);
bool fairqueue_remove_request(struct fairqueue *queue, usec_t now, uint32_t id);
void fairqueue_charge_organisation(
    struct fairqueue *queue, uint32_t organisation, double cost);
unsigned fairqueue_length(const struct fairqueue *queue);
unsigned fairqueue_get_organisation_length(
    const struct fairqueue *queue, uint32_t organisation);
usec_t fairqueue_estimate_wait(
    struct fairqueue *queue, usec_t now, uint32_t id);
unsigned fairqueue_list_earliest_deadlines(const struct fairqueue *queue,
    unsigned n, uint32_t ids[], usec_t deadlines[]);

#endif
