/* Exchanges with other instances what organisations hold. */
#include <stdlib.h>
#include <string.h>

#include "godwitvale/core/organisation_shares_state.h"

/// An organisation that waits by a report counts as wanting room for this long.
/// Most waits are shorter; the memory that is left free for it meanwhile is
/// idle.
#define SHARES_PEER_WANT_SPAN (1 * USEC_PER_SEC)
/// The largest organisations in a report. The other places go first to those
/// with waiting requests: small ones without count as memory that nobody
/// reports, which leads to the same shares.
#define SHARES_REPORTS_LARGEST 4
/// The number of the last report of an instance is remembered for this long, so
/// that a late one doesn't count.
#define SHARES_PEER_TTL (60 * USEC_PER_SEC)

/// Checks whether a holding is the first one of its service in a report.
static bool
is_first_of_service(const struct share_peer *peer, unsigned index)
{
	for (unsigned i = 0; i < index; i++)
		if (peer->holdings[i].service == peer->holdings[index].service)
			return false;
	return true;
}

/// Adds the last report of a peer to the sums, or takes it out of them.
///
/// @param sign  1 to add, -1 to take out
static void
apply_report(
    struct organisation_shares *shares, const struct share_peer *peer, int sign)
{
	for (unsigned i = 0; i < peer->n_holdings; i++) {
		const struct share_holding *holding = &peer->holdings[i];
		struct share_service *service =
		    g_hash_table_lookup(shares->services, &holding->service);
		struct share_organisation *organisation = service == NULL
		    ? NULL
		    : g_hash_table_lookup(
			  service->organisations, &holding->organisation);

		if (service != NULL && is_first_of_service(peer, i))
			service->n_reports += (unsigned)sign;
		if (organisation != NULL)
			organisation->peer_tokens += sign * holding->tokens;
	}
}

/// Takes a peer's last report out of the sums.
static void
clear_report(struct organisation_shares *shares, struct share_peer *peer)
{
	apply_report(shares, peer, -1);
	peer->n_holdings = 0;
}

/// Takes the reports that are too old out of the sums.
///
/// @param shares  table to update
/// @param now     current time
void
organisation_shares_expire_reports(
    struct organisation_shares *shares, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, shares->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct share_peer *peer = value;

		if (now >= peer->heard_at + ORGANISATION_SHARES_REPORT_TTL)
			clear_report(shares, peer);
		if (now >= peer->heard_at + SHARES_PEER_TTL)
			g_hash_table_iter_remove(&iter);
	}
}

/// Finds the sender of a report.
///
/// @return NULL if a later report of it came before, or the table is full
static struct share_peer *
accept_source(struct organisation_shares *shares,
    const struct organisation_report_source *source)
{
	struct share_peer *peer =
	    g_hash_table_lookup(shares->peers, &source->sender);

	if (peer == NULL) {
		if (g_hash_table_size(shares->peers) >=
		    ORGANISATION_SHARES_TABLE_PEERS)
			return NULL;
		peer = g_new0(struct share_peer, 1);
		g_hash_table_insert(shares->peers,
		    g_memdup2(&source->sender, sizeof(source->sender)), peer);
	} else if (source->incarnation < peer->incarnation ||
	    (source->incarnation == peer->incarnation &&
		source->number <= peer->number)) {
		return NULL;
	}
	peer->incarnation = source->incarnation;
	peer->number = source->number;
	return peer;
}

/// Adds one organisation of a report to those of its sender. It can't hold more
/// than the engines do. Services that this instance doesn't know are left out.
static void
take_holding(struct organisation_shares *shares, usec_t now,
    struct share_peer *peer, const struct organisation_report *report)
{
	struct share_service *service =
	    g_hash_table_lookup(shares->services, &report->service);
	struct share_organisation *organisation;

	if (service == NULL || service->load.capacity <= 0 ||
	    peer->n_holdings == ORGANISATION_SHARES_REPORTS_MAX)
		return;
	organisation = organisation_shares_get(
	    service, report->organisation, ORGANISATION_SHARES_TABLE_REPORTED);
	if (organisation == NULL)
		return;
	if (report->wants)
		organisation->peer_wanted_until = now + SHARES_PEER_WANT_SPAN;
	peer->holdings[peer->n_holdings++] =
	    (struct share_holding){report->service, report->organisation,
		MIN((int64_t)report->tokens, service->load.capacity)};
}

/// Takes over what organisations hold by another instance. It replaces the
/// instance's last report.
///
/// @param shares     table to update
/// @param now        current time
/// @param source     sender and number of the report
/// @param reports    the organisations; none: the sender reports nothing more
/// @param n_reports  number of elements
/// @return false if it is this instance's own, a repeated or a late report, or
///         there are too many instances
bool
organisation_shares_hear(struct organisation_shares *shares, usec_t now,
    const struct organisation_report_source *source,
    const struct organisation_report *reports, size_t n_reports)
{
	struct share_peer *peer;

	if (source->sender == shares->own)
		return false;
	peer = accept_source(shares, source);
	if (peer == NULL)
		return false;
	clear_report(shares, peer);
	peer->heard_at = now;
	for (size_t i = 0; i < n_reports; i++)
		take_holding(shares, now, peer, &reports[i]);
	apply_report(shares, peer, 1);
	return true;
}

