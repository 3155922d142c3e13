/*
 * Checks one version of the configuration. The cost is linear in its size,
 * also if it was made to be costly.
 */
#include "godwitvale/core/config_check.h"

#include <string.h>

#include "godwitvale/core/client_limits.h"
#include "godwitvale/core/deployment.h"

/// Longest host that deployment_find_route() finds, in bytes.
#define HOST_BYTES_MAX 255

/// State of one check.
struct check {
	const struct deployment *deployment;
	const struct config_surroundings *surroundings;
	struct config_findings *findings;
};

/// Adds a finding on a field of a route.
///
/// @return the finding; NULL if the list is full
static struct config_finding *
add_route_finding(struct check *check, enum config_finding_kind kind,
    const struct route *route, enum config_field field)
{
	const struct config_place place = {
	    .section = CONFIG_ROUTES, .index = route->index, .field = field};
	struct config_finding *finding =
	    config_findings_add(check->findings, kind, &place);

	if (finding != NULL)
		finding->subject = config_finding_text(route->name);
	return finding;
}

/// Adds a finding on a service or an organisation as a whole, or on one of its
/// fields.
///
/// @return the finding; NULL if the list is full
static struct config_finding *
add_named_finding(struct check *check, enum config_finding_kind kind,
    const struct config_place *place, const char *name)
{
	struct config_finding *finding =
	    config_findings_add(check->findings, kind, place);

	if (finding != NULL)
		finding->subject = config_finding_text(name);
	return finding;
}

/// Sets the other place of a finding.
static void
set_related(
    struct config_finding *finding, enum config_section section, uint32_t index)
{
	if (finding == NULL)
		return;
	finding->has_related = true;
	finding->related.section = section;
	finding->related.index = index;
}

/// Checks for routes of the same host and prefix, of which the first one gets
/// all requests, and for routes of the same name.
static void
check_duplicate_routes(struct check *check)
{
	GHashTable *matches =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < check->deployment->routes->len; i++) {
		struct route *route = check->deployment->routes->pdata[i];
		char *match =
		    g_strconcat(route->host, "\n", route->prefix, NULL);
		const struct route *first = g_hash_table_lookup(matches, match);
		const struct route *namesake =
		    g_hash_table_lookup(names, route->name);

		if (first != NULL)
			set_related(
			    add_route_finding(check, CONFIG_ROUTE_SHADOWED,
				route, CONFIG_FIELD_PREFIX),
			    CONFIG_ROUTES, first->index);
		else if (namesake != NULL)
			set_related(
			    add_route_finding(check, CONFIG_ROUTE_NAME_REPEATED,
				route, CONFIG_FIELD_NAME),
			    CONFIG_ROUTES, namesake->index);
		if (namesake == NULL)
			g_hash_table_insert(names, route->name, route);
		if (first == NULL)
			g_hash_table_insert(matches, match, route);
		else
			g_free(match);
	}
	g_hash_table_unref(names);
	g_hash_table_unref(matches);
}

/// Checks whether a text may be a part of the head of a request.
static bool
is_visible(const char *text)
{
	for (; *text != '\0'; text++)
		if ((unsigned char)*text <= ' ' || *text == 0x7f)
			return false;
	return true;
}

/// Checks whether a request can match a route.
static void
check_match(struct check *check, const struct route *route)
{
	size_t host_len = strlen(route->host);

	if (host_len == 0 || host_len > HOST_BYTES_MAX ||
	    strchr(route->host, ':') != NULL || !is_visible(route->host))
		add_route_finding(
		    check, CONFIG_HOST_UNMATCHED, route, CONFIG_FIELD_HOST);
	if ((route->prefix[0] != '/' && route->prefix[0] != '\0') ||
	    !is_visible(route->prefix))
		add_route_finding(
		    check, CONFIG_PREFIX_UNMATCHED, route, CONFIG_FIELD_PREFIX);
}

