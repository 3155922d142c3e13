/*
 * The workers of one software version are replaced by those of another. While
 * the last of the old ones still serve, all instances are killed; when they are
 * back, the old workers have left. Callers take their streams up again, as the
 * pages allow. Rule ORDER: no stream holds events of two versions.
 */
#define _GNU_SOURCE
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define N_INSTANCES 3
#define N_STREAMS 9
#define N_EVENTS 100
#define DEADLINE_MS 20000
#define DOWN_MS 1500 /* from the kill to the restart */
#define N_ATTEMPTS_MAX 6

static struct rig_instance *instances[N_INSTANCES];
static int n_joined, n_complete, n_taken_up, n_refused, n_open;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

struct stream {
	int number;
	char first_id[64]; /// attempt that brought the first event
	int last;
	char versions[32]; /// of its events, in order, without repeats
	double deadline;
	int n_attempts;
	double retry_after_ms; /// that the last answer asked for
};

/// Notes an event. @return its id
static int
note_event(struct stream *stream, const char *text)
{
	const char *id = strstr(text, "id: ");
	const char *version = strstr(text, " version ");
	char name[16] = "";

	if (id == NULL || version == NULL)
		return stream->last;
	sscanf(version, " version %15s", name);
	if (strstr(stream->versions, name) == NULL) {
		strcat(stream->versions, name);
		strcat(stream->versions, " ");
		rig_log("caller %d: event %d is of version %s",
		    stream->number, atoi(id + 4), name);
	}
	return atoi(id + 4);
}

/// Makes one attempt. @return true if the stream is complete or given up
static bool
attempt(struct stream *stream, const struct rig_instance *instance)
{
	char text[1024], head[RIG_HEAD_MAX], id[64], chunk[1024];
	struct rig_conn conn;
	size_t head_len;
	double left = stream->deadline - rig_now();
	bool is_over = false;
	long n;
	int len;

	stream->retry_after_ms = 300;
	if (!rig_conn_open(&conn, instance->ip, rig_caller_port))
		return false;
	snprintf(id, sizeof(id), "caller%d-%d", stream->number,
	    stream->n_attempts++);
	len = snprintf(text, sizeof(text),
	    "POST /hint/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\n"
	    "Model: m\r\nToken-Usage: 100,%d\r\n"
	    "Prefix-Hash: aa01:60,bb%02d:40\r\nDeadline-Ms: %d\r\n"
	    "Authorization: Token k1\r\nContent-Length: 0\r\n",
	    id, N_EVENTS * 4, stream->number, (int)left);
	if (stream->last > 0)
		len += snprintf(text + len, sizeof(text) - (size_t)len,
		    "Last-Event-Id: %d\r\nResumes: %s\r\n", stream->last,
		    stream->first_id);
	len += snprintf(text + len, sizeof(text) - (size_t)len, "\r\n");
	if (!rig_conn_send(&conn, text, (size_t)len) ||
	    (head_len = rig_conn_head(&conn, stream->deadline)) == 0 ||
	    head_len >= sizeof(head))
		goto out;
	memcpy(head, conn.buf, head_len);
	head[head_len] = '\0';
	rig_conn_drop(&conn, head_len);
	if (stream->last > 0) {
		rig_log("caller %d takes its stream up after event %d at %s: "
			"status %.3s",
		    stream->number, stream->last, instance->name, head + 9);
		pthread_mutex_lock(&lock);
		n_taken_up++;
		n_refused += strncmp(head + 9, "200", 3) != 0;
		pthread_mutex_unlock(&lock);
	}
	if (strncmp(head + 9, "200", 3) != 0) {
		rig_field(head, "Retry-After", text, sizeof(text));
		if (text[0] != '\0')
			stream->retry_after_ms = strtod(text, NULL) * 1000;
		if (stream->retry_after_ms > left / 3)
			stream->retry_after_ms = left / 3;
		goto out;
	}
	while ((n = rig_conn_chunk(
		    &conn, chunk, sizeof(chunk), stream->deadline)) > 0) {
		if (stream->last == 0)
			strcpy(stream->first_id, id);
		stream->last = note_event(stream, chunk);
	}
	is_over = n == 0;
	if (!is_over)
		rig_log("caller %d: connection to %s ends after event %d",
		    stream->number, instance->name, stream->last);
out:
	rig_conn_close(&conn);
	return is_over;
}

