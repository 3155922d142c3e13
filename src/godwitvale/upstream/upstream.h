/* Table of upstreams, as listed in the bundle in force, and their reports. */
#ifndef GODWITVALE_UPSTREAM_UPSTREAM_H
#define GODWITVALE_UPSTREAM_UPSTREAM_H

#include "godwitvale/serve/instance_defs.h"

struct watch;

/// One upstream of the bundle in force, or a retired one that is still in use.
struct upstream {
	router_upstream handle; /// of the upstream at the router
	char *name;
	struct settings_address address;
	char *base_uri; /// "http://IP:PORT"
	char *zone;
	GQuark serves; /// name of the model or service
	bool is_engine;
	bool checks_fence;      /// refuses model orders with an older fence
	bool in_service;        /// the bundle has it and its zone in service
	usec_t disconnected_at; /// when its idle connection last closed
	struct watch *watch;    /// NULL beyond WATCH_UPSTREAMS_MAX
	bool retired;           /// no longer in the bundle with these options
	struct router_upstream_options options; /// as passed to the router
	char *model;          /// loaded weights in the last report, or NULL
	uint64_t start_epoch; /// in the last report; changes at a restart
	uint64_t fence;       /// highest fence seen, in the last report
	usec_t report_requested_at; /// request time of the last report
	usec_t report_due;          /// when to request the next report
	bool report_pending;        /// a report was requested and hasn't come
	uint64_t cache_sequence;    /// sequence number of the next cache event
};

struct upstream_table *upstream_table_new(struct instance *instance);
void upstream_table_free(struct upstream_table *table);
void upstream_table_apply(
    struct upstream_table *table, const struct bundle *bundle);
struct upstream *upstream_find(
    struct upstream_table *table, router_upstream handle);
GPtrArray *upstream_list(struct upstream_table *table);
void upstream_poll_reports(struct upstream_table *table, usec_t now);

#endif
