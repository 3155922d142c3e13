/*
 * Decides whether this instance is cut off from all upstreams of a service, and
 * keeps what the other instances say of themselves.
 *
 * Load pattern: some instances, or most of a zone, are partitioned from all
 * upstreams for seconds, while callers and the other instances reach them.
 * Their connections to upstreams hang, are reset or are refused. Each request
 * that is tried at one upstream after the other loses its time. Single
 * upstreams that crash, hang or fall silent for a second look the same to
 * single requests.
 *
 * A suspicion starts a round of probes: first one upstream, then up to three
 * more. If none answers, the instance is cut off from the service. From then on
 * one probe a second finds the end.
 */
#ifndef GODWITVALE_CORE_REACHABILITY_H
#define GODWITVALE_CORE_REACHABILITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Upstreams that are probed in the second step of a round.
#define REACHABILITY_MORE_PROBES 3
/// Maximum number of services that an instance says it is cut off from.
#define REACHABILITY_SERVICES_MAX 32

/// Change of a service, as reported to the listener.
enum reachability_change {
	REACHABILITY_CUT_OFF = 1,
	REACHABILITY_REGAINED,
};

/// Called on each change.
typedef void (*reachability_listener)(
    void *owner, enum reachability_change change, const char *service);

/// Called for each service of which upstreams must be probed now. Returns the
/// number of probes that were begun, at most `n_probes`.
typedef unsigned (*reachability_prober)(
    void *owner, const char *service, unsigned n_probes);

struct reachability;

struct reachability *reachability_new(
    reachability_listener listener, reachability_prober prober, void *owner);
void reachability_free(struct reachability *reachability);
void reachability_suspect(
    struct reachability *reachability, usec_t now, const char *service);
void reachability_note_probe(struct reachability *reachability, usec_t now,
    const char *service, bool has_answered);
void reachability_tick(struct reachability *reachability, usec_t now);
bool reachability_is_cut_off(
    const struct reachability *reachability, const char *service);
void reachability_note_helpless(
    struct reachability *reachability, usec_t now, const char *service);
bool reachability_can_be_helped(
    const struct reachability *reachability, usec_t now, const char *service);
size_t reachability_list_cut_off(
    const struct reachability *reachability, uint64_t *services, size_t max);
void reachability_set_member(struct reachability *reachability, usec_t now,
    uint64_t member, const uint64_t *services, size_t n_services);
bool reachability_is_member_cut_off(const struct reachability *reachability,
    usec_t now, uint64_t member, const char *service);

#endif
