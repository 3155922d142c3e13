/*
 * Reserves a place at an engine that is nearly full before a request is sent
 * there. core/engine_admission decides which requests need one.
 */
#ifndef GODWITVALE_ENTRY_RESERVATION_H
#define GODWITVALE_ENTRY_RESERVATION_H

#include "godwitvale/entry/entry_request_defs.h"

bool reservation_is_supported(const struct entry_request *request);
bool reservation_is_needed(const struct entry_request *request);
void reservation_start(struct entry_request *request);
void reservation_clear(struct entry_request *request);

#endif
