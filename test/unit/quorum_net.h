/*
 * Simulates a fleet of instances for tests of the quorum module: a network that
 * loses, repeats and delays messages, a membership list that lags, instances
 * that pause and restart, and clocks that drift. Each simulated instance is a
 * node. Simulated time is in microseconds.
 */
#ifndef TEST_UNIT_QUORUM_NET_H
#define TEST_UNIT_QUORUM_NET_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/core/quorum.h"

#define MSEC USEC_PER_MSEC
#define CLAIM_TIMEOUT (200 * MSEC)
#define RESEND_WINDOW (5000 * MSEC)
#define LIST_LAG (300 * MSEC)
#define LIST_FRESHNESS (500 * MSEC)
#define POLL_INTERVAL (100 * MSEC)
#define LEASE_TERM (400 * MSEC)
/// Simulated time after which all nodes of a new fleet vote.
#define WARM_UP_TIME (8000 * MSEC)
#define NODES_MAX 400
#define KEYS_MAX 64

enum event_type {
	EVENT_MESSAGE,     /// a message reaches node `to`
	EVENT_LIST_REPLY,  /// a read of the membership list ends at node `to`
	EVENT_RUN_REQUEST, /// node `to` runs a request for which it has a grant
};

/// An event at a node. The type determines which fields are used.
struct event {
	usec_t due_at;
	uint64_t sequence; /// order of events that are due at the same time
	enum event_type type;
	unsigned from, to; /// indices of nodes
	/// LIST_REPLY, RUN_REQUEST: boot_id of `to` at the time of scheduling.
	uint64_t boot_id;
	quorum_ticket ticket; /// RUN_REQUEST: ticket of the grant
	unsigned key;         /// RUN_REQUEST: index of the request's key
	usec_t requested_at; /// LIST_REPLY: local time at the start of the read
	unsigned view_index; /// LIST_REPLY: index of the view that was read
	struct quorum_message *message; /// MESSAGE: owned by the event
};

/// A simulated instance.
struct node {
	struct quorum *quorum; /// NULL while the node is stopped
	GRand *random;
	uint64_t boot_id;      /// incremented at each start of the node
	bool listed, leaving;  /// state in the next published view
	bool list_unreachable; /// the node's reads of the list get no reply
	unsigned partition;    /// only nodes of one partition reach each other
	unsigned zone;
	usec_t paused_until;
	usec_t next_poll_at;
	usec_t clock_offset;     /// local time at simulated time 0
	int64_t clock_drift_ppm; /// drift against simulated time
	bool lost_lease;         /// a lease of the node was not renewed in time
	/// Ticket of the node's last grant, by index of the key; 0 for no
	/// grant.
	quorum_ticket tickets[KEYS_MAX];
};

/// Grants, denials and runs of one key in the whole fleet.
struct key_history {
	unsigned n_runs, n_granted, n_denied;
	quorum_ticket last_ticket;   /// ticket of the last grant
	unsigned last_holder;        /// index of the node with the last grant
	uint64_t highest_fence;      /// highest fencing number of a grant
	enum verdict denial_verdict; /// verdict of the last denial
	enum quorum_reason denial_reason; /// reason for the last denial
	bool reported_not_run;
};

/// A simulated fleet and its network.
struct net {
	GRand *random;
	usec_t now;
	uint64_t next_sequence;
	GSequence *events;
	unsigned n_nodes;
	struct node nodes[NODES_MAX];
	GPtrArray *views;          /// published struct view, by revision - 1
	GArray *view_published_at; /// usec_t, indexed like `views`
	double loss_probability, repeat_probability; /// of each message, 0 to 1
	usec_t delay_min, delay_max; /// of messages and of list replies
	unsigned naive; /// flags of enum quorum_naive, for nodes started later
	unsigned n_shards;
	/// Maximum age of the view that a read of the list returns, counted
	/// from the start of the read; at most LIST_LAG.
	usec_t list_lag_max;
	usec_t lease_term;
	/// A request runs with a delay of up to 2 * CLAIM_TIMEOUT after its
	/// grant.
	bool runs_delayed;
	bool outcomes_reported; /// holders report the outcome of a run
	/// Some granted requests do not run, or run without a reported outcome.
	bool some_runs_fail;
	uint64_t n_messages; /// messages sent, including lost ones
	uint64_t n_messages_by_type[QUORUM_HANDOVER + 1];
	struct quorum_key keys[KEYS_MAX];
	struct key_history history[KEYS_MAX];
	unsigned n_keys;
	uint64_t last_version_read; /// value of the last successful read
	unsigned n_version_reads, n_failed_reads; /// ended reads of registers
	bool check_fences;     /// check that a key's fencing numbers increase
	unsigned n_violations; /// violations of the module's guarantees
};

