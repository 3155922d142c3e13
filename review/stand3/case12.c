/*
 * A worker is cut off from the store, crashes and starts again under its id
 * with another version of its software. Then it crashes once more: its streams
 * go on at workers of the version that the store still names for it.
 */
#include "stand3.h"

#include <stdio.h>
#include <string.h>

#define N_WORKERS 6 /* one of them is cut off and crashes */
#define N_EVENTS 40
#define EVENT_S 0.05
#define N_CALLS 48
#define MIXED_MAX 2 /* "more than two streams" */

/// A stream of events, each of which names the worker's version.
static bool
answer_stream(struct worker *worker, int fd, const struct message *request)
{
	const char *last = message_field(request, "Last-Event-Id");
	const char *version = worker->version;
	char event[128];
	int first = 1;

	if (*last != '\0')
		sscanf(last, "%d", &first), first++;
	send_text(fd,
	    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\n"
	    "Content-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    message_field(request, "Attempt-Id"), worker->id);
	for (int i = first; i <= N_EVENTS; i++) {
		sleep_s(EVENT_S);
		snprintf(event, sizeof(event), "id: %d\ndata: %s %s %d\n\n", i,
		    worker->id, version, i);
		send_text(fd, "%zx\r\n%s\r\n", strlen(event), event);
	}
	send_text(fd, "0\r\n\r\n");
	return true;
}

static struct worker engines[N_WORKERS];
static char names[N_WORKERS][8];

int
main(int argc, char **argv)
{
	struct call calls[N_CALLS];
	unsigned n_mixed = 0;
	unsigned n_whole = 0;

	case_begin(argc, argv);
	store_start();
	config_write(5, "\"k1\"");
	for (unsigned i = 0; i < N_WORKERS; i++) {
		snprintf(names[i], sizeof(names[i]), "w%u", i + 1);
		engines[i] = (struct worker){.id = names[i],
		    .service = "lm",
		    .zone = "z1",
		    .version = "v1",
		    .state = "ready",
		    .handle = answer_stream,
		    .slots = 24,
		    .registers = true};
		worker_start(&engines[i]);
	}
	instances_start(1);
	sleep_s(1.0);
	if (case_has_trouble()) {
		/* Cut off from the store: its entry stays as it is. */
		record("worker w1 is cut off from the store");
		worker_crash(&engines[0]);
		sleep_s(0.1);
		engines[0].version = "v2";
		worker_restart(&engines[0]);
		sleep_s(0.1);
	}
	for (unsigned i = 0; i < N_CALLS; i++)
		calls[i] = (struct call){.instance = &instances[0],
		    .method = "POST",
		    .path = "/hint/x",
		    .key = "k1",
		    .fields = "Model: m\r\nToken-Usage: 100,160\r\n"
			      "Prefix-Hash: aa01:60,bb02:40\r\n",
		    .deadline_ms = 6000};
	if (case_has_trouble())
		worker_crash_later(&engines[0], 1.0);
	calls_make(calls, N_CALLS);
	for (unsigned i = 0; i < N_CALLS; i++) {
		const struct message *answer = &calls[i].answer;
		bool has_v1 = answer->body != NULL &&
		    strstr(answer->body, " v1 ") != NULL;
		bool has_v2 = answer->body != NULL &&
		    strstr(answer->body, " v2 ") != NULL;

		n_whole += answer->status == 200 && answer->complete;
		if (!has_v1 || !has_v2)
			continue;
		n_mixed++;
		record("%s: one answer holds events of versions v1 and v2",
		    calls[i].id);
	}
	record("result: of %u streams %u are whole; %u hold events of two "
	       "versions",
	    N_CALLS, n_whole, n_mixed);
	if (n_whole == 0)
		not_run("no stream is served");
	return n_mixed > MIXED_MAX ? CASE_BROKEN : CASE_HELD;
}
