/*
 * A small message-passing fake for tests of the quorum part: a network that
 * loses, repeats and delays, a membership list that lags, instances that
 * pause and restart, and clocks that drift.
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
/// By then a fresh fleet votes.
#define WARM (8000 * MSEC)
#define NODES_MAX 400
#define KEYS_MAX 64

enum event_type { EVENT_MESSAGE, EVENT_LIST, EVENT_ACT };

struct event {
	usec_t at;
	uint64_t order;
	enum event_type type;
	unsigned from, to;
	uint64_t boot; /// life of the receiver that an ACT belongs to
	quorum_ticket ticket;
	unsigned key;
	usec_t asked_at;
	unsigned view;
	struct quorum_message *message;
};

struct node {
	struct quorum *quorum;
	GRand *random;
	uint64_t boot;
	bool listed, leaving;
	bool cut_from_list;
	unsigned group;
	unsigned zone;
	usec_t paused_until;
	usec_t polls_at;
	usec_t clock_offset;
	int64_t clock_ppm;
	bool lost_lease;
	quorum_ticket tickets[KEYS_MAX]; /// last granted, by key
};

/// What was seen of one key.
struct seen {
	unsigned runs, granted, denied;
	quorum_ticket ticket; /// of the last grant
	unsigned holder;      /// node of the last grant
	uint64_t number;
	enum verdict verdict; /// of the last denial
	enum quorum_reason reason;
	bool not_run_said;
};

struct net {
	GRand *random;
	usec_t now;
	uint64_t order;
	GSequence *events;
	unsigned n_nodes;
	struct node nodes[NODES_MAX];
	GPtrArray *views; /// of struct view, by revision - 1
	GArray *view_times;
	double loss, repeat;
	usec_t delay_min, delay_max;
	unsigned naive;
	unsigned n_shards;
	usec_t list_lag; /// at most LIST_LAG
	usec_t lease_term;
	bool act_late;       /// acts come some time after the grant
	bool finishes;       /// acts report their outcome
	bool some_fail;      /// acts may end unrun, or never report
	uint64_t n_messages; /// sent over the network
	uint64_t n_by_type[QUORUM_HANDOVER + 1];
	struct quorum_key keys[KEYS_MAX];
	struct seen seen[KEYS_MAX];
	unsigned n_keys;
	uint64_t version; /// last VERSION
	unsigned n_versions, n_isolated;
	bool check_fence;
	unsigned violations;
};

static inline gint
compare_events(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct event *a = left, *b = right;

	(void)data;
	if (a->at != b->at)
		return a->at > b->at ? 1 : -1;
	return (a->order > b->order) - (a->order < b->order);
}

static inline void
free_event(gpointer data)
{
	struct event *event = data;

	g_free(event->message);
	g_free(event);
}

static inline struct event *
push(struct net *net, usec_t at, enum event_type type, unsigned to)
{
	struct event *event = g_new0(struct event, 1);

	event->at = at;
	event->order = net->order++;
	event->type = type;
	event->to = to;
	g_sequence_insert_sorted(net->events, event, compare_events, NULL);
	return event;
}

static inline usec_t
local_time(const struct node *node, usec_t at)
{
	return node->clock_offset + at + at * node->clock_ppm / 1000000;
}

static inline node_id
id_of(unsigned index)
{
	return index + 1;
}

static inline void
start_node(struct net *net, unsigned index)
{
	struct node *node = &net->nodes[index];
	struct quorum_options options = {
	    .self = id_of(index),
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
	node->boot++;
	node->clock_offset = 1 + g_rand_int_range(net->random, 0, 1000000000);
	node->clock_ppm = g_rand_int_range(
	    net->random, -CLOCK_DRIFT_PPM / 2, CLOCK_DRIFT_PPM / 2 + 1);
	node->paused_until = 0;
	memset(node->tickets, 0, sizeof(node->tickets));
	node->polls_at = net->now;
	options.random = node->random;
	options.boot_id = node->boot;
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

/// Publishes a new view of the listed nodes.
static inline void
publish(struct net *net)
{
	struct view *view = g_new0(struct view, 1);

	view->revision = net->views->len + 1;
	view->members = g_new0(struct view_member, net->n_nodes);
	for (unsigned i = 0; i < net->n_nodes; i++) {
		struct view_member *member = &view->members[view->n_members];

		if (!net->nodes[i].listed)
			continue;
		member->id = id_of(i);
		member->zone = net->nodes[i].zone;
		member->leaving = net->nodes[i].leaving;
		view->n_members++;
	}
	g_ptr_array_add(net->views, view);
	g_array_append_val(net->view_times, net->now);
}

static inline struct net *
net_new(uint32_t seed, unsigned n_nodes, unsigned naive)
{
	struct net *net = g_new0(struct net, 1);

	net->random = g_rand_new_with_seed(seed);
	net->events = g_sequence_new(free_event);
	net->views = g_ptr_array_new();
	net->view_times = g_array_new(FALSE, FALSE, sizeof(usec_t));
	net->n_nodes = n_nodes;
	net->naive = naive;
	net->n_shards = 4;
	net->delay_min = MSEC;
	net->delay_max = 3 * MSEC;
	net->finishes = true;
	net->lease_term = LEASE_TERM;
	net->list_lag = LIST_LAG;
	net->check_fence = true;
	for (unsigned i = 0; i < n_nodes; i++) {
		net->nodes[i].zone = i % 3;
		net->nodes[i].listed = true;
		start_node(net, i);
	}
	publish(net);
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
	g_array_free(net->view_times, TRUE);
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
transmit(struct net *net, unsigned from, const struct quorum_action *action)
{
	unsigned to = (unsigned)action->to - 1;
	unsigned copies = 1;

	net->n_messages++;
	net->n_by_type[action->message.type]++;
	if (net->nodes[from].group != net->nodes[to].group ||
	    g_rand_double(net->random) < net->loss)
		return;
	if (g_rand_double(net->random) < net->repeat)
		copies = 2;
	while (copies-- > 0) {
		usec_t delay = draw_delay(net);
		struct event *event;

		if (net->repeat > 0 && g_rand_double(net->random) < 0.02)
			delay += g_rand_int_range(net->random, 0, 3000000);
		event = push(net, net->now + delay, EVENT_MESSAGE, to);
		event->from = from;
		event->message =
		    g_memdup2(&action->message, sizeof(action->message));
	}
}

static inline unsigned
key_index(const struct net *net, const struct quorum_key *key)
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
violate(struct net *net, const char *what, unsigned key)
{
	net->violations++;
	if (net->naive == 0)
		print_message("violation at %ld us: %s, key %u\n",
		    (long)net->now, what, key);
}

static inline void
take_grant(struct net *net, unsigned index, const struct quorum_action *action)
{
	unsigned key = key_index(net, &action->key);
	struct seen *seen = &net->seen[key];
	usec_t delay = 0;
	struct event *event;

	if (action->key.kind == QUORUM_LEASE) {
		if (net->check_fence && action->value <= seen->number)
			violate(net, "fence", key);
		seen->number = MAX(seen->number, action->value);
	}
	net->nodes[index].tickets[key] = action->ticket;
	seen->granted++;
	seen->ticket = action->ticket;
	seen->holder = index;
	if (action->key.kind != QUORUM_ONCE)
		return;
	if (net->act_late)
		delay =
		    g_rand_int_range(net->random, 0, (gint32)CLAIM_TIMEOUT * 2);
	event = push(net, net->now + delay, EVENT_ACT, index);
	event->boot = net->nodes[index].boot;
	event->ticket = action->ticket;
	event->key = key;
}

static inline void
take_actions(struct net *net, unsigned index)
{
	struct node *node = &net->nodes[index];
	struct quorum_action action;

	while (quorum_next_action(node->quorum, &action)) {
		unsigned key = 0;

		if (action.type == QUORUM_ACTION_DENIED)
			key = key_index(net, &action.key);
		switch (action.type) {
		case QUORUM_ACTION_SEND:
			transmit(net, index, &action);
			break;
		case QUORUM_ACTION_GRANTED:
			take_grant(net, index, &action);
			break;
		case QUORUM_ACTION_DENIED:
			net->seen[key].denied++;
			net->seen[key].verdict = action.verdict;
			net->seen[key].reason = action.reason;
			if (action.verdict == VERDICT_NOT_RUN &&
			    net->seen[key].runs > 0)
				violate(net, "not run said of a run", key);
			break;
		case QUORUM_ACTION_LEASE_LOST:
			node->lost_lease = true;
			break;
		case QUORUM_ACTION_VERSION_READ:
			net->n_versions++;
			net->version = action.value;
			break;
		case QUORUM_ACTION_READ_FAILED:
			net->n_isolated++;
			break;
		case QUORUM_ACTION_REFRESH_LIST:
			node->polls_at = net->now;
			break;
		}
	}
}

/// Asks the list: the answer shows a state that is up to LIST_LAG old.
static inline void
poll_list(struct net *net, unsigned index)
{
	struct node *node = &net->nodes[index];
	usec_t shows = net->now -
	    g_rand_int_range(net->random, 0, (gint32)net->list_lag + 1);
	unsigned view = 0;
	struct event *event;

	node->polls_at = net->now + POLL_INTERVAL;
	if (node->cut_from_list)
		return;
	for (guint i = 0; i < net->view_times->len; i++) {
		if (g_array_index(net->view_times, usec_t, i) <= shows)
			view = i;
	}
	event = push(net, net->now + draw_delay(net), EVENT_LIST, index);
	event->view = view;
	event->boot = node->boot;
	event->asked_at = local_time(node, net->now);
}

static inline void
act(struct net *net, struct node *node, const struct event *event)
{
	struct seen *seen = &net->seen[event->key];
	usec_t now = local_time(node, net->now);

	if (!quorum_may_act(node->quorum, now, event->ticket)) {
		quorum_release_claim(node->quorum, now, event->ticket);
		return;
	}
	if (net->some_fail && g_rand_int_range(net->random, 0, 4) == 0) {
		quorum_report_outcome(
		    node->quorum, now, event->ticket, VERDICT_NOT_RUN);
		return;
	}
	seen->runs++;
	if (seen->runs > 1)
		violate(net, "doubled", event->key);
	if (net->finishes &&
	    (!net->some_fail || g_rand_int_range(net->random, 0, 2) == 0))
		quorum_report_outcome(
		    node->quorum, now, event->ticket, VERDICT_RAN);
}

/// Leases that two instances may act under at one time are a violation.
static inline void
check_leases(struct net *net)
{
	for (unsigned key = 0; key < net->n_keys; key++) {
		unsigned holders = 0;

		if (net->keys[key].kind != QUORUM_LEASE)
			continue;
		for (unsigned i = 0; i < net->n_nodes; i++) {
			struct node *node = &net->nodes[i];

			holders += node->quorum != NULL &&
			    node->tickets[key] != 0 &&
			    quorum_may_act(node->quorum,
				local_time(node, net->now), node->tickets[key]);
		}
		if (holders > 1)
			violate(net, "two holders", key);
	}
}

static inline void
run_event(struct net *net, struct event *event)
{
	struct node *node = &net->nodes[event->to];
	usec_t now = local_time(node, net->now);

	if (node->quorum == NULL)
		return;
	if (node->paused_until > net->now) {
		struct event *later =
		    push(net, node->paused_until, event->type, event->to);

		later->from = event->from;
		later->boot = event->boot;
		later->ticket = event->ticket;
		later->key = event->key;
		later->asked_at = event->asked_at;
		later->view = event->view;
		later->message = event->message;
		event->message = NULL;
		return;
	}
	if (event->type == EVENT_MESSAGE) {
		quorum_receive(
		    node->quorum, now, id_of(event->from), event->message);
	} else if (event->boot != node->boot) {
		return;
	} else if (event->type == EVENT_ACT) {
		act(net, node, event);
	} else {
		struct view view =
		    *(struct view *)g_ptr_array_index(net->views, event->view);

		view.requested_at = event->asked_at;
		quorum_set_view(node->quorum, now, &view);
	}
	take_actions(net, event->to);
}

/// Tells when a node is to run next by itself.
static inline usec_t
node_due(const struct node *node, usec_t now)
{
	usec_t deadline, due;

	if (node->quorum == NULL)
		return USEC_NEVER;
	due = node->polls_at;
	deadline = quorum_next_deadline(node->quorum);
	if (deadline != USEC_NEVER) {
		deadline -= node->clock_offset;
		deadline -= deadline * node->clock_ppm / 1000000;
		due = MIN(due, deadline + 1);
	}
	return MAX(now, MAX(due, node->paused_until));
}

static inline void
run_node(struct net *net, unsigned index)
{
	struct node *node = &net->nodes[index];

	quorum_tick(node->quorum, local_time(node, net->now));
	take_actions(net, index);
	if (net->now >= node->polls_at)
		poll_list(net, index);
}

/// Runs the network up to a point in time.
static inline void
net_run(struct net *net, usec_t until)
{
	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(net->events);
		struct event *event = g_sequence_iter_is_end(first)
		    ? NULL
		    : g_sequence_get(first);
		usec_t due = event == NULL ? USEC_NEVER : event->at;
		int index = -1;

		for (unsigned i = 0; i < net->n_nodes; i++) {
			usec_t at = node_due(&net->nodes[i], net->now + 1);

			if (at < due) {
				due = at;
				index = (int)i;
			}
		}
		if (due > until)
			break;
		net->now = MAX(net->now, due);
		if (index >= 0) {
			run_node(net, (unsigned)index);
		} else if (event != NULL) {
			run_event(net, event);
			g_sequence_remove(first);
		}
		check_leases(net);
	}
	net->now = until;
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
claim(struct net *net, unsigned index, unsigned key)
{
	struct node *node = &net->nodes[index];
	struct quorum_claim_options options = {
	    .lease_term = net->lease_term,
	    .fenced = true,
	};
	quorum_ticket ticket = quorum_start_claim(node->quorum,
	    local_time(node, net->now), &net->keys[key],
	    net->keys[key].kind == QUORUM_LEASE ? &options : NULL);

	take_actions(net, index);
	return ticket;
}

static inline bool
is_ready(const struct net *net, unsigned index)
{
	const struct node *node = &net->nodes[index];

	return quorum_is_ready(node->quorum, local_time(node, net->now));
}

static inline bool
all_ready(const struct net *net)
{
	for (unsigned i = 0; i < net->n_nodes; i++) {
		if (net->nodes[i].quorum != NULL && !is_ready(net, i))
			return false;
	}
	return true;
}

static inline void
run_for(struct net *net, usec_t span)
{
	net_run(net, net->now + span);
}

/// Makes a fleet that has learnt to vote by waiting.
static inline struct net *
warm_net(uint32_t seed, unsigned n_nodes)
{
	struct net *net = net_new(seed, n_nodes, 0);

	net_run(net, WARM);
	assert_true(all_ready(net));
	return net;
}

static inline void
raise_version(struct net *net, unsigned index, unsigned key, uint64_t version)
{
	struct node *node = &net->nodes[index];

	quorum_raise_version(
	    node->quorum, local_time(node, net->now), &net->keys[key], version);
	take_actions(net, index);
}

static inline void
read_version(struct net *net, unsigned index, unsigned key)
{
	struct node *node = &net->nodes[index];

	quorum_read_version(
	    node->quorum, local_time(node, net->now), &net->keys[key]);
	take_actions(net, index);
}

/// Lists the nodes from `first` on, `n` of them.
static inline void
list_only(struct net *net, unsigned first, unsigned n)
{
	for (unsigned i = 0; i < net->n_nodes; i++)
		net->nodes[i].listed = i >= first && i < first + n;
	publish(net);
}

#endif
