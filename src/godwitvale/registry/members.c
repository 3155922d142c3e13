/* The membership list: reads it, checks it, and hands it to the parts. */
#include "godwitvale/registry/members.h"

#include <string.h>

#include <json-c/json.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/registry/ask.h"
#include "godwitvale/serve/actions.h"
#include "godwitvale/serve/parse.h"

/// The most instances that a list may name.
#define MEMBERS_MAX 4096
/// A read that takes longer is given up.
#define READ_TIMEOUT (2 * USEC_PER_SEC)

struct member_list {
	struct instance *instance;
	uint64_t revision;
	GPtrArray *members; /// of struct member
	usec_t read_due;
	usec_t asked_at; /// when the read that is pending was asked for
	bool pending;
};

/// Releases a member.
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

/// Reads a string field.
///
/// @param object  a JSON object
/// @param name    the field
/// @return its value, or NULL
static const char *
string_field(struct json_object *object, const char *name)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, name, &value) ||
	    !json_object_is_type(value, json_type_string))
		return NULL;
	return json_object_get_string(value);
}

/// Reads one member.
///
/// @param object  its JSON object
/// @return the member, or NULL when malformed
static struct member *
parse_member(struct json_object *object)
{
	const char *name = string_field(object, "name");
	const char *ip = string_field(object, "ip");
	const char *zone = string_field(object, "zone");
	const char *state = string_field(object, "state");
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

/// Reads the members of an answer.
///
/// @param array  the JSON array
/// @return the members, or NULL when one is malformed
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

/// Tells this instance's place among the listed ones, ordered alike by all.
///
/// @param list  the list
/// @return the number of listed instances before it
static unsigned
own_index(const struct member_list *list)
{
	node_id self = peer_self(list->instance->peer);
	unsigned index = 0;

	for (guint i = 0; i < list->members->len; i++) {
		const struct member *member =
		    g_ptr_array_index(list->members, i);

		index += member->id < self;
	}
	return index;
}

/// Hands the list to the quorum part and the router.
///
/// @param list      the list
/// @param asked_at  when the answer was asked for
static void
publish(struct member_list *list, usec_t asked_at)
{
	usec_t now = g_get_monotonic_time();
	struct view view = {
	    .revision = list->revision,
	    .requested_at = asked_at,
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
	router_set_instance_index(list->instance->router, own_index(list));
	metrics_set(METRIC_MEMBERS_REVISION, list->revision);
	g_free(view.members);
}

/// Takes an answer.
///
/// @param list      the list
/// @param root      the answer
/// @param asked_at  when it was asked for
/// @return false when malformed
static bool
take_answer(struct member_list *list, struct json_object *root, usec_t asked_at)
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
	publish(list, asked_at);
	return true;
}

/// Takes the end of a read.
///
/// @param status  HTTP status, 0 on failure
/// @param body    the answer, or NULL
/// @param data    the list
static void
on_answer(unsigned status, GBytes *body, gpointer data)
{
	struct member_list *list = data;
	struct json_object *root = NULL;
	gsize len = 0;
	const char *text;

	list->pending = false;
	if (status == SOUP_STATUS_NOT_MODIFIED && list->revision > 0) {
		publish(list, list->asked_at);
		actions_execute_pending(list->instance);
		return;
	}
	if (status == SOUP_STATUS_OK) {
		text = g_bytes_get_data(body, &len);
		root = parse_json(text, len, NULL);
	}
	if (!json_object_is_type(root, json_type_object) ||
	    !take_answer(list, root, list->asked_at))
		log_event(
		    LOG_LEVEL_WARN, "members_unreadable", "status=%u", status);
	json_object_put(root);
	actions_execute_pending(list->instance);
}

/// Makes an empty list.
///
/// @param instance  the instance
/// @return the list
struct member_list *
member_list_new(struct instance *instance)
{
	struct member_list *list = g_new0(struct member_list, 1);

	list->instance = instance;
	list->members = g_ptr_array_new_with_free_func(member_free);
	return list;
}

/// Releases a list.
///
/// @param list  the list
void
member_list_free(struct member_list *list)
{
	g_ptr_array_unref(list->members);
	g_free(list);
}

/// Reads the list when that is due.
///
/// @param list  the list
/// @param now   current time
void
member_list_tick(struct member_list *list, usec_t now)
{
	const struct settings *settings = list->instance->settings;
	char *path;

	if (list->pending || now < list->read_due)
		return;
	list->pending = true;
	list->asked_at = now;
	list->read_due = now + settings->members_interval;
	path = list->revision == 0
	    ? g_strdup("/members")
	    : g_strdup_printf(
		  "/members?after=%" G_GUINT64_FORMAT, list->revision);
	ask_get(list->instance, &settings->members, path, READ_TIMEOUT,
	    on_answer, list);
	g_free(path);
}

/// Reads the list at the next tick: a peer knows a newer one.
///
/// @param list  the list
void
member_list_read_soon(struct member_list *list)
{
	list->read_due = 0;
}

/// Finds a listed instance.
///
/// @param list  the list
/// @param id    its identifier
/// @return the member, or NULL
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

/// Lists all members.
///
/// @param list  the list
/// @return its own array of struct member
GPtrArray *
member_list_all(struct member_list *list)
{
	return list->members;
}

/// Tells the list's revision.
///
/// @param list  the list
/// @return the revision, 0 before the first answer
uint64_t
member_list_revision(const struct member_list *list)
{
	return list->revision;
}
