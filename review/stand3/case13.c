/*
 * Workers send answers that end with their connection. One worker of each
 * service is killed within its answers: clients get what came until then as a
 * whole answer.
 */
#include "stand3.h"

#include <stdio.h>
#include <string.h>

#define N_WORKERS 6 /* of each service; one of them is killed */
#define N_PIECES 20
#define PIECE_S 0.05
#define N_CALLS 24 /* of each kind */

/// Writes one piece of an answer.
static void
send_piece(const struct worker *worker, int fd, int i)
{
	if (strcmp(worker->service, "lm") == 0)
		send_text(fd, "id: %d\ndata: piece %02d of %d\n\n", i, i,
		    N_PIECES);
	else
		send_text(fd, "piece %02d of %d\n", i, N_PIECES);
}

/// An answer with neither a length nor chunks, which ends with its connection.
static bool
answer_unframed(struct worker *worker, int fd, const struct message *request)
{
	send_text(fd,
	    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\n"
	    "Connection: close\r\n%s\r\n",
	    message_field(request, "Attempt-Id"), worker->id,
	    strcmp(worker->service, "lm") == 0
		? "Content-Type: text/event-stream\r\n"
		: "");
	for (int i = 1; i <= N_PIECES; i++) {
		sleep_s(PIECE_S);
		send_piece(worker, fd, i);
	}
	return false;
}

static struct worker shops[N_WORKERS];
static struct worker engines[N_WORKERS];
static char names[2 * N_WORKERS][8];

static void
start_workers(struct worker *list, const char *service, const char *letter,
    int slots, char (*ids)[8])
{
	for (unsigned i = 0; i < N_WORKERS; i++) {
		snprintf(ids[i], sizeof(ids[i]), "%s%u", letter, i + 1);
		list[i] = (struct worker){.id = ids[i],
		    .service = service,
		    .zone = "z1",
		    .version = "v1",
		    .state = "ready",
		    .handle = answer_unframed,
		    .slots = slots,
		    .registers = true,
		    .own_process = true};
		worker_start(&list[i]);
	}
}

int
main(int argc, char **argv)
{
	static const struct {
		const char *method;
		const char *path;
		const char *fields;
		size_t body_len;
	} kinds[] = {
	    {"POST", "/order/x", NULL, 600},
	    {"POST", "/hint/x",
		"Model: m\r\nToken-Usage: 100,80\r\n"
		"Prefix-Hash: aa01:60,bb02:40\r\n",
		0},
	};
	struct call calls[2 * N_CALLS];
	unsigned n_whole = 0;
	unsigned n_short = 0; /* look whole, and aren't */
	unsigned n_others = 0;
	char last[32];

	case_begin(argc, argv);
	store_start();
	config_write(5, "\"k1\"");
	start_workers(shops, "shop", "s", 6, names);
	start_workers(engines, "lm", "w", 24, names + N_WORKERS);
	instances_start(1);
	memset(calls, 0, sizeof(calls));
	for (unsigned i = 0; i < 2 * N_CALLS; i++)
		calls[i] = (struct call){.instance = &instances[0],
		    .method = kinds[i % 2].method,
		    .path = kinds[i % 2].path,
		    .fields = kinds[i % 2].fields,
		    .body_len = kinds[i % 2].body_len,
		    .key = "k1",
		    .deadline_ms = 4000};
	sleep_s(0.5);
	if (case_has_trouble()) {
		worker_kill_process_later(&shops[0], 0.5);
		worker_kill_process_later(&engines[0], 0.5);
	}
	calls_make(calls, 2 * N_CALLS);
	snprintf(last, sizeof(last), "piece %02d of %d\n", N_PIECES, N_PIECES);
	for (unsigned i = 0; i < 2 * N_CALLS; i++) {
		const struct message *answer = &calls[i].answer;

		if (answer->status != 200 || !answer->complete) {
			n_others++;
		} else if (strstr(answer->body, last) != NULL) {
			n_whole++;
		} else {
			n_short++;
			record("%s %s: a 200 that looks whole, of %zu bytes, "
			       "Content-Length \"%s\", seal %s, ends with "
			       "\"%.14s\"",
			    calls[i].id, calls[i].path, answer->len,
			    message_field(answer, "Content-Length"),
			    message_field(answer, "Response-Seal"),
			    answer->len < 15
				? answer->body
				: answer->body + answer->len - 15);
		}
	}
	record("result: of %u answers %u are whole, %u look whole and lack "
	       "pieces, %u are failures, refusals or cut",
	    2 * N_CALLS, n_whole, n_short, n_others);
	if (n_whole == 0)
		not_run("no request is served");
	return n_short > 0 ? CASE_BROKEN : CASE_HELD;
}
