/*
 * A plain worker fails part of its requests: it runs them and answers 503, and
 * doesn't state that it hasn't run them. Clients get this 503, which promises
 * that the request has not run, and send their orders again.
 */
#include "stand3.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_WORKERS 8 /* one of them, 0.125, fails */
#define FAILING_SHARE 45 /* in 100 of its requests */
#define N_CALLS 60
#define N_ROUNDS 5
#define DELAY_S 0.06

static bool is_failing; /* of the first worker */

static bool
answer_order(struct worker *worker, int fd, const struct message *request)
{
	static unsigned n;
	bool fails = strcmp(worker->id, "s1") == 0 && is_failing &&
	    __sync_add_and_fetch(&n, 1) * 37 % 100 < FAILING_SHARE;

	sleep_s(DELAY_S);
	send_text(fd,
	    "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\n"
	    "Keep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s",
	    fails ? "503 Service Unavailable" : "200 OK",
	    message_field(request, "Attempt-Id"), worker->id, fails ? 6 : 8,
	    fails ? "error\n" : "ordered\n");
	return true;
}

static struct worker shops[N_WORKERS];
static char names[N_WORKERS][8];

/// Finds whether a worker has run a request, in the record.
static bool
has_run(const char *path, const char *id)
{
	char line[1024];
	char wanted[64];
	bool found = false;
	FILE *file = fopen(path, "r");

	snprintf(wanted, sizeof(wanted), " runs %s ", id);
	while (file != NULL && !found &&
	    fgets(line, sizeof(line), file) != NULL)
		found = strstr(line, wanted) != NULL;
	if (file != NULL)
		fclose(file);
	return found;
}

/// Sends an order; after a promise that it hasn't run, once more, as clients
/// do.
///
/// @return number of refusals of orders that have run
static unsigned
check_answers(struct call *calls, unsigned n, const char *path)
{
	unsigned n_false = 0;

	for (unsigned i = 0; i < n; i++) {
		struct call again = calls[i];
		int status = calls[i].answer.status;

		if (status != 503 && status != 429 && status != 408 &&
		    status != 421)
			continue;
		if (!has_run(path, calls[i].id))
			continue;
		n_false++;
		again.id[0] = '\0';
		call_make(&again);
		record("order %s was answered %d and has run; its client "
		       "sends it again as %s, which %s",
		    calls[i].id, status, again.id,
		    has_run(path, again.id) ? "runs, too" : "doesn't run");
		message_free(&again.answer);
	}
	return n_false;
}

int
main(int argc, char **argv)
{
	struct call calls[N_CALLS];
	unsigned n_served = 0;
	unsigned n_false = 0;

	case_begin(argc, argv);

	store_start();
	config_write(5, "\"k1\"");
	for (unsigned i = 0; i < N_WORKERS; i++) {
		snprintf(names[i], sizeof(names[i]), "s%u", i + 1);
		shops[i] = (struct worker){.id = names[i],
		    .service = "shop",
		    .zone = "z1",
		    .version = "v1",
		    .state = "ready",
		    .handle = answer_order,
		    .slots = 6,
		    .registers = true};
		worker_start(&shops[i]);
	}
	instances_start(2);
	sleep_s(0.5);
	is_failing = case_has_trouble();
	for (unsigned round = 0; round < N_ROUNDS; round++) {
		for (unsigned i = 0; i < N_CALLS; i++)
			calls[i] =
			    (struct call){.instance = &instances[i % 2],
				.method = "POST",
				.path = "/order/x",
				.key = "k1",
				.body_len = 600,
				.deadline_ms = 4000};
		for (unsigned i = 0; i < N_CALLS; i += 12)
			calls_make(&calls[i], 12);
		for (unsigned i = 0; i < N_CALLS; i++)
			n_served += calls[i].answer.status == 200;
		n_false += check_answers(calls, N_CALLS, argv[2]);
		for (unsigned i = 0; i < N_CALLS; i++)
			message_free(&calls[i].answer);
	}
	record("result: of %u orders %u are served; %u were answered with a "
	       "promise that they haven't run, and have run",
	    N_CALLS * N_ROUNDS, n_served, n_false);
	if (n_served == 0)
		not_run("no request is served");
	return n_false > 0 ? CASE_BROKEN : CASE_HELD;
}
