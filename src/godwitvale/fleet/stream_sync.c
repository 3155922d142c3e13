/* Exchange of the software versions of streams, between instances. */
#include "godwitvale/fleet/stream_sync.h"

#include <string.h>

#include <glib.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/fleet/fleet_codec.h"

/// Instances that remember a stream besides the one that serves it. At least
/// one of them must survive the failure of several instances.
#define STREAM_SYNC_OWNERS 4
/// Size of the buffers for encoded messages, in bytes.
#define STREAM_SYNC_BUFFER_BYTES 4096
/// A longer lifetime in a message is shortened to this, in milliseconds.
#define STREAM_SYNC_TTL_MAX_MS (10 * 60 * 1000)
/// A longer age or span in a message is shortened to this, in milliseconds.
#define STREAM_SYNC_AGE_MAX_MS (60 * 60 * 1000)
/// Age of a stream that an instance of an earlier build asks for.
#define STREAM_SYNC_UNNAMED_SPAN (60 * USEC_PER_SEC)

struct stream_sync {
	struct stream_sync_options options;
	char *name;
	char *ip;
};

/// Instances with the highest scores for a stream, the highest first.
struct owner_list {
	const struct member *members[STREAM_SYNC_ASKED];
	uint64_t scores[STREAM_SYNC_ASKED];
	size_t n;
};

/// Creates a stream_sync.
///
/// @param options  copied, with its strings
/// @return the stream_sync; free with stream_sync_free()
struct stream_sync *
stream_sync_new(const struct stream_sync_options *options)
{
	struct stream_sync *sync = g_new0(struct stream_sync, 1);

	sync->options = *options;
	sync->name = g_strdup(options->name);
	sync->ip = g_strdup(options->ip);
	return sync;
}

/// Frees a stream_sync.
///
/// @param sync  not NULL
void
stream_sync_free(struct stream_sync *sync)
{
	g_free(sync->name);
	g_free(sync->ip);
	g_free(sync);
}

/// Inserts a member into a list that is sorted by score.
static void
insert_owner(struct owner_list *owners, const struct member *member,
    uint64_t score, size_t max)
{
	size_t i = MIN(owners->n, max - 1);

	if (owners->n == max && owners->scores[i] >= score)
		return;
	for (; i > 0 && owners->scores[i - 1] < score; i--) {
		owners->scores[i] = owners->scores[i - 1];
		owners->members[i] = owners->members[i - 1];
	}
	owners->scores[i] = score;
	owners->members[i] = member;
	owners->n = MIN(owners->n + 1, max);
}

/// Finds the members with the highest scores for a stream. Members of earlier
/// builds don't count, as they can't read the messages.
///
/// @param members  struct member *
/// @param max      number of members, at most STREAM_SYNC_ASKED
static struct owner_list
find_owners(const GPtrArray *members, uint64_t stream, size_t max)
{
	struct owner_list owners = {.n = 0};

	for (guint i = 0; i < members->len; i++) {
		const struct member *member = members->pdata[i];

		if (member->features & MEMBER_FEATURE_STREAMS)
			insert_owner(&owners, member,
			    hash_pair(member->name_hash, stream), max);
	}
	return owners;
}

/// Converts a record to its wire format.
static fleet_stream
encode_record(const struct stream_version *record, usec_t now)
{
	return (fleet_stream){
	    .stream = record->stream,
	    .version_key = record->version_key,
	    .attempt = record->attempt,
	    .ttl_ms = (u_int)CLAMP((record->expires_at - now) / USEC_PER_MSEC,
		0, STREAM_SYNC_TTL_MAX_MS),
	    .begun = record->has_begun,
	};
}

/// Merges a received record.
static void
merge_received(struct stream_sync *sync, const fleet_stream *wire)
{
	usec_t now = g_get_monotonic_time();
	const struct stream_version record = {
	    .stream = wire->stream,
	    .version_key = wire->version_key,
	    .attempt = wire->attempt,
	    .has_begun = wire->begun,
	    .expires_at = now +
		(usec_t)MIN(wire->ttl_ms, STREAM_SYNC_TTL_MAX_MS) *
		    USEC_PER_MSEC,
	};

	stream_versions_merge(sync->options.versions, now, &record);
}

/// @return a span of time in milliseconds, as in messages
static u_int
encode_age(usec_t span)
{
	return (u_int)CLAMP(span / USEC_PER_MSEC, 0, STREAM_SYNC_AGE_MAX_MS);
}

/// Encodes a message and sends it to an instance.
static void
send_message(
    struct stream_sync *sync, const char *ip, const fleet_message *message)
{
	char bytes[STREAM_SYNC_BUFFER_BYTES];
	size_t len = fleet_message_encode(message, bytes, sizeof(bytes));

	if (len > 0)
		sync->options.vtable->send(sync->options.owner, ip, bytes, len);
}

