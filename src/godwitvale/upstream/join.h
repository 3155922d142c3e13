/* Repeats of a call: they get the answer of the one that runs. */
#ifndef GODWITVALE_UPSTREAM_JOIN_H
#define GODWITVALE_UPSTREAM_JOIN_H

#include "godwitvale/serve/request_defs.h"

bool join_start(struct request *request, node_id holder);
void join_tick(struct request *request, usec_t now);

#endif
