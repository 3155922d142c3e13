/*
 * Decides how full a request may make an engine, and whether its place there
 * must be reserved first.
 *
 * Load pattern: a burst of long generations fills the memory of all engines,
 * while every few seconds some of them leave and new ones start. Each instance
 * has requests that wait; when an engine has room, all instances learn of it at
 * the same moment, and each sends it a request. Those for which there is no
 * room wait inside the engine, where they can't be withdrawn, as they might
 * have run. Generations whose engine leaves find no room elsewhere and are
 * broken off, and short requests wait behind the prompts of long ones.
 *
 * While engine memory is scarce, a long request therefore leaves some room free
 * at the engine that it is placed on, for short ones, and waits rather than
 * adding its prompt to those that an engine hasn't read yet. A request that
 * can't meet its target any more takes only what is left then. A generation
 * that moves may fill an engine beyond the size that its generations are
 * expected to reach. The engine itself decides in the end, as all instances
 * meet there: it is asked for a reservation before a request is sent. While
 * there is room, none of this applies.
 */
#ifndef GODWITVALE_CORE_ENGINE_ADMISSION_H
#define GODWITVALE_CORE_ENGINE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Length of a round, in which some engines are considered for the requests
/// that wait.
#define ENGINE_ADMISSION_ROUND_SPAN (50 * USEC_PER_MSEC)

/// What is known of a request that is to be placed and of its service.
struct engine_admission_inputs {
	/// expected work at the engines of the service, as a share of their
	/// memory
	double utilisation;
	/// share of an engine's memory that a request with the shortest target
	/// takes, if this one has a longer target; 0: it hasn't
	double urgent_share;
	/// share of an engine that the request's organisation leaves free for
	/// others, as it holds more than its fair share
	double organisation_headroom;
	bool is_begun; /// goes on with a begun answer, with a copy or without
	bool is_past_target; /// it can't meet its target any more
};

/// What is known of the engine that was chosen for a request.
struct engine_admission_target {
	double scarcity;    /// of the service's engines
	double utilisation; /// of the engine after the placement; 1: full
	bool is_cold;       /// the engine has just started
	bool has_waited;    /// the request has waited for room
};

/// How fast the prompt of a request must be read.
struct engine_admission_read {
	double scarcity;        /// of the service's engines
	double tokens_per_usec; /// speed of the engines; 0: unknown
	usec_t time_left;       /// until the request's target
	/// the shortest target of the service's requests, if that is shorter
	/// than the request's; else 0
	usec_t urgent_target;
};

double engine_admission_scarcity(double utilisation);
double engine_admission_headroom(const struct engine_admission_inputs *inputs);
bool engine_admission_needs_reservation(
    const struct engine_admission_target *place);
uint32_t engine_admission_reserved_tokens(int32_t tokens, int32_t output);
int32_t engine_admission_max_unread(const struct engine_admission_read *read);
bool engine_admission_in_round(uint64_t draw, unsigned n_instances);

#endif
