/* Runs the rounds of probes of each service. */
#include "godwitvale/core/reachability.h"

#include <string.h>

#include <glib.h>

#include "godwitvale/core/hash.h"

/// Time from a round in which an upstream answered to the next round.
#define REACHABILITY_ROUND_INTERVAL (1 * USEC_PER_SEC)
/// Interval of the probes while this instance is cut off.
#define REACHABILITY_PROBE_INTERVAL (1 * USEC_PER_SEC)
/// After another instance has said that it can't serve either, no other one is
/// asked for this long.
#define REACHABILITY_HELPLESS_SPAN (500 * USEC_PER_MSEC)
/// What another instance has said of itself holds for this long. It says it
/// again with each heartbeat.
#define REACHABILITY_MEMBER_TTL (3 * USEC_PER_SEC)

/// State of one service.
struct service_state {
	unsigned n_pending; /// probes without an outcome
	bool is_second_step;
	bool is_suspected; /// a round is due at `next_round_at`
	bool is_cut_off;
	usec_t next_round_at; /// no round begins before
	usec_t next_probe_at; /// while this instance is cut off
	usec_t helpless_until;
};

/// What another instance has said of itself.
struct member_state {
	uint64_t services[REACHABILITY_SERVICES_MAX];
	size_t n_services;
	usec_t expires_at;
};

struct reachability {
	reachability_listener listener;
	reachability_prober prober;
	void *owner;
	GHashTable *services; /// name -> struct service_state *
	GHashTable *members;  /// hash of the name -> struct member_state *
};

/// Creates the state of an instance that reaches all services.
///
/// @param listener  called on each change of a service
/// @param prober    called to probe upstreams of a service; the outcome of
///                  each probe must be passed to reachability_note_probe(),
///                  which may not be called from within
/// @param owner     passed to both
/// @return the state; free with reachability_free()
struct reachability *
reachability_new(
    reachability_listener listener, reachability_prober prober, void *owner)
{
	struct reachability *reachability = g_new0(struct reachability, 1);

	reachability->listener = listener;
	reachability->prober = prober;
	reachability->owner = owner;
	reachability->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	reachability->members =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return reachability;
}

/// Frees a state.
///
/// @param reachability  not NULL
void
reachability_free(struct reachability *reachability)
{
	g_hash_table_unref(reachability->services);
	g_hash_table_unref(reachability->members);
	g_free(reachability);
}

/// Returns the state of a service, which is made if there is none.
static struct service_state *
get_state(struct reachability *reachability, const char *service)
{
	struct service_state *state =
	    g_hash_table_lookup(reachability->services, service);

	if (state == NULL) {
		state = g_new0(struct service_state, 1);
		g_hash_table_insert(
		    reachability->services, g_strdup(service), state);
	}
	return state;
}

/// Asks for probes of upstreams of a service.
///
/// @return whether any was begun
static bool
begin_probes(struct reachability *reachability, const char *service,
    struct service_state *state, unsigned n_probes)
{
	unsigned n_begun =
	    reachability->prober(reachability->owner, service, n_probes);

	state->n_pending += n_begun;
	return n_begun > 0;
}

/// Begins a round of probes, if one is due.
static void
begin_round(struct reachability *reachability, usec_t now, const char *service,
    struct service_state *state)
{
	if (!state->is_suspected || state->is_cut_off || state->n_pending > 0 ||
	    now < state->next_round_at)
		return;
	state->is_suspected = false;
	state->is_second_step = false;
	begin_probes(reachability, service, state, 1);
}

/// Notes that upstreams of a service may be out of reach. A round of probes
/// follows, at once unless one has been made shortly before.
///
/// @param reachability  state to change
/// @param now           current time
/// @param service       name of the service
void
reachability_suspect(
    struct reachability *reachability, usec_t now, const char *service)
{
	struct service_state *state = get_state(reachability, service);

	/* What is noticed while probes run is a sign of the same. */
	if (state->n_pending > 0)
		return;
	state->is_suspected = true;
	begin_round(reachability, now, service, state);
}

/// Suspects all services, as what is cut off from one is mostly cut off from
/// the others, too.
static void
suspect_all(struct reachability *reachability, usec_t now)
{
	GList *services = g_hash_table_get_keys(reachability->services);

	for (GList *l = services; l != NULL; l = l->next)
		reachability_suspect(reachability, now, l->data);
	g_list_free(services);
}

/// Handles the last outcome of a step without an answer.
static void
handle_failed_step(struct reachability *reachability, usec_t now,
    const char *service, struct service_state *state)
{
	if (!state->is_second_step) {
		state->is_second_step = true;
		if (begin_probes(
			reachability, service, state, REACHABILITY_MORE_PROBES))
			return;
	}
	state->is_cut_off = true;
	state->is_suspected = false;
	state->next_probe_at = now + REACHABILITY_PROBE_INTERVAL;
	state->helpless_until = 0;
	reachability->listener(
	    reachability->owner, REACHABILITY_CUT_OFF, service);
	suspect_all(reachability, now);
}

