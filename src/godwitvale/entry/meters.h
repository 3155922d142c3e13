/* What an entry instance counts and measures, by name. */
#ifndef GODWITVALE_ENTRY_METERS_H
#define GODWITVALE_ENTRY_METERS_H

#include "godwitvale/ops/series.h"

extern const struct series_kind meter_ended;
extern const struct series_kind meter_attempts;
extern const struct series_kind meter_refused_input;
extern const struct series_kind meter_handovers;
extern const struct series_kind meter_upstream_changes;
extern const struct series_kind meter_ejections;
extern const struct series_kind meter_wait;
extern const struct series_kind meter_first;
extern const struct series_kind meter_gap;
extern const struct series_kind meter_whole;

#endif