static void *
run_caller(void *data)
{
	struct stream stream = {.number = (int)(intptr_t)data};
	bool complete = false;

	stream.deadline = rig_now() + DEADLINE_MS;
	for (int i = stream.number; !complete && rig_now() < stream.deadline &&
	     stream.n_attempts < N_ATTEMPTS_MAX;
	     i++) {
		complete =
		    attempt(&stream, instances[i % N_INSTANCES]);
		if (!complete)
			rig_sleep(stream.retry_after_ms);
	}
	pthread_mutex_lock(&lock);
	n_joined += strchr(stream.versions, ' ') !=
	    strrchr(stream.versions, ' ');
	n_complete += complete;
	n_open--;
	pthread_mutex_unlock(&lock);
	rig_log("caller %d: %s, %d events, versions: %s", stream.number,
	    complete ? "complete" : "given up", stream.last, stream.versions);
	return NULL;
}

int
main(void)
{
	struct rig_worker *old[2], *new[2];

	rig_start();
	rig_store_start();
	rig_configure("{\"name\":\"hint\",\"host\":\"a.example\","
		      "\"prefix\":\"/hint/\",\"route_kind\":\"streaming\","
		      "\"service\":\"lm\",\"priority\":0,"
		      "\"target_latency_ms\":1500,\"target_gap_ms\":180,"
		      "\"timeout_ms\":20000,\"max_attempts\":2,"
		      "\"sticky\":true,\"resumable\":true}");
	old[0] = rig_worker_start("lm-old1", "lm", "z1", "v1");
	old[1] = rig_worker_start("lm-old2", "lm", "z2", "v1");
	for (int i = 0; i < 2; i++)
		old[i]->event_ms = 100;
	instances[0] = rig_instance_new("e1", "z1");
	instances[1] = rig_instance_new("e2", "z1");
	instances[2] = rig_instance_new("e3", "z2");
	for (int i = 0; i < N_INSTANCES; i++)
		rig_instance_run(instances[i]);
	for (int i = 0; i < N_INSTANCES; i++)
		rig_instance_wait_ready(instances[i]);
	rig_sleep(2000);

	rig_log("callers begin %d streams", N_STREAMS);
	n_open = N_STREAMS;
	for (int i = 0; i < N_STREAMS; i++) {
		pthread_t thread;

		pthread_create(
		    &thread, NULL, run_caller, (void *)(intptr_t)i);
		pthread_detach(thread);
	}
	rig_sleep(1000);
	rig_log("release: the new workers start first");
	new[0] = rig_worker_start("lm-new1", "lm", "z1", "v2");
	new[1] = rig_worker_start("lm-new2", "lm", "z2", "v2");
	for (int i = 0; i < 2; i++)
		new[i]->event_ms = 100;
	rig_sleep(1000);
	for (int i = 0; i < 2; i++)
		rig_worker_drain(old[i]);
	rig_sleep_until(old[1]->draining_at + 1500);
	if (rig_trouble()) {
		for (int i = 0; i < N_INSTANCES; i++)
			rig_instance_signal(instances[i], SIGKILL);
		for (int i = 0; i < N_INSTANCES; i++)
			rig_instance_reap(instances[i]);
	}
	/* drain_ms has passed, and a little longer. */
	rig_sleep_until(old[1]->draining_at + 2500);
	for (int i = 0; i < 2; i++)
		rig_worker_exit(old[i]);
	rig_sleep_until(old[1]->draining_at + 1500 + DOWN_MS);
	if (rig_trouble())
		for (int i = 0; i < N_INSTANCES; i++)
			rig_instance_run(instances[i]);
	while (n_open > 0)
		rig_sleep(50);
	rig_log("streams: %d, complete: %d, take-ups: %d, of these refused: "
		"%d, streams with events of two versions: %d",
	    N_STREAMS, n_complete, n_taken_up, n_refused, n_joined);
	if (n_taken_up == 0)
		rig_cannot_run("no stream was taken up");
	rig_finish(n_joined > 2);
}
