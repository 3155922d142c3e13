/* The check before a request is sent to an upstream. */
#ifndef GODWITVALE_ENTRY_SEND_CHECK_H
#define GODWITVALE_ENTRY_SEND_CHECK_H

#include "godwitvale/entry/entry_request.h"
#include "godwitvale/entry/entry_request_defs.h"

enum send_path send_check_attempt_path(const struct entry_request *request);
struct eligibility send_check(const struct entry_request *request,
    const struct dispatch_target *target, enum send_path path);

#endif