/// Formats a time.
static char *
format_time(usec_t time)
{
	return g_strdup_printf("%" G_GINT64_FORMAT " ms", time / USEC_PER_MSEC);
}

/// Checks the times and the number of attempts of a route.
static void
check_times(struct check *check, const struct route *route)
{
	struct config_finding *finding = NULL;

	if (route->timeout == 0) {
		add_route_finding(
		    check, CONFIG_TIMEOUT_ZERO, route, CONFIG_FIELD_TIMEOUT);
	} else if (route->timeout < route->target_latency) {
		finding = add_route_finding(check, CONFIG_TIMEOUT_UNDER_TARGET,
		    route, CONFIG_FIELD_TIMEOUT);
		set_related(finding, CONFIG_ROUTES, route->index);
	}
	if (finding != NULL) {
		finding->related.field = CONFIG_FIELD_TARGET_LATENCY;
		finding->before = format_time(route->target_latency);
		finding->after = format_time(route->timeout);
	}
	if (route->kind == ROUTE_AT_MOST_ONCE && route->max_attempts > 1)
		add_route_finding(check, CONFIG_ATTEMPTS_UNUSED, route,
		    CONFIG_FIELD_MAX_ATTEMPTS);
	if (route->kind != ROUTE_STREAM && route->target_gap > 0)
		add_route_finding(check, CONFIG_GAP_WITHOUT_STREAM, route,
		    CONFIG_FIELD_TARGET_GAP);
}

/// Adds a finding on one of the services of a route.
static void
add_share_finding(struct check *check, enum config_finding_kind kind,
    const struct route *route, guint share)
{
	struct config_finding *finding =
	    add_route_finding(check, kind, route, CONFIG_FIELD_SHARES);

	if (finding == NULL)
		return;
	finding->place.item = share + 1;
	finding->place.inner = CONFIG_FIELD_SERVICE;
	finding->other = config_finding_text(
	    g_array_index(route->shares, struct route_share, share).service);
}

/// Checks the services and the weights of a route.
///
/// @param used       set of names of services that get requests; extended
/// @param available  services that have an upstream; NULL: not known
static void
check_shares(struct check *check, const struct route *route, GHashTable *used,
    GHashTable *available)
{
	uint64_t total = 0;
	uint64_t lost = 0;

	for (guint i = 0; i < route->shares->len; i++) {
		const struct route_share *share =
		    &g_array_index(route->shares, struct route_share, i);

		total += share->weight;
		if (!g_hash_table_contains(
			check->deployment->services, share->service))
			add_share_finding(
			    check, CONFIG_SERVICE_MISSING, route, i);
		if (share->weight == 0)
			continue;
		g_hash_table_add(used, share->service);
		if (available != NULL &&
		    !g_hash_table_contains(available, share->service))
			lost += share->weight;
	}
	if (total == 0)
		add_route_finding(check, CONFIG_ROUTE_WITHOUT_WEIGHT, route,
		    CONFIG_FIELD_SHARES);
	else if (lost == total)
		add_route_finding(check, CONFIG_ROUTE_WITHOUT_UPSTREAM, route,
		    CONFIG_FIELD_SHARES);
	for (guint i = 0; lost > 0 && lost < total && i < route->shares->len;
	     i++) {
		const struct route_share *share =
		    &g_array_index(route->shares, struct route_share, i);

		if (share->weight > 0 &&
		    !g_hash_table_contains(available, share->service))
			add_share_finding(
			    check, CONFIG_SHARE_WITHOUT_UPSTREAM, route, i);
	}
}

