/* Metrics of an entry instance: counters and histograms. */
#ifndef GODWITVALE_ENTRY_ENTRY_METRICS_H
#define GODWITVALE_ENTRY_ENTRY_METRICS_H

#include "godwitvale/ops/series.h"

extern const struct series_kind entry_metric_requests_ended;
extern const struct series_kind entry_metric_attempts;
extern const struct series_kind entry_metric_input_refused;
extern const struct series_kind entry_metric_limits;
extern const struct series_kind entry_metric_responses_lost;
extern const struct series_kind entry_metric_handovers;
extern const struct series_kind entry_metric_reservations;
extern const struct series_kind entry_metric_upstream_changes;
extern const struct series_kind entry_metric_ejections;
extern const struct series_kind entry_metric_fleet_ejections;
extern const struct series_kind entry_metric_crashes;
extern const struct series_kind entry_metric_organisation_limits;
extern const struct series_kind entry_metric_pause_risk;
extern const struct series_kind entry_metric_quarantine;
extern const struct series_kind entry_metric_resumptions;
extern const struct series_kind entry_metric_reach_probes;
extern const struct series_kind entry_metric_forwards;
extern const struct series_kind entry_metric_wait;
extern const struct series_kind entry_metric_first_event;
extern const struct series_kind entry_metric_event_gap;
extern const struct series_kind entry_metric_request_duration;

#endif