/// Notes that this instance isn't cut off from a service any more.
static void
end_cut(struct reachability *reachability, const char *service,
    struct service_state *state)
{
	state->is_cut_off = false;
	reachability->listener(
	    reachability->owner, REACHABILITY_REGAINED, service);
}

/// Handles the outcome of a probe.
///
/// @param reachability  state to change
/// @param now           current time
/// @param service       name of the service of the upstream
/// @param has_answered  whether the upstream has sent an answer, whatever it is
void
reachability_note_probe(struct reachability *reachability, usec_t now,
    const char *service, bool has_answered)
{
	struct service_state *state = get_state(reachability, service);

	state->n_pending -= state->n_pending > 0;
	if (has_answered) {
		state->next_round_at = now + REACHABILITY_ROUND_INTERVAL;
		state->is_second_step = true;
		if (state->is_cut_off)
			end_cut(reachability, service, state);
		return;
	}
	if (state->is_cut_off || state->n_pending > 0 ||
	    now < state->next_round_at)
		return;
	handle_failed_step(reachability, now, service, state);
}

/// Asks for the probes that are due.
///
/// @param reachability  state to check
/// @param now           current time
void
reachability_tick(struct reachability *reachability, usec_t now)
{
	GHashTableIter iter;
	void *service;
	void *value;

	g_hash_table_iter_init(&iter, reachability->services);
	while (g_hash_table_iter_next(&iter, &service, &value)) {
		struct service_state *state = value;

		begin_round(reachability, now, service, state);
		if (!state->is_cut_off || now < state->next_probe_at)
			continue;
		state->next_probe_at = now + REACHABILITY_PROBE_INTERVAL;
		/* Without an upstream there is nothing to be cut off from. */
		if (!begin_probes(reachability, service, state, 1) &&
		    state->n_pending == 0)
			end_cut(reachability, service, state);
	}
}

/// @param reachability  state to query
/// @param service       name of a service
/// @return whether this instance reaches no upstream of the service
bool
reachability_is_cut_off(
    const struct reachability *reachability, const char *service)
{
	const struct service_state *state =
	    g_hash_table_lookup(reachability->services, service);

	return state != NULL && state->is_cut_off;
}

/// Notes that another instance was asked to serve a request and couldn't
/// either.
///
/// @param reachability  state to change
/// @param now           current time
/// @param service       name of the service
void
reachability_note_helpless(
    struct reachability *reachability, usec_t now, const char *service)
{
	get_state(reachability, service)->helpless_until =
	    now + REACHABILITY_HELPLESS_SPAN;
}

/// @param reachability  state to query
/// @param now           current time
/// @param service       name of a service
/// @return whether it makes sense to ask another instance
bool
reachability_can_be_helped(
    const struct reachability *reachability, usec_t now, const char *service)
{
	const struct service_state *state =
	    g_hash_table_lookup(reachability->services, service);

	return state == NULL || now >= state->helpless_until;
}

/// Lists the services that this instance is cut off from.
///
/// @param reachability  state to list
/// @param services      filled in with hashes of names
/// @param max           number of elements in `services`
/// @return number of elements filled in
size_t
reachability_list_cut_off(
    const struct reachability *reachability, uint64_t *services, size_t max)
{
	GHashTableIter iter;
	void *service;
	void *value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, reachability->services);
	while (n < max && g_hash_table_iter_next(&iter, &service, &value))
		if (((const struct service_state *)value)->is_cut_off)
			services[n++] = hash_name(service);
	return n;
}

/// Notes the services that another instance says it is cut off from.
///
/// @param reachability  state to change
/// @param now           current time
/// @param member        hash of the other instance's name
/// @param services      hashes of the services' names
/// @param n_services    number of services; 0: it reaches all
void
reachability_set_member(struct reachability *reachability, usec_t now,
    uint64_t member, const uint64_t *services, size_t n_services)
{
	struct member_state *state;

	if (n_services == 0) {
		g_hash_table_remove(reachability->members, &member);
		return;
	}
	state = g_new0(struct member_state, 1);
	state->n_services = MIN(n_services, REACHABILITY_SERVICES_MAX);
	memcpy(
	    state->services, services, state->n_services * sizeof(*services));
	state->expires_at = now + REACHABILITY_MEMBER_TTL;
	g_hash_table_replace(
	    reachability->members, g_memdup2(&member, sizeof(member)), state);
}

/// @param reachability  state to query
/// @param now           current time
/// @param member        hash of the other instance's name
/// @param service       name of a service; NULL: any
/// @return whether the other instance says that it is cut off from it
bool
reachability_is_member_cut_off(const struct reachability *reachability,
    usec_t now, uint64_t member, const char *service)
{
	const struct member_state *state =
	    g_hash_table_lookup(reachability->members, &member);
	uint64_t hash = service == NULL ? 0 : hash_name(service);

	if (state == NULL || now >= state->expires_at)
		return false;
	for (size_t i = 0; i < state->n_services; i++)
		if (service == NULL || state->services[i] == hash)
			return true;
	return false;
}
