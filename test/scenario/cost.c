/* Measures the messages, bytes and memory of coordination by fleet size. */
#include "scenario.h"

#include <stdio.h>

/// Calls that are sent to measure the cost of a call; also the "count" of the
/// command in measure_fleet().
#define N_CALLS 300
/// Duration of each measurement: of the idle fleet, and of the calls.
#define MEASURE_SPAN (20 * USEC_PER_SEC)

/// Creates a script for a fleet of n_insts instances in three zones.
static char *
create_fleet_script(int n_insts)
{
	GString *out = g_string_new("settle 100s\n");

	g_string_append(out,
	    "upstream b1 kind=service service=booking idempotent=no "
	    "max=1000\n");
	for (int i = 1; i <= n_insts; i++)
		g_string_append_printf(
		    out, "instance e%d zone=z%d\n", i, i % 3);
	return g_string_free(out, FALSE);
}

/// Sums the memory of the quorum state of all running instances, in bytes.
static size_t
sum_quorum_memory(const struct world *world)
{
	size_t total = 0;

	for (guint i = 0; i < world->insts->len; i++) {
		const struct inst *inst = world->insts->pdata[i];

		total += inst->up ? quorum_memory_bytes(inst->quorum) : 0;
	}
	return total;
}

/// Measures and prints the costs of a fleet: first while the fleet is idle,
/// then while callers send N_CALLS calls.
static void
measure_fleet(int n_insts)
{
	char *text = create_fleet_script(n_insts);
	GString *out = g_string_new(NULL);
	char *argv[] = {"calls", "*", "id=o", "count=300", "every=20ms",
	    "service=booking", NULL};
	bool ok;
	struct world *world = script_play(text, out, &ok);
	double instance_seconds = (double)MEASURE_SPAN / USEC_PER_SEC * n_insts;
	uint64_t idle_messages;
	size_t idle_memory;
	unsigned n_whole = 0;

	world->measure_bytes = true;
	world->n_quorum_messages = world->n_quorum_bytes = 0;
	world->n_hellos = world->n_hello_bytes = 0;
	world_run_until(world, world->now + MEASURE_SPAN);
	idle_messages = world->n_quorum_messages;
	printf("%4d  idle: %.1f messages/s %.0f bytes/s per instance", n_insts,
	    (double)(idle_messages + world->n_hellos) / instance_seconds,
	    (double)(world->n_quorum_bytes + world->n_hello_bytes) /
		instance_seconds);
	idle_memory = sum_quorum_memory(world);
	world->n_quorum_messages = 0;
	command_run(world, 6, argv);
	world_run_until(world, world->now + MEASURE_SPAN);
	for (guint i = 0; i < world->calls->len; i++)
		n_whole += ((struct call *)world->calls->pdata[i])->outcome ==
		    OUTCOME_WHOLE;
	printf("; %.1f messages per call, %.0f bytes per key (%u of %d whole), "
	       "%.0f bytes of quorum state per instance when idle\n",
	    ((double)world->n_quorum_messages - (double)idle_messages) /
		N_CALLS,
	    ((double)sum_quorum_memory(world) - (double)idle_memory) / N_CALLS,
	    n_whole, N_CALLS, (double)idle_memory / n_insts);
	world_free(world);
	g_string_free(out, TRUE);
	g_free(text);
}

/// Prints the costs of each fleet size that the design plans for.
void
cost_print_fleets(void)
{
	static const int sizes[] = {3, 9, 30, 100, 370};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure_fleet(sizes[i]);
}
