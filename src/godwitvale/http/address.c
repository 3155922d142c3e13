/* Parses numeric IPv4 addresses of the form IP:PORT. */
#include "godwitvale/http/address.h"

#include <string.h>

#include <arpa/inet.h>
#include <glib.h>

/// Parses an address of the form IP:PORT.
///
/// @param text     a dotted-decimal IPv4 address, a colon and a decimal port
/// @param address  filled in; undefined after a failure
/// @return false when the text is not an IPv4 address with a port from 1 to
///         65535
bool
address_parse(const char *text, struct address *address)
{
	const char *colon = strrchr(text, ':');
	struct in_addr number;
	guint64 port;

	if (colon == NULL || colon - text >= ADDRESS_IP_BYTES)
		return false;
	memcpy(address->ip, text, (size_t)(colon - text));
	address->ip[colon - text] = '\0';
	if (inet_pton(AF_INET, address->ip, &number) != 1)
		return false;
	if (!g_ascii_string_to_unsigned(
		colon + 1, 10, 1, UINT16_MAX, &port, NULL))
		return false;
	address->port = (uint16_t)port;
	return true;
}
