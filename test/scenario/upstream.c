/*
 * Simulates upstreams: engines that stream and resume generations and lose them
 * at a restart, and plain services that answer each request once.
 */
#include "scenario.h"

#include "bounds.h"

#define TOKEN_INTERVAL (20 * USEC_PER_MSEC)
#define REPORT_TIMEOUT (2 * USEC_PER_SEC)
/// A load report that an instance requested from an upstream.
struct report {
	struct inst *inst;
	struct upstream *upstream;
	struct router_load_report report;
	bool responded; /// the upstream was up and reachable
};

/// An event or answer in flight from an upstream to an instance.
struct delivery {
	struct conn *conn;
	const struct call *answered_call;
	uint64_t generation; /// ID; 0 for the answer of a plain service
	uint32_t offset;
	bool end, generation_gone, not_run;
};

/// Creates an upstream that is not started yet.
struct upstream *
upstream_new(struct world *world, const char *name)
{
	struct upstream *upstream = world_alloc(world, sizeof(*upstream));

	upstream->end.name = (char *)g_intern_string(name);
	upstream->end.index = world->upstreams->len;
	upstream->max_running = 8;
	upstream->cold_limit = 8;
	upstream->warm_span = 10 * USEC_PER_SEC;
	upstream->work_span = 50 * USEC_PER_MSEC;
	upstream->idempotent = true;
	upstream->service = (char *)"";
	upstream->work = g_ptr_array_new();
	upstream->finished = g_ptr_array_new();
	upstream->conns = g_ptr_array_new();
	g_ptr_array_add(world->upstreams, upstream);
	return upstream;
}

/// Starts an upstream, which is cold at first.
void
upstream_start(struct world *world, struct upstream *upstream)
{
	upstream->up = true;
	upstream->stop_noticed = upstream->epoch == 0 ||
	    world->now >= upstream->stopped_at + BOUND_COLD_NOTICED;
	upstream->epoch = ++world->last_epoch;
	upstream->started_at = world->now;
}

/// Returns the number of concurrent runs that a warming upstream permits now.
/// The uptime is raised by 1 % and 100 ms to allow for the drift of clocks.
uint32_t
upstream_current_limit(const struct world *world, const struct upstream *up)
{
	double span = (double)(world->now - up->started_at) * 1.01 + 100000;
	uint32_t range;

	if (up->cold_limit >= up->max_running || span >= (double)up->warm_span)
		return up->max_running;
	range = up->max_running - up->cold_limit;
	return up->cold_limit +
	    (uint32_t)(range * span / (double)up->warm_span);
}

static void
on_conn_loss(struct world *world, void *data)
{
	struct delivery *delivery = data;

	(void)world;
	request_handle_conn_loss(
	    delivery->conn, delivery->generation_gone, delivery->not_run);
}

/// Notifies the instance that a connection ended, unless a link is cut.
static void
fail_conn(
    struct world *world, struct conn *conn, bool generation_gone, bool not_run)
{
	struct delivery delivery = {.conn = conn,
	    .generation_gone = generation_gone,
	    .not_run = not_run};

	if (conn->silent || conn->inst->incarnation != conn->incarnation ||
	    !world_is_connected(world, &conn->upstream->end, &conn->inst->end))
		return;
	world_schedule(world, world_draw_delay(world, true), conn->inst,
	    on_conn_loss, g_memdup2(&delivery, sizeof(delivery)), true);
}

/// Stops an upstream at once: its runs end, its connections are lost.
void
upstream_stop(struct world *world, struct upstream *upstream)
{
	upstream->up = false;
	upstream->stopped_at = world->now;
	for (guint i = 0; i < upstream->work->len; i++)
		((struct work *)upstream->work->pdata[i])->done = true;
	for (guint i = 0; i < upstream->conns->len; i++)
		fail_conn(world, upstream->conns->pdata[i], false, false);
	g_ptr_array_set_size(upstream->work, 0);
	g_ptr_array_set_size(upstream->finished, 0);
	g_ptr_array_set_size(upstream->conns, 0);
}

static void
on_delivery(struct world *world, void *data)
{
	struct delivery *delivery = data;
	struct conn *conn = delivery->conn;

	(void)world;
	if (conn->inst->incarnation != conn->incarnation)
		return;
	if (delivery->generation == 0)
		request_handle_service_answer(conn, delivery->answered_call);
	else
		request_handle_stream_event(conn, delivery->generation,
		    delivery->offset, delivery->end);
}

/// Returns the oldest open connection of the same instance, which gets the
/// answer under NAIVE_CROSSED.
static struct conn *
find_oldest_conn(const struct conn *conn)
{
	GPtrArray *conns = conn->upstream->conns;

	for (guint i = 0; i < conns->len; i++) {
		struct conn *other = conns->pdata[i];

		if (other->inst == conn->inst && !other->closed)
			return other;
	}
	return NULL;
}

/// Sends an event on a connection. A cut link silences the connection for good.
static void
send_delivery(struct world *world, const struct delivery *delivery)
{
	struct delivery *copy;
	struct conn *conn = delivery->conn;

	if (delivery->generation == 0 && (world->naive & NAIVE_CROSSED) != 0)
		conn = find_oldest_conn(conn);
	if (conn == NULL)
		return;
	if (!world_is_connected(world, &conn->upstream->end, &conn->inst->end))
		conn->silent = true;
	if (conn->silent || conn->closed)
		return;
	copy = g_memdup2(delivery, sizeof(*delivery));
	copy->conn = conn;
	world_schedule(
	    world, world->latency, conn->inst, on_delivery, copy, true);
}