/// Removes what a lost or restarted instance has reported.
///
/// @param shares  table to update
/// @param peer    hash of the instance's name
void
organisation_shares_remove_peer(
    struct organisation_shares *shares, uint64_t peer)
{
	struct share_peer *found = g_hash_table_lookup(shares->peers, &peer);

	if (found != NULL)
		clear_report(shares, found);
}

/// @param shares  table to query
/// @param now     current time
/// @return whether a report is to be sent: see organisation_shares_list()
bool
organisation_shares_is_due(const struct organisation_shares *shares, usec_t now)
{
	return (shares->was_scarce || shares->has_told_nonzero) &&
	    now >= shares->next_report_at;
}

/// Orders services by utilisation, the highest first.
static gint
compare_services(gconstpointer a, gconstpointer b)
{
	const struct share_service *left =
	    *(const struct share_service *const *)a;
	const struct share_service *right =
	    *(const struct share_service *const *)b;

	return (left->load.utilisation < right->load.utilisation) -
	    (left->load.utilisation > right->load.utilisation);
}

/// @return the services whose memory is scarce, the scarcest first
static GPtrArray *
list_scarce_services(const struct organisation_shares *shares)
{
	GPtrArray *services = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, shares->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((const struct share_service *)value)->pressure > 0)
			g_ptr_array_add(services, value);
	g_ptr_array_sort(services, compare_services);
	return services;
}

/// Orders organisations: those that hold most first.
static gint
compare_reports(gconstpointer a, gconstpointer b)
{
	const struct organisation_report *left = a;
	const struct organisation_report *right = b;

	return (left->tokens < right->tokens) - (left->tokens > right->tokens);
}

/// Checks whether an organisation in a sorted list is reported before the
/// others.
static bool
goes_first(const GArray *sorted, guint index)
{
	return index < SHARES_REPORTS_LARGEST ||
	    g_array_index(sorted, struct organisation_report, index).wants;
}

/// Selects the organisations that are reported: the largest, those that have
/// waiting requests, and the next largest.
///
/// @param sorted   all organisations, the largest first
/// @param reports  filled in
/// @return number of elements filled in
static size_t
select_reports(const GArray *sorted, struct organisation_report *reports)
{
	size_t n = 0;

	for (int pass = 0; pass < 2; pass++)
		for (guint i = 0;
		     i < sorted->len && n < ORGANISATION_SHARES_REPORTS_MAX;
		     i++)
			if (goes_first(sorted, i) == (pass == 0))
				reports[n++] = g_array_index(
				    sorted, struct organisation_report, i);
	return n;
}

/// Adds what organisations hold at a service by this instance.
static void
append_reports(const struct share_service *service, usec_t now, GArray *reports)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, service->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct share_organisation *organisation = value;
		const struct organisation_report report = {
		    .service = service->key,
		    .organisation = organisation->key,
		    .tokens =
			(uint32_t)MIN(organisation->own_tokens, G_MAXINT32),
		    .wants = organisation->n_waiting > 0 ||
			now < organisation->wanted_until,
		};

		if (report.tokens > 0 || report.wants)
			g_array_append_val(reports, report);
	}
}

/// Lists what this instance is to report, and takes it as sent.
///
/// @param shares   table to query
/// @param now      current time
/// @param reports  receives ORGANISATION_SHARES_REPORTS_MAX organisations at
///                 most, of ORGANISATION_SHARES_SERVICES_MAX services
/// @param number   set to the number of the report; 0: none is to be sent
/// @return number of organisations; 0 in the last report
size_t
organisation_shares_list(struct organisation_shares *shares, usec_t now,
    struct organisation_report *reports, uint32_t *number)
{
	GPtrArray *services = list_scarce_services(shares);
	GArray *all =
	    g_array_new(false, false, sizeof(struct organisation_report));
	size_t n;

	for (guint i = 0;
	     i < MIN(services->len, ORGANISATION_SHARES_SERVICES_MAX); i++)
		append_reports(services->pdata[i], now, all);
	g_array_sort(all, compare_reports);
	n = select_reports(all, reports);
	*number = 0;
	if (n > 0 || shares->has_told_nonzero) {
		*number = ++shares->number;
		shares->next_report_at = now + shares->report_interval;
	}
	shares->has_told_nonzero = n > 0;
	g_ptr_array_unref(services);
	g_array_unref(all);
	return n;
}

/// @param shares  table to query
/// @return number of instances whose reports count
unsigned
organisation_shares_count_reporting(const struct organisation_shares *shares)
{
	GHashTableIter iter;
	void *value;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, shares->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((const struct share_peer *)value)->n_holdings > 0;
	return n;
}
