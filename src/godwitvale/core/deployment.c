/*
 * Builds, shares and searches versions of the operators' configuration. The
 * cost of finding a route depends only on the number of routes of the same
 * host, not on the total number.
 */
#include "godwitvale/core/deployment.h"

#include <string.h>

/// Frees the strings of a route's share (struct route_share *).
static void
share_clear(void *data)
{
	g_free(((struct route_share *)data)->service);
}

/// Frees a route (struct route *).
static void
route_free(void *data)
{
	struct route *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_array_unref(route->shares);
	g_free(route);
}

/// Frees a service (struct service *).
static void
service_free(void *data)
{
	struct service *service = data;

	g_free(service->name);
	g_free(service->health_path);
	g_free(service);
}

/// Frees an organisation (struct organisation *).
static void
organisation_free(void *data)
{
	struct organisation *organisation = data;

	g_free(organisation->name);
	g_free(organisation);
}

/// Frees a host's list of routes, but not the routes themselves.
static void
host_routes_free(void *data)
{
	g_ptr_array_unref(data);
}

/// Creates an empty configuration.
///
/// @return the configuration, with one reference
struct deployment *
deployment_new(void)
{
	struct deployment *deployment = g_new0(struct deployment, 1);

	deployment->refs = 1;
	deployment->routes = g_ptr_array_new_with_free_func(route_free);
	deployment->routes_by_host = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, host_routes_free);
	deployment->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	deployment->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	deployment->organisations =
	    g_ptr_array_new_with_free_func(organisation_free);
	return deployment;
}

/// Makes a configuration record the names that occur twice in it, for its
/// check. Instances don't need them.
///
/// @param deployment  an empty configuration
void
deployment_record_conflicts(struct deployment *deployment)
{
	deployment->conflicts =
	    g_array_new(false, true, sizeof(struct deployment_conflict));
}

/// Records that a later name replaces an earlier one, if this is wanted.
static void
record_conflict(
    struct deployment *deployment, const struct deployment_conflict *conflict)
{
	if (deployment->conflicts != NULL)
		g_array_append_vals(deployment->conflicts, conflict, 1);
}

/// Adds a reference to a configuration.
///
/// @param deployment  configuration to share
/// @return `deployment`
struct deployment *
deployment_ref(struct deployment *deployment)
{
	deployment->refs++;
	return deployment;
}

/// Releases a reference to a configuration, and frees the configuration if that
/// was the last reference.
///
/// @param deployment  may be NULL
void
deployment_unref(struct deployment *deployment)
{
	if (deployment == NULL || --deployment->refs > 0)
		return;
	g_hash_table_unref(deployment->routes_by_host);
	g_ptr_array_unref(deployment->routes);
	g_hash_table_unref(deployment->services);
	g_hash_table_unref(deployment->keys);
	g_ptr_array_unref(deployment->organisations);
	g_clear_pointer(&deployment->conflicts, g_array_unref);
	g_free(deployment);
}

/// Adds an empty route, which the caller fills in.
///
/// @param deployment  configuration before deployment_build_indexes()
/// @return the route, owned by the configuration
struct route *
deployment_add_route(struct deployment *deployment)
{
	struct route *route = g_new0(struct route, 1);

	route->shares = g_array_new(false, true, sizeof(struct route_share));
	g_array_set_clear_func(route->shares, share_clear);
	route->index = deployment->routes->len;
	g_ptr_array_add(deployment->routes, route);
	return route;
}

/// Adds a service to the services among which a route's requests are split.
///
/// @param route    route to extend
/// @param service  name of the service
/// @param weight   share of the requests, relative to the weights of the other
///                 services of the route
void
route_add_share(struct route *route, const char *service, uint32_t weight)
{
	struct route_share share = {g_strdup(service), weight};

	g_array_append_val(route->shares, share);
}