static inline gint
compare_events(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct event *a = left, *b = right;

	(void)data;
	if (a->due_at != b->due_at)
		return a->due_at > b->due_at ? 1 : -1;
	return (a->sequence > b->sequence) - (a->sequence < b->sequence);
}

static inline void
free_event(gpointer data)
{
	struct event *event = data;

	g_free(event->message);
	g_free(event);
}

static inline struct event *
schedule_event(struct net *net, usec_t at, enum event_type type, unsigned to)
{
	struct event *event = g_new0(struct event, 1);

	event->due_at = at;
	event->sequence = net->next_sequence++;
	event->type = type;
	event->to = to;
	g_sequence_insert_sorted(net->events, event, compare_events, NULL);
	return event;
}

static inline usec_t
local_time(const struct node *node, usec_t at)
{
	return node->clock_offset + at + at * node->clock_drift_ppm / 1000000;
}

static inline node_id
index_to_node_id(unsigned index)
{
	return index + 1;
}

static inline void
start_node(struct net *net, unsigned index)
{
	struct node *node = &net->nodes[index];
	struct quorum_options options = {
	    .self = index_to_node_id(index),
	    .n_shards = net->n_shards,
	    .claim_timeout = CLAIM_TIMEOUT,
	    .resend_window = RESEND_WINDOW,
	    .list_lag = LIST_LAG,
	    .list_freshness = LIST_FRESHNESS,
	    .resend_interval = 20 * MSEC,
	    .naive = net->naive,
	};

	quorum_free(node->quorum);
	if (node->random != NULL)
		g_rand_free(node->random);
	node->random = g_rand_new_with_seed(g_rand_int(net->random));
	node->boot_id++;
	node->clock_offset = 1 + g_rand_int_range(net->random, 0, 1000000000);
	node->clock_drift_ppm = g_rand_int_range(
	    net->random, -CLOCK_DRIFT_PPM / 2, CLOCK_DRIFT_PPM / 2 + 1);
	node->paused_until = 0;
	memset(node->tickets, 0, sizeof(node->tickets));
	node->next_poll_at = net->now;
	options.random = node->random;
	options.boot_id = node->boot_id;
	options.started_at = local_time(node, net->now);
	node->quorum = quorum_new(&options);
}

static inline void
stop_node(struct net *net, unsigned index)
{
	struct node *node = &net->nodes[index];

	quorum_free(node->quorum);
	node->quorum = NULL;
}

/// Publishes a new view of the membership list, with the listed nodes.
static inline void
publish_view(struct net *net)
{
	struct view *view = g_new0(struct view, 1);

	view->revision = net->views->len + 1;
	view->members = g_new0(struct view_member, net->n_nodes);
	for (unsigned i = 0; i < net->n_nodes; i++) {
		struct view_member *member = &view->members[view->n_members];

		if (!net->nodes[i].listed)
			continue;
		member->id = index_to_node_id(i);
		member->zone = net->nodes[i].zone;
		member->leaving = net->nodes[i].leaving;
		view->n_members++;
	}
	g_ptr_array_add(net->views, view);
	g_array_append_val(net->view_published_at, net->now);
}

static inline struct net *
net_new(uint32_t seed, unsigned n_nodes, unsigned naive)
{
	struct net *net = g_new0(struct net, 1);

	net->random = g_rand_new_with_seed(seed);
	net->events = g_sequence_new(free_event);
	net->views = g_ptr_array_new();
	net->view_published_at = g_array_new(FALSE, FALSE, sizeof(usec_t));
	net->n_nodes = n_nodes;
	net->naive = naive;
	net->n_shards = 4;
	net->delay_min = MSEC;
	net->delay_max = 3 * MSEC;
	net->outcomes_reported = true;
	net->lease_term = LEASE_TERM;
	net->list_lag_max = LIST_LAG;
	net->check_fences = true;
	for (unsigned i = 0; i < n_nodes; i++) {
		net->nodes[i].zone = i % 3;
		net->nodes[i].listed = true;
		start_node(net, i);
	}
	publish_view(net);
	return net;
}