/// Finds the services that have an upstream outside of the evacuated zones.
///
/// @return set of their names, or NULL if the upstreams aren't known
static GHashTable *
find_available_services(const struct config_surroundings *surroundings)
{
	GHashTable *available;

	if (surroundings->upstreams == NULL)
		return NULL;
	available = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < surroundings->upstreams->len; i++) {
		const struct upstream_entry *entry =
		    surroundings->upstreams->pdata[i];

		if (entry->state == UPSTREAM_READY &&
		    (surroundings->evacuated == NULL ||
			!g_hash_table_contains(
			    surroundings->evacuated, entry->zone)))
			g_hash_table_add(available, entry->service);
	}
	return available;
}

/// Checks for services that get no request from any route.
///
/// @param used  set of names of services that get requests
static void
check_unused_services(struct check *check, GHashTable *used)
{
	GPtrArray *services = deployment_list_services(check->deployment);

	for (guint i = 0; i < services->len; i++) {
		const struct service *service = services->pdata[i];
		const struct config_place place = {
		    .section = CONFIG_SERVICES, .index = service->index};

		if (!g_hash_table_contains(used, service->name))
			add_named_finding(check, CONFIG_SERVICE_UNUSED, &place,
			    service->name);
	}
	g_ptr_array_unref(services);
}

/// Checks for organisations that can't send requests, and for two of the same
/// name.
static void
check_organisations(struct check *check)
{
	const struct deployment *deployment = check->deployment;
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *owners = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	void *owner;

	g_hash_table_iter_init(&iter, deployment->keys);
	while (g_hash_table_iter_next(&iter, NULL, &owner))
		g_hash_table_add(owners, owner);
	for (guint i = 0; i < deployment->organisations->len; i++) {
		struct organisation *organisation =
		    deployment->organisations->pdata[i];
		const struct organisation *first =
		    g_hash_table_lookup(names, organisation->name);
		const struct config_place place = {
		    .section = CONFIG_ORGANISATIONS, .index = i};

		if (first != NULL)
			set_related(add_named_finding(check,
					CONFIG_ORGANISATION_REPEATED, &place,
					organisation->name),
			    CONFIG_ORGANISATIONS, first->index);
		else
			g_hash_table_insert(
			    names, organisation->name, organisation);
		if (!g_hash_table_contains(owners, organisation))
			add_named_finding(
			    check, CONFIG_KEYLESS, &place, organisation->name);
	}
	g_hash_table_unref(owners);
	g_hash_table_unref(names);
}

/// Checks whether there is a key for routes that need one.
static void
check_keys_exist(struct check *check)
{
	const struct config_place place = {.field = CONFIG_FIELD_ORGANISATIONS};
	const struct deployment *deployment = check->deployment;

	if (!deployment->needs_keys || g_hash_table_size(deployment->keys) > 0)
		return;
	for (guint i = 0; i < deployment->routes->len; i++) {
		const struct route *route = deployment->routes->pdata[i];

		if (route->is_public)
			continue;
		config_findings_add(
		    check->findings, CONFIG_NO_ORGANISATION, &place);
		return;
	}
}

/// Adds a finding on a key that occurs twice.
static void
add_key_conflict(
    struct check *check, const struct deployment_conflict *conflict)
{
	const GPtrArray *organisations = check->deployment->organisations;
	const struct organisation *later =
	    organisations->pdata[conflict->later];
	const struct organisation *earlier =
	    organisations->pdata[conflict->index];
	const struct config_place place = {
	    .section = CONFIG_ORGANISATIONS,
	    .index = conflict->later,
	    .field = CONFIG_FIELD_KEYS,
	    .item = conflict->item + 1,
	};
	struct config_finding *finding = add_named_finding(check,
	    later == earlier ? CONFIG_KEY_REPEATED : CONFIG_KEY_SHARED, &place,
	    later->name);

	set_related(finding, CONFIG_ORGANISATIONS, conflict->index);
	if (finding != NULL)
		finding->other = config_finding_text(earlier->name);
}

