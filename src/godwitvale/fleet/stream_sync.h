/*
 * Keeps what instances remember of streams at several of them, and asks the
 * others for a stream that this instance doesn't remember.
 *
 * Each stream has a few owners among the instances, chosen by rendezvous
 * hashing. An owner that joins, restarts or takes the place of a lost one gets
 * the records from those who have them.
 */
#ifndef GODWITVALE_FLEET_STREAM_SYNC_H
#define GODWITVALE_FLEET_STREAM_SYNC_H

#include "godwitvale/core/membership.h"
#include "godwitvale/core/stream_versions.h"
#include "godwitvale/core/version_witness.h"
#include "godwitvale/fleet/fleet_wire_xdr.h"

/// Instances that are asked for a stream. More than its owners, because
/// instances may differ in which others they know.
#define STREAM_SYNC_ASKED 6

struct stream_sync;

/// Callbacks from a struct stream_sync to its owner.
struct stream_sync_vtable {
	/// Sends a datagram to the instance with an IP address.
	void (*send)(
	    void *owner, const char *ip, const char *bytes, size_t len);
	/// Fills in what this instance can say of the versions that a service
	/// has had within a span of time until now.
	void (*testify)(void *owner, uint64_t service, usec_t span,
	    struct version_witness *witness);
	/// The instance with a hash of its name was asked for a stream and has
	/// answered; what it remembers is merged already.
	void (*answered)(void *owner, uint64_t stream, uint64_t instance,
	    const struct version_witness *witness);
};

/// Options of a stream_sync. The objects are not owned by it.
struct stream_sync_options {
	const struct stream_sync_vtable *vtable;
	void *owner; /// passed to the callbacks
	const char *name;
	const char *ip;
	struct membership *membership;
	struct stream_versions *versions;
};

/// Question to other instances.
struct stream_question {
	uint64_t stream;  /// hash of the id of the attempt that began it
	uint64_t service; /// hash of the name of its service
	usec_t span;      /// the stream isn't older than this
};

struct stream_sync *stream_sync_new(const struct stream_sync_options *options);
void stream_sync_free(struct stream_sync *sync);
void stream_sync_remember(
    struct stream_sync *sync, const struct stream_version *record);
size_t stream_sync_ask(struct stream_sync *sync,
    const struct stream_question *question, uint64_t *asked);
void stream_sync_on_records(
    struct stream_sync *sync, const fleet_streams *received);
void stream_sync_on_query(
    struct stream_sync *sync, const fleet_stream_query *query);
void stream_sync_on_answer(
    struct stream_sync *sync, const fleet_stream_answer *answer);
void stream_sync_on_lookup(
    struct stream_sync *sync, const fleet_stream_lookup *lookup);
void stream_sync_on_witness(
    struct stream_sync *sync, const fleet_stream_witness *received);
void stream_sync_on_member_change(struct stream_sync *sync,
    enum member_change change, const struct member *member);

#endif
