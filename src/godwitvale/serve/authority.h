/* The bundle in force, and how long it is known to be the newest. */
#ifndef GODWITVALE_SERVE_AUTHORITY_H
#define GODWITVALE_SERVE_AUTHORITY_H

#include "godwitvale/serve/instance_defs.h"

bool authority_offer_bundle(
    struct instance *instance, const char *text, size_t len, const char *from);
void authority_fetch_from(struct instance *instance, node_id peer);
void authority_tick(struct instance *instance, usec_t now);
void authority_take_version(
    struct instance *instance, const struct quorum_action *action);
void authority_take_isolation(struct instance *instance);

#endif
