/*
 * Messages between entry instances. Each message is one datagram and gets no
 * answer, except for the snapshot, which is fetched over HTTP.
 */

const FLEET_NAME_BYTES = 80;
const FLEET_IP_BYTES = 15;
const FLEET_LOADS = 96;
const FLEET_KNOWN = 24;
const FLEET_GONE = 16;
const FLEET_SEGMENTS = 16;
const FLEET_CRASHES = 16;
const FLEET_SAFE = 32;
const FLEET_RULES = 8;
const FLEET_EXPOSURES = 4;
const FLEET_SUSPECTS_MAX = 24;
const FLEET_SERVICES_MAX = 32;
const FLEET_LIMITS_MAX = 64;
const FLEET_DEPARTURES_MAX = 64;
const FLEET_STREAMS_MAX = 64;
const FLEET_PACES_MAX = 48;
const FLEET_OUTCOMES_MAX = 64;
const FLEET_OUTCOME_SLOTS = 64;
const FLEET_FAILURES_MAX = 12;
const FLEET_SHARES_SERVICES = 2;
const FLEET_SHARES_MAX = 8;
const FLEET_PACKED_MAX = 64;
const FLEET_PACKED_BYTES = 32768;
const FLEET_ITEMS = 4096;
const FLEET_VALUE_BYTES = 1048576;

/* Load that the sender has placed on one upstream. */
struct fleet_load {
	unsigned hyper upstream;
	int requests;
	int tokens;
	int prompt;
};

/* Heartbeat, sent to every known instance at a regular interval. */
struct fleet_beat {
	string name<FLEET_NAME_BYTES>;
	string ip<FLEET_IP_BYTES>;
	unsigned hyper incarnation;
	unsigned int interval_ms; /* time until the next heartbeat */
	unsigned hyper directory_revision;
	unsigned hyper config_revision;
	bool reads_store;
	bool leaving;
	fleet_load loads<FLEET_LOADS>;
	unsigned int known<FLEET_KNOWN>; /* IPv4 addresses of live instances */
	unsigned hyper gone<FLEET_GONE>; /* upstreams that accept no connection */
};

/* Sent between heartbeats: the sender's loads that have changed. */
struct fleet_work {
	string name<FLEET_NAME_BYTES>;
	unsigned hyper incarnation;
	fleet_load loads<FLEET_LOADS>;
};

/* One item of the store, as it was read. A deleted item has no value. The
 * revision holds the era of the store, see core/store_revision; builds that
 * send none name it for the whole message only. */
struct fleet_item {
	int kind;
	string name<FLEET_NAME_BYTES>;
	unsigned hyper revision;
	bool deleted;
	opaque value<FLEET_VALUE_BYTES>;
};

/* Changes of the upstreams' entries between two revisions of the store. */
struct fleet_news {
	string name<FLEET_NAME_BYTES>;
	unsigned hyper incarnation;
	unsigned hyper after;
	unsigned hyper as_of;
	fleet_item items<FLEET_ITEMS>;
};

/* The operator's changes between two revisions of the store. */
struct fleet_operator {
	fleet_news changes;
	bool complete; /* false: the changes are too long to be sent */
};

/* Crash of an engine that began to answer a request with these segments. */
struct fleet_crash {
	unsigned hyper id; /* the same at all instances */
	unsigned hyper upstream;
	unsigned int age_ms;
	unsigned hyper segments<FLEET_SEGMENTS>;
};

/* Time since an engine last answered a request with a segment. */
struct fleet_safe {
	unsigned hyper segment;
	unsigned int age_ms;
};

/* Quarantine of the requests that have all of these segments. */
struct fleet_rule {
	unsigned hyper segments<FLEET_SEGMENTS>;
	unsigned int crashes;
	unsigned int trials;
	unsigned int crash_age_ms;
	unsigned int match_age_ms;
	unsigned int trial_in_ms; /* FLEET_NO_TRIAL: none is left */
};
const FLEET_NO_TRIAL = 0xffffffff;

/* What the sender knows of segments that crash engines. */
struct fleet_evidence {
	string name<FLEET_NAME_BYTES>;
	fleet_safe safe<FLEET_SAFE>;
	fleet_rule rules<FLEET_RULES>;
	fleet_crash crashes<FLEET_CRASHES>;
};

/* Crash of an engine before it began to answer a request. */
struct fleet_early_crash {
	fleet_crash crash;
	unsigned int span_ms; /* from the sending to the crash */
};

/* What the sender knows of such crashes and the segments in them. */
struct fleet_early_crashes {
	fleet_safe safe<FLEET_SAFE>;
	fleet_early_crash crashes<FLEET_CRASHES>;
};

/* Crash of an upstream to which a request had been sent. */
struct fleet_exposure {
	unsigned hyper upstream;
	unsigned int age_ms;
	unsigned int span_ms; /* from the sending to the crash */
	bool weak; /* the request may have been waiting there */
};

