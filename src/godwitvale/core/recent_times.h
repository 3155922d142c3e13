/*
 * Remembers the latest time of something for each of many keys, within bounded
 * memory: when the newer of two generations of keys is full, the older one is
 * forgotten.
 */
#ifndef GODWITVALE_CORE_RECENT_TIMES_H
#define GODWITVALE_CORE_RECENT_TIMES_H

#include <stddef.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

struct recent_times;

struct recent_times *recent_times_new(size_t generation_size);
void recent_times_free(struct recent_times *times);
usec_t recent_times_get(const struct recent_times *times, uint64_t key);
void recent_times_set(struct recent_times *times, uint64_t key, usec_t at);

#endif