/// Adds a service, whose other fields the caller fills in. Replaces an earlier
/// service of the same name.
///
/// @param deployment  configuration before deployment_build_indexes()
/// @param name        name of the service
/// @return the service, owned by the configuration
struct service *
deployment_add_service(struct deployment *deployment, const char *name)
{
	struct service *service = g_new0(struct service, 1);
	const struct service *earlier =
	    g_hash_table_lookup(deployment->services, name);

	service->index = deployment->service_count++;
	service->name = g_strdup(name);
	if (earlier != NULL)
		record_conflict(deployment,
		    &(struct deployment_conflict){DEPLOYMENT_SERVICE_REPLACED,
			earlier->index, service->index, 0});
	g_hash_table_replace(deployment->services, service->name, service);
	return service;
}

/// Adds an organisation, whose other fields the caller fills in.
///
/// @param deployment  configuration before deployment_build_indexes()
/// @param name        name of the organisation
/// @return the organisation, owned by the configuration
struct organisation *
deployment_add_organisation(struct deployment *deployment, const char *name)
{
	struct organisation *organisation = g_new0(struct organisation, 1);

	organisation->name = g_strdup(name);
	organisation->priority = -1;
	organisation->index = deployment->organisations->len;
	g_ptr_array_add(deployment->organisations, organisation);
	return organisation;
}

/// Adds a key of an organisation. It no longer belongs to an organisation that
/// has had it before.
///
/// @param deployment    configuration before deployment_build_indexes()
/// @param key           key that callers send
/// @param organisation  owner of the key
/// @param item          position of the key among the organisation's, from 0
void
deployment_add_key(struct deployment *deployment, const char *key,
    struct organisation *organisation, uint32_t item)
{
	const struct organisation *earlier =
	    g_hash_table_lookup(deployment->keys, key);

	if (earlier != NULL)
		record_conflict(deployment,
		    &(struct deployment_conflict){DEPLOYMENT_KEY_REPLACED,
			earlier->index, organisation->index, item});
	g_hash_table_replace(deployment->keys, g_strdup(key), organisation);
}

/// Orders routes by the length of their path prefix, longest first.
static gint
compare_prefix_lengths(gconstpointer a, gconstpointer b)
{
	const struct route *left = *(struct route *const *)a;
	const struct route *right = *(struct route *const *)b;
	size_t left_len = strlen(left->prefix);
	size_t right_len = strlen(right->prefix);

	return left_len < right_len ? 1 : left_len > right_len ? -1 : 0;
}

/// Builds the index for deployment_find_route(). Must be called once, after all
/// routes have been added.
///
/// @param deployment  configuration with all its routes
void
deployment_build_indexes(struct deployment *deployment)
{
	GHashTableIter iter;
	void *value;

	for (guint i = 0; i < deployment->routes->len; i++) {
		struct route *route = deployment->routes->pdata[i];
		GPtrArray *routes = g_hash_table_lookup(
		    deployment->routes_by_host, route->host);

		if (routes == NULL) {
			routes = g_ptr_array_new();
			g_hash_table_insert(
			    deployment->routes_by_host, route->host, routes);
		}
		g_ptr_array_add(routes, route);
	}
	g_hash_table_iter_init(&iter, deployment->routes_by_host);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_sort(value, compare_prefix_lengths);
}

/// Finds the route of a request: among the routes of its host, the one whose
/// prefix is the longest that matches the path.
///
/// @param deployment  configuration after deployment_build_indexes()
/// @param host        value of the request's Host field; a port is ignored
/// @param path        target of the request
/// @return the route, or NULL
const struct route *
deployment_find_route(
    const struct deployment *deployment, const char *host, const char *path)
{
	char name[256];
	const char *colon = strchr(host, ':');
	size_t len = colon == NULL ? strlen(host) : (size_t)(colon - host);
	const GPtrArray *routes;

	if (len >= sizeof(name))
		return NULL;
	for (size_t i = 0; i < len; i++)
		name[i] = g_ascii_tolower(host[i]);
	name[len] = '\0';
	routes = g_hash_table_lookup(deployment->routes_by_host, name);
	for (guint i = 0; routes != NULL && i < routes->len; i++) {
		const struct route *route = routes->pdata[i];

		if (g_str_has_prefix(path, route->prefix))
			return route;
	}
	return NULL;
}

