/*
 * Reads the list of members (instances) from the platform, checks it, and
 * passes it to the quorum module and the router.
 */
#include "godwitvale/registry/member_list.h"

#include <string.h>

#include <json-c/json.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/registry/http_get.h"
#include "godwitvale/serve/actions.h"
#include "godwitvale/serve/parse.h"

/// Maximum number of members in a list; a longer list is rejected.
#define MEMBERS_MAX 4096
/// Timeout of a read.
#define READ_TIMEOUT (2 * USEC_PER_SEC)

/// The member list that was read last.
struct member_list {
	struct instance *instance;
	uint64_t revision;   /// from the platform; 0 before the first read
	GPtrArray *members;  /// of struct member
	usec_t next_read_at; /// time from which the next read may start
	usec_t requested_at; /// time at which the last read was started
	bool read_pending;   /// a request is in progress
};

/// Frees a member.
///
/// @param data  the member
static void
member_free(gpointer data)
{
	struct member *member = data;

	g_free(member->name);
	g_free(member->ip);
	g_free(member->zone);
	g_free(member);
}

/// Returns the value of a string field.
///
/// @param object  JSON object that may have the field
/// @param name    name of the field
/// @return the value, owned by object; NULL when the field is missing or not a
///         string
static const char *
get_string_field(struct json_object *object, const char *name)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, name, &value) ||
	    !json_object_is_type(value, json_type_string))
		return NULL;
	return json_object_get_string(value);
}

/// Parses one member of the list.
///
/// @param object  JSON object of the member
/// @return the member, owned by the caller; NULL when malformed
static struct member *
parse_member(struct json_object *object)
{
	const char *name = get_string_field(object, "name");
	const char *ip = get_string_field(object, "ip");
	const char *zone = get_string_field(object, "zone");
	const char *state = get_string_field(object, "state");
	struct json_object *port = NULL;
	struct member *member;

	if (name == NULL || ip == NULL || zone == NULL || state == NULL ||
	    !g_hostname_is_ip_address(ip) ||
	    !json_object_object_get_ex(object, "peer_port", &port))
		return NULL;
	member = g_new0(struct member, 1);
	member->id = hash_name(name);
	member->name = g_strdup(name);
	member->ip = g_strdup(ip);
	member->zone = g_strdup(zone);
	member->peer_port = (uint16_t)json_object_get_int(port);
	member->leaving = strcmp(state, "leaving") == 0;
	return member;
}

/// Parses the members of a list.
///
/// @param array  JSON array of the members
/// @return array of struct member, owned by the caller; NULL when a member is
///         malformed or there are more than MEMBERS_MAX
static GPtrArray *
parse_members(struct json_object *array)
{
	GPtrArray *members = g_ptr_array_new_with_free_func(member_free);
	size_t n = json_object_array_length(array);

	for (size_t i = 0; i < n && n <= MEMBERS_MAX; i++) {
		struct member *member =
		    parse_member(json_object_array_get_idx(array, i));

		if (member == NULL)
			break;
		g_ptr_array_add(members, member);
	}
	if (members->len == n)
		return members;
	g_ptr_array_unref(members);
	return NULL;
}

/// Returns the index of this instance among the members, ordered by ID. All
/// instances with the same list compute the same order.
///
/// @param list  member list
/// @return number of members with a lower ID than this instance
static unsigned
get_own_index(const struct member_list *list)
{
	node_id self = peer_get_own_id(list->instance->peer);
	unsigned index = 0;

	for (guint i = 0; i < list->members->len; i++) {
		const struct member *member =
		    g_ptr_array_index(list->members, i);

		index += member->id < self;
	}
	return index;
}

/// Passes the list to the quorum module and the router, and its revision to the
/// metrics.
///
/// @param list          member list
/// @param requested_at  start time of the read that returned or confirmed the
///                      list
static void
publish_list(struct member_list *list, usec_t requested_at)
{
	usec_t now = g_get_monotonic_time();
	struct view view = {
	    .revision = list->revision,
	    .requested_at = requested_at,
	    .n_members = list->members->len,
	};

	view.members = g_new0(struct view_member, list->members->len);
	for (guint i = 0; i < list->members->len; i++) {
		const struct member *member =
		    g_ptr_array_index(list->members, i);

		view.members[i].id = member->id;
		view.members[i].zone = g_quark_from_string(member->zone);
		view.members[i].leaving = member->leaving;
	}
	quorum_set_view(list->instance->quorum, now, &view);
	router_set_instance_count(
	    list->instance->router, MAX(list->members->len, 1));
	router_set_instance_index(list->instance->router, get_own_index(list));
	metrics_set(METRIC_MEMBERS_REVISION, list->revision);
	g_free(view.members);
}

