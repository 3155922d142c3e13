/*
 * Detects callers that close their connection before they get a response, and
 * cancels their generation. libsoup doesn't read from a connection while its
 * response is pending, so it doesn't notice that the caller of a response
 * without streaming has closed the connection.
 */
#include "godwitvale/caller/hangup.h"

#include <sys/socket.h>

#include "godwitvale/serve/request.h"
#include "godwitvale/upstream/generation.h"

/// Time between two checks of a caller's connection.
#define CHECK_INTERVAL (500 * USEC_PER_MSEC)

/// Checks whether a caller has closed its connection.
///
/// @param message  HTTP exchange of the caller's request
/// @return true when the end of the input was reached
static bool
has_caller_hung_up(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);
	char byte;

	return socket != NULL &&
	    recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) ==
	    0;
}

/// Cancels a generation whose caller has closed the connection before the
/// response headers were sent. Calls of plain services aren't cancelled: their
/// stored outcome answers a repeated call.
///
/// @param request  request to check
/// @param now      current time
void
hangup_tick(struct request *request, usec_t now)
{
	if (request->kind != REQUEST_GENERATION || request->answered ||
	    request->headers_sent || request->message == NULL ||
	    now < request->next_hangup_check_at)
		return;
	request->next_hangup_check_at = now + CHECK_INTERVAL;
	if (!has_caller_hung_up(request->message))
		return;
	if (request->upstream != 0)
		generation_cancel(request);
	request_report_router_outcome(
	    request, ROUTER_OUTCOME_CANCELLED, request->relay.next_offset);
	request_refuse(request, REFUSAL_CALLER_DISCONNECTED, now, NULL);
}
