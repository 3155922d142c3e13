/* Converts what organisations hold to and from its message. */
#include "godwitvale/fleet/share_sync.h"

#include <glib.h>

#include "godwitvale/fleet/fleet_codec.h"

G_STATIC_ASSERT(FLEET_SHARES_MAX == ORGANISATION_SHARES_REPORTS_MAX);
G_STATIC_ASSERT(FLEET_SHARES_SERVICES == ORGANISATION_SHARES_SERVICES_MAX);

/// Wire format of the services in a message.
struct share_buffers {
	fleet_service_holdings services[FLEET_SHARES_SERVICES];
	fleet_holding holdings[FLEET_SHARES_SERVICES][FLEET_SHARES_MAX];
	u_int n_services;
};

/// Finds the service of a report in the buffers; adds it if it is new.
static fleet_service_holdings *
get_service(struct share_buffers *buffers, uint64_t service)
{
	fleet_service_holdings *added;

	for (u_int i = 0; i < buffers->n_services; i++)
		if (buffers->services[i].service == service)
			return &buffers->services[i];
	added = &buffers->services[buffers->n_services];
	*added = (fleet_service_holdings){.service = service};
	added->holdings.holdings_val = buffers->holdings[buffers->n_services++];
	return added;
}

/// Adds one report to the buffers.
static void
encode_report(
    struct share_buffers *buffers, const struct organisation_report *report)
{
	fleet_service_holdings *service = get_service(buffers, report->service);
	u_int i = service->holdings.holdings_len++;

	service->holdings.holdings_val[i] =
	    (fleet_holding){report->organisation, report->tokens};
	if (report->wants)
		service->waiting |= 1U << i;
}

/// Encodes what other instances are to be told, as a message.
///
/// @param shares       table of organisations; NULL: there is none
/// @param now          current time
/// @param sender       hash of the name of this instance
/// @param incarnation  of this instance
/// @param bytes        receives the message
/// @param size         size of `bytes`
/// @return number of bytes written; 0 if there is nothing to tell
size_t
share_sync_encode(struct organisation_shares *shares, usec_t now,
    uint64_t sender, uint64_t incarnation, char *bytes, size_t size)
{
	struct organisation_report reports[FLEET_SHARES_MAX];
	struct share_buffers buffers = {.n_services = 0};
	fleet_message message = {.kind = FLEET_SHARES};
	fleet_shares_message *sent = &message.fleet_message_u.shares;
	uint32_t number;
	size_t n;

	if (shares == NULL)
		return 0;
	n = organisation_shares_list(shares, now, reports, &number);
	if (number == 0)
		return 0;
	for (size_t i = 0; i < n; i++)
		encode_report(&buffers, &reports[i]);
	*sent = (fleet_shares_message){.sender = sender,
	    .incarnation = incarnation,
	    .number = number,
	    .services = {buffers.n_services, buffers.services}};
	return fleet_message_encode(&message, bytes, size);
}

/// Takes over what organisations hold by another instance.
///
/// @param shares    table of organisations; NULL: the message is ignored
/// @param now       current time
/// @param received  a decoded message
void
share_sync_apply(struct organisation_shares *shares, usec_t now,
    const fleet_shares_message *received)
{
	const struct organisation_report_source source = {
	    received->sender, received->incarnation, received->number};
	struct organisation_report
	    reports[FLEET_SHARES_SERVICES * FLEET_SHARES_MAX];
	size_t n = 0;

	if (shares == NULL)
		return;
	for (u_int i = 0; i < received->services.services_len; i++) {
		const fleet_service_holdings *service =
		    &received->services.services_val[i];

		for (u_int j = 0; j < service->holdings.holdings_len; j++)
			reports[n++] =
			    (struct organisation_report){service->service,
				service->holdings.holdings_val[j].organisation,
				service->holdings.holdings_val[j].tokens,
				(service->waiting >> j & 1) != 0};
	}
	organisation_shares_hear(shares, now, &source, reports, n);
}
