/* State of a dispatch, shared by dispatch.c and dispatch_upstream.c. */
#ifndef GODWITVALE_ENTRY_DISPATCH_STATE_H
#define GODWITVALE_ENTRY_DISPATCH_STATE_H

#include "godwitvale/core/engine_demand.h"
#include "godwitvale/core/event_interval.h"
#include "godwitvale/core/fleet_share.h"
#include "godwitvale/entry/dispatch.h"

struct dispatch {
	struct dispatch_options options;
	GHashTable *health_by_upstream; /// id hash -> struct upstream_health *
	GHashTable *retry_shares;       /// service -> struct fleet_share *
	GHashTable *event_intervals;    /// service -> struct event_interval *
	GHashTable *brittle; /// hash of a service -> usec_t *, until when
	struct engine_demand *demand;
	GRand *rand;
};

/// Health of one upstream, as observed by this instance.
struct upstream_health {
	struct outlier outlier;
	struct event_interval event_interval;
	struct fleet_share cold_share; /// permits for requests while it is cold
	usec_t full_until;
	/// Until then it has no place for requests of so many tokens or more.
	usec_t no_place_until;
	int32_t no_place_tokens;
	usec_t unreachable_until; /// refused a connection of this instance
	usec_t suspect_until;     /// refused a connection of another instance
	bool misdirected;         /// another upstream has its address now
};

bool dispatch_is_brittle(
    const struct dispatch *dispatch, usec_t now, const char *service);
struct event_interval *dispatch_get_service_interval(
    struct dispatch *dispatch, const char *service);

/* dispatch_engine.c */
void dispatch_set_engine_limits(struct dispatch *dispatch, usec_t now,
    const struct service *service, struct dispatch_request *request);
bool dispatch_in_round(const struct dispatch *dispatch, usec_t now,
    const struct upstream_record *record);

#endif
