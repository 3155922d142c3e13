/* What an entry instance counts and measures, by name. */
#ifndef GODWITVALE_ENTRY_METERS_H
#define GODWITVALE_ENTRY_METERS_H

#include "godwitvale/ops/series.h"

extern const struct series_kind METER_ENDED;
extern const struct series_kind METER_ATTEMPTS;
extern const struct series_kind METER_REFUSED_INPUT;
extern const struct series_kind METER_HANDOVERS;
extern const struct series_kind METER_UPSTREAM_CHANGES;
extern const struct series_kind METER_EJECTIONS;
extern const struct series_kind METER_WAIT;
extern const struct series_kind METER_FIRST;
extern const struct series_kind METER_GAP;
extern const struct series_kind METER_WHOLE;

#endif
