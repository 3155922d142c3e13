/* Names, help texts and labels of an entry instance's metrics. */
#include "godwitvale/entry/entry_metrics.h"

const struct series_kind entry_metric_requests_ended = {
    "entry_requests_ended_total", "Requests ended, by route and outcome.",
    "route", "outcome"};
const struct series_kind entry_metric_attempts = {"entry_attempts_total",
    "Sends to upstreams, by service and what came of them.", "service",
    "outcome"};
const struct series_kind entry_metric_input_refused = {
    "entry_input_refused_total",
    "Connections refused for what they sent, by status.", "status", NULL};
const struct series_kind entry_metric_limits = {"entry_client_limits_total",
    "Times that a limit on what clients use together took effect, by limit.",
    "limit", NULL};
const struct series_kind entry_metric_responses_lost = {
    "entry_responses_lost_total",
    "Connections that ended before the caller had all of a response, by cause.",
    "cause", NULL};
const struct series_kind entry_metric_handovers = {"entry_handovers_total",
    "Steps in handing generations over, by step.", "step", NULL};
const struct series_kind entry_metric_reservations = {
    "entry_reservations_total",
    "Places asked for at engines that are nearly full, by service and outcome.",
    "service", "outcome"};
const struct series_kind entry_metric_upstream_changes = {
    "entry_upstream_changes_total",
    "Changes in what is believed of upstreams, by kind.", "change", NULL};
const struct series_kind entry_metric_ejections = {"entry_ejections_total",
    "Upstreams that got nothing for a while, by upstream.", "upstream", NULL};
const struct series_kind entry_metric_fleet_ejections = {
    "entry_fleet_ejections_total",
    "Ejections by the evidence of all instances, and their ends, by upstream.",
    "upstream", "change"};
const struct series_kind entry_metric_crashes = {"entry_crashes_total",
    "Upstreams that crashed under a request, by upstream.", "upstream", NULL};
const struct series_kind entry_metric_pause_risk = {"entry_pause_risk_total",
    "Generations placed, by route and by the risk that their events pause for "
    "too long.",
    "route", "risk"};
const struct series_kind entry_metric_organisation_limits = {
    "entry_organisation_limits_total",
    "Times that an organisation had to leave engine memory free for others, "
    "and ends of this.",
    "organisation", "change"};
const struct series_kind entry_metric_quarantine = {"entry_quarantine_total",
    "Changes of quarantines of prompt segments and requests, by change.",
    "change", NULL};
const struct series_kind entry_metric_resumptions = {"entry_resumptions_total",
    "Streams that callers take up, by what is done and what was known.",
    "outcome", "origin"};
const struct series_kind entry_metric_reach_probes = {
    "entry_reach_probes_total",
    "Probes of upstreams that may be out of reach, by service and outcome.",
    "service", "outcome"};
const struct series_kind entry_metric_forwards = {"entry_forwards_total",
    "Requests forwarded to other instances, by service and step.", "service",
    "step"};
const struct series_kind entry_metric_wait = {"entry_wait_seconds",
    "From a request's first byte to its first send.", "route", "service"};
const struct series_kind entry_metric_first_event = {
    "entry_first_event_seconds",
    "From a request's first byte to its first event.", "route", "service"};
const struct series_kind entry_metric_event_gap = {"entry_event_gap_seconds",
    "Longest pause between two events of a stream.", "route", "service"};
const struct series_kind entry_metric_request_duration = {
    "entry_request_seconds", "From a request's first byte to its last.",
    "route", "service"};
