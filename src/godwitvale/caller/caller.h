/* HTTP server that receives the requests of callers. */
#ifndef GODWITVALE_CALLER_CALLER_H
#define GODWITVALE_CALLER_CALLER_H

#include "godwitvale/serve/instance_defs.h"

bool caller_open(struct instance *instance, GError **error);

#endif