/* What the sender knows of a request that may crash upstreams. */
struct fleet_suspect {
	unsigned hyper fingerprint;
	fleet_exposure exposures<FLEET_EXPOSURES>;
	unsigned int answer_age_ms; /* FLEET_NEVER: it wasn't answered */
	unsigned int match_age_ms; /* FLEET_NEVER: it wasn't refused */
	unsigned int trials;
	unsigned int trial_in_ms; /* FLEET_NEVER: none is left */
};
const FLEET_NEVER = 0xffffffff;

struct fleet_suspects {
	fleet_suspect suspects<FLEET_SUSPECTS_MAX>;
};

/* Limit that an upstream has named, or that it has none any more. */
struct fleet_limit {
	unsigned hyper upstream; /* hash of its id and incarnation */
	unsigned int millirate; /* requests in 1000 s; FLEET_NO_LIMIT: none */
	unsigned int age_ms;
};
const FLEET_NO_LIMIT = 0xffffffff;

struct fleet_limits {
	fleet_limit limits<FLEET_LIMITS_MAX>;
};

/* An upstream that has said that it leaves. */
struct fleet_departure {
	unsigned hyper upstream; /* hash of its id and incarnation */
	unsigned int age_ms;
};

struct fleet_departures {
	fleet_departure departures<FLEET_DEPARTURES_MAX>;
};

/* Software version that began a stream. */
struct fleet_stream {
	unsigned hyper stream; /* hash of the attempt's id */
	unsigned hyper version_key; /* of service and version; 0: unknown */
	unsigned int attempt;
	unsigned int ttl_ms; /* time until the caller has given up */
	bool begun; /* the caller may have an event */
};

struct fleet_streams {
	fleet_stream streams<FLEET_STREAMS_MAX>;
};

/* Asks for the version of a stream; answered to `ip`. */
struct fleet_stream_query {
	string ip<FLEET_IP_BYTES>;
	unsigned hyper stream;
	unsigned hyper service; /* hash of its name */
};

struct fleet_stream_answer {
	string name<FLEET_NAME_BYTES>; /* of the sender */
	unsigned hyper stream;
	bool several; /* the service has had several versions recently */
	fleet_stream known<1>;
};

/* Asks for the version of a stream, and what the receiver has seen of its
   service; answered to `ip`. */
struct fleet_stream_lookup {
	fleet_stream_query query;
	unsigned int span_ms; /* the stream isn't older than this */
};

/* What an instance remembers of a stream and has seen of its service. */
struct fleet_stream_witness {
	fleet_stream_answer answer;
	unsigned hyper only_version; /* of the service; 0: several, or none */
	unsigned hyper revision; /* of the sender's upstreams, with its era */
	unsigned int running_ms; /* since the sender's process started */
	unsigned int watched_ms; /* time of which it knows all upstreams */
};

/* Time between two events of a generation while its engine reads no prompt. */
struct fleet_pace {
	unsigned hyper service; /* hash of its name */
	unsigned hyper engine; /* hash of its id and incarnation */
	unsigned int base_us;
	unsigned int age_ms;
};

struct fleet_paces {
	fleet_pace paces<FLEET_PACES_MAX>;
};

/* Service whose upstreams fall over when they must turn requests away. */
struct fleet_brittle {
	unsigned hyper service; /* hash of its name */
	unsigned int left_ms; /* time for which this holds */
};

/* What the sender knows of services, each by the hash of its name. */
struct fleet_services {
	string name<FLEET_NAME_BYTES>;
	unsigned hyper incarnation;
	unsigned hyper cut_off<FLEET_SERVICES_MAX>; /* it reaches no upstream */
	fleet_brittle brittle<FLEET_SERVICES_MAX>;
};

/* Request that the sender sends to an upstream with a low limit. */
struct fleet_turn {
	unsigned hyper upstream; /* hash of its id and incarnation */
	unsigned hyper sender; /* hash of its name */
	unsigned int number;
	unsigned int age_ms;
};

/* Message of an instance, on its way through hubs. */
struct fleet_packed {
	unsigned hyper origin; /* hash of the instance's name */
	opaque message<FLEET_PACKED_BYTES>;
};

enum fleet_hop {
	FLEET_TO_HUB = 1, /* from a subscriber, for all instances */
	FLEET_BETWEEN_HUBS = 2, /* for the subscribers of the receiver */
	FLEET_TO_SUBSCRIBER = 3
};

/* Messages that a hub passes on, or is to pass on. */
struct fleet_pack {
	unsigned hyper sender; /* hash of its name */
	unsigned int ip; /* of the sender */
	fleet_hop hop;
	unsigned int subscribe_ms; /* the receiver is to send for this long */
	fleet_packed messages<FLEET_PACKED_MAX>;
};

