/* The counters and histograms of an entry instance. */
#include "godwitvale/entry/meters.h"

const struct series_kind METER_ENDED = {"entry_requests_ended_total",
    "Requests ended, by route and outcome.", "route", "outcome"};
const struct series_kind METER_ATTEMPTS = {"entry_attempts_total",
    "Sends to upstreams, by service and what came of them.", "service",
    "outcome"};
const struct series_kind METER_REFUSED_INPUT = {"entry_input_refused_total",
    "Connections refused for what they sent, by status.", "status", NULL};
const struct series_kind METER_HANDOVERS = {"entry_handovers_total",
    "Steps in handing generations over, by step.", "step", NULL};
const struct series_kind METER_UPSTREAM_CHANGES = {
    "entry_upstream_changes_total",
    "Changes in what is believed of upstreams, by kind.", "change", NULL};
const struct series_kind METER_EJECTIONS = {"entry_ejections_total",
    "Upstreams that got nothing for a while, by upstream.", "upstream", NULL};
const struct series_kind METER_WAIT = {"entry_wait_seconds",
    "From a request's first byte to its first send.", "route", "service"};
const struct series_kind METER_FIRST = {"entry_first_event_seconds",
    "From a request's first byte to its first event.", "route", "service"};
const struct series_kind METER_GAP = {"entry_event_gap_seconds",
    "Longest pause between two events of a stream.", "route", "service"};
const struct series_kind METER_WHOLE = {"entry_request_seconds",
    "From a request's first byte to its last.", "route", "service"};
