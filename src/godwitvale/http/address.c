/* Parses numeric addresses of the form IP:PORT or [IP]:PORT. */
#include "godwitvale/http/address.h"

#include <string.h>

#include <arpa/inet.h>
#include <glib.h>

/// Parses an address.
///
/// @param text     a dotted-decimal IPv4 address or an IPv6 address in
/// brackets,
///                 a colon and a decimal port
/// @param address  filled in; undefined after a failure
/// @return false when the text is not an IP address with a port from 1 to 65535
bool
address_parse(const char *text, struct address *address)
{
	const char *colon = strrchr(text, ':');
	bool is_ipv6 = text[0] == '[';
	const char *end = is_ipv6 ? strchr(text, ']') : colon;
	struct in6_addr number;
	guint64 port;

	text += is_ipv6;
	if (colon == NULL || end == NULL || end + is_ipv6 != colon ||
	    end - text >= ADDRESS_IP_BYTES)
		return false;
	memcpy(address->ip, text, (size_t)(end - text));
	address->ip[end - text] = '\0';
	if (inet_pton(is_ipv6 ? AF_INET6 : AF_INET, address->ip, &number) != 1)
		return false;
	if (!g_ascii_string_to_unsigned(
		colon + 1, 10, 1, UINT16_MAX, &port, NULL))
		return false;
	address->port = (uint16_t)port;
	return true;
}