/// Sends records to an instance, and empties the list.
///
/// @param records  fleet_stream, at most FLEET_STREAMS_MAX
static void
flush_records(struct stream_sync *sync, const char *ip, GArray *records)
{
	fleet_message message = {.kind = FLEET_STREAMS};
	fleet_streams *streams = &message.fleet_message_u.streams;

	if (records->len == 0)
		return;
	streams->streams.streams_len = records->len;
	streams->streams.streams_val = (fleet_stream *)(void *)records->data;
	send_message(sync, ip, &message);
	g_array_set_size(records, 0);
}

/// Sends one record to an instance.
static void
send_record(struct stream_sync *sync, const char *ip,
    const struct stream_version *record, usec_t now)
{
	fleet_stream wire = encode_record(record, now);
	fleet_message message = {.kind = FLEET_STREAMS};

	message.fleet_message_u.streams.streams.streams_len = 1;
	message.fleet_message_u.streams.streams.streams_val = &wire;
	send_message(sync, ip, &message);
}

/// Remembers the version of a stream here and at the stream's owners, if more
/// is known than before.
///
/// @param sync    sends the record
/// @param record  copied
void
stream_sync_remember(
    struct stream_sync *sync, const struct stream_version *record)
{
	usec_t now = g_get_monotonic_time();
	GPtrArray *members;
	struct owner_list owners;

	if (!stream_versions_merge(sync->options.versions, now, record))
		return;
	record =
	    stream_versions_find(sync->options.versions, now, record->stream);
	members = membership_list(sync->options.membership);
	owners = find_owners(members, record->stream, STREAM_SYNC_OWNERS);
	for (size_t i = 0; i < owners.n; i++)
		send_record(sync, owners.members[i]->ip, record, now);
	g_ptr_array_unref(members);
}

/// Asks other instances for the version of a stream, and what they have seen of
/// its service. Those of earlier builds are asked for the version only.
///
/// @param sync      sends the question
/// @param question  the stream
/// @param asked     filled in with the hashes of the names of those asked; room
///                  for STREAM_SYNC_ASKED
/// @return number of instances asked
size_t
stream_sync_ask(struct stream_sync *sync,
    const struct stream_question *question, uint64_t *asked)
{
	GPtrArray *members = membership_list(sync->options.membership);
	struct owner_list owners =
	    find_owners(members, question->stream, STREAM_SYNC_ASKED);
	const fleet_stream_query query = {
	    sync->ip, question->stream, question->service};
	fleet_message message;

	for (size_t i = 0; i < owners.n; i++) {
		const struct member *member = owners.members[i];

		asked[i] = member->name_hash;
		if (member->features & MEMBER_FEATURE_WITNESS) {
			message.kind = FLEET_STREAM_LOOKUP;
			message.fleet_message_u.stream_lookup =
			    (fleet_stream_lookup){
				query, encode_age(question->span)};
		} else {
			message.kind = FLEET_STREAM_QUERY;
			message.fleet_message_u.stream_query = query;
		}
		send_message(sync, member->ip, &message);
	}
	g_ptr_array_unref(members);
	return owners.n;
}

/// Handles records that another instance has sent.
///
/// @param sync      merges them
/// @param received  a decoded message
void
stream_sync_on_records(struct stream_sync *sync, const fleet_streams *received)
{
	for (u_int i = 0; i < received->streams.streams_len; i++)
		merge_received(sync, &received->streams.streams_val[i]);
}

/// Makes the answer for a stream.
///
/// @param wire  what this instance remembers of the stream, if anything; the
///              answer refers to it
static fleet_stream_answer
make_answer(struct stream_sync *sync, const fleet_stream_query *query,
    const struct version_witness *witness, fleet_stream *wire)
{
	usec_t now = g_get_monotonic_time();
	const struct stream_version *record =
	    stream_versions_find(sync->options.versions, now, query->stream);
	fleet_stream_answer answer = {
	    .name = sync->name,
	    .stream = query->stream,
	    .several = witness->has_several,
	};

	if (record != NULL) {
		*wire = encode_record(record, now);
		answer.known.known_len = 1;
		answer.known.known_val = wire;
	}
	return answer;
}

/// Answers the question of an instance of an earlier build.
///
/// @param sync   sends the answer
/// @param query  a decoded message
void
stream_sync_on_query(struct stream_sync *sync, const fleet_stream_query *query)
{
	const struct stream_sync_options *options = &sync->options;
	fleet_message message = {.kind = FLEET_STREAM_ANSWER};
	struct version_witness witness;
	fleet_stream wire;

	options->vtable->testify(
	    options->owner, query->service, STREAM_SYNC_UNNAMED_SPAN, &witness);
	witness.has_several = witness.only_version == 0;
	message.fleet_message_u.stream_answer =
	    make_answer(sync, query, &witness, &wire);
	send_message(sync, query->ip, &message);
}

/// Answers another instance's question for a stream.
///
/// @param sync    sends the answer
/// @param lookup  a decoded message
void
stream_sync_on_lookup(
    struct stream_sync *sync, const fleet_stream_lookup *lookup)
{
	const struct stream_sync_options *options = &sync->options;
	usec_t now = g_get_monotonic_time();
	fleet_message message = {.kind = FLEET_STREAM_WITNESS};
	struct version_witness witness;
	fleet_stream wire;

