/*
 * Streams that reach a leaving instance on kept connections, more than 3 s
 * after SIGTERM, and are passed on although they may take longer than is left.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "../rig-2/rig.h"

#define ENTRIES 3
#define STREAMS 9
#define EVENTS 4 /* the mean of fold-hint on the sheet */
#define IDLE_TIMEOUT_MS 15000
#define SENT_AFTER_MS 4200 /* from SIGTERM to the requests */
#define DEADLINE_MS 6000

static const char config[] =
    "{\"version\":3,\"routes\":["
    "{\"name\":\"hint\",\"host\":\"a.example\",\"prefix\":\"/hint/\","
    "\"service\":\"lm\",\"route_kind\":\"streaming\",\"timeout_ms\":6000,"
    "\"target_latency_ms\":1500,\"target_gap_ms\":180,\"max_attempts\":2,"
    "\"priority\":0,\"sticky\":true,\"resumable\":true},"
    "{\"name\":\"draft\",\"host\":\"a.example\",\"prefix\":\"/draft/\","
    "\"service\":\"lm\",\"route_kind\":\"streaming\",\"timeout_ms\":39000,"
    "\"target_latency_ms\":1800,\"target_gap_ms\":180,\"max_attempts\":1,"
    "\"priority\":1,\"sticky\":true},"
    "{\"name\":\"check\",\"host\":\"a.example\",\"prefix\":\"/check/\","
    "\"service\":\"shop\",\"route_kind\":\"idempotent\","
    "\"timeout_ms\":4000,\"target_latency_ms\":300,\"max_attempts\":2,"
    "\"priority\":2}],"
    "\"services\":[{\"name\":\"lm\",\"health_path\":\"/healthz\","
    "\"max_conns\":282,\"cold_s\":1,\"cold_per_s\":26,"
    "\"engine\":{\"slots\":24,\"kv_capacity\":34424,\"stride\":4}},"
    "{\"name\":\"shop\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
    "\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"]}]}";

static struct rig_call first[STREAMS], calls[STREAMS], draft;
static char fields[STREAMS][128];
static bool was_passed_on[STREAMS];

static void
on_run(const struct rig_worker *worker, const char *attempt, const char *last)
{
	unsigned i;

	(void)worker;
	(void)last;
	if (sscanf(attempt, "hint%u", &i) == 1 && i < STREAMS)
		was_passed_on[i] = true;
}

int
main(int argc, char **argv)
{
	unsigned n_lost = 0, n_passed = 0, n_refused = 0;
	int64_t term_at;
	void *drafting;
	char text[200];

	rig_on_run = on_run;
	rig_open(argc, argv);
	rig_store_start(20000);
	rig_store_put("op/config", config);
	for (unsigned i = 0; i < 3; i++) {
		struct rig_worker *engine =
		    rig_worker_start("lm", "v1", true, 20, 0);

		engine->first_ms = 350;
		if (i > 0)
			continue;
		/* One worker is crowded, so that its first events are late, and
		 * falls silent for a second or so, once. */
		engine->first_ms = 2400;
		engine->silent_ms = 1200;
		engine->n_silences = 1;
	}
	rig_worker_start("shop", "v1", false, 0, 60);
	rig_entries_prepare(ENTRIES);
	for (unsigned i = 0; i < ENTRIES; i++)
		rig_entry_start(i);
	rig_entries_await_ready();
	rig_sleep_until(5000);

	/* Each client has a connection that it keeps. */
	for (unsigned i = 0; i < STREAMS; i++) {
		first[i] = (struct rig_call){.entry = 0,
		    .method = "GET",
		    .path = "/check/x",
		    .host = "a.example",
		    .key = "k1",
		    .last_event = -1,
		    .deadline_ms = 4000,
		    .keeps = true};
		snprintf(first[i].id, sizeof(first[i].id), "check%u", i);
	}
	rig_calls_run(first, STREAMS);
	for (unsigned i = 0; i < STREAMS; i++)
		if (first[i].status != 200 || first[i].fd <= 0)
			rig_exit(RIG_NOT_RUN, "no kept connection");
	/* A long draft keeps the instance up for the whole grace period. */
	draft = (struct rig_call){.entry = 0,
	    .id = "draft",
	    .method = "POST",
	    .path = "/draft/x",
	    .host = "a.example",
	    .key = "k1",
	    .last_event = -1,
	    .deadline_ms = 39000,
	    .more_fields = "Model: m\r\nToken-Usage: 3000,2400\r\n"
			   "Prefix-Hash: b1:79,b2:2921\r\n",
	    .body = "{}"};
	drafting = rig_calls_start(&draft, 1);
	term_at = rig_now() + 500;
	rig_sleep_until(term_at);
	if (rig.trouble)
		rig_entry_signal(0, SIGTERM);
	rig_sleep_until(term_at + SENT_AFTER_MS);
	for (unsigned i = 0; i < STREAMS; i++) {
		calls[i] = (struct rig_call){.entry = 0,
		    .method = "POST",
		    .path = "/hint/x",
		    .host = "a.example",
		    .key = "k1",
		    .last_event = -1,
		    .deadline_ms = DEADLINE_MS,
		    .more_fields = fields[i],
		    .body = "{}",
		    .fd = first[i].fd};
		snprintf(fields[i], sizeof(fields[i]),
		    "Model: m\r\nToken-Usage: 2550,%d\r\n"
		    "Prefix-Hash: a1:350,%x:2200\r\n",
		    EVENTS * 4, 0x2000 + i);
		snprintf(calls[i].id, sizeof(calls[i].id), "hint%u", i);
	}
	rig_calls_run(calls, STREAMS);
	rig_calls_join(drafting);

	for (unsigned i = 0; i < STREAMS; i++) {
		bool is_in_time =
		    calls[i].ended_at < calls[i].sent_at + DEADLINE_MS;

		n_refused += calls[i].status == 503;
		n_passed += was_passed_on[i];
		/* The workers break nothing off in this case. */
		n_lost +=
		    was_passed_on[i] && !calls[i].is_complete && is_in_time;
	}
	snprintf(text, sizeof(text),
	    "of %d streams sent %d ms after SIGTERM %u were passed on, %u "
	    "refused; %u ended without a complete answer",
	    STREAMS, SENT_AFTER_MS, n_passed, n_refused, n_lost);
	rig_exit(n_lost > 0 ? RIG_BROKEN : RIG_HELD, text);
}
