/*
 * Messages between instances: one-way ONC RPC calls over UDP.
 * peer_codec.c converts wire_quorum to and from struct quorum_message.
 */

const WIRE_BODY_BYTES_MAX = 8192;
const WIRE_TAG_BYTES = 32;
const WIRE_RECORDS_MAX = 16;
const WIRE_VOTERS_MAX = 7;

struct wire_key {
	unsigned hyper high;
	unsigned hyper low;
	unsigned int kind;
};

struct wire_record {
	wire_key key;
	unsigned hyper holder;
	unsigned hyper nonce;
	unsigned hyper number;
	unsigned int verdict;
	bool contested;
	hyper forget_after;
};

struct wire_quorum {
	unsigned int type;
	unsigned int reason;
	unsigned hyper revision;
	unsigned int shard;
	unsigned hyper sender_boot;
	unsigned hyper nonce;
	wire_key key;
	unsigned hyper holder;
	unsigned hyper number;
	unsigned int verdict;
	hyper span;
	unsigned int round;
	unsigned hyper ready_revision;
	unsigned hyper floor_revision;
	bool lapsed;
	unsigned int page;
	unsigned int n_pages;
	bool ready;
	unsigned hyper known_revision;
	unsigned hyper known_voters<WIRE_VOTERS_MAX>;
	wire_record records<WIRE_RECORDS_MAX>;
};

/*
 * A heartbeat. Carries either a challenge or the echo of a challenge of the
 * receiver (the other field is 0); a valid echo verifies the current boot ID of
 * its sender.
 */
struct wire_hello {
	unsigned hyper challenge;
	unsigned hyper echo;
	unsigned hyper bundle_version;
	unsigned hyper list_revision;
	bool register_read;
};

enum wire_type {
	WIRE_HELLO = 1,
	WIRE_QUORUM = 2
};

union wire_body switch (wire_type type) {
case WIRE_HELLO:
	wire_hello hello;
case WIRE_QUORUM:
	wire_quorum quorum;
};

struct wire_envelope {
	unsigned hyper sender;
	unsigned hyper sender_boot;
	unsigned hyper receiver;
	unsigned hyper receiver_boot;
	unsigned hyper sequence;
	opaque tag[WIRE_TAG_BYTES];
	opaque body<WIRE_BODY_BYTES_MAX>;
};

program GODWITVALE_PEER_PROGRAM {
	version GODWITVALE_PEER_V1 {
		void PEER_MESSAGE(wire_envelope) = 1;
	} = 1;
} = 0x20474457;
