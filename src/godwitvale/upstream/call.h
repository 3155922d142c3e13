/* Plain services' calls, and the answers kept for their repeats. */
#ifndef GODWITVALE_UPSTREAM_CALL_H
#define GODWITVALE_UPSTREAM_CALL_H

#include "godwitvale/serve/request_defs.h"

/// An answer kept for repeats of its call.
struct kept_answer {
	unsigned status;
	char *content_type;
	GBytes *body;
	usec_t forget_at;
};

GHashTable *call_answers_new(void);
void call_start(struct request *request);
void call_tick(struct request *request, usec_t now);
const struct kept_answer *call_find_answer(
    struct instance *instance, const struct quorum_key *key);
bool call_in_progress(struct instance *instance, const struct quorum_key *key);
void call_forget_answers(struct instance *instance, usec_t now);

#endif
