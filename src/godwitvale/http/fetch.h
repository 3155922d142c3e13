/* One question over HTTP whose answer is taken whole, with a deadline. */
#ifndef GODWITVALE_HTTP_FETCH_H
#define GODWITVALE_HTTP_FETCH_H

#include "godwitvale/core/time_defs.h"
#include "godwitvale/http/head.h"
#include "godwitvale/http/pool.h"

/// Longest answer that is taken, in bytes.
#define FETCH_BYTES_MAX (16 * 1024 * 1024)

/// What came back.
struct fetch_answer {
	unsigned status;              /// 0: none came, see `failure`
	const struct http_head *head; /// NULL when none came
	const char *body;
	size_t len;
	const char *failure; /// one word, NULL when an answer came
};

typedef void (*fetch_handler)(void *owner, const struct fetch_answer *answer);

/// How a question is asked.
struct fetch_options {
	struct pool *pool;
	const char *address; /// IP:PORT
	const char *method;
	const char *target;
	const char *body; /// NULL: none; else JSON
	usec_t deadline;
	fetch_handler handler; /// called once, unless it is cancelled
	void *owner;
};

struct fetch;

struct fetch *fetch_start(const struct fetch_options *options);
void fetch_cancel(struct fetch *fetch);

#endif
