/* Creates scripts of random calls and faults, one script for each seed. */
#include "scenario.h"

/// Time span of the calls and faults of one script, in milliseconds.
#define SPAN_MS 25000
/// Number of booking requests, which callers repeat at random instances.
#define N_REPEATED_REQUESTS 12

/// Returns a random number between from and to, both inclusive.
static gint32
draw_int(GRand *random, gint32 from, gint32 to)
{
	return g_rand_int_range(random, from, to + 1);
}

static void
add_setup(GString *out, GRand *random, int n_insts)
{
	static const char *const zones[] = {"bilbao", "santander", "oviedo"};

	g_string_append(out,
	    "timing claim=800ms lag=2s fresh=2s resend=12s members=500ms "
	    "bundle=2s progress=1s tick=50ms shards=8\nsettle 25s\n");
	g_string_append_printf(
	    out, "list-lag %dms\n", draw_int(random, 0, 1900));
	g_string_append_printf(out,
	    "network latency=%dms jitter=%dms loss=%.2f dup=%.2f\n",
	    draw_int(random, 1, 5), draw_int(random, 0, 30),
	    draw_int(random, 0, 10) / 100.0, draw_int(random, 0, 10) / 100.0);
	for (int i = 1; i <= n_insts; i++)
		g_string_append_printf(
		    out, "instance e%d zone=%s\n", i, zones[i % 3]);
	g_string_append(out,
	    "upstream b1 kind=service zone=bilbao service=booking "
	    "idempotent=no work=100ms\n"
	    "upstream b2 kind=service zone=oviedo service=booking "
	    "idempotent=no work=100ms\n"
	    "upstream m1 kind=engine zone=bilbao service=model max=8 "
	    "cold_limit=2 warm=6s\n"
	    "upstream m2 kind=engine zone=santander service=model max=8 "
	    "cold_limit=1 warm=4s\n");
}

/// Adds a partition between two random groups of instances. The second group
/// may include the platform services "config" and "members".
static void
add_partition(GString *out, GRand *random, int n_insts)
{
	unsigned group_bits = (unsigned)draw_int(random, 1, (1 << n_insts) - 2);

	g_string_append_printf(
	    out, "partition%s", draw_int(random, 0, 2) == 0 ? " oneway" : "");
	for (int group = 0; group < 2; group++) {
		for (int i = 0; i < n_insts; i++) {
			if ((group_bits >> i & 1) == (unsigned)group)
				g_string_append_printf(out, " e%d", i + 1);
		}
		if (group == 0)
			g_string_append(out, " |");
		else if (draw_int(random, 0, 1))
			g_string_append(out, " config");
		if (group == 1 && draw_int(random, 0, 3) == 0)
			g_string_append(out, " members");
	}
	g_string_append_c(out, '\n');
}

/// Adds two commands for the instance e<number>, the second command gap_ms
/// after the first.
static void
add_two_commands(GString *out, int ms, const char *first, int gap_ms,
    const char *second, int number)
{
	g_string_append_printf(out, "at %dms %s e%d\n", ms, first, number);
	g_string_append_printf(
	    out, "at %dms %s e%d\n", ms + gap_ms, second, number);
}

