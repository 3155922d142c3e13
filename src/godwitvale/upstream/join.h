/*
 * Lets duplicates of a call that must run at most once wait for the response of
 * the call that was granted.
 */
#ifndef GODWITVALE_UPSTREAM_JOIN_H
#define GODWITVALE_UPSTREAM_JOIN_H

#include "godwitvale/serve/request_defs.h"

bool join_start(struct request *request, node_id holder);
void join_poll_holder(struct request *request, usec_t now);

#endif
