/* Executes the actions that the router and the quorum module have queued. */
#ifndef GODWITVALE_SERVE_ACTIONS_H
#define GODWITVALE_SERVE_ACTIONS_H

#include "godwitvale/serve/instance_defs.h"

void actions_execute_pending(struct instance *instance);

#endif
