/* What instances fetch from one another over HTTP: bundles and answers. */
#ifndef GODWITVALE_PEER_PEER_HTTP_H
#define GODWITVALE_PEER_PEER_HTTP_H

#include "godwitvale/serve/instance_defs.h"

bool peer_http_open(struct instance *instance, GError **error);
char *peer_http_answer_path(
    const struct instance *instance, const struct quorum_key *key);

#endif
