/*
 * Callers that close their connection before their answer is there. libsoup
 * does not read from a connection whose answer is awaited, so a caller of a
 * whole answer that went away is noticed here, and its generation cancelled.
 */
#include "godwitvale/caller/hangup.h"

#include <sys/socket.h>

#include "godwitvale/serve/request.h"
#include "godwitvale/upstream/generation.h"

/// A caller's connection is looked at this often.
#define LOOK_INTERVAL (500 * USEC_PER_MSEC)

/// Tells whether a caller has closed its connection.
///
/// @param message  the exchange
/// @return true when nothing more can come from it
static bool
has_hung_up(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);
	char byte;

	return socket != NULL &&
	    recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) ==
	    0;
}

/// Gives up a generation whose caller has gone. Calls of plain services go
/// on: their outcome serves a repeat.
///
/// @param request  a request
/// @param now      current time
void
hangup_tick(struct request *request, usec_t now)
{
	if (request->kind != REQUEST_GENERATION || request->answered ||
	    request->headers_sent || request->message == NULL ||
	    now < request->next_hangup_check_at)
		return;
	request->next_hangup_check_at = now + LOOK_INTERVAL;
	if (!has_hung_up(request->message))
		return;
	if (request->upstream != 0)
		generation_cancel(request);
	request_report_router_outcome(
	    request, ROUTER_OUTCOME_CANCELLED, request->relay.next_offset);
	request_refuse(request, REFUSAL_CALLER_DISCONNECTED, now, NULL);
}
