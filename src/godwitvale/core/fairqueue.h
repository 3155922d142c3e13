/*
 * The queue of waiting requests of one service. Organisations share the
 * service by weight; requests of one organisation are ordered by priority and
 * age.
 */
#ifndef GODWITVALE_CORE_FAIRQUEUE_H
#define GODWITVALE_CORE_FAIRQUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// One waiting request.
struct fairqueue_item {
	uint32_t id; /// not 0
	uint32_t organisation;
	uint32_t weight;       /// of the organisation, at least 1
	int priority;          /// higher goes first
	usec_t waiting_since;  /// when it began to wait
	usec_t start_deadline; /// latest time for its start
	double cost;           /// charged when it starts
};

/// Settings of a queue.
struct fairqueue_options {
	usec_t now;         /// time of creation
	usec_t ageing_span; /// waiting time worth one priority level
	double slack;       /// virtual times this close count as equal
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
