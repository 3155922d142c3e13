/*
 * The store is restored from a copy, and an instance is killed and starts again
 * before the operator has written again what the copy lacks: that instance
 * ignores the operator's next version for good.
 */
#include "stand3.h"

#include <stdio.h>
#include <string.h>

#define COPY_AGE_S 10 /* "a copy some seconds old" */
#define CONTACT_S 3.0 /* contact_ms */
#define CONFIG_S 2.0  /* config_ms */
#define WATCHED_S 30.0
#define N_INSTANCES 3

static bool
answer_ok(struct worker *worker, int fd, const struct message *request)
{
	sleep_s(0.01);
	send_text(fd,
	    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\n"
	    "Keep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\nok\n",
	    message_field(request, "Attempt-Id"), worker->id);
	return true;
}

static struct worker workers[] = {
    {.id = "s1", .service = "shop", .slots = 6},
    {.id = "s2", .service = "shop", .slots = 6},
    {.id = "s3", .service = "shop", .slots = 6},
    {.id = "w1", .service = "lm", .slots = 24},
    {.id = "w2", .service = "lm", .slots = 24},
    {.id = "w3", .service = "lm", .slots = 24},
};

/// Status that a request with a key gets at an instance.
static int
try_key(unsigned instance, const char *key)
{
	struct call call = {.instance = &instances[instance],
	    .method = "GET",
	    .path = "/check/x",
	    .key = key,
	    .deadline_ms = 1500};
	int status;

	call_make(&call);
	status = call.answer.status;
	message_free(&call.answer);
	return status;
}

int
main(int argc, char **argv)
{
	unsigned n_late[N_INSTANCES] = {0}; /* with the dropped key, that ran */
	unsigned n_served = 0;		    /* with the key that stays */
	unsigned n_tried = 0;
	unsigned n_all_late = 0;
	double restored_at;
	double acked_at;

	case_begin(argc, argv);
	store_start();
	config_write(9, "\"k0\",\"k1\"");
	for (unsigned i = 0; i < sizeof(workers) / sizeof(*workers); i++) {
		workers[i].zone = "z1";
		workers[i].version = "v1";
		workers[i].state = "ready";
		workers[i].handle = answer_ok;
		workers[i].registers = true;
		worker_start(&workers[i]);
	}
	instances_start(N_INSTANCES);
	sleep_s(CONTACT_S);
	store_save_copy();
	record("store: a copy is made at revision %llu",
	    (unsigned long long)store_revision());
	sleep_s(COPY_AGE_S - 2);
	config_write(10, "\"k0\",\"k1\",\"k2\"");
	sleep_s(2);
	record("store: revision %llu", (unsigned long long)store_revision());
	restored_at = now_s();
	if (case_has_trouble()) {
		store_restore_copy();
		record("store: restored from the copy, revision %llu",
		    (unsigned long long)store_revision());
		sleep_until(restored_at + 1.5);
		instance_kill(&instances[2]);
		instance_run(&instances[2]);
		instance_wait_ready(&instances[2]);
		sleep_until(restored_at + 2.5);
		config_write(10, "\"k0\",\"k1\",\"k2\"");
	}
	sleep_until(restored_at + 1.5 + CONTACT_S);
	config_write(11, "\"k0\",\"k2\"");
	acked_at = now_s();
	sleep_until(acked_at + CONFIG_S + 0.05);
	while (now_s() < acked_at + WATCHED_S) {
		for (unsigned i = 0; i < N_INSTANCES; i++) {
			n_served += try_key(i, "k2") == 200;
			n_late[i] += try_key(i, "k1") == 200;
		}
		n_tried++;
		sleep_s(0.7);
	}
	record("store: revision %llu", (unsigned long long)store_revision());
	for (unsigned i = 0; i < N_INSTANCES; i++) {
		record("result: of %u requests with key k1, sent to %s over "
		       "%.1f s after its removal was acknowledged, %u ran",
		    n_tried, instances[i].name, CONFIG_S, n_late[i]);
		n_all_late += n_late[i];
	}
	if (n_served == 0)
		not_run("no request is served");
	return n_all_late > 0 ? CASE_BROKEN : CASE_HELD;
}