/* Heartbeat of an instance whose state is unchanged. */
struct fleet_alive {
	unsigned hyper sender; /* hash of its name */
	unsigned hyper incarnation;
};

/* Request of the sender that failed. */
struct fleet_failure {
	unsigned int result; /* 2: error, 3: broken, 4: unreachable */
	unsigned int age_ms;
	unsigned hyper fingerprint; /* of the request; 0: unknown */
};

/* What the sender has seen of an upstream of a plain service. */
struct fleet_outcome {
	unsigned hyper upstream; /* hash of its id and incarnation */
	unsigned hyper service; /* hash of its name */
	/* requests served, at most 255 in each 125 ms; the newest first */
	opaque served<FLEET_OUTCOME_SLOTS>;
	fleet_failure failures<FLEET_FAILURES_MAX>; /* the oldest first */
	/* the sender's last trial request to the ejected upstream:
	   0: none, 1: it runs, 2: it was served, 3: it failed */
	unsigned int trial;
	unsigned int trial_number;
	unsigned int trial_age_ms; /* since it was sent */
};

struct fleet_outcomes_message {
	unsigned hyper sender; /* hash of its name */
	unsigned hyper incarnation;
	unsigned hyper number; /* of the message, counted by the sender */
	fleet_outcome outcomes<FLEET_OUTCOMES_MAX>;
};

/* Engine memory that an organisation holds by the sender. */
struct fleet_holding {
	unsigned hyper organisation; /* hash of its name */
	unsigned int tokens;
};

struct fleet_service_holdings {
	unsigned hyper service; /* hash of its name */
	/* bit i: organisation i of the list has waiting requests */
	unsigned int waiting;
	fleet_holding holdings<FLEET_SHARES_MAX>;
};

/* What organisations hold by the sender at services whose memory is scarce.
   Replaces its last message; without services, it holds nothing there. */
struct fleet_shares_message {
	unsigned hyper sender; /* hash of its name */
	unsigned hyper incarnation;
	unsigned int number; /* of the message, counted by the sender */
	fleet_service_holdings services<FLEET_SHARES_SERVICES>;
};

enum fleet_kind {
	FLEET_BEAT = 1,
	FLEET_NEWS = 2,
	FLEET_WORK = 3,
	FLEET_EVIDENCE = 4,
	FLEET_LIMITS = 5,
	FLEET_DEPARTURES = 6,
	FLEET_STREAMS = 7,
	FLEET_STREAM_QUERY = 8,
	FLEET_STREAM_ANSWER = 9,
	FLEET_TURN = 10,
	FLEET_SUSPECTS = 11,
	FLEET_SERVICES = 12,
	FLEET_PACK = 13,
	FLEET_ALIVE = 14,
	FLEET_OPERATOR = 15,
	FLEET_STREAM_LOOKUP = 16,
	FLEET_STREAM_WITNESS = 17,
	FLEET_EARLY_CRASHES = 18,
	FLEET_OUTCOMES = 19,
	FLEET_PACES = 20,
	FLEET_SHARES = 21
};

union fleet_message switch (fleet_kind kind) {
case FLEET_BEAT:
	fleet_beat beat;
case FLEET_NEWS:
	fleet_news news;
case FLEET_WORK:
	fleet_work work;
case FLEET_EVIDENCE:
	fleet_evidence evidence;
case FLEET_LIMITS:
	fleet_limits limits;
case FLEET_DEPARTURES:
	fleet_departures departures;
case FLEET_STREAMS:
	fleet_streams streams;
case FLEET_STREAM_QUERY:
	fleet_stream_query stream_query;
case FLEET_STREAM_ANSWER:
	fleet_stream_answer stream_answer;
case FLEET_TURN:
	fleet_turn turn;
case FLEET_SUSPECTS:
	fleet_suspects suspects;
case FLEET_SERVICES:
	fleet_services services;
case FLEET_PACK:
	fleet_pack pack;
case FLEET_ALIVE:
	fleet_alive alive;
case FLEET_OPERATOR:
	fleet_operator operator_news;
case FLEET_STREAM_LOOKUP:
	fleet_stream_lookup stream_lookup;
case FLEET_STREAM_WITNESS:
	fleet_stream_witness stream_witness;
case FLEET_EARLY_CRASHES:
	fleet_early_crashes early_crashes;
case FLEET_PACES:
	fleet_paces paces;
case FLEET_OUTCOMES:
	fleet_outcomes_message outcomes;
case FLEET_SHARES:
	fleet_shares_message shares;
};

/* All items that an instance has. Fetched over HTTP. */
struct fleet_snapshot {
	unsigned hyper directory_revision;
	unsigned hyper operator_revision;
	fleet_item items<FLEET_ITEMS>;
};
