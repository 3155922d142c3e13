/*
 * Fakes of upstreams: engines that stream, resume and forget generations, and
 * plain services that count how often each request runs.
 */
#include "scenario.h"

#include "bounds.h"

#define TOKEN_INTERVAL (20 * USEC_PER_MSEC)
#define REPORT_TIMEOUT (2 * USEC_PER_SEC)
/// A load report that was asked for.
struct report {
	struct inst *inst;
	struct upstream *upstream;
	struct router_load_report report;
	bool heard;
};

/// An event on its way to an instance.
struct delivery {
	struct conn *conn;
	const struct call *of;
	uint64_t generation;
	uint32_t offset;
	bool end, gone, not_run;
};

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

/// Starts an upstream, cold.
void
upstream_start(struct world *world, struct upstream *upstream)
{
	upstream->up = true;
	upstream->noticed = upstream->epoch == 0 ||
	    world->now >= upstream->stopped_at + BOUND_COLD_NOTICED;
	upstream->epoch = ++world->next_epoch;
	upstream->started_at = world->now;
}

/// Gives the limit that an upstream bears now; all clocks' drift is granted.
uint32_t
upstream_limit(const struct world *world, const struct upstream *up)
{
	double span = (double)(world->now - up->started_at) * 1.01 + 100000;
	uint32_t rise;

	if (up->cold_limit >= up->max_running || span >= (double)up->warm_span)
		return up->max_running;
	rise = up->max_running - up->cold_limit;
	return up->cold_limit + (uint32_t)(rise * span / (double)up->warm_span);
}

static void
on_lost(struct world *world, void *data)
{
	struct delivery *delivery = data;

	(void)world;
	request_lost(delivery->conn, delivery->gone, delivery->not_run);
}

static void
lose_conn(struct world *world, struct conn *conn, bool gone, bool not_run)
{
	struct delivery delivery = {
	    .conn = conn, .gone = gone, .not_run = not_run};

	if (conn->silent || conn->inst->life != conn->life ||
	    !world_linked(world, &conn->upstream->end, &conn->inst->end))
		return;
	world_after(world, world_delay(world, true), conn->inst, on_lost,
	    g_memdup2(&delivery, sizeof(delivery)), true);
}

/// Ends an upstream's life with all its work.
void
upstream_kill(struct world *world, struct upstream *upstream)
{
	upstream->up = false;
	upstream->stopped_at = world->now;
	for (guint i = 0; i < upstream->work->len; i++)
		((struct work *)upstream->work->pdata[i])->over = true;
	for (guint i = 0; i < upstream->conns->len; i++)
		lose_conn(world, upstream->conns->pdata[i], false, false);
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
	if (conn->inst->life != conn->life)
		return;
	if (delivery->generation == 0)
		request_answered(conn, delivery->of);
	else
		request_event(conn, delivery->generation, delivery->offset,
		    delivery->end);
}

/// Finds whose answer it would be if answers came in the order of requests.
static struct conn *
oldest_waiting(const struct conn *conn)
{
	GPtrArray *conns = conn->upstream->conns;

	for (guint i = 0; i < conns->len; i++) {
		struct conn *other = conns->pdata[i];

		if (other->inst == conn->inst && !other->closed)
			return other;
	}
	return NULL;
}

/// Sends an event down a connection; a cut link leaves it silent for good.
static void
deliver(struct world *world, const struct delivery *delivery)
{
	struct delivery *copy;
	struct conn *conn = delivery->conn;

	if (delivery->generation == 0 && (world->naive & NAIVE_CROSSED) != 0)
		conn = oldest_waiting(conn);
	if (conn == NULL)
		return;
	if (!world_linked(world, &conn->upstream->end, &conn->inst->end))
		conn->silent = true;
	if (conn->silent || conn->closed)
		return;
	copy = g_memdup2(delivery, sizeof(*delivery));
	copy->conn = conn;
	world_after(world, world->latency, conn->inst, on_delivery, copy, true);
}

static void
send_token(struct world *world, const struct work *work, uint32_t offset)
{
	struct delivery delivery = {.conn = work->conn,
	    .generation = work->generation,
	    .offset = offset,
	    .end = offset == work->total};
	uint32_t chance = 0;

	if (work->upstream->garble && !delivery.end && offset > 0)
		chance = (uint32_t)g_rand_int_range(world->random, 1, 30);
	if (chance > 0 && chance < 4) {
		delivery.offset = offset - 1;
		deliver(world, &delivery);
		delivery.offset = offset;
	} else if (chance > 0 && chance < 8) {
		delivery.generation = work->generation + 100000;
		deliver(world, &delivery);
		delivery.generation = work->generation;
	} else if (chance == 8) {
		return;
	}
	deliver(world, &delivery);
}

