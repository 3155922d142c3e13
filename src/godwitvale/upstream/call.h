/* Sends calls to plain services, and caches responses for duplicate calls. */
#ifndef GODWITVALE_UPSTREAM_CALL_H
#define GODWITVALE_UPSTREAM_CALL_H

#include "godwitvale/serve/request_defs.h"

/// A response that is cached for duplicates of its call.
struct cached_response {
	unsigned status;
	char *content_type;
	GBytes *body;
	usec_t expires_at;
};

GHashTable *call_response_cache_new(void);
void call_send(struct request *request);
void call_cancel_all(struct instance *instance);
void call_check_timeout(struct request *request, usec_t now);
const struct cached_response *call_find_response(
    struct instance *instance, const struct quorum_key *key);
bool call_in_progress(struct instance *instance, const struct quorum_key *key);
void call_expire_responses(struct instance *instance, usec_t now);

#endif
