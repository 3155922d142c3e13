/* HTTP interface for operators: status, audit trail and metrics. */
#ifndef GODWITVALE_SERVE_OPERATOR_H
#define GODWITVALE_SERVE_OPERATOR_H

#include "godwitvale/serve/instance_defs.h"

bool operator_open(struct instance *instance, GError **error);

#endif
