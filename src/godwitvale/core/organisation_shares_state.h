/* State of struct organisation_shares, shared by organisation_shares*.c. */
#ifndef GODWITVALE_CORE_ORGANISATION_SHARES_STATE_H
#define GODWITVALE_CORE_ORGANISATION_SHARES_STATE_H

#include <glib.h>

#include "godwitvale/core/organisation_shares.h"

/// Bounds of the tables. Wrong reports must not fill the memory.
/// Organisations that only others report leave room for this instance's own.
#define ORGANISATION_SHARES_TABLE_SERVICES 32
#define ORGANISATION_SHARES_TABLE_ORGANISATIONS 256
#define ORGANISATION_SHARES_TABLE_REPORTED 192
#define ORGANISATION_SHARES_TABLE_PEERS 1024

struct organisation_shares {
	GHashTable *services;   /// hash of the name -> struct share_service *
	GHashTable *peers;      /// hash of the name -> struct share_peer *
	uint64_t own;           /// hash of the name of this instance
	usec_t next_report_at;  /// not before this time
	uint32_t number;        /// of the last report
	bool was_scarce;        /// at the last tick
	bool has_told_nonzero;  /// the last report wasn't empty
	usec_t report_interval; /// for the size of the fleet
};

/// An organisation at a service.
struct share_organisation {
	uint64_t key;             /// hash of its name
	int64_t own_tokens;       /// held by this instance
	int64_t peer_tokens;      /// by the last reports of the others
	unsigned n_waiting;       /// requests that wait at this instance
	usec_t wanted_until;      /// own requests have waited until lately
	usec_t peer_wanted_until; /// by the last reports of the others
	bool is_limited;
	bool is_told_limited; /// as the last change that was returned says
	usec_t told_at;       /// when that was
};

/// The engines of a service.
struct share_service {
	uint64_t key;
	GHashTable *organisations; /// hash -> struct share_organisation *
	struct organisation_shares_load load;
	usec_t loaded_at;   /// when `load` was set; 0: never
	unsigned n_reports; /// of other instances that name this service
	double scale;       /// factor from own tokens to those of all instances
	double level;       /// fair share, in tokens
	double pressure;    /// from 0, at the threshold, to 1
};

/// What a peer holds for an organisation by its last report.
struct share_holding {
	uint64_t service;
	uint64_t organisation;
	int64_t tokens;
};

/// Another instance.
struct share_peer {
	uint64_t incarnation;
	uint32_t number;
	usec_t heard_at;
	unsigned n_holdings;
	struct share_holding holdings[ORGANISATION_SHARES_REPORTS_MAX];
};

/* organisation_shares_report.c */
void organisation_shares_expire_reports(
    struct organisation_shares *shares, usec_t now);

/* organisation_shares.c */
struct share_organisation *organisation_shares_get(
    struct share_service *service, uint64_t key, guint max);
bool organisation_shares_wants(
    const struct share_organisation *organisation, usec_t now);

#endif
