/* Draws the faults of a run from its seed. Faults occur in series and overlap.
 */
#include "test/soak/soak.h"

#include <signal.h>

/// Time from SIGTERM until an instance must have exited.
#define LEAVE_SPAN (5 * USEC_PER_SEC)

static const char *const worker_names[SOAK_WORKERS] = {
    "lm1", "lm2", "lm3", "shop1", "shop2"};
static const char *const worker_modes[] = {"draining", "ready", "gone", "leave",
    "back", "back", "back", "well", "well", "shed", "mute", "reset", "cut",
    "cutstart", "saysleaving", "errors", "version-v1", "version-v2", "cutruns",
    "cutruns", "hold"};
static const char *const store_modes[] = {
    "busy", "silent", "forget", "up", "up", "up"};
/// Control calls, with their bodies, that change what workers state in their
/// responses or which prompts and bodies crash them, or that restore the store
/// from a copy.
static const struct {
	const char *path;
	const char *body;
} statements[] = {
    {"crashing/dead1", ""},
    {"crashing/dead1,dead2", ""},
    {"crashing/none", ""},
    {"crashing-body/dead3", ""},
    {"crashing-body/dead3", ""},
    {"crashing-body/none", ""},
    {"limit/0.5", ""},
    {"limit/3", ""},
    {"limit/40", ""},
    {"limit/many", ""},
    {"limit/none", ""},
    {"limit/none", ""},
    {"brittle/2", ""},
    {"brittle/none", ""},
    {"pause", "1.5"},
    {"pause", "0.2"},
    {"pause", "Fri, 04 Dec 2026 10:00:00 GMT"},
    {"store/save", ""},
    {"store/drill", ""},
    {"store/drill", ""},
};
static const char *const link_names[] = {
    "well", "slow", "one-way", "silent", "reset", "refused"};
/// Ways in which an instance is cut off from all workers, and the end of that.
static const enum link_mode cut_modes[] = {
    LINK_SILENT, LINK_RESET, LINK_REFUSE, LINK_NORMAL, LINK_NORMAL};

/// Draws a random number below a bound.
static int
draw(struct soak *soak, int below)
{
	return g_rand_int_range(soak->rand, 0, below);
}

/// Injects a random fault into an instance, or ends one.
static void
inject_instance_fault(struct soak *soak, struct soak_entry *entry)
{
	switch (draw(soak, 6)) {
	case 0:
		soak_note(soak, "kill %s", entry->name);
		soak_world_signal(entry, SIGKILL);
		break;
	case 1:
		if (entry->paused)
			break;
		soak_note(soak, "term %s", entry->name);
		entry->leaving = true;
		entry->kill_at = g_get_monotonic_time() + LEAVE_SPAN;
		soak_world_signal(entry, SIGTERM);
		break;
	case 2:
		soak_note(soak, "hup %s", entry->name);
		soak_world_signal(entry, SIGHUP);
		break;
	case 3:
		if (entry->leaving)
			break;
		soak_note(soak, "stop %s", entry->name);
		entry->paused = true;
		soak_world_signal(entry, SIGSTOP);
		break;
	default:
		soak_note(soak, "cont %s", entry->name);
		entry->paused = false;
		soak_world_signal(entry, SIGCONT);
		break;
	}
}

/// Injects a random fault into a worker, or ends one.
static void
inject_worker_fault(struct soak *soak)
{
	int i = draw(soak, SOAK_WORKERS);
	const char *mode = worker_modes[draw(soak, G_N_ELEMENTS(worker_modes))];
	char *path = g_strdup_printf("worker/%s/%s", worker_names[i], mode);

	soak_note(soak, "%s %s", worker_names[i], mode);
	soak_world_ctl(soak, path, "");
	g_free(path);
}

/// Changes what workers state in their responses or which prompts crash them,
/// or restores the store.
static void
inject_statement(struct soak *soak)
{
	int i = draw(soak, G_N_ELEMENTS(statements));

	soak_note(soak, "%s %s", statements[i].path, statements[i].body);
	soak_world_ctl(soak, statements[i].path, statements[i].body);
}

