/* Converts the results of requests to and from their message. */
#include "godwitvale/fleet/outcome_sync.h"

#include <string.h>

#include <glib.h>

#include "godwitvale/fleet/fleet_codec.h"

G_STATIC_ASSERT(FLEET_OUTCOMES_MAX == FLEET_OUTCOMES_UPSTREAMS_MAX);
G_STATIC_ASSERT(FLEET_OUTCOME_SLOTS == FLEET_OUTCOMES_SLOTS);
G_STATIC_ASSERT(FLEET_FAILURES_MAX == FLEET_OUTCOMES_FAILURES_MAX);

/// Reports and their wire format.
struct outcome_buffers {
	struct fleet_outcome_report reports[FLEET_OUTCOMES_MAX];
	fleet_outcome wire[FLEET_OUTCOMES_MAX];
	char served[FLEET_OUTCOMES_MAX][FLEET_OUTCOME_SLOTS];
	fleet_failure failures[FLEET_OUTCOMES_MAX][FLEET_FAILURES_MAX];
};

/// Converts a time in the past to its age.
static u_int
encode_age(usec_t now, usec_t at)
{
	return (u_int)CLAMP((now - at) / USEC_PER_MSEC, 0, G_MAXINT32);
}

/// Converts an age to a time.
static usec_t
decode_age(usec_t now, u_int age_ms)
{
	return now - (usec_t)age_ms * USEC_PER_MSEC;
}

/// Converts the numbers of served requests, the newest slot first.
///
/// @return number of elements, without zeros at the end
static u_int
encode_served(
    const struct fleet_outcome_report *report, int64_t slot, char *wire)
{
	u_int len = 0;

	for (int64_t i = 0; i < FLEET_OUTCOME_SLOTS && i <= slot; i++) {
		wire[i] =
		    (char)report->served[(slot - i) % FLEET_OUTCOMES_SLOTS];
		if (wire[i] != 0)
			len = (u_int)i + 1;
	}
	return len;
}

/// Converts one report.
///
/// @param i  its index in `buffers`
static void
encode_report(struct outcome_buffers *buffers, size_t i, usec_t now)
{
	const struct fleet_outcome_report *report = &buffers->reports[i];
	fleet_outcome *wire = &buffers->wire[i];

	for (unsigned j = 0; j < report->n_failures; j++) {
		const struct fleet_outcome_failure *failure =
		    &report->failures[j];

		buffers->failures[i][j] = (fleet_failure){failure->result,
		    encode_age(now, failure->at), failure->fingerprint};
	}
	*wire = (fleet_outcome){
	    .upstream = report->upstream,
	    .service = report->service,
	    .failures = {report->n_failures, buffers->failures[i]},
	    .trial = report->trial.state,
	    .trial_number = report->trial.number,
	    .trial_age_ms = encode_age(now, report->trial.at),
	};
	wire->served.served_len = encode_served(
	    report, now / FLEET_OUTCOMES_SLOT, buffers->served[i]);
	wire->served.served_val = buffers->served[i];
}

/// Encodes what other instances are to be told, as a message.
///
/// @param outcomes     table of results; NULL: there is none
/// @param now          current time
/// @param sender       hash of the name of this instance
/// @param incarnation  of this instance
/// @param bytes        receives the message
/// @param size         size of `bytes`
/// @return number of bytes written; 0 if there is nothing to tell
size_t
outcome_sync_encode(struct fleet_outcomes *outcomes, usec_t now,
    uint64_t sender, uint64_t incarnation, char *bytes, size_t size)
{
	fleet_message message = {.kind = FLEET_OUTCOMES};
	fleet_outcomes_message *sent = &message.fleet_message_u.outcomes;
	struct outcome_buffers *buffers;
	size_t len = 0;
	size_t n;

	if (outcomes == NULL)
		return 0;
	buffers = g_new(struct outcome_buffers, 1);
	n = fleet_outcomes_list(
	    outcomes, now, buffers->reports, FLEET_OUTCOMES_MAX, &sent->number);
	for (size_t i = 0; i < n; i++)
		encode_report(buffers, i, now);
	sent->sender = sender;
	sent->incarnation = incarnation;
	sent->outcomes.outcomes_len = (u_int)n;
	sent->outcomes.outcomes_val = buffers->wire;
	if (n > 0)
		len = fleet_message_encode(&message, bytes, size);
	g_free(buffers);
	return len;
}

/// Converts the failures of a report. Those of unknown kinds are left out.
static void
decode_failures(
    const fleet_outcome *wire, usec_t now, struct fleet_outcome_report *report)
{
	for (u_int i = 0; i < wire->failures.failures_len; i++) {
		const fleet_failure *failure = &wire->failures.failures_val[i];

		if (failure->result < OUTLIER_ERROR ||
		    failure->result > OUTLIER_UNREACHABLE)
			continue;
		report->failures[report->n_failures++] =
		    (struct fleet_outcome_failure){
			decode_age(now, failure->age_ms),
			(enum outlier_result)failure->result,
			failure->fingerprint};
	}
}

/// Converts a report.
static void
decode_report(
    const fleet_outcome *wire, usec_t now, struct fleet_outcome_report *report)
{
	int64_t slot = now / FLEET_OUTCOMES_SLOT;

	memset(report, 0, sizeof(*report));
	report->upstream = wire->upstream;
	report->service = wire->service;
	report->newest_slot = slot;
	for (u_int i = 0; i < wire->served.served_len && i <= slot; i++)
		report->served[(slot - i) % FLEET_OUTCOMES_SLOTS] =
		    (uint8_t)wire->served.served_val[i];
	decode_failures(wire, now, report);
	if (wire->trial <= FLEET_TRIAL_FAILED)
		report->trial = (struct fleet_trial){
		    (enum fleet_trial_state)wire->trial, wire->trial_number,
		    decode_age(now, wire->trial_age_ms)};
}

/// Takes over the results of another instance.
///
/// @param outcomes  table of results; NULL: they are ignored
/// @param now       current time
/// @param received  a decoded message
void
outcome_sync_apply(struct fleet_outcomes *outcomes, usec_t now,
    const fleet_outcomes_message *received)
{
	const struct fleet_outcome_source source = {
	    received->sender, received->incarnation, received->number};
	u_int n = received->outcomes.outcomes_len;
	struct fleet_outcome_report *reports;

	if (outcomes == NULL)
		return;
	reports = g_new(struct fleet_outcome_report, n);
	for (u_int i = 0; i < n; i++)
		decode_report(
		    &received->outcomes.outcomes_val[i], now, &reports[i]);
	fleet_outcomes_hear(outcomes, now, &source, reports, n);
	g_free(reports);
}
