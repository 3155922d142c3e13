/* Table of the upstreams of the bundle in force, with their load reports. */
#ifndef GODWITVALE_UPSTREAM_UPSTREAM_H
#define GODWITVALE_UPSTREAM_UPSTREAM_H

#include "godwitvale/serve/instance_defs.h"

struct watch;

/// One upstream of the bundle in force.
struct upstream {
	router_upstream handle; /// the router's handle of it
	char *name;
	struct settings_address address;
	char *base; /// "http://IP:PORT"
	char *zone;
	GQuark serves;
	bool engine;
	bool checks_fence;
	bool in_service;
	usec_t lost_at;      /// when its idle connection last ended
	struct watch *watch; /// NULL where there are too many
	bool retired; /// not in the bundle any more, or with other options
	struct router_upstream_options options;
	char *model;          /// weights loaded, as last reported, or NULL
	uint64_t start_epoch; /// as last reported
	uint64_t fence;       /// highest order's number, as last reported
	usec_t reported_at;   /// when the last report was asked for
	usec_t report_due;    /// when the next one is to be asked for
	bool report_pending;
	uint64_t cache_sequence; /// the next cache event asked for
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
