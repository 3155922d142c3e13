/*
 * Tracks which software versions each service has had recently. A stream whose
 * version nobody remembers may go on if its service had only one.
 */
#ifndef GODWITVALE_CORE_VERSION_HISTORY_H
#define GODWITVALE_CORE_VERSION_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

struct version_history;

struct version_history *version_history_new(void);
void version_history_free(struct version_history *history);
void version_history_note(struct version_history *history, usec_t seen_at,
    uint64_t service, uint64_t version_key);
uint64_t version_history_only(
    const struct version_history *history, uint64_t service, usec_t since);
bool version_history_has_several(
    const struct version_history *history, uint64_t service, usec_t since);
void version_history_forget(struct version_history *history, usec_t before);

#endif