	options->vtable->testify(options->owner, lookup->query.service,
	    (usec_t)lookup->span_ms * USEC_PER_MSEC, &witness);
	message.fleet_message_u.stream_witness = (fleet_stream_witness){
	    .answer = make_answer(sync, &lookup->query, &witness, &wire),
	    .only_version = witness.only_version,
	    .revision = witness.revision,
	    .running_ms = encode_age(now - witness.running_since),
	    .watched_ms = witness.watched_since == USEC_NEVER
		? 0
		: encode_age(now - witness.watched_since),
	};
	send_message(sync, lookup->query.ip, &message);
}

/// Handles the answer of another instance.
static void
handle_answer(struct stream_sync *sync, const fleet_stream_answer *answer,
    const struct version_witness *witness)
{
	const struct stream_sync_options *options = &sync->options;

	if (answer->known.known_len > 0)
		merge_received(sync, answer->known.known_val);
	options->vtable->answered(
	    options->owner, answer->stream, hash_name(answer->name), witness);
}

/// Handles the answer of an instance of an earlier build. It doesn't say since
/// when it has watched.
///
/// @param sync    merges the record, if there is one
/// @param answer  a decoded message
void
stream_sync_on_answer(
    struct stream_sync *sync, const fleet_stream_answer *answer)
{
	const struct version_witness witness = {
	    .has_several = answer->several,
	    .running_since = USEC_NEVER,
	    .watched_since = USEC_NEVER,
	};

	handle_answer(sync, answer, &witness);
}

/// Handles the answer of another instance and what it has seen of the service.
///
/// @param sync      merges the record, if there is one
/// @param received  a decoded message
void
stream_sync_on_witness(
    struct stream_sync *sync, const fleet_stream_witness *received)
{
	usec_t now = g_get_monotonic_time();
	const struct version_witness witness = {
	    .only_version = received->only_version,
	    .has_several = received->answer.several,
	    .revision = received->revision,
	    .running_since = now - (usec_t)received->running_ms * USEC_PER_MSEC,
	    .watched_since = now - (usec_t)received->watched_ms * USEC_PER_MSEC,
	};

	handle_answer(sync, &received->answer, &witness);
}

/// Checks whether a member is among the owners of a stream.
static bool
is_owner(const struct owner_list *owners, const struct member *member)
{
	for (size_t i = 0; i < owners->n; i++)
		if (owners->members[i]->name_hash == member->name_hash)
			return true;
	return false;
}

/// Sends the records that an instance owns to it.
static void
send_owned(struct stream_sync *sync, const GPtrArray *members,
    const struct member *member, const GArray *records)
{
	GArray *batch = g_array_new(false, false, sizeof(fleet_stream));
	usec_t now = g_get_monotonic_time();

	for (guint i = 0; i < records->len; i++) {
		const struct stream_version *record =
		    &g_array_index(records, struct stream_version, i);
		struct owner_list owners =
		    find_owners(members, record->stream, STREAM_SYNC_OWNERS);
		fleet_stream wire;

		if (!is_owner(&owners, member))
			continue;
		wire = encode_record(record, now);
		g_array_append_val(batch, wire);
		if (batch->len == FLEET_STREAMS_MAX)
			flush_records(sync, member->ip, batch);
	}
	flush_records(sync, member->ip, batch);
	g_array_unref(batch);
}

/// Sends each record that a lost instance owned to the one that takes its
/// place.
static void
replace_owner(struct stream_sync *sync, const GPtrArray *members,
    const struct member *lost, const GArray *records)
{
	usec_t now = g_get_monotonic_time();

	for (guint i = 0; i < records->len; i++) {
		const struct stream_version *record =
		    &g_array_index(records, struct stream_version, i);
		struct owner_list owners = find_owners(
		    members, record->stream, STREAM_SYNC_OWNERS + 1);

		if (owners.n > STREAM_SYNC_OWNERS && is_owner(&owners, lost) &&
		    owners.members[STREAM_SYNC_OWNERS]->name_hash !=
			lost->name_hash)
			send_record(sync,
			    owners.members[STREAM_SYNC_OWNERS]->ip, record,
			    now);
	}
}

/// Handles a change of another instance: its records, or those that it owned,
/// are sent where they belong now.
///
/// @param sync    sends the records
/// @param change  kind of change
/// @param member  the other instance; still in the membership if it is lost
void
stream_sync_on_member_change(struct stream_sync *sync,
    enum member_change change, const struct member *member)
{
	GPtrArray *members;
	GArray *records;

	if (change == MEMBER_REACHED_STORE ||
	    stream_versions_count(sync->options.versions) == 0)
		return;
	members = membership_list(sync->options.membership);
	records = stream_versions_list(sync->options.versions);
	if (change == MEMBER_LOST)
		replace_owner(sync, members, member, records);
	else
		send_owned(sync, members, member, records);
	g_array_unref(records);
	g_ptr_array_unref(members);
}