/// Sends a token, or the end of the generation after the last token. Under
/// `garble`, at random sends a stale or foreign event first, or drops the
/// token.
static void
send_token(struct world *world, const struct work *work, uint32_t offset)
{
	struct delivery delivery = {.conn = work->conn,
	    .generation = work->generation,
	    .offset = offset,
	    .end = offset == work->n_tokens};
	uint32_t draw = 0;

	if (work->upstream->garble && !delivery.end && offset > 0)
		draw = (uint32_t)g_rand_int_range(world->random, 1, 30);
	if (draw > 0 && draw < 4) {
		delivery.offset = offset - 1;
		send_delivery(world, &delivery);
		delivery.offset = offset;
	} else if (draw > 0 && draw < 8) {
		delivery.generation = work->generation + 100000;
		send_delivery(world, &delivery);
		delivery.generation = work->generation;
	} else if (draw == 8) {
		return;
	}
	send_delivery(world, &delivery);
}

static void
finish_work(struct work *work)
{
	work->done = true;
	g_ptr_array_remove_fast(work->upstream->work, work);
	if (work->generation != 0)
		g_ptr_array_add(work->upstream->finished, work);
}

/// Finishes a run at a plain service, or generates the next token.
static void
on_work_step(struct world *world, void *data)
{
	struct work *work = data;
	struct delivery delivery = {
	    .conn = work->conn, .answered_call = work->call};

	if (work->done)
		return;
	if (!work->upstream->engine) {
		finish_work(work);
		send_delivery(world, &delivery);
		return;
	}
	send_token(world, work, work->n_generated);
	if (work->n_generated == work->n_tokens) {
		finish_work(work);
		return;
	}
	work->n_generated++;
	world_schedule(world, TOKEN_INTERVAL, NULL, on_work_step, work, false);
}

static struct work *
find_work(GPtrArray *all, const struct conn *conn)
{
	for (guint i = 0; i < all->len; i++) {
		struct work *work = all->pdata[i];

		if (work->generation == conn->generation)
			return work;
	}
	return NULL;
}

/// Resumes a running or finished generation from the requested token. Fails the
/// connection if the engine lost the generation at a restart.
static void
resume_generation(struct world *world, struct conn *conn)
{
	struct work *work = find_work(conn->upstream->work, conn);

	if (work == NULL)
		work = find_work(conn->upstream->finished, conn);
	if (work == NULL) {
		fail_conn(world, conn, true, false);
		return;
	}
	work->conn = conn;
	for (uint32_t i = conn->offset; i < work->n_generated; i++)
		send_token(world, work, i);
	if (work->done)
		send_token(world, work, work->n_tokens);
}

static void
start_work(struct world *world, struct conn *conn)
{
	struct upstream *upstream = conn->upstream;
	struct work *work = world_alloc(world, sizeof(*work));

	work->upstream = upstream;
	work->epoch = upstream->epoch;
	work->call = conn->call;
	work->conn = conn;
	work->started_at = world->now;
	work->n_tokens = conn->call->tokens;
	if (upstream->engine)
		work->generation = ++world->last_generation_id;
	g_ptr_array_add(upstream->work, work);
	check_run_start(upstream, conn->call);
	check_cold_load(upstream);
	world_schedule(world,
	    upstream->engine ? TOKEN_INTERVAL : upstream->work_span, NULL,
	    on_work_step, work, false);
}

/// Handles a request at its upstream.
static void
on_request(struct world *world, void *data)
{
	struct conn *conn = data;
	struct upstream *upstream = conn->upstream;

	if (!world_is_reachable(world, &conn->inst->end, &upstream->end)) {
		conn->silent = true;
		return;
	}
	if (!upstream->up) {
		fail_conn(world, conn, false, false);
		return;
	}
	conn->epoch = upstream->epoch;
	g_ptr_array_add(upstream->conns, conn);
	if (conn->resume)
		resume_generation(world, conn);
	else
		start_work(world, conn);
}

/// Sends a request to its upstream. The bytes leave the instance now.
void
upstream_send_request(struct world *world, struct conn *conn)
{
	world_schedule(world, world_draw_delay(world, true), NULL, on_request,
	    conn, false);
}

static void
on_report_response(struct world *world, void *data)
{
	struct report *report = data;
	struct inst *inst = report->inst;
	router_upstream handle =
	    inst->router_handles[report->upstream->end.index];

	(void)world;
	g_hash_table_remove(inst->pending_reports, report->upstream);
	if (report->responded)
		router_report_load(
		    inst->router, inst_now(inst), handle, &report->report);
	else
		router_mark_unresponsive(inst->router, inst_now(inst), handle);
	inst_run_actions(inst);
}

/// Fills in a load report at the upstream and sends it to the instance.
static void
on_report_request(struct world *world, void *data)
{
	struct report *report = data;
	struct upstream *upstream = report->upstream;
	bool linked =
	    world_is_connected(world, &report->inst->end, &upstream->end);

	report->responded = linked && upstream->up;
	report->report.start_epoch = upstream->epoch;
	report->report.uptime = world->now - upstream->started_at;
	report->report.running = upstream->work->len;
	report->report.used_tokens = upstream->work->len * 10;
	world_schedule(world,
	    linked ? world_draw_delay(world, true) : REPORT_TIMEOUT,
	    report->inst, on_report_response,
	    g_memdup2(report, sizeof(*report)), true);
}

/// Requests a load report from an upstream unless a request is in flight.
void
upstream_request_load(struct inst *inst, struct upstream *upstream)
{
	struct report report = {.inst = inst, .upstream = upstream};

	report.report.requested_at = inst_now(inst);
	if (!g_hash_table_add(inst->pending_reports, upstream))
		return;
	world_schedule(inst->world, world_draw_delay(inst->world, true), inst,
	    on_report_request, g_memdup2(&report, sizeof(report)), true);
}
