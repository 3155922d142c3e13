/*
 * The queue of waiting requests of one service: fair between organisations by
 * weight, inside an organisation by priority and age.
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
	uint32_t weight; /// of the organisation, 1 or more
	int priority;    /// higher goes first
	usec_t since;    /// waiting since
	usec_t deadline; /// for its start
	double cost;     /// what its start is charged with
};

struct fairqueue_options {
	usec_t now;         /// at the start
	usec_t ageing_span; /// waiting this long is worth one priority
	double slack;       /// organisations this close in cost count as even
};

struct fairqueue;

struct fairqueue *fairqueue_new(const struct fairqueue_options *options);
void fairqueue_free(struct fairqueue *queue);
void fairqueue_push(
    struct fairqueue *queue, usec_t now, const struct fairqueue_item *item);
uint32_t fairqueue_peek(const struct fairqueue *queue);
void fairqueue_start(struct fairqueue *queue, usec_t now, uint32_t id);
bool fairqueue_remove(struct fairqueue *queue, usec_t now, uint32_t id);
void fairqueue_charge(
    struct fairqueue *queue, uint32_t organisation, double cost);
unsigned fairqueue_length(const struct fairqueue *queue);
unsigned fairqueue_organisation_length(
    const struct fairqueue *queue, uint32_t organisation);
usec_t fairqueue_wait(struct fairqueue *queue, usec_t now, uint32_t id);
unsigned fairqueue_earliest(const struct fairqueue *queue, unsigned n,
    uint32_t ids[], usec_t deadlines[]);

#endif
