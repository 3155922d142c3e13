/* Tracks which software versions each service has had recently. */
#include "godwitvale/core/version_history.h"

#include <glib.h>

/// A version of a service.
struct seen_version {
	uint64_t service;
	uint64_t version_key;
	usec_t seen_at; /// last time at which an upstream had it
};

struct version_history {
	GArray *versions; /// struct seen_version
};

/// Creates an empty history.
///
/// @return the history; free with version_history_free()
struct version_history *
version_history_new(void)
{
	struct version_history *history = g_new0(struct version_history, 1);

	history->versions =
	    g_array_new(false, false, sizeof(struct seen_version));
	return history;
}

/// Frees a history.
///
/// @param history  not NULL
void
version_history_free(struct version_history *history)
{
	g_array_unref(history->versions);
	g_free(history);
}

/// Notes that an upstream of a service has, or had, a version.
///
/// @param history      history to change
/// @param seen_at      last time at which it had it
/// @param service      hash of the service's name
/// @param version_key  hash of the service and the version
void
version_history_note(struct version_history *history, usec_t seen_at,
    uint64_t service, uint64_t version_key)
{
	const struct seen_version added = {service, version_key, seen_at};

	for (guint i = 0; i < history->versions->len; i++) {
		struct seen_version *version =
		    &g_array_index(history->versions, struct seen_version, i);

		if (version->version_key != version_key)
			continue;
		version->seen_at = MAX(version->seen_at, seen_at);
		return;
	}
	g_array_append_val(history->versions, added);
}

/// Counts the versions that a service has had for some time.
///
/// @param history  history to search
/// @param service  hash of the service's name
/// @param since    beginning of that time
/// @param last     set to one of them; 0: there are none
/// @return number of versions
static unsigned
count_versions(const struct version_history *history, uint64_t service,
    usec_t since, uint64_t *last)
{
	unsigned n = 0;

	*last = 0;
	for (guint i = 0; i < history->versions->len; i++) {
		const struct seen_version *version =
		    &g_array_index(history->versions, struct seen_version, i);

		if (version->service != service || version->seen_at < since)
			continue;
		*last = version->version_key;
		n++;
	}
	return n;
}

/// Finds the only version that a service has had for some time.
///
/// @param history  history to search
/// @param service  hash of the service's name
/// @param since    beginning of that time
/// @return the version; 0: there were several, or none
uint64_t
version_history_only(
    const struct version_history *history, uint64_t service, usec_t since)
{
	uint64_t version;

	return count_versions(history, service, since, &version) == 1 ? version
								      : 0;
}

/// @param history  history to search
/// @param service  hash of the service's name
/// @param since    beginning of a time
/// @return whether the service has had more than one version since then
bool
version_history_has_several(
    const struct version_history *history, uint64_t service, usec_t since)
{
	uint64_t version;

	return count_versions(history, service, since, &version) > 1;
}

/// Forgets the versions that were last seen long ago.
///
/// @param history  history to change
/// @param before   versions last seen before this time are forgotten
void
version_history_forget(struct version_history *history, usec_t before)
{
	for (guint i = history->versions->len; i > 0; i--)
		if (g_array_index(history->versions, struct seen_version, i - 1)
			.seen_at < before)
			g_array_remove_index_fast(history->versions, i - 1);
}
