/*
 * Upstreams as this instance uses them: who may get a request now, who has
 * failed, what is under way where. It gathers what the decisions of the core
 * need and keeps what comes of them.
 */
#ifndef GODWITVALE_ENTRY_DISPATCH_H
#define GODWITVALE_ENTRY_DISPATCH_H

#include "godwitvale/core/loads.h"
#include "godwitvale/core/membership.h"
#include "godwitvale/core/outlier.h"
#include "godwitvale/core/placement.h"
#include "godwitvale/entry/entry_settings.h"
#include "godwitvale/fleet/view.h"
#include "godwitvale/http/pool.h"

/// Upstreams that one request can be sent to at most.
#define DISPATCH_TRIED_MAX 16

struct dispatch;

/// An upstream that a request was placed on. The texts are its own.
struct dispatch_target {
	char *id;
	char *address;
	char *zone;
	uint64_t key; /// hash of the id
};

/// What is placed.
struct dispatch_request {
	const char *service;
	struct place_request place;
	const char *zone;      /// that is near; NULL: this instance's
	const uint64_t *tried; /// hashes of ids not to be used again
	unsigned n_tried;
};

/// How it is built.
struct dispatch_options {
	const struct entry_settings *settings;
	struct view *view;
	struct loads *loads;
	struct pool *pool;
	struct membership *membership;
};

struct dispatch *dispatch_new(const struct dispatch_options *options);
void dispatch_free(struct dispatch *dispatch);
void dispatch_on_upstream(struct dispatch *dispatch,
    enum directory_change change, const struct upstream_record *record);
enum place_outcome dispatch_place(struct dispatch *dispatch,
    const struct dispatch_request *request, struct dispatch_target *target);
void dispatch_target_clear(struct dispatch_target *target);
void dispatch_first_arrival(struct dispatch *dispatch, const char *service);
bool dispatch_take_repeat(struct dispatch *dispatch, const char *service);
void dispatch_sign(struct dispatch *dispatch,
    const struct dispatch_target *target, enum outlier_result sign);
void dispatch_full(
    struct dispatch *dispatch, const struct dispatch_target *target);
void dispatch_misdirected(
    struct dispatch *dispatch, const struct dispatch_target *target);
bool dispatch_set_leaving(struct dispatch *dispatch, const char *id);
size_t dispatch_list_gone(
    struct dispatch *dispatch, uint64_t *upstreams, size_t max);
void dispatch_heard_gone(struct dispatch *dispatch, uint64_t upstream);
void dispatch_event_span(struct dispatch *dispatch, const char *service,
    const struct dispatch_target *target, usec_t span);
void dispatch_charge(struct dispatch *dispatch,
    const struct dispatch_target *target, const struct load *load, int sign);
const char *dispatch_outcome_name(enum place_outcome outcome);

#endif