static inline void
net_free(struct net *net)
{
	for (unsigned i = 0; i < NODES_MAX; i++) {
		quorum_free(net->nodes[i].quorum);
		if (net->nodes[i].random != NULL)
			g_rand_free(net->nodes[i].random);
	}
	for (guint i = 0; i < net->views->len; i++) {
		struct view *view = g_ptr_array_index(net->views, i);

		g_free(view->members);
		g_free(view);
	}
	g_ptr_array_free(net->views, TRUE);
	g_array_free(net->view_published_at, TRUE);
	g_sequence_free(net->events);
	g_rand_free(net->random);
	g_free(net);
}

static inline usec_t
draw_delay(struct net *net)
{
	return g_rand_int_range(
	    net->random, (gint32)net->delay_min, (gint32)net->delay_max + 1);
}

static inline void
transmit_message(
    struct net *net, unsigned from, const struct quorum_action *action)
{
	unsigned to = (unsigned)action->to - 1;
	unsigned n_copies = 1;

	net->n_messages++;
	net->n_messages_by_type[action->message.type]++;
	if (net->nodes[from].partition != net->nodes[to].partition ||
	    g_rand_double(net->random) < net->loss_probability)
		return;
	if (g_rand_double(net->random) < net->repeat_probability)
		n_copies = 2;
	while (n_copies-- > 0) {
		usec_t delay = draw_delay(net);
		struct event *event;

		if (net->repeat_probability > 0 &&
		    g_rand_double(net->random) < 0.02)
			delay += g_rand_int_range(net->random, 0, 3000000);
		event =
		    schedule_event(net, net->now + delay, EVENT_MESSAGE, to);
		event->from = from;
		event->message =
		    g_memdup2(&action->message, sizeof(action->message));
	}
}

static inline unsigned
find_key_index(const struct net *net, const struct quorum_key *key)
{
	for (unsigned i = 0; i < net->n_keys; i++) {
		if (net->keys[i].high == key->high &&
		    net->keys[i].low == key->low)
			return i;
	}
	fail_msg("unknown key");
	return 0;
}

static inline void
record_violation(struct net *net, const char *description, unsigned key)
{
	net->n_violations++;
	if (net->naive == 0)
		print_message("violation at %ld us: %s, key %u\n",
		    (long)net->now, description, key);
}

static inline void
handle_grant(
    struct net *net, unsigned index, const struct quorum_action *action)
{
	unsigned key = find_key_index(net, &action->key);
	struct key_history *history = &net->history[key];
	usec_t delay = 0;
	struct event *event;

	if (action->key.kind == QUORUM_LEASE) {
		if (net->check_fences &&
		    action->value <= history->highest_fence)
			record_violation(
			    net, "fencing number did not increase", key);
		history->highest_fence =
		    MAX(history->highest_fence, action->value);
	}
	net->nodes[index].tickets[key] = action->ticket;
	history->n_granted++;
	history->last_ticket = action->ticket;
	history->last_holder = index;
	if (action->key.kind != QUORUM_ONCE)
		return;
	if (net->runs_delayed)
		delay =
		    g_rand_int_range(net->random, 0, (gint32)CLAIM_TIMEOUT * 2);
	event = schedule_event(net, net->now + delay, EVENT_RUN_REQUEST, index);
	event->boot_id = net->nodes[index].boot_id;
	event->ticket = action->ticket;
	event->key = key;
}

static inline void
handle_actions(struct net *net, unsigned index)
{
	struct node *node = &net->nodes[index];
	struct quorum_action action;

	while (quorum_next_action(node->quorum, &action)) {
		unsigned key = 0;

		if (action.type == QUORUM_ACTION_DENIED)
			key = find_key_index(net, &action.key);
		switch (action.type) {
		case QUORUM_ACTION_SEND:
			transmit_message(net, index, &action);
			break;
		case QUORUM_ACTION_GRANTED:
			handle_grant(net, index, &action);
			break;
		case QUORUM_ACTION_DENIED:
			net->history[key].n_denied++;
			net->history[key].denial_verdict = action.verdict;
			net->history[key].denial_reason = action.reason;
			if (action.verdict == VERDICT_NOT_RUN &&
			    net->history[key].n_runs > 0)
				record_violation(
				    net, "denied as not run after a run", key);
			break;
		case QUORUM_ACTION_LEASE_LOST:
			node->lost_lease = true;
			break;
		case QUORUM_ACTION_VERSION_READ:
			net->n_version_reads++;
			net->last_version_read = action.value;
			break;
		case QUORUM_ACTION_READ_FAILED:
			net->n_failed_reads++;
			break;
		case QUORUM_ACTION_REFRESH_LIST:
			node->next_poll_at = net->now;
			break;
		}
	}
}

