/* Detection of callers that close their connection before a response. */
#ifndef GODWITVALE_CALLER_HANGUP_H
#define GODWITVALE_CALLER_HANGUP_H

#include "godwitvale/serve/request_defs.h"

void hangup_tick(struct request *request, usec_t now);

#endif
