/*
 * Grants exclusive claims and leases on keys, and stores version registers, by
 * majority vote. The voters of a key are a few of the listed instances; each
 * instance is both a claimant and a voter. This module performs no I/O: its
 * functions take the time and a message, and queue actions for the embedding
 * program.
 */
#ifndef GODWITVALE_CORE_QUORUM_H
#define GODWITVALE_CORE_QUORUM_H

#include "godwitvale/core/quorum_defs.h"

struct quorum;

struct quorum *quorum_new(const struct quorum_options *options);
void quorum_free(struct quorum *quorum);

struct quorum_key quorum_key_make(enum quorum_key_kind kind, const char *scope,
    const void *name, size_t name_len);

void quorum_set_view(
    struct quorum *quorum, usec_t now, const struct view *view);
void quorum_handle_message(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message);
void quorum_tick(struct quorum *quorum, usec_t now);
usec_t quorum_next_deadline(const struct quorum *quorum);
bool quorum_next_action(struct quorum *quorum, struct quorum_action *action);

quorum_ticket quorum_start_claim(struct quorum *quorum, usec_t now,
    const struct quorum_key *key, const struct quorum_claim_options *options);
bool quorum_may_act(
    const struct quorum *quorum, usec_t now, quorum_ticket ticket);
void quorum_report_outcome(struct quorum *quorum, usec_t now,
    quorum_ticket ticket, enum verdict verdict);
void quorum_release_claim(
    struct quorum *quorum, usec_t now, quorum_ticket ticket);
void quorum_raise_version(struct quorum *quorum, usec_t now,
    const struct quorum_key *key, uint64_t version);
void quorum_read_version(
    struct quorum *quorum, usec_t now, const struct quorum_key *key);
void quorum_leave(struct quorum *quorum, usec_t now);
bool quorum_is_ready(const struct quorum *quorum, usec_t now);
size_t quorum_memory_bytes(const struct quorum *quorum);

#endif
