/* Remembers which software version began each stream. */
#include "godwitvale/core/stream_versions.h"

struct stream_versions {
	GHashTable *records; /// stream -> struct stream_version *
	GQueue *order;       /// streams (uint64_t *), the first added first
	size_t max_streams;
};

/// Creates an empty table.
///
/// @param max_streams  number of streams above which the first added are
///                     forgotten
/// @return the table; free with stream_versions_free()
struct stream_versions *
stream_versions_new(size_t max_streams)
{
	struct stream_versions *versions = g_new0(struct stream_versions, 1);

	versions->records =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	versions->order = g_queue_new();
	versions->max_streams = max_streams;
	return versions;
}

/// Frees a table.
///
/// @param versions  not NULL
void
stream_versions_free(struct stream_versions *versions)
{
	g_hash_table_unref(versions->records);
	g_queue_free_full(versions->order, g_free);
	g_free(versions);
}

/// Merges a record into another one of the same stream.
///
/// @return whether `known` has changed in more than its expiry
static bool
merge_record(struct stream_version *known, const struct stream_version *record)
{
	const struct stream_version before = *known;

	known->expires_at = MAX(known->expires_at, record->expires_at);
	if (record->has_begun && known->has_begun) {
		/* Two versions of one stream: it can't go on at either. */
		if (known->version_key != record->version_key)
			known->version_key = 0;
	} else if (record->has_begun ||
	    (!known->has_begun && record->attempt > known->attempt)) {
		known->version_key = record->version_key;
		known->attempt = record->attempt;
		known->has_begun = record->has_begun;
	}
	return before.version_key != known->version_key ||
	    before.has_begun != known->has_begun;
}

/// Forgets the streams that were added first, until there is room for one.
static void
make_room(struct stream_versions *versions)
{
	while (g_hash_table_size(versions->records) >= versions->max_streams) {
		uint64_t *stream = g_queue_pop_head(versions->order);

		g_hash_table_remove(versions->records, stream);
		g_free(stream);
	}
}

/// Adds a record, or merges it into the one of the same stream.
///
/// @param versions  table to change
/// @param now       current time
/// @param record    copied; ignored if it has expired
/// @return whether more is known than before
bool
stream_versions_merge(struct stream_versions *versions, usec_t now,
    const struct stream_version *record)
{
	struct stream_version *known =
	    g_hash_table_lookup(versions->records, &record->stream);

	if (record->expires_at <= now)
		return false;
	if (known != NULL)
		return merge_record(known, record);
	make_room(versions);
	known = g_memdup2(record, sizeof(*record));
	g_hash_table_insert(versions->records, &known->stream, known);
	g_queue_push_tail(versions->order,
	    g_memdup2(&record->stream, sizeof(record->stream)));
	return true;
}

/// @param versions  table to search
/// @param now       current time
/// @param stream    hash of the id of the attempt that began the stream
/// @return the record, valid until the next change; NULL: not remembered
const struct stream_version *
stream_versions_find(
    const struct stream_versions *versions, usec_t now, uint64_t stream)
{
	const struct stream_version *record =
	    g_hash_table_lookup(versions->records, &stream);

	return record != NULL && record->expires_at > now ? record : NULL;
}

/// Forgets expired streams. A stream that was added later than one that hasn't
/// expired yet is kept a little longer.
///
/// @param versions  table to change
/// @param now       current time
void
stream_versions_expire(struct stream_versions *versions, usec_t now)
{
	uint64_t *stream;

	while ((stream = g_queue_peek_head(versions->order)) != NULL &&
	    stream_versions_find(versions, now, *stream) == NULL) {
		g_queue_pop_head(versions->order);
		g_hash_table_remove(versions->records, stream);
		g_free(stream);
	}
}

/// @param versions  table to count
/// @return number of streams
size_t
stream_versions_count(const struct stream_versions *versions)
{
	return g_hash_table_size(versions->records);
}

/// @param versions  table to list
/// @return copies of all records (struct stream_version); free with
///         g_array_unref()
GArray *
stream_versions_list(const struct stream_versions *versions)
{
	GArray *list = g_array_new(false, false, sizeof(struct stream_version));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, versions->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_array_append_vals(list, value, 1);
	return list;
}

/// Checks whether a stream may go on only if one version alone can have begun
/// it: there is no record of it, or one of a placement, which may be out of
/// date if not all others have answered.
///
/// @param inputs  what is known of the stream; `only_version` isn't used
/// @return whether `only_version` decides
bool
resume_needs_only_version(const struct resume_inputs *inputs)
{
	const struct stream_version *found = inputs->found;

	return found == NULL || (!found->has_begun && !inputs->has_all_answers);
}

/// Decides what to do with a stream that a caller takes up. A record of a
/// stream that has begun is final.
///
/// @param inputs  what is known of the stream
/// @return the next step, and the version
struct resume_decision
resume_decide(const struct resume_inputs *inputs)
{
	const struct stream_version *found = inputs->found;
	bool has_begun = found != NULL && found->has_begun;
	uint64_t version_key = resume_needs_only_version(inputs)
	    ? inputs->only_version
	    : found->version_key;

	if (!has_begun && !inputs->is_lookup_over)
		return (struct resume_decision){.step = RESUME_WAIT};
	if (version_key == 0)
		return (struct resume_decision){.step = RESUME_REFUSE};
	return (struct resume_decision){RESUME_AT_VERSION, version_key};
}

/// @param step  what to do with a stream that is taken up
/// @return the step as one word, for log lines
const char *
resume_step_name(enum resume_step step)
{
	static const char *const names[] = {
	    [RESUME_WAIT] = "wait",
	    [RESUME_AT_VERSION] = "at-version",
	    [RESUME_REFUSE] = "refused",
	};

	return names[step];
}