static void
work_over(struct work *work)
{
	work->over = true;
	g_ptr_array_remove_fast(work->upstream->work, work);
	if (work->generation != 0)
		g_ptr_array_add(work->upstream->finished, work);
}

static void
on_work(struct world *world, void *data)
{
	struct work *work = data;
	struct delivery delivery = {.conn = work->conn, .of = work->call};

	if (work->over)
		return;
	if (!work->upstream->engine) {
		work_over(work);
		deliver(world, &delivery);
		return;
	}
	send_token(world, work, work->made);
	if (work->made == work->total) {
		work_over(work);
		return;
	}
	work->made++;
	world_after(world, TOKEN_INTERVAL, NULL, on_work, work, false);
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

/// Resumes a generation, running or finished, unless the engine restarted.
static void
resume(struct world *world, struct conn *conn)
{
	struct work *work = find_work(conn->upstream->work, conn);

	if (work == NULL)
		work = find_work(conn->upstream->finished, conn);
	if (work == NULL) {
		lose_conn(world, conn, true, false);
		return;
	}
	work->conn = conn;
	for (uint32_t i = conn->offset; i < work->made; i++)
		send_token(world, work, i);
	if (work->over)
		send_token(world, work, work->total);
}

static void
begin(struct world *world, struct conn *conn)
{
	struct upstream *upstream = conn->upstream;
	struct work *work = world_alloc(world, sizeof(*work));

	work->upstream = upstream;
	work->epoch = upstream->epoch;
	work->call = conn->call;
	work->conn = conn;
	work->began_at = world->now;
	work->total = conn->call->tokens;
	if (upstream->engine)
		work->generation = ++world->next_generation;
	g_ptr_array_add(upstream->work, work);
	check_run(upstream, conn->call);
	check_cold(upstream);
	world_after(world,
	    upstream->engine ? TOKEN_INTERVAL : upstream->work_span, NULL,
	    on_work, work, false);
}

/// A request reaches its upstream.
static void
on_open(struct world *world, void *data)
{
	struct conn *conn = data;
	struct upstream *upstream = conn->upstream;

	if (!world_passes(world, &conn->inst->end, &upstream->end)) {
		conn->silent = true;
		return;
	}
	if (!upstream->up) {
		lose_conn(world, conn, false, false);
		return;
	}
	conn->epoch = upstream->epoch;
	g_ptr_array_add(upstream->conns, conn);
	if (conn->resume)
		resume(world, conn);
	else
		begin(world, conn);
}

/// Sends a request, whose bytes leave the instance now.
void
upstream_open(struct world *world, struct conn *conn)
{
	world_after(
	    world, world_delay(world, true), NULL, on_open, conn, false);
}

static void
on_report(struct world *world, void *data)
{
	struct report *report = data;
	struct inst *inst = report->inst;
	router_upstream handle = inst->handles[report->upstream->end.index];

	(void)world;
	g_hash_table_remove(inst->pending_reports, report->upstream);
	if (report->heard)
		router_report_load(
		    inst->router, inst_now(inst), handle, &report->report);
	else
		router_mark_unresponsive(inst->router, inst_now(inst), handle);
	inst_drive(inst);
}

/// Fills in a report at the upstream and sends it back.
static void
at_upstream(struct world *world, void *data)
{
	struct report *report = data;
	struct upstream *upstream = report->upstream;
	bool linked = world_linked(world, &report->inst->end, &upstream->end);

	report->heard = linked && upstream->up;
	report->report.start_epoch = upstream->epoch;
	report->report.uptime = world->now - upstream->started_at;
	report->report.running = upstream->work->len;
	report->report.used_tokens = upstream->work->len * 10;
	world_after(world, linked ? world_delay(world, true) : REPORT_TIMEOUT,
	    report->inst, on_report, g_memdup2(report, sizeof(*report)), true);
}

/// Asks an upstream for its load.
void
upstream_report(struct inst *inst, struct upstream *upstream)
{
	struct report report = {.inst = inst, .upstream = upstream};

	report.report.requested_at = inst_now(inst);
	if (!g_hash_table_add(inst->pending_reports, upstream))
		return;
	world_after(inst->world, world_delay(inst->world, true), inst,
	    at_upstream, g_memdup2(&report, sizeof(report)), true);
}
