/* Reading addresses. */
#include "godwitvale/http/address.h"

#include <string.h>

#include <arpa/inet.h>
#include <glib.h>

/// Reads IP:PORT.
///
/// @param text     the text
/// @param address  filled in
/// @return false when it is none
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
