/*
 * Single calls to the platform's store, beside the ones that follow its
 * changes: what has changed since a revision, up to now.
 *
 * A view that was confirmed a moment ago may lack what was written since: its
 * instance may have stood still, or be cut off from the ones that read for it.
 * What the store says after a question came up is certain.
 */
#ifndef GODWITVALE_FLEET_STORE_CHECK_H
#define GODWITVALE_FLEET_STORE_CHECK_H

#include "godwitvale/fleet/view.h"
#include "godwitvale/http/pool.h"

struct store_check;

/// Outcome of a check.
enum store_check_outcome {
	STORE_CHECK_MADE = 1,
	STORE_CHECK_HISTORY_LOST, /// the store doesn't go back that far
	STORE_CHECK_FAILED,
};

/// A check that is over.
struct store_check_result {
	enum store_check_outcome outcome;
	uint64_t after; /// revision that was asked for
	usec_t started_at;
	/// changes since that revision (struct site_item *); NULL unless
	/// STORE_CHECK_MADE
	const GPtrArray *items;
	uint64_t as_of; /// revision that they reach; valid likewise
};

/// Callbacks of a check.
struct store_check_vtable {
	/// The check is over, and the view has all changes that it brought.
	void (*done)(void *owner, const struct store_check_result *result);
};

/// Options of a check. The objects are not owned by it.
struct store_check_options {
	const struct store_check_vtable *vtable;
	void *owner; /// passed to the callbacks
	const struct site *site;
	struct view *view; /// updated
	struct pool *pool;
	const char *address; /// IP:PORT
};

struct store_check *store_check_new(const struct store_check_options *options);
void store_check_free(struct store_check *check);
void store_check_start(struct store_check *check, uint64_t after);
bool store_check_is_running(const struct store_check *check);
void store_reply_set_era(struct site_reply *reply, uint64_t era);

#endif
