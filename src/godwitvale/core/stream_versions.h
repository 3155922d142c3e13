/*
 * Remembers which software version began each stream that a caller may take up
 * again, and decides at which version a stream that is taken up goes on.
 *
 * Load pattern: an instance fails together with all its streams, and within a
 * second their callers come to other instances, which have not seen these
 * streams. Instances therefore exchange what they remember. A request may be
 * placed several times before the first event; later placements replace earlier
 * ones. The first event settles the version. Records of the same stream can be
 * merged in any order with the same result.
 */
#ifndef GODWITVALE_CORE_STREAM_VERSIONS_H
#define GODWITVALE_CORE_STREAM_VERSIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"

/// What is remembered of one stream.
struct stream_version {
	uint64_t stream;      /// hash of the id of the attempt that began it
	uint64_t version_key; /// hash of service and version; 0: unknown
	uint32_t attempt;     /// number of the placement, from 1
	bool has_begun;       /// the caller may have its first event
	usec_t expires_at;    /// the caller has given up by then
};

/// What to do with a stream that a caller takes up.
enum resume_step {
	RESUME_WAIT = 1,   /// other instances may know its version
	RESUME_AT_VERSION, /// it goes on at a version
	RESUME_REFUSE,     /// it can't go on, as its version is unknown
};

/// What is known of a stream that a caller takes up.
struct resume_inputs {
	const struct stream_version *found; /// NULL: not remembered
	bool is_lookup_over; /// the others have answered, or had the time to
	/// all have answered, and have been running since the stream began
	bool has_all_answers;
	/// only version that its service is certain to have had for as long as
	/// the stream may last; 0: there were several, or none, or it isn't
	/// certain
	uint64_t only_version;
};

struct resume_decision {
	enum resume_step step;
	uint64_t version_key; /// with RESUME_AT_VERSION
};

struct stream_versions;

struct stream_versions *stream_versions_new(size_t max_streams);
void stream_versions_free(struct stream_versions *versions);
bool stream_versions_merge(struct stream_versions *versions, usec_t now,
    const struct stream_version *record);
const struct stream_version *stream_versions_find(
    const struct stream_versions *versions, usec_t now, uint64_t stream);
void stream_versions_expire(struct stream_versions *versions, usec_t now);
size_t stream_versions_count(const struct stream_versions *versions);
GArray *stream_versions_list(const struct stream_versions *versions);
bool resume_needs_only_version(const struct resume_inputs *inputs);
struct resume_decision resume_decide(const struct resume_inputs *inputs);
const char *resume_step_name(enum resume_step step);

#endif
