/*
 * HTTP server from which other instances fetch the bundle and the stored
 * answers of calls.
 */
#ifndef GODWITVALE_PEER_PEER_HTTP_H
#define GODWITVALE_PEER_PEER_HTTP_H

#include "godwitvale/serve/instance_defs.h"

bool peer_http_open(struct instance *instance, GError **error);
char *peer_http_format_answer_path(
    const struct instance *instance, const struct quorum_key *key);

#endif
