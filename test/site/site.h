/*
 * A stand-in of the users' platform on loopback: its store and its workers in
 * one process, with faults that are switched by HTTP calls. It keeps a line
 * for each run, so that tests can count them.
 */
#ifndef TEST_SITE_SITE_H
#define TEST_SITE_SITE_H

#include <stdbool.h>

#include "godwitvale/http/server.h"

struct site_store;
struct worker;

/// The whole stand-in.
struct site_world {
	struct site_store *store;
	GHashTable *workers; /// id -> struct worker *
	GHashTable *copies;  /// "HOLDER ADDRESS/HANDLE" -> events, as a pointer
	GHashTable *runs;    /// id -> runs begun, as a pointer
};

struct site_store *site_store_new(struct site_world *world, uint16_t port);
void site_store_put(
    struct site_store *store, const char *key, const char *value);
void site_store_delete(struct site_store *store, const char *key);
void site_store_set_mode(struct site_store *store, const char *mode);
unsigned site_store_calls(const struct site_store *store);

struct worker *worker_new(struct site_world *world, const char *spec);
bool worker_set_mode(struct worker *worker, const char *mode);
const char *worker_address(const struct worker *worker);
bool worker_is_up(const struct worker *worker);

void site_answer(struct http_call *call, unsigned status, const char *body);
char *site_query(const char *target, const char *name);

#endif