/// Starts a node's read of the membership list. The reply contains a view that
/// was current at most list_lag_max before the read started.
static inline void
poll_list(struct net *net, unsigned index)
{
	struct node *node = &net->nodes[index];
	usec_t state_at = net->now -
	    g_rand_int_range(net->random, 0, (gint32)net->list_lag_max + 1);
	unsigned view_index = 0;
	struct event *event;

	node->next_poll_at = net->now + POLL_INTERVAL;
	if (node->list_unreachable)
		return;
	for (guint i = 0; i < net->view_published_at->len; i++) {
		if (g_array_index(net->view_published_at, usec_t, i) <=
		    state_at)
			view_index = i;
	}
	event = schedule_event(
	    net, net->now + draw_delay(net), EVENT_LIST_REPLY, index);
	event->view_index = view_index;
	event->boot_id = node->boot_id;
	event->requested_at = local_time(node, net->now);
}

static inline void
run_request(struct net *net, struct node *node, const struct event *event)
{
	struct key_history *history = &net->history[event->key];
	usec_t now = local_time(node, net->now);

	if (!quorum_may_act(node->quorum, now, event->ticket)) {
		quorum_release_claim(node->quorum, now, event->ticket);
		return;
	}
	if (net->some_runs_fail && g_rand_int_range(net->random, 0, 4) == 0) {
		quorum_report_outcome(
		    node->quorum, now, event->ticket, VERDICT_NOT_RUN);
		return;
	}
	history->n_runs++;
	if (history->n_runs > 1)
		record_violation(net, "request ran twice", event->key);
	if (net->outcomes_reported &&
	    (!net->some_runs_fail || g_rand_int_range(net->random, 0, 2) == 0))
		quorum_report_outcome(
		    node->quorum, now, event->ticket, VERDICT_RAN);
}

/// Records a violation for each lease that two nodes may use at the same time.
static inline void
check_lease_holders(struct net *net)
{
	for (unsigned key = 0; key < net->n_keys; key++) {
		unsigned n_holders = 0;

		if (net->keys[key].kind != QUORUM_LEASE)
			continue;
		for (unsigned i = 0; i < net->n_nodes; i++) {
			struct node *node = &net->nodes[i];

			n_holders += node->quorum != NULL &&
			    node->tickets[key] != 0 &&
			    quorum_may_act(node->quorum,
				local_time(node, net->now), node->tickets[key]);
		}
		if (n_holders > 1)
			record_violation(net, "lease has two holders", key);
	}
}

static inline void
handle_event(struct net *net, struct event *event)
{
	struct node *node = &net->nodes[event->to];
	usec_t now = local_time(node, net->now);

	if (node->quorum == NULL)
		return;
	if (node->paused_until > net->now) {
		struct event *deferred = schedule_event(
		    net, node->paused_until, event->type, event->to);

		deferred->from = event->from;
		deferred->boot_id = event->boot_id;
		deferred->ticket = event->ticket;
		deferred->key = event->key;
		deferred->requested_at = event->requested_at;
		deferred->view_index = event->view_index;
		deferred->message = event->message;
		event->message = NULL;
		return;
	}
	if (event->type == EVENT_MESSAGE) {
		quorum_handle_message(node->quorum, now,
		    index_to_node_id(event->from), event->message);
	} else if (event->boot_id != node->boot_id) {
		return;
	} else if (event->type == EVENT_RUN_REQUEST) {
		run_request(net, node, event);
	} else {
		struct view view = *(struct view *)g_ptr_array_index(
		    net->views, event->view_index);

		view.requested_at = event->requested_at;
		quorum_set_view(node->quorum, now, &view);
	}
	handle_actions(net, event->to);
}