/// Injects a random fault into a link, or ends one.
static void
inject_link_fault(struct soak *soak)
{
	int i = draw(soak, SOAK_WORKERS + 1);
	int mode = draw(soak, 6); /* up to LINK_SILENT, or a reset */
	struct link *link =
	    i == SOAK_WORKERS ? soak->store_link : soak->worker_links[i];
	const char *name = i == SOAK_WORKERS ? "store" : worker_names[i];

	if (link == NULL)
		return;
	if (mode > LINK_SILENT) {
		soak_note(soak, "link %s reset", name);
		link_reset(link);
		link_set(link, LINK_NORMAL);
		return;
	}
	soak_note(soak, "link %s %s", name, link_names[mode]);
	link_set(link, (enum link_mode)mode);
}

/// Sets how an instance's traffic to all workers is treated.
static void
cut_off(struct soak *soak, const struct soak_entry *entry, enum link_mode mode)
{
	for (int i = 0; i < SOAK_WORKERS; i++)
		if (soak->worker_links[i] != NULL)
			link_set_source(soak->worker_links[i], entry->ip, mode);
}

/// Cuts an instance off from all workers, or ends this.
static void
inject_cut(struct soak *soak)
{
	const struct soak_entry *entry =
	    &soak->entries[draw(soak, SOAK_ENTRIES)];
	enum link_mode mode = cut_modes[draw(soak, G_N_ELEMENTS(cut_modes))];

	soak_note(soak, "%s to all workers %s", entry->name, link_names[mode]);
	cut_off(soak, entry, mode);
}

/// Injects the next fault, or ends one.
///
/// @param soak  the run
void
soak_plan_step(struct soak *soak)
{
	const char *mode;
	char *path;

	switch (draw(soak, 15)) {
	case 0:
	case 1:
	case 2:
		inject_instance_fault(
		    soak, &soak->entries[draw(soak, SOAK_ENTRIES)]);
		break;
	case 3:
	case 4:
	case 5:
		inject_worker_fault(soak);
		break;
	case 6:
	case 7:
		inject_link_fault(soak);
		break;
	case 8:
		mode = store_modes[draw(soak, G_N_ELEMENTS(store_modes))];
		path = g_strdup_printf("store/%s", mode);
		soak_note(soak, "store %s", mode);
		soak_world_ctl(soak, path, "");
		g_free(path);
		break;
	case 9:
	case 10:
	case 11:
		inject_statement(soak);
		break;
	case 12:
	case 13:
		inject_cut(soak);
		break;
	default:
		soak_note(soak, "configuration");
		soak_world_configure(soak);
		break;
	}
}

/// Ends all faults.
///
/// @param soak  the run
void
soak_plan_end_faults(struct soak *soak)
{
	soak_note(soak, "heal");
	for (int i = 0; i < SOAK_ENTRIES; i++) {
		soak->entries[i].paused = false;
		soak_world_signal(&soak->entries[i], SIGCONT);
		cut_off(soak, &soak->entries[i], LINK_NORMAL);
	}
	link_set(soak->store_link, LINK_NORMAL);
	link_reset(soak->store_link);
	soak_world_ctl(soak, "store/up", "");
	soak_world_ctl(soak, "crashing/none", "");
	soak_world_ctl(soak, "crashing-body/none", "");
	soak_world_ctl(soak, "limit/none", "");
	soak_world_ctl(soak, "brittle/none", "");
	for (int i = 0; i < SOAK_WORKERS; i++) {
		static const char *const steps[] = {"back", "ready", "well"};

		if (soak->worker_links[i] != NULL) {
			link_set(soak->worker_links[i], LINK_NORMAL);
			link_reset(soak->worker_links[i]);
		}
		for (size_t j = 0; j < G_N_ELEMENTS(steps); j++) {
			char *path = g_strdup_printf(
			    "worker/%s/%s", worker_names[i], steps[j]);

			soak_world_ctl(soak, path, "");
			g_free(path);
		}
	}
}
