/* Reading of new bundles from the configuration service. */
#ifndef GODWITVALE_REGISTRY_CONFIG_WATCH_H
#define GODWITVALE_REGISTRY_CONFIG_WATCH_H

#include "godwitvale/serve/instance_defs.h"

struct config_watch *config_watch_new(struct instance *instance);
void config_watch_free(struct config_watch *watch);
void config_watch_tick(struct config_watch *watch, usec_t now);

#endif