/// Finds the organisation that a key belongs to.
///
/// @param deployment  configuration to search
/// @param key         key that a caller has sent
/// @return the organisation, or NULL
const struct organisation *
deployment_find_organisation(
    const struct deployment *deployment, const char *key)
{
	return g_hash_table_lookup(deployment->keys, key);
}

/// Finds an organisation by its name.
///
/// @param deployment  configuration to search
/// @param name        name of the organisation
/// @return the organisation, or NULL
const struct organisation *
deployment_find_organisation_by_name(
    const struct deployment *deployment, const char *name)
{
	for (guint i = 0; i < deployment->organisations->len; i++) {
		const struct organisation *organisation =
		    deployment->organisations->pdata[i];

		if (strcmp(organisation->name, name) == 0)
			return organisation;
	}
	return NULL;
}

/// Finds a service.
///
/// @param deployment  configuration to search
/// @param name        name of the service
/// @return the service, or NULL
const struct service *
deployment_find_service(const struct deployment *deployment, const char *name)
{
	return g_hash_table_lookup(deployment->services, name);
}

/// Orders services by their position.
static gint
compare_positions(gconstpointer a, gconstpointer b)
{
	const struct service *left = *(const struct service *const *)a;
	const struct service *right = *(const struct service *const *)b;

	return (left->index > right->index) - (left->index < right->index);
}

/// Lists the services in the order in which the operators wrote them.
///
/// @param deployment  configuration that owns the services
/// @return struct service *; the caller releases the list
GPtrArray *
deployment_list_services(const struct deployment *deployment)
{
	GPtrArray *services = g_ptr_array_new();
	GHashTableIter iter;
	void *service;

	g_hash_table_iter_init(&iter, deployment->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		g_ptr_array_add(services, service);
	g_ptr_array_sort(services, compare_positions);
	return services;
}

/// Checks whether a route leads to a service.
static bool
leads_to_service(const struct route *route, const char *name)
{
	for (guint i = 0; i < route->shares->len; i++) {
		const struct route_share *share =
		    &g_array_index(route->shares, struct route_share, i);

		if (strcmp(share->service, name) == 0)
			return true;
	}
	return false;
}

/// Checks whether a configuration names a service, be it in its list of
/// services or in a route.
///
/// @param deployment  configuration to search
/// @param name        name of a service
/// @return whether the configuration names the service
bool
deployment_names_service(const struct deployment *deployment, const char *name)
{
	if (g_hash_table_contains(deployment->services, name))
		return true;
	for (guint i = 0; i < deployment->routes->len; i++)
		if (leads_to_service(deployment->routes->pdata[i], name))
			return true;
	return false;
}

/// Picks one of the services among which a route's requests are split, in
/// proportion to their weights. Equal hashes pick the same service.
///
/// @param route  route of the request
/// @param hash   hash of the request's id
/// @return the service's name; NULL when the sum of the route's weights is 0
const char *
route_pick_service(const struct route *route, uint64_t hash)
{
	uint64_t total = 0;
	uint64_t point;

	for (guint i = 0; i < route->shares->len; i++)
		total +=
		    g_array_index(route->shares, struct route_share, i).weight;
	if (total == 0)
		return NULL;
	point = hash % total;
	for (guint i = 0; i < route->shares->len; i++) {
		const struct route_share *share =
		    &g_array_index(route->shares, struct route_share, i);

		if (point < share->weight)
			return share->service;
		point -= share->weight;
	}
	return NULL;
}
