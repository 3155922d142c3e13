/* Random schedules: a seed becomes a script. */
#include "scenario.h"

/// Events of one schedule lie within this span, in milliseconds.
#define SPAN_MS 25000
/// Identities that callers repeat, all at different instances.
#define ORDERS 12

static gint32
pick(GRand *random, gint32 from, gint32 to)
{
	return g_rand_int_range(random, from, to + 1);
}

static void
add_setup(GString *out, GRand *random, int n)
{
	static const char *const zones[] = {"bilbao", "santander", "oviedo"};

	g_string_append(out,
	    "timing claim=800ms lag=2s fresh=2s resend=12s members=500ms "
	    "bundle=2s progress=1s tick=50ms shards=8\nsettle 25s\n");
	g_string_append_printf(out, "list-lag %dms\n", pick(random, 0, 1900));
	g_string_append_printf(out,
	    "network latency=%dms jitter=%dms loss=%.2f dup=%.2f\n",
	    pick(random, 1, 5), pick(random, 0, 30),
	    pick(random, 0, 10) / 100.0, pick(random, 0, 10) / 100.0);
	for (int i = 1; i <= n; i++)
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

/// Divides the instances into two random groups.
static void
add_partition(GString *out, GRand *random, int n)
{
	unsigned side = (unsigned)pick(random, 1, (1 << n) - 2);

	g_string_append_printf(
	    out, "partition%s", pick(random, 0, 2) == 0 ? " oneway" : "");
	for (int half = 0; half < 2; half++) {
		for (int i = 0; i < n; i++) {
			if ((side >> i & 1) == (unsigned)half)
				g_string_append_printf(out, " e%d", i + 1);
		}
		if (half == 0)
			g_string_append(out, " |");
		else if (pick(random, 0, 1))
			g_string_append(out, " config");
		if (half == 1 && pick(random, 0, 3) == 0)
			g_string_append(out, " members");
	}
	g_string_append_c(out, '\n');
}

static void
add_pair(GString *out, int ms, const char *first, int later_ms,
    const char *then, int who)
{
	g_string_append_printf(out, "at %dms %s e%d\n", ms, first, who);
	g_string_append_printf(
	    out, "at %dms %s e%d\n", ms + later_ms, then, who);
}

static void
add_fault(GString *out, GRand *random, int n, int *version)
{
	int ms = pick(random, 0, SPAN_MS - 8000);
	int span = pick(random, 100, 7000);
	int who = pick(random, 1, n);
	static const char *const outs[] = {"", " zone-out=bilbao",
	    " zone-out=oviedo", " upstream-out=m1", " instance-out=e1"};

	switch (pick(random, 0, 13)) {
	case 0:
		g_string_append_printf(out, "at %dms ", ms);
		add_partition(out, random, n);
		g_string_append_printf(out, "at %dms heal\n", ms + span);
		break;
	case 1:
	case 2:
		add_pair(out, ms, "pause", span, "resume", who);
		break;
	case 3:
		add_pair(out, ms, "crash", span, "restart", who);
		break;
	case 4:
		add_pair(out, ms, "leave", span + 4000, "start", who);
		break;
	case 5:
		g_string_append_printf(out, "at %dms %s e%d\n", ms,
		    pick(random, 0, 1) ? "restart" : "reboot", who);
		break;
	case 6:
		g_string_append_printf(out, "at %dms config %s\n", ms,
		    pick(random, 0, 1) ? "down" : "stale version=1");
		g_string_append_printf(out, "at %dms config up\n", ms + span);
		break;
	case 7:
		g_string_append_printf(out, "at %dms publish version=%d%s\n",
		    ms, ++*version, outs[pick(random, 0, 4)]);
		if (pick(random, 0, 1) == 0)
			break;
		g_string_append_printf(out, "at %dms ", ms);
		add_partition(out, random, n);
		g_string_append_printf(
		    out, "at %dms heal\n", ms + 7000 + span / 7);
		break;
	case 8:
		g_string_append_printf(
		    out, "at %dms cold m%d\n", ms, pick(random, 1, 2));
		g_string_append_printf(out,
		    "at %dms calls * id=c%d- count=40 every=40ms "
		    "service=model tokens=60\n",
		    ms + 1500, ms);
		break;
	case 9:
		/* A rack: neighbours lose all they knew at nearly one time. */
		who = pick(random, 0, 1);
		for (int i = pick(random, 2, n); i > 0; i--) {
			g_string_append_printf(out, "at %dms %s e%d\n", ms,
			    who ? "restart" : "reboot", i);
			ms += pick(random, 0, 400);
		}
		break;
	case 10:
		g_string_append_printf(out, "at %dms partition e%d | %s%d\n",
		    ms, who, pick(random, 0, 1) ? "b" : "m",
		    pick(random, 1, 2));
		g_string_append_printf(out, "at %dms heal\n", ms + span);
		break;
	case 11:
		g_string_append_printf(
		    out, "at %dms cold b%d\n", ms, pick(random, 1, 2));
		break;
	case 12:
		/* Each instance is replaced, one after another. */
		for (int i = 1; i <= n; i++)
			add_pair(out, ms + i * 1500, "leave", 1200, "start", i);
		break;
	default:
		g_string_append_printf(out, "at %dms silent e%d %s%d\n", ms,
		    who, pick(random, 0, 1) ? "b" : "m", pick(random, 1, 2));
		break;
	}
}

static void
add_calls(GString *out, GRand *random, int n)
{
	for (int id = 1; id <= ORDERS; id++) {
		int ms = pick(random, 0, SPAN_MS - 5000);

		/* A device repeats within the resend window of its last try. */
		for (int i = pick(random, 1, 4); i > 0; i--) {
			g_string_append_printf(out,
			    "at %dms call e%d id=o%d service=booking\n", ms,
			    pick(random, 1, n), id);
			ms += pick(random, 0, pick(random, 0, 1) ? 300 : 4000);
		}
	}
	g_string_append_printf(out,
	    "at %dms calls * id=l count=%d every=%dms service=model "
	    "tokens=%d\n",
	    pick(random, 0, SPAN_MS / 2), pick(random, 10, 60),
	    pick(random, 20, 150), pick(random, 10, 80));
	for (int id = 1; id <= 12; id++)
		g_string_append_printf(out,
		    "at %dms call e%d id=g%d service=model tokens=%d%s\n",
		    pick(random, 0, SPAN_MS), pick(random, 1, n), id,
		    pick(random, 1, 60),
		    pick(random, 0, 1) ? " stream=no" : "");
}

/// Makes the script of a seed.
char *
soak_script(uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	GString *out = g_string_new(NULL);
	int n = pick(random, 3, 9);
	int version = 1;

	g_string_append_printf(out, "seed %u\n", seed);
	add_setup(out, random, n);
	for (int i = 1; i <= n; i++)
		g_string_append_printf(out, "at 0ms drift e%d ppm=%d\n", i,
		    pick(random, -CLOCK_DRIFT_PPM / 2, CLOCK_DRIFT_PPM / 2));
	for (int i = pick(random, 1, 12); i > 0; i--)
		add_fault(out, random, n, &version);
	if (pick(random, 0, 2) == 0)
		g_string_append(out, "at 0ms garble m1\n");
	add_calls(out, random, n);
	g_rand_free(random);
	return g_string_free(out, FALSE);
}
