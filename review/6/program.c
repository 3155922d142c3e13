/*
 * Streams that clients take up again after all instances were killed at once
 * and have been back, in touch, for longer than `contact_ms`.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "../rig-2/rig.h"

#define ENTRIES 3
#define STREAMS 16
#define CONTACT_MS 3000
#define HISTORY_MS 20000 /* of the store, as its settings say */
#define UPTIME_MS 23000  /* of the system before the kill */
#define RUN_MS 500       /* from the begin of the streams to the kill */
#define DOWN_MS 300      /* until the platform starts the processes again */
#define DEADLINE_MS 6000 /* of the clients of resumable streams */
#define EVENTS 60        /* of a stream, one every 20 ms */

static const char config[] =
    "{\"version\":3,\"routes\":["
    "{\"name\":\"hint\",\"host\":\"a.example\",\"prefix\":\"/hint/\","
    "\"service\":\"lm\",\"route_kind\":\"streaming\",\"timeout_ms\":6000,"
    "\"target_latency_ms\":1500,\"target_gap_ms\":180,\"max_attempts\":2,"
    "\"priority\":0,\"sticky\":true,\"resumable\":true}],"
    "\"services\":[{\"name\":\"lm\",\"health_path\":\"/healthz\","
    "\"max_conns\":282,\"cold_s\":1,\"cold_per_s\":26,"
    "\"engine\":{\"slots\":24,\"kv_capacity\":34424,\"stride\":4}}],"
    "\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"]}]}";

static struct rig_call old[STREAMS], again[STREAMS], fresh[STREAMS];
static char fields[2 * STREAMS][128];

static void
fill(struct rig_call *call, unsigned i, const char *id, unsigned stream)
{
	char *more = fields[stream];

	*call = (struct rig_call){
	    .entry = i % ENTRIES,
	    .method = "POST",
	    .path = "/hint/x",
	    .host = "a.example",
	    .key = "k1",
	    .last_event = -1,
	    .deadline_ms = DEADLINE_MS,
	    .more_fields = more,
	    .body = "{}",
	};
	snprintf(more, sizeof(fields[0]),
	    "Model: m\r\nToken-Usage: 400,%d\r\n"
	    "Prefix-Hash: a1:350,%x:50\r\n",
	    EVENTS * 4, 0x1000 + stream);
	snprintf(call->id, sizeof(call->id), "%s%u", id, i);
}

static void
kill_all(void)
{
	for (unsigned i = 0; i < ENTRIES; i++)
		rig_entry_signal(i, SIGKILL);
	for (unsigned i = 0; i < ENTRIES; i++)
		rig_entry_wait(i);
}

int
main(int argc, char **argv)
{
	unsigned n_up = 0, n_up_ok = 0, n_fresh_ok = 0;
	int64_t begun_at, cut_at, touch_at = 0;
	void *streams;
	char text[200];

	rig_open(argc, argv);
	rig_store_start(HISTORY_MS);
	rig_store_put("op/config", config);
	for (unsigned i = 0; i < 4; i++)
		rig_worker_start("lm", "v1", true, 20, 0);
	rig_entries_prepare(ENTRIES);
	for (unsigned i = 0; i < ENTRIES; i++)
		rig_entry_start(i);
	rig_entries_await_ready();
	rig_sleep_until(UPTIME_MS);

	begun_at = rig_now();
	cut_at = begun_at + RUN_MS;
	for (unsigned i = 0; i < STREAMS; i++) {
		fill(&old[i], i, "old", i);
		/* Without the disruption the client's own link breaks. */
		old[i].leave_at = rig.trouble ? 0 : cut_at;
	}
	streams = rig_calls_start(old, STREAMS);
	rig_sleep_until(cut_at);
	if (rig.trouble) {
		kill_all();
		rig_sleep_until(cut_at + DOWN_MS);
		for (unsigned i = 0; i < ENTRIES; i++)
			rig_entry_start(i);
		rig_entries_await_ready();
	}
	rig_calls_join(streams);

	/* All machines are in touch again from here on. */
	for (unsigned i = 0; i < ENTRIES; i++)
		if (rig_entry_started_at(i) + CONTACT_MS + 200 > touch_at)
			touch_at = rig_entry_started_at(i) + CONTACT_MS + 200;
	if (touch_at < cut_at + DOWN_MS + CONTACT_MS + 200)
		touch_at = cut_at + DOWN_MS + CONTACT_MS + 200;
	rig_sleep_until(touch_at);
	for (unsigned i = 0; i < STREAMS; i++) {
		fill(&again[i], i, "again", i);
		/* at another machine than before */
		again[i].entry = (i + 1) % ENTRIES;
		snprintf(
		    again[i].resumes, sizeof(again[i].resumes), "old%u", i);
		again[i].last_event = old[i].last_id;
		again[i].deadline_ms =
		    (int)(begun_at + DEADLINE_MS - rig_now());
		fill(&fresh[i], i, "fresh", STREAMS + i);
		fresh[i].entry = again[i].entry;
	}
	streams = rig_calls_start(fresh, STREAMS);
	rig_calls_run(again, STREAMS);
	rig_calls_join(streams);

	for (unsigned i = 0; i < STREAMS; i++) {
		n_fresh_ok += fresh[i].status == 200 && fresh[i].first_id == 1;
		/* A stream of which the client has no event isn't taken up. */
		if (old[i].last_id < 1 || old[i].is_complete)
			continue;
		n_up++;
		n_up_ok += again[i].status == 200 &&
		    again[i].first_id == old[i].last_id + 1 &&
		    again[i].is_in_order;
	}
	snprintf(text, sizeof(text),
	    "%u of %u streams that were taken up went on, %u of %u new ones "
	    "began",
	    n_up_ok, n_up, n_fresh_ok, STREAMS);
	if (n_up < 12 || n_fresh_ok < STREAMS / 2)
		rig_exit(RIG_NOT_RUN, text);
	/* share of these under half of the share of those */
	rig_exit(
	    2 * n_up_ok * STREAMS < n_fresh_ok * n_up ? RIG_BROKEN : RIG_HELD,
	    text);
}
