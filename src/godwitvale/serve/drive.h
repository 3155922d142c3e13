/* Carries out what the router and the quorum part decided. */
#ifndef GODWITVALE_SERVE_DRIVE_H
#define GODWITVALE_SERVE_DRIVE_H

#include "godwitvale/serve/instance_defs.h"

void drive_instance(struct instance *instance);

#endif
