/* What an instance has missed, asked of a member that knows more. */
#include "godwitvale/fleet/catch_up.h"

#include "godwitvale/fleet/fleet_codec.h"
#include "godwitvale/http/fetch.h"
#include "godwitvale/ops/log.h"

/// A peer that knows more is asked for a snapshot after this long: in calm
/// the store tells sooner.
#define CATCH_UP_SPAN (300 * USEC_PER_MSEC)
/// Instances that are behind at the same moment ask spread over this span for
/// each of them, so that those that ask later find more who know.
#define CATCH_UP_INSTANCE (10 * USEC_PER_MSEC)
/// For the answer to that question.
#define CATCH_UP_SNAPSHOT_SPAN (500 * USEC_PER_MSEC)

struct catch_up {
	struct view *view;
	struct pool *pool;
	const struct membership *membership;
	uint16_t control_port;
	usec_t behind_since; /// a member has known more since; 0: none does
	usec_t patience;     /// before one is asked
	struct fetch *fetch;
};

/// Makes the catching up of one instance.
///
/// @param view          of the store; kept
/// @param pool          connections to other instances; kept
/// @param membership    the other instances; kept
/// @param control_port  HTTP, the same at every instance
/// @return the catching up; free with catch_up_free()
struct catch_up *
catch_up_new(struct view *view, struct pool *pool,
    const struct membership *membership, uint16_t control_port)
{
	struct catch_up *catch_up = g_new0(struct catch_up, 1);

	catch_up->view = view;
	catch_up->pool = pool;
	catch_up->membership = membership;
	catch_up->control_port = control_port;
	return catch_up;
}

/// Stops it.
///
/// @param catch_up  the catching up
void
catch_up_free(struct catch_up *catch_up)
{
	g_clear_pointer(&catch_up->fetch, fetch_cancel);
	g_free(catch_up);
}

/// Takes a snapshot of a peer.
static void
take_snapshot(struct catch_up *catch_up, const fleet_snapshot *snapshot)
{
	struct view *view = catch_up->view;
	usec_t now = g_get_monotonic_time();
	GPtrArray *items = fleet_items_to_site(
	    snapshot->items.items_val, snapshot->items.items_len);
	GPtrArray *parts[] = {g_ptr_array_new(), g_ptr_array_new()};

	for (guint i = 0; i < items->len; i++) {
		struct site_item *item = items->pdata[i];

		g_ptr_array_add(parts[item->kind == SITE_ITEM_UPSTREAM
					? SITE_SCOPE_UPSTREAMS
					: SITE_SCOPE_OPERATOR],
		    item);
	}
	log_event(LOG_LEVEL_INFO, "peer-snapshot",
	    "directory_revision=%" G_GUINT64_FORMAT
	    " operator_revision=%" G_GUINT64_FORMAT " items=%u",
	    snapshot->directory_revision, snapshot->operator_revision,
	    items->len);
	view_take_list(view, now, SITE_SCOPE_UPSTREAMS,
	    parts[SITE_SCOPE_UPSTREAMS], snapshot->directory_revision);
	view_take_list(view, now, SITE_SCOPE_OPERATOR,
	    parts[SITE_SCOPE_OPERATOR], snapshot->operator_revision);
	g_ptr_array_unref(parts[0]);
	g_ptr_array_unref(parts[1]);
	g_ptr_array_unref(items);
}

/// Fetch callback: a peer has answered the question for a snapshot.
static void
on_snapshot(void *owner, const struct fetch_response *answer)
{
	struct catch_up *catch_up = owner;
	fleet_snapshot snapshot;

	catch_up->fetch = NULL;
	if (answer->status != 200 ||
	    !fleet_snapshot_decode(answer->body, answer->len, &snapshot)) {
		log_event(LOG_LEVEL_WARN, "peer-snapshot-failed",
		    "status=%u reason=%s", answer->status,
		    answer->failure == NULL ? "unreadable" : answer->failure);
		return;
	}
	take_snapshot(catch_up, &snapshot);
	xdr_free((xdrproc_t)xdr_fleet_snapshot, (char *)&snapshot);
}

/// Whether a peer knows what this instance doesn't.
static const struct member *
better_informed(const struct catch_up *catch_up)
{
	const struct view *view = catch_up->view;
	const struct member *newest =
	    membership_find_newest_config(catch_up->membership);

	if (newest == NULL || newest->config_revision == 0)
		return NULL;
	if (newest->config_revision > view_config_revision(view))
		return newest;
	return view_revision(view, SITE_SCOPE_UPSTREAMS) == 0 &&
		newest->directory_revision > 0
	    ? newest
	    : NULL;
}

/// Asks a member that knows more, once that has lasted.
///
/// @param catch_up  the catching up
/// @param now       time
void
catch_up_tick(struct catch_up *catch_up, usec_t now)
{
	const struct member *member = better_informed(catch_up);
	struct fetch_options options = {
	    .pool = catch_up->pool,
	    .method = "GET",
	    .target = CATCH_UP_SNAPSHOT_TARGET,
	    .deadline = now + CATCH_UP_SNAPSHOT_SPAN,
	    .handler = on_snapshot,
	    .owner = catch_up,
	};
	char *address;

	if (member == NULL) {
		catch_up->behind_since = 0;
		return;
	}
	if (catch_up->behind_since == 0) {
		catch_up->behind_since = now;
		catch_up->patience = CATCH_UP_SPAN +
		    g_random_int_range(0,
			(gint32)(membership_size(catch_up->membership) *
			    CATCH_UP_INSTANCE));
	}
	if (catch_up->fetch != NULL ||
	    now < catch_up->behind_since + catch_up->patience)
		return;
	address = g_strdup_printf("%s:%u", member->ip, catch_up->control_port);
	options.address = address;
	catch_up->fetch = fetch_start(&options);
	g_free(address);
}

/// Encodes all that a view has read, for an instance that asks.
///
/// @param view  the view
/// @return the bytes, or NULL when there is nothing to tell
GBytes *
catch_up_snapshot(const struct view *view)
{
	GPtrArray *items = view_items(view);
	GArray *wire = g_array_new(false, false, sizeof(fleet_item));
	fleet_snapshot snapshot = {
	    .directory_revision = view_revision(view, SITE_SCOPE_UPSTREAMS),
	    .operator_revision = view_revision(view, SITE_SCOPE_OPERATOR),
	};
	GBytes *bytes = NULL;

	for (guint i = 0; i < items->len; i++) {
		fleet_item item = fleet_item_from(items->pdata[i]);

		g_array_append_val(wire, item);
	}
	snapshot.items.items_len = wire->len;
	snapshot.items.items_val = (fleet_item *)(void *)wire->data;
	if (wire->len > 0)
		bytes = fleet_snapshot_encode(&snapshot);
	g_array_unref(wire);
	g_ptr_array_unref(items);
	return bytes;
}
