/* What the stand-ins share: HTTP server, fault switch, statistics, options. */
#ifndef GODWITVALE_TEST_STANDIN_H
#define GODWITVALE_TEST_STANDIN_H

#include <stdbool.h>
#include <stdint.h>

#include <json-c/json.h>
#include <libsoup/soup.h>

#define STANDIN_TOO_MANY_REQUESTS 429

enum standin_fault {
	STANDIN_FAULT_NONE = 0,
	STANDIN_FAULT_DOWN,   /// each connection is closed unanswered
	STANDIN_FAULT_SILENT, /// connections of before stay open, unanswered
	STANDIN_FAULT_STALE,  /// the present value is served on and on
	STANDIN_FAULT_SLOW,   /// each answer waits for slow_ms
};

struct standin;

/// One kind of stand-in, as its first member's functions.
struct standin_kind {
	/// Answers a request, now or later; the message is paused already.
	void (*request)(struct standin *standin, SoupServerMessage *message);
	/// Takes a control body; body is NULL for a path below /control/.
	/// Returns false when it knows no such call.
	bool (*control)(struct standin *standin, SoupServerMessage *message,
	    const char *path, json_object *body);
	/// Starts anew and cold; NULL for kinds that are never cold. The
	/// connections are closed afterwards.
	void (*restart)(struct standin *standin);
	/// Adds the kind's counters.
	void (*stats)(struct standin *standin, json_object *stats);
};

/// State that every stand-in begins with.
struct standin {
	const struct standin_kind *kind;
	SoupServer *server;
	GHashTable *sockets; /// the open connections' GSocket, weakly held
	guint silences;      /// times that the silent fault was switched on
	enum standin_fault fault;
	guint slow_ms;
	uint64_t calls;
};

/// A budget of calls a second.
struct standin_rate {
	int per_second; /// 0 for no limit
	int64_t second;
	int used;
};

int standin_run(struct standin *standin, const char *listen);
bool standin_parse(
    int argc, char **argv, const GOptionEntry *entries, const char *summary);
int64_t standin_now_ms(void);
bool standin_silenced(struct standin *standin, SoupServerMessage *message);
bool standin_gone(SoupServerMessage *message);
void standin_close(SoupServerMessage *message);
void standin_close_all(struct standin *standin);
void standin_answer(SoupServerMessage *message, guint status, const char *type,
    const char *body, gsize len);
void standin_answer_json(
    SoupServerMessage *message, guint status, json_object *object);
void standin_refuse(
    SoupServerMessage *message, guint status, const char *reason);
void standin_answer_half(
    SoupServerMessage *message, const char *body, gsize len);
bool standin_rate_take(struct standin_rate *rate);
json_object *standin_body(SoupServerMessage *message);
const char *standin_string(
    json_object *object, const char *key, const char *otherwise);
int64_t standin_number(json_object *object, const char *key, int64_t otherwise);
int64_t standin_query_number(
    SoupServerMessage *message, const char *key, int64_t otherwise);

int config_main(int argc, char **argv);
int members_main(int argc, char **argv);
int engine_main(int argc, char **argv);
int service_main(int argc, char **argv);
int weights_main(int argc, char **argv);

#endif
