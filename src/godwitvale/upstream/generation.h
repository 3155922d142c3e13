/*
 * Starts, relays, resumes and cancels generations (runs of a model) at an
 * engine.
 */
#ifndef GODWITVALE_UPSTREAM_GENERATION_H
#define GODWITVALE_UPSTREAM_GENERATION_H

#include "godwitvale/serve/request_defs.h"

void generation_start(struct request *request);
void generation_check_timeout(struct request *request, usec_t now);
void generation_cancel(struct request *request);

#endif
