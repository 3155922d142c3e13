/* Addresses as text: IP:PORT, numbers only. */
#ifndef GODWITVALE_HTTP_ADDRESS_H
#define GODWITVALE_HTTP_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

/// Room for an IPv4 address in text.
#define ADDRESS_IP_BYTES 16

/// An IPv4 address and a port.
struct address {
	char ip[ADDRESS_IP_BYTES];
	uint16_t port;
};

bool address_parse(const char *text, struct address *address);

#endif
