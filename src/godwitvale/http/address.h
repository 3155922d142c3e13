/* Numeric addresses with a port, in the text form IP:PORT or [IP]:PORT. */
#ifndef GODWITVALE_HTTP_ADDRESS_H
#define GODWITVALE_HTTP_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

/// Size of the text of an IP address, with the terminating NUL.
#define ADDRESS_IP_BYTES 46

/// An IPv4 or IPv6 address and a port.
struct address {
	char ip[ADDRESS_IP_BYTES];
	uint16_t port;
};

bool address_parse(const char *text, struct address *address);

#endif
