/* What coordination costs: messages, bytes and memory, by fleet size. */
#include "scenario.h"

#include <stdio.h>

#define ORDERS 300
#define IDLE (20 * USEC_PER_SEC)

static char *
fleet_script(int n)
{
	GString *out = g_string_new("settle 100s\n");

	g_string_append(out,
	    "upstream b1 kind=service service=booking idempotent=no "
	    "max=1000\n");
	for (int i = 1; i <= n; i++)
		g_string_append_printf(
		    out, "instance e%d zone=z%d\n", i, i % 3);
	return g_string_free(out, FALSE);
}

static size_t
memory_of(const struct world *world)
{
	size_t total = 0;

	for (guint i = 0; i < world->insts->len; i++) {
		const struct inst *inst = world->insts->pdata[i];

		total += inst->up ? quorum_memory_bytes(inst->quorum) : 0;
	}
	return total;
}

static void
measure(int n)
{
	char *text = fleet_script(n);
	GString *out = g_string_new(NULL);
	char *argv[] = {"calls", "*", "id=o", "count=300", "every=20ms",
	    "service=booking", NULL};
	bool ok;
	struct world *world = script_play(text, out, &ok);
	double span = (double)IDLE / USEC_PER_SEC * n;
	uint64_t messages;
	size_t memory;
	unsigned whole = 0;

	world->measure_bytes = true;
	world->n_quorum_messages = world->n_quorum_bytes = 0;
	world->n_hellos = world->n_hello_bytes = 0;
	world_run_until(world, world->now + IDLE);
	messages = world->n_quorum_messages;
	printf("%4d  idle: %.1f messages/s %.0f bytes/s an instance", n,
	    (double)(messages + world->n_hellos) / span,
	    (double)(world->n_quorum_bytes + world->n_hello_bytes) / span);
	memory = memory_of(world);
	world->n_quorum_messages = 0;
	command_run(world, 6, argv);
	world_run_until(world, world->now + IDLE);
	for (guint i = 0; i < world->calls->len; i++)
		whole += ((struct call *)world->calls->pdata[i])->outcome ==
		    OUTCOME_WHOLE;
	printf("; %.1f messages an order, %.0f bytes a key (%u of %d whole), "
	       "%.0f bytes of quorum state an instance when idle\n",
	    ((double)world->n_quorum_messages - (double)messages) / ORDERS,
	    ((double)memory_of(world) - (double)memory) / ORDERS, whole, ORDERS,
	    (double)memory / n);
	world_free(world);
	g_string_free(out, TRUE);
	g_free(text);
}

/// Prints the figures for the sizes of fleet that are planned for.
void
cost_print(void)
{
	static const int sizes[] = {3, 9, 30, 100, 370};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i]);
}