/// Reports the names that occur twice, as far as the configuration has recorded
/// them.
static void
check_conflicts(struct check *check)
{
	const GArray *conflicts = check->deployment->conflicts;

	for (guint i = 0; conflicts != NULL && i < conflicts->len; i++) {
		const struct deployment_conflict *conflict =
		    &g_array_index(conflicts, struct deployment_conflict, i);
		const struct config_place place = {
		    .section = CONFIG_SERVICES, .index = conflict->index};

		if (conflict->kind == DEPLOYMENT_KEY_REPLACED)
			add_key_conflict(check, conflict);
		else
			set_related(config_findings_add(check->findings,
					CONFIG_SERVICE_REPEATED, &place),
			    CONFIG_SERVICES, conflict->later);
	}
}

/// Checks whether the bytes for all clients fit beside the kernel's buffers for
/// their connections.
///
/// @param needed  bytes for all clients, of which the machine has as many
static void
check_sockets(
    struct check *check, const struct config_place *place, uint64_t needed)
{
	const struct config_surroundings *surroundings = check->surroundings;
	uint64_t sockets = client_limits_derive_socket_bound(
	    surroundings->memory_mb, surroundings->socket_memory_mb);
	struct config_finding *finding;

	if (!client_limits_exceed_machine(
		surroundings->memory_mb, needed, sockets))
		return;
	finding = config_findings_add(
	    check->findings, CONFIG_BODY_AND_SOCKETS_OVER_MEMORY, place);
	if (finding != NULL)
		finding->before = g_strdup_printf("%" G_GUINT64_FORMAT,
		    client_limits_derive_room(surroundings->memory_mb));
}

/// Checks the longest body that is accepted against the machine's memory.
static void
check_body(struct check *check)
{
	const struct config_surroundings *surroundings = check->surroundings;
	const struct config_place place = {
	    .section = CONFIG_LIMITS, .field = CONFIG_FIELD_MAX_BODY_BYTES};
	uint32_t max_body = check->deployment->limits.max_body_bytes;
	uint64_t room;
	uint64_t intended;
	uint64_t needed;
	struct config_finding *finding = NULL;

	if (!surroundings->has_memory)
		return;
	room = client_limits_derive_room(surroundings->memory_mb);
	intended = client_limits_derive_bound(
	    surroundings->memory_mb, surroundings->caller_memory_mb, 0);
	needed = client_limits_derive_bound(
	    surroundings->memory_mb, surroundings->caller_memory_mb, max_body);
	if (needed <= room)
		check_sockets(check, &place, needed);
	if (needed > room)
		finding = config_findings_add(
		    check->findings, CONFIG_BODY_OVER_MEMORY, &place);
	else if (needed > intended)
		finding = config_findings_add(
		    check->findings, CONFIG_BODY_OVER_BOUND, &place);
	if (finding == NULL)
		return;
	finding->after = g_strdup_printf("%" G_GUINT32_FORMAT, max_body);
	finding->before = g_strdup_printf(
	    "%" G_GUINT64_FORMAT, needed > room ? room : intended);
}

/// Checks one version of the configuration.
///
/// @param deployment    configuration after deployment_build_indexes(); names
///                      that occur twice are reported if it records them
/// @param surroundings  what it is checked against
/// @param findings      receives the findings
void
config_check(const struct deployment *deployment,
    const struct config_surroundings *surroundings,
    struct config_findings *findings)
{
	struct check check = {deployment, surroundings, findings};
	GHashTable *used = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *available = find_available_services(surroundings);

	check_duplicate_routes(&check);
	for (guint i = 0; i < deployment->routes->len; i++) {
		check_match(&check, deployment->routes->pdata[i]);
		check_times(&check, deployment->routes->pdata[i]);
		check_shares(
		    &check, deployment->routes->pdata[i], used, available);
	}
	check_unused_services(&check, used);
	check_organisations(&check);
	check_keys_exist(&check);
	check_conflicts(&check);
	check_body(&check);
	g_clear_pointer(&available, g_hash_table_unref);
	g_hash_table_unref(used);
}