/// Returns when a node's next timer or list poll is due, or `now` if that time
/// has passed. A paused node runs nothing before its pause ends.
///
/// @param node  node to check
/// @param now   earliest time to return, in simulated microseconds
/// @return the time, in simulated microseconds; USEC_NEVER for a stopped node
static inline usec_t
node_next_due(const struct node *node, usec_t now)
{
	usec_t deadline, due;

	if (node->quorum == NULL)
		return USEC_NEVER;
	due = node->next_poll_at;
	deadline = quorum_next_deadline(node->quorum);
	if (deadline != USEC_NEVER) {
		deadline -= node->clock_offset;
		deadline -= deadline * node->clock_drift_ppm / 1000000;
		due = MIN(due, deadline + 1);
	}
	return MAX(now, MAX(due, node->paused_until));
}

static inline void
tick_node(struct net *net, unsigned index)
{
	struct node *node = &net->nodes[index];

	quorum_tick(node->quorum, local_time(node, net->now));
	handle_actions(net, index);
	if (net->now >= node->next_poll_at)
		poll_list(net, index);
}

/// Runs the simulation up to a simulated time and checks the leases after each
/// step.
static inline void
run_until(struct net *net, usec_t end_time)
{
	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(net->events);
		struct event *event = g_sequence_iter_is_end(first)
		    ? NULL
		    : g_sequence_get(first);
		usec_t due = event == NULL ? USEC_NEVER : event->due_at;
		int index = -1;

		for (unsigned i = 0; i < net->n_nodes; i++) {
			usec_t node_due_at =
			    node_next_due(&net->nodes[i], net->now + 1);

			if (node_due_at < due) {
				due = node_due_at;
				index = (int)i;
			}
		}
		if (due > end_time)
			break;
		net->now = MAX(net->now, due);
		if (index >= 0) {
			tick_node(net, (unsigned)index);
		} else if (event != NULL) {
			handle_event(net, event);
			g_sequence_remove(first);
		}
		check_lease_holders(net);
	}
	net->now = end_time;
}

static inline unsigned
add_key(struct net *net, enum quorum_key_kind kind)
{
	unsigned key = net->n_keys++;

	assert_true(key < KEYS_MAX);
	net->keys[key] = quorum_key_make(kind, "test", &key, sizeof(key));
	return key;
}

static inline quorum_ticket
start_claim(struct net *net, unsigned index, unsigned key)
{
	struct node *node = &net->nodes[index];
	struct quorum_claim_options options = {
	    .lease_term = net->lease_term,
	    .fenced = true,
	};
	quorum_ticket ticket = quorum_start_claim(node->quorum,
	    local_time(node, net->now), &net->keys[key],
	    net->keys[key].kind == QUORUM_LEASE ? &options : NULL);

	handle_actions(net, index);
	return ticket;
}

static inline bool
is_node_ready(const struct net *net, unsigned index)
{
	const struct node *node = &net->nodes[index];

	return quorum_is_ready(node->quorum, local_time(node, net->now));
}

static inline bool
all_nodes_ready(const struct net *net)
{
	for (unsigned i = 0; i < net->n_nodes; i++) {
		if (net->nodes[i].quorum != NULL && !is_node_ready(net, i))
			return false;
	}
	return true;
}

static inline void
run_for(struct net *net, usec_t span)
{
	run_until(net, net->now + span);
}

/// Creates a fleet and runs it until all its nodes vote.
static inline struct net *
net_new_ready(uint32_t seed, unsigned n_nodes)
{
	struct net *net = net_new(seed, n_nodes, 0);

	run_until(net, WARM_UP_TIME);
	assert_true(all_nodes_ready(net));
	return net;
}

static inline void
raise_version(struct net *net, unsigned index, unsigned key, uint64_t version)
{
	struct node *node = &net->nodes[index];

	quorum_raise_version(
	    node->quorum, local_time(node, net->now), &net->keys[key], version);
	handle_actions(net, index);
}

static inline void
read_version(struct net *net, unsigned index, unsigned key)
{
	struct node *node = &net->nodes[index];

	quorum_read_version(
	    node->quorum, local_time(node, net->now), &net->keys[key]);
	handle_actions(net, index);
}

/// Publishes a view that lists only the `n` nodes with indices from `first` on.
static inline void
list_only_nodes(struct net *net, unsigned first, unsigned n)
{
	for (unsigned i = 0; i < net->n_nodes; i++)
		net->nodes[i].listed = i >= first && i < first + n;
	publish_view(net);
}

#endif
