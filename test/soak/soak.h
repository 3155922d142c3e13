/*
 * The fault soak: runs the real programs as separate processes on loopback,
 * injects faults from outside in a random order that a seed determines, and
 * checks the responses that callers receive.
 */
#ifndef TEST_SOAK_SOAK_H
#define TEST_SOAK_SOAK_H

#include <stdbool.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"
#include "godwitvale/http/pool.h"
#include "test/site/link.h"

#define SOAK_ENTRIES 3
#define SOAK_WORKERS 5

/// One entry instance.
struct soak_entry {
	char name[8];
	char ip[16];
	char *settings;
	GPid pid; /// 0: not running
	bool paused;
	bool leaving;
	usec_t kill_at; /// killed if it hasn't exited by then; 0: not leaving
};

/// One run of the soak.
struct soak {
	guint32 seed;
	GRand *rand;
	const char *bindir;
	const char *old_bindir; /// of another build beside it; NULL: none
	char *dir;              /// settings and logs
	GMainLoop *loop;
	struct pool *pool;
	GPid site;
	uint16_t store_port;
	uint16_t worker_ports[SOAK_WORKERS]; /// of the workers; their links use
					     /// the next port
	uint16_t ports[5]; /// caller, ready, control, peer, metrics
	struct soak_entry entries[SOAK_ENTRIES];
	struct link *store_link;
	struct link *worker_links[SOAK_WORKERS];
	unsigned config_version;
	usec_t started_at;
	usec_t calm_from; /// no fault is injected from then on
	GPtrArray *calls; /// struct soak_call *
	GString *failures;
	GString *history; /// injected faults, printed with a failure
};

/* soak_world.c */
bool soak_world_start(struct soak *soak);
void soak_world_stop(struct soak *soak);
void soak_world_entry_start(struct soak *soak, struct soak_entry *entry);
void soak_world_signal(struct soak_entry *entry, int number);
void soak_world_ctl(struct soak *soak, const char *path, const char *body);
void soak_world_configure(struct soak *soak);
void soak_world_check_ends(struct soak *soak);
void soak_world_check_logs(struct soak *soak);

/* soak_plan.c */
void soak_plan_step(struct soak *soak);
void soak_plan_end_faults(struct soak *soak);

/* soak_callers.c */
void soak_callers_tick(struct soak *soak);
unsigned soak_callers_open(const struct soak *soak);
void soak_callers_check(struct soak *soak);
void soak_callers_free(struct soak *soak);

void soak_fail(struct soak *soak, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void soak_note(struct soak *soak, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
