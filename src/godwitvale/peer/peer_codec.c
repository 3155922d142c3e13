/*
 * Encodes and decodes the bodies of messages between instances, and converts
 * quorum messages to and from their XDR structures. Fields of received
 * messages are checked for their range.
 */
#include "godwitvale/peer/peer_codec.h"

#include <string.h>

/// Converts a quorum key to its XDR structure.
///
/// @param key  key to convert
/// @return the XDR structure
static wire_key
key_to_wire(const struct quorum_key *key)
{
	wire_key wire = {
	    .high = key->high,
	    .low = key->low,
	    .kind = key->kind,
	};

	return wire;
}

/// Converts an XDR structure to a quorum key. The kind isn't checked.
///
/// @param wire  XDR structure of a key
/// @return the key
static struct quorum_key
key_from_wire(const wire_key *wire)
{
	struct quorum_key key = {
	    .high = wire->high,
	    .low = wire->low,
	    .kind = (enum quorum_key_kind)wire->kind,
	};

	return key;
}

/// Checks the fields of a received quorum message that have a limited range:
/// enumerations, durations and the lengths of arrays.
///
/// @param wire  received message
/// @return false when a field is out of range
static bool
are_fields_in_range(const wire_quorum *wire)
{
	if (wire->type < QUORUM_CLAIM || wire->type > QUORUM_HANDOVER ||
	    wire->reason > QUORUM_REASON_TIMEOUT ||
	    wire->verdict > VERDICT_RAN || wire->key.kind > QUORUM_VERSION ||
	    wire->span < 0 ||
	    wire->known_voters.known_voters_len > QUORUM_VOTERS_MAX ||
	    wire->records.records_len > QUORUM_PAGE_RECORDS)
		return false;
	for (u_int i = 0; i < wire->records.records_len; i++) {
		const wire_record *record = &wire->records.records_val[i];

		if (record->verdict > VERDICT_RAN ||
		    record->key.kind < QUORUM_ONCE ||
		    record->key.kind > QUORUM_VERSION ||
		    record->forget_after < 0)
			return false;
	}
	return true;
}

/// Encodes a message body as XDR.
///
/// @param body   body to encode
/// @param bytes  filled in with the encoded body
/// @param size   size of bytes, in bytes
/// @return length of the encoded body in bytes, 0 when size is too small
size_t
peer_codec_encode_body(const wire_body *body, char *bytes, size_t size)
{
	XDR xdr;
	size_t len = 0;

	xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
	if (xdr_wire_body(&xdr, (wire_body *)body))
		len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return len;
}

/// Decodes a message body from XDR.
///
/// @param body   filled in; free with peer_codec_free_body()
/// @param bytes  encoded body
/// @param len    length of the encoded body in bytes
/// @return false when the bytes are malformed or longer than the body; body is
///         cleared then and needn't be freed
bool
peer_codec_decode_body(wire_body *body, char *bytes, size_t len)
{
	XDR xdr;
	bool valid;

	memset(body, 0, sizeof(*body));
	xdrmem_create(&xdr, bytes, (u_int)len, XDR_DECODE);
	valid = xdr_wire_body(&xdr, body) && xdr_getpos(&xdr) == len;
	xdr_destroy(&xdr);
	if (!valid)
		peer_codec_free_body(body);
	return valid;
}

/// Frees the memory that peer_codec_decode_body() allocated and clears the
/// body.
///
/// @param body  decoded body; the structure itself isn't freed
void
peer_codec_free_body(wire_body *body)
{
	xdr_free((xdrproc_t)xdr_wire_body, (char *)body);
	memset(body, 0, sizeof(*body));
}

/// Converts a quorum message to its XDR structure.
///
/// @param wire     filled in; points into voters and records
/// @param message  message to convert
/// @param voters   room for QUORUM_VOTERS_MAX voter IDs; must outlive wire
/// @param records  room for QUORUM_PAGE_RECORDS records; must outlive wire
void
peer_codec_quorum_to_wire(wire_quorum *wire,
    const struct quorum_message *message, u_quad_t *voters,
    wire_record *records)
{
	memset(wire, 0, sizeof(*wire));
	wire->type = message->type;
	wire->reason = message->reason;
	wire->revision = message->revision;
	wire->shard = message->shard;
	wire->sender_boot = message->sender_boot_id;
	wire->nonce = message->nonce;
	wire->key = key_to_wire(&message->key);
	wire->holder = message->holder;
	wire->number = message->value;
	wire->verdict = message->verdict;
	wire->span = message->duration;
	wire->round = message->sequence;
	wire->ready_revision = message->ready_revision;
	wire->floor_revision = message->floor_revision;
	wire->lapsed = message->prior_votes_expired;
	wire->page = message->page;
	wire->n_pages = message->n_pages;
	wire->ready = message->ready;
	wire->known_revision = message->known_revision;
	for (uint32_t i = 0; i < message->n_known_voters; i++)
		voters[i] = message->known_voters[i];
	wire->known_voters.known_voters_len = message->n_known_voters;
	wire->known_voters.known_voters_val = voters;
	for (uint32_t i = 0; i < message->n_records; i++) {
		const struct quorum_record *record = &message->records[i];

		records[i].key = key_to_wire(&record->key);
		records[i].holder = record->holder;
		records[i].nonce = record->nonce;
		records[i].number = record->value;
		records[i].verdict = record->verdict;
		records[i].contested = record->contested;
		records[i].forget_after = record->expires_in;
	}
	wire->records.records_len = message->n_records;
	wire->records.records_val = records;
}

/// Checks a received quorum message and converts it from its XDR structure.
///
/// @param message  filled in on success
/// @param wire     received message
/// @return false when a field is out of range
bool
peer_codec_quorum_from_wire(
    struct quorum_message *message, const wire_quorum *wire)
{
	if (!are_fields_in_range(wire))
		return false;
	memset(message, 0, sizeof(*message));
	message->type = (enum quorum_message_type)wire->type;
	message->reason = (enum quorum_reason)wire->reason;
	message->revision = wire->revision;
	message->shard = wire->shard;
	message->sender_boot_id = wire->sender_boot;
	message->nonce = wire->nonce;
	message->key = key_from_wire(&wire->key);
	message->holder = wire->holder;
	message->value = wire->number;
	message->verdict = (enum verdict)wire->verdict;
	message->duration = wire->span;
	message->sequence = wire->round;
	message->ready_revision = wire->ready_revision;
	message->floor_revision = wire->floor_revision;
	message->prior_votes_expired = wire->lapsed;
	message->page = wire->page;
	message->n_pages = wire->n_pages;
	message->ready = wire->ready;
	message->known_revision = wire->known_revision;
	message->n_known_voters = wire->known_voters.known_voters_len;
	for (uint32_t i = 0; i < message->n_known_voters; i++)
		message->known_voters[i] =
		    wire->known_voters.known_voters_val[i];
	message->n_records = wire->records.records_len;
	for (uint32_t i = 0; i < message->n_records; i++) {
		const wire_record *source = &wire->records.records_val[i];
		struct quorum_record *record = &message->records[i];

		record->key = key_from_wire(&source->key);
		record->holder = source->holder;
		record->nonce = source->nonce;
		record->value = source->number;
		record->verdict = (enum verdict)source->verdict;
		record->contested = source->contested;
		record->expires_in = source->forget_after;
	}
	return true;
}