/// Replaces the list when the response has a higher revision, and publishes the
/// list. Rejects a response with a lower revision.
///
/// @param list          list to update
/// @param root          JSON object of the response
/// @param requested_at  time at which the read was started
/// @return false when the response is malformed or older than the list
static bool
apply_response(
    struct member_list *list, struct json_object *root, usec_t requested_at)
{
	struct json_object *value;
	uint64_t revision;
	GPtrArray *members;

	if (!json_object_object_get_ex(root, "revision", &value))
		return false;
	revision = json_object_get_uint64(value);
	if (revision < list->revision ||
	    !json_object_object_get_ex(root, "members", &value) ||
	    !json_object_is_type(value, json_type_array))
		return false;
	if (revision > list->revision) {
		members = parse_members(value);
		if (members == NULL)
			return false;
		g_ptr_array_unref(list->members);
		list->members = members;
		list->revision = revision;
	}
	publish_list(list, requested_at);
	return true;
}

/// Handles the end of a read. Logs a failed read or an unusable response.
///
/// @param status  HTTP status, 0 on failure
/// @param body    response body, or NULL
/// @param data    the list
static void
on_response(unsigned status, GBytes *body, gpointer data)
{
	struct member_list *list = data;
	struct json_object *root = NULL;
	gsize len = 0;
	const char *text;

	list->read_pending = false;
	if (status == SOUP_STATUS_NOT_MODIFIED && list->revision > 0) {
		publish_list(list, list->requested_at);
		actions_execute_pending(list->instance);
		return;
	}
	if (status == SOUP_STATUS_OK) {
		text = g_bytes_get_data(body, &len);
		root = parse_json(text, len, NULL);
	}
	if (!json_object_is_type(root, json_type_object) ||
	    !apply_response(list, root, list->requested_at))
		log_event(
		    LOG_LEVEL_WARN, "members_unreadable", "status=%u", status);
	json_object_put(root);
	actions_execute_pending(list->instance);
}

/// Creates an empty list, which is read at its first tick.
///
/// @param instance  this instance; its quorum module and router get the list
/// @return the list
struct member_list *
member_list_new(struct instance *instance)
{
	struct member_list *list = g_new0(struct member_list, 1);

	list->instance = instance;
	list->members = g_ptr_array_new_with_free_func(member_free);
	return list;
}

/// Frees a list. No read may be in progress.
///
/// @param list  list to free
void
member_list_free(struct member_list *list)
{
	g_ptr_array_unref(list->members);
	g_free(list);
}

/// Starts a read of the list when the next one is due and none is in progress.
///
/// @param list  list to read
/// @param now   current time
void
member_list_tick(struct member_list *list, usec_t now)
{
	const struct settings *settings = list->instance->settings;
	char *path;

	if (list->read_pending || now < list->next_read_at)
		return;
	list->read_pending = true;
	list->requested_at = now;
	list->next_read_at = now + settings->members_interval;
	path = list->revision == 0
	    ? g_strdup("/members")
	    : g_strdup_printf(
		  "/members?after=%" G_GUINT64_FORMAT, list->revision);
	http_get_start(list->instance, &settings->members, path, READ_TIMEOUT,
	    on_response, list);
	g_free(path);
}

/// Schedules a read of the list for the next tick, for example because a peer
/// has a newer revision.
///
/// @param list  list to read
void
member_list_schedule_read(struct member_list *list)
{
	list->next_read_at = 0;
}

/// Finds a member.
///
/// @param list  list to search
/// @param id    ID of the instance
/// @return the member, valid until the list changes; NULL when not listed
const struct member *
member_list_find(const struct member_list *list, node_id id)
{
	for (guint i = 0; i < list->members->len; i++) {
		const struct member *member =
		    g_ptr_array_index(list->members, i);

		if (member->id == id)
			return member;
	}
	return NULL;
}

/// Returns the members.
///
/// @param list  member list
/// @return array of struct member, owned by the list and valid until it changes
GPtrArray *
member_list_get_members(struct member_list *list)
{
	return list->members;
}

/// Returns the revision of the list.
///
/// @param list  member list
/// @return the revision, 0 before the first successful read
uint64_t
member_list_get_revision(const struct member_list *list)
{
	return list->revision;
}
