/*
 * Predicts on which engines the events of a generation will pause too long.
 *
 * Load pattern: the engines of one service differ in speed by a factor of two
 * and more, and are replaced every few seconds. While an engine reads a prompt,
 * the events of all its generations come several times more slowly. On a fast
 * engine such pauses stay within the target of a route, on a slow one they
 * don't. Load and memory don't show the difference, and an engine lives too
 * short for each instance to learn it alone.
 *
 * An engine's base interval is the time between two events of a generation
 * while no prompt is read. It shows after few events, and instances report it
 * to each other. The long pauses of all engines of a service are a common
 * multiple of it, which is learnt from every event. Both together predict the
 * pauses at an engine on which no long one was seen yet.
 *
 * Where the engines of a service are about equal, nothing is predicted, and an
 * engine is reported only once.
 */
#ifndef GODWITVALE_CORE_ENGINE_PACE_H
#define GODWITVALE_CORE_ENGINE_PACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Maximum number of engines in one report to other instances.
#define ENGINE_PACE_REPORTS_MAX 48

/// What an instance reports of an engine.
struct engine_pace_report {
	uint64_t service;     /// hash of its name
	uint64_t engine;      /// hash of the engine's id and incarnation
	usec_t base_interval; /// microseconds
	usec_t at;            /// when an event was last seen there
};

struct engine_pace;

struct engine_pace *engine_pace_new(bool is_enabled);
void engine_pace_free(struct engine_pace *pace);
bool engine_pace_add_interval(struct engine_pace *pace, usec_t now,
    uint64_t service, uint64_t engine, usec_t previous, usec_t interval);
void engine_pace_merge(struct engine_pace *pace, usec_t now,
    const struct engine_pace_report *report);
double engine_pace_base_interval(
    const struct engine_pace *pace, uint64_t engine);
bool engine_pace_is_uneven(
    struct engine_pace *pace, usec_t now, uint64_t service);
double engine_pace_pause_risk(struct engine_pace *pace, usec_t now,
    uint64_t service, uint64_t engine, usec_t target_gap);
void engine_pace_tick(struct engine_pace *pace, usec_t now);
size_t engine_pace_list(struct engine_pace *pace, usec_t now,
    struct engine_pace_report *reports, size_t max);

#endif
