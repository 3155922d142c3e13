/* Generations at an engine: start, relay, resume and cancel. */
#ifndef GODWITVALE_UPSTREAM_GENERATION_H
#define GODWITVALE_UPSTREAM_GENERATION_H

#include "godwitvale/serve/request_defs.h"

void generation_start(struct request *request);
void generation_tick(struct request *request, usec_t now);
void generation_abandon(struct request *request);

#endif
