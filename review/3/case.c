/*
 * The store is silent for five seconds, is well again, and drops its history a
 * little later. Then a key is taken away, and a zone is evacuated. Rule CONFIG:
 * a request sent later than config_ms after the store has accepted a version is
 * not run with a key that this version has dropped.
 */
#define _GNU_SOURCE
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define N_INSTANCES 3
#define CONFIG_MS 2000
#define EVACUATE_MS 5000
#define ROUTES                                                          \
	"{\"name\":\"check\",\"host\":\"a.example\","                   \
	"\"prefix\":\"/check/\",\"route_kind\":\"idempotent\","         \
	"\"service\":\"shop\",\"priority\":2,\"target_latency_ms\":300," \
	"\"timeout_ms\":2000,\"max_attempts\":2}"

static struct rig_instance *instances[N_INSTANCES];
static struct rig_worker *evacuated;
static double evacuated_at;
static int n_evacuated_late;

/// Counts the requests that reach the evacuated zone too late.
static void
on_arrival(struct rig_worker *worker, const char *head, double at)
{
	(void)head;
	if (worker == evacuated && evacuated_at > 0 &&
	    at > evacuated_at + EVACUATE_MS)
		n_evacuated_late++;
}

/// Sends a request with a key. @return the status; 0: no answer
static int
call(int i, const char *key, int number)
{
	char text[512], head[RIG_HEAD_MAX];
	struct rig_conn conn;
	size_t head_len;
	int status = 0;
	int n = snprintf(text, sizeof(text),
	    "GET /check/x HTTP/1.1\r\nHost: a.example\r\n"
	    "Attempt-Id: %s-%d\r\nDeadline-Ms: 4000\r\n"
	    "Authorization: Token %s\r\nConnection: close\r\n\r\n",
	    key, number, key);

	if (!rig_conn_open(&conn, instances[i]->ip, rig_caller_port))
		return 0;
	if (rig_conn_send(&conn, text, (size_t)n) &&
	    (head_len = rig_conn_head(&conn, rig_now() + 5000)) > 0 &&
	    head_len < sizeof(head))
		status = atoi(conn.buf + 9);
	rig_conn_close(&conn);
	return status;
}

int
main(void)
{
	double began_at, revoked_at, last_run_at = 0;
	int n_run = 0, n_refused = 0;

	rig_start();
	rig_store_start();
	rig_configure_keys(ROUTES, "[\"kept\",\"revoked\"]");
	rig_on_arrival = on_arrival;
	rig_worker_start("shop1", "shop", "z1", "v1");
	evacuated = rig_worker_start("shop2", "shop", "z2", "v1");
	rig_worker_start("shop3", "shop", "z3", "v1");
	instances[0] = rig_instance_new("e1", "z1");
	instances[1] = rig_instance_new("e2", "z2");
	instances[2] = rig_instance_new("e3", "z3");
	for (int i = 0; i < N_INSTANCES; i++)
		rig_instance_run(instances[i]);
	for (int i = 0; i < N_INSTANCES; i++)
		rig_instance_wait_ready(instances[i]);
	/* The first watches of the configuration last up to 15 s. */
	rig_sleep(17500);
	for (int i = 0; i < N_INSTANCES; i++)
		if (call(i, "revoked", i) != 200)
			rig_cannot_run("%s serves nothing", instances[i]->name);

	began_at = rig_now();
	if (rig_trouble())
		rig_store_set_silent(true);
	rig_sleep_until(began_at + 5000);
	if (rig_trouble())
		rig_store_set_silent(false);
	rig_sleep_until(began_at + 6000);
	if (rig_trouble())
		rig_store_compact();
	/* The store has been well for longer than contact_ms. */
	rig_sleep_until(began_at + 7000 + 3200);
	rig_configure_keys(ROUTES, "[\"kept\"]");
	revoked_at = rig_now();
	rig_store_put("op/evacuate/z2", "1");
	evacuated_at = rig_now();
	rig_log("the store has accepted that z2 is evacuated");
	for (int k = 0; rig_now() < revoked_at + 12000; k++) {
		int i = k % N_INSTANCES;
		double sent_at = rig_now();
		int status = call(i, "revoked", 100 + k);
		bool late = sent_at > revoked_at + CONFIG_MS;

		call(i, "kept", 100 + k);
		if (late && status == 200) {
			n_run++;
			last_run_at = sent_at;
		}
		n_refused += status == 401;
		if (k < 3 || (late && status == 200 && n_run % 10 == 1))
			rig_log("%s: a request with the key that is gone, sent "
				"%.0f ms after that, gets %d",
			    instances[i]->name, sent_at - revoked_at, status);
		rig_sleep(60);
	}
	rig_log("requests run with the key later than %d ms after it was taken "
		"away: %d, the last one after %.0f ms; refused with 401: %d",
	    CONFIG_MS, n_run, n_run > 0 ? last_run_at - revoked_at : 0,
	    n_refused);
	rig_log("requests that reached the evacuated zone later than %d ms "
		"after that: %d (rule EVAC)",
	    EVACUATE_MS, n_evacuated_late);
	rig_finish(n_run > 0);
}