/// Adds one random fault and, for most kinds, its repair.
/// @param n_insts  number of instances
/// @param version  last published version of the bundle; increased if the fault
///                 publishes a bundle
static void
add_fault(GString *out, GRand *random, int n_insts, int *version)
{
	int ms = draw_int(random, 0, SPAN_MS - 8000);
	int span = draw_int(random, 100, 7000);
	int number = draw_int(random, 1, n_insts);
	static const char *const exclusions[] = {"", " zone-out=bilbao",
	    " zone-out=oviedo", " upstream-out=m1", " instance-out=e1"};

	switch (draw_int(random, 0, 13)) {
	case 0:
		g_string_append_printf(out, "at %dms ", ms);
		add_partition(out, random, n_insts);
		g_string_append_printf(out, "at %dms heal\n", ms + span);
		break;
	case 1:
	case 2:
		add_two_commands(out, ms, "pause", span, "resume", number);
		break;
	case 3:
		add_two_commands(out, ms, "crash", span, "restart", number);
		break;
	case 4:
		add_two_commands(
		    out, ms, "leave", span + 4000, "start", number);
		break;
	case 5:
		g_string_append_printf(out, "at %dms %s e%d\n", ms,
		    draw_int(random, 0, 1) ? "restart" : "reboot", number);
		break;
	case 6:
		g_string_append_printf(out, "at %dms config %s\n", ms,
		    draw_int(random, 0, 1) ? "down" : "stale version=1");
		g_string_append_printf(out, "at %dms config up\n", ms + span);
		break;
	case 7:
		g_string_append_printf(out, "at %dms publish version=%d%s\n",
		    ms, ++*version, exclusions[draw_int(random, 0, 4)]);
		if (draw_int(random, 0, 1) == 0)
			break;
		g_string_append_printf(out, "at %dms ", ms);
		add_partition(out, random, n_insts);
		g_string_append_printf(
		    out, "at %dms heal\n", ms + 7000 + span / 7);
		break;
	case 8:
		g_string_append_printf(
		    out, "at %dms cold m%d\n", ms, draw_int(random, 1, 2));
		g_string_append_printf(out,
		    "at %dms calls * id=c%d- count=40 every=40ms "
		    "service=model tokens=60\n",
		    ms + 1500, ms);
		break;
	case 9:
		/* Failure of a rack: neighbouring instances lose their state at
		 * nearly the same time. Here `number` selects the command. */
		number = draw_int(random, 0, 1);
		for (int i = draw_int(random, 2, n_insts); i > 0; i--) {
			g_string_append_printf(out, "at %dms %s e%d\n", ms,
			    number ? "restart" : "reboot", i);
			ms += draw_int(random, 0, 400);
		}
		break;
	case 10:
		g_string_append_printf(out, "at %dms partition e%d | %s%d\n",
		    ms, number, draw_int(random, 0, 1) ? "b" : "m",
		    draw_int(random, 1, 2));
		g_string_append_printf(out, "at %dms heal\n", ms + span);
		break;
	case 11:
		g_string_append_printf(
		    out, "at %dms cold b%d\n", ms, draw_int(random, 1, 2));
		break;
	case 12:
		/* Rolling replacement of all instances, one by one. */
		for (int i = 1; i <= n_insts; i++)
			add_two_commands(
			    out, ms + i * 1500, "leave", 1200, "start", i);
		break;
	default:
		g_string_append_printf(out, "at %dms silent e%d %s%d\n", ms,
		    number, draw_int(random, 0, 1) ? "b" : "m",
		    draw_int(random, 1, 2));
		break;
	}
}

static void
add_calls(GString *out, GRand *random, int n_insts)
{
	for (int id = 1; id <= N_REPEATED_REQUESTS; id++) {
		int ms = draw_int(random, 0, SPAN_MS - 5000);

		/* A caller repeats a request within the resend window after the
		 * previous attempt. */
		for (int i = draw_int(random, 1, 4); i > 0; i--) {
			g_string_append_printf(out,
			    "at %dms call e%d id=o%d service=booking\n", ms,
			    draw_int(random, 1, n_insts), id);
			ms += draw_int(
			    random, 0, draw_int(random, 0, 1) ? 300 : 4000);
		}
	}
	g_string_append_printf(out,
	    "at %dms calls * id=l count=%d every=%dms service=model "
	    "tokens=%d\n",
	    draw_int(random, 0, SPAN_MS / 2), draw_int(random, 10, 60),
	    draw_int(random, 20, 150), draw_int(random, 10, 80));
	for (int id = 1; id <= 12; id++)
		g_string_append_printf(out,
		    "at %dms call e%d id=g%d service=model tokens=%d%s\n",
		    draw_int(random, 0, SPAN_MS), draw_int(random, 1, n_insts),
		    id, draw_int(random, 1, 60),
		    draw_int(random, 0, 1) ? " stream=no" : "");
}

/// Creates the script of a seed.
/// @return the text, which the caller must free with g_free()
char *
soak_create_script(uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	GString *out = g_string_new(NULL);
	int n_insts = draw_int(random, 3, 9);
	int version = 1;

	g_string_append_printf(out, "seed %u\n", seed);
	add_setup(out, random, n_insts);
	for (int i = 1; i <= n_insts; i++)
		g_string_append_printf(out, "at 0ms drift e%d ppm=%d\n", i,
		    draw_int(
			random, -CLOCK_DRIFT_PPM / 2, CLOCK_DRIFT_PPM / 2));
	for (int i = draw_int(random, 1, 12); i > 0; i--)
		add_fault(out, random, n_insts, &version);
	if (draw_int(random, 0, 2) == 0)
		g_string_append(out, "at 0ms garble m1\n");
	add_calls(out, random, n_insts);
	g_rand_free(random);
	return g_string_free(out, FALSE);
}
