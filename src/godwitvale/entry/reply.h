/*
 * Heads of the answers that callers get. Only this module writes them, so that
 * a status by which callers take a request as not run is never sent if one of
 * the request's attempts may have run.
 */
#ifndef GODWITVALE_ENTRY_REPLY_H
#define GODWITVALE_ENTRY_REPLY_H

#include <stdbool.h>

#include "godwitvale/core/retry_after.h"
#include "godwitvale/core/time_defs.h"
#include "godwitvale/http/head.h"

struct entry_request;

bool reply_take_head(
    struct entry_request *request, const struct http_head *head);
void reply_start(struct entry_request *request);
void reply_finish(struct entry_request *request);
unsigned reply_send_own(struct entry_request *request, unsigned status,
    enum retry_after_reason reason, usec_t retry_after);

#endif
