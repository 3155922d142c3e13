/*
 * Compares two configurations. A request keeps the route and the organisation
 * of the version it arrived under; a service's limits apply as they are in the
 * version in force, and the limits on callers to all connections at once.
 */
#include "godwitvale/core/config_compare.h"

#include <stdlib.h>
#include <string.h>

#include "godwitvale/core/config_fields.h"
#include "godwitvale/core/deployment.h"

/// Adds a finding on something that was added or removed.
///
/// @param in_force  it is only in the configuration in force
static void
add_difference(struct config_findings *findings, enum config_finding_kind kind,
    const struct config_place *place, const char *subject, bool in_force)
{
	struct config_finding *finding =
	    config_findings_add(findings, kind, place);

	if (finding == NULL)
		return;
	finding->subject = config_finding_text(subject);
	finding->in_force = in_force;
}

/// Indexes the services of a route that have a weight by their names.
static GHashTable *
index_shares(const struct route *route)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < route->shares->len; i++) {
		struct route_share *share =
		    &g_array_index(route->shares, struct route_share, i);

		if (share->weight > 0)
			g_hash_table_insert(index, share->service, share);
	}
	return index;
}

/// Adds a finding on one of the services of a route.
///
/// @param position  position of the service in the route, from 0
/// @return the finding; NULL if the list is full
static struct config_finding *
add_share_difference(struct config_findings *findings,
    enum config_finding_kind kind, const struct route *route, guint position,
    enum config_field inner)
{
	const struct config_place place = {
	    .section = CONFIG_ROUTES,
	    .index = route->index,
	    .field = CONFIG_FIELD_SHARES,
	    .item = position + 1,
	    .inner = inner,
	};
	const struct route_share *share =
	    &g_array_index(route->shares, struct route_share, position);
	struct config_finding *finding =
	    config_findings_add(findings, kind, &place);

	if (finding != NULL) {
		finding->subject = config_finding_text(route->name);
		finding->other = config_finding_text(share->service);
	}
	return finding;
}

/// Reports the services of a route that another version of it doesn't have.
static void
report_shares(struct config_findings *findings, enum config_finding_kind kind,
    const struct route *route, GHashTable *others, bool in_force)
{
	for (guint i = 0; i < route->shares->len; i++) {
		const struct route_share *share =
		    &g_array_index(route->shares, struct route_share, i);
		struct config_finding *finding;

		if (share->weight == 0 ||
		    g_hash_table_contains(others, share->service))
			continue;
		finding = add_share_difference(
		    findings, kind, route, i, CONFIG_FIELD_SERVICE);
		if (finding != NULL)
			finding->in_force = in_force;
	}
}

/// Compares the weights of the services that two versions of a route share.
static void
compare_weights(struct config_findings *findings, const struct route *route,
    GHashTable *before)
{
	for (guint i = 0; i < route->shares->len; i++) {
		const struct route_share *share =
		    &g_array_index(route->shares, struct route_share, i);
		const struct route_share *earlier =
		    g_hash_table_lookup(before, share->service);
		struct config_finding *finding;

		if (earlier == NULL || share->weight == 0 ||
		    earlier->weight == share->weight)
			continue;
		finding = add_share_difference(
		    findings, CONFIG_CHANGED, route, i, CONFIG_FIELD_WEIGHT);
		if (finding == NULL)
			continue;
		finding->before =
		    g_strdup_printf("%" G_GUINT32_FORMAT, earlier->weight);
		finding->after =
		    g_strdup_printf("%" G_GUINT32_FORMAT, share->weight);
	}
}

/// Compares the services of two versions of a route. The weight of the only
/// service of a route doesn't matter.
static void
compare_shares(struct config_findings *findings, const struct route *before,
    const struct route *after)
{
	GHashTable *old_shares = index_shares(before);
	GHashTable *new_shares = index_shares(after);

	report_shares(findings, CONFIG_SHARE_REMOVED, before, new_shares, true);
	report_shares(findings, CONFIG_SHARE_ADDED, after, old_shares, false);
	if (g_hash_table_size(old_shares) > 1 ||
	    g_hash_table_size(new_shares) > 1)
		compare_weights(findings, after, old_shares);
	g_hash_table_unref(old_shares);
	g_hash_table_unref(new_shares);
}

/// Indexes routes by host and prefix. The first of several is the one that
/// requests match.
static GHashTable *
index_routes(const struct deployment *deployment)
{
	GHashTable *index =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < deployment->routes->len; i++) {
		struct route *route = deployment->routes->pdata[i];
		char *match =
		    g_strconcat(route->host, "\n", route->prefix, NULL);

		if (g_hash_table_contains(index, match))
			g_free(match);
		else
			g_hash_table_insert(index, match, route);
	}
	return index;
}

/// Compares two versions of a route.
static void
compare_route(struct config_findings *findings, const struct route *before,
    const struct route *after)
{
	const struct config_place place = {
	    .section = CONFIG_ROUTES, .index = after->index};

	config_compare_fields(findings, &place, after->name, before, after);
	compare_shares(findings, before, after);
}

/// Compares the routes of two configurations.
static void
compare_routes(struct config_findings *findings,
    const struct deployment *in_force, const struct deployment *deployment)
{
	GHashTable *before = index_routes(in_force);
	GHashTable *after = index_routes(deployment);

	for (guint i = 0; i < in_force->routes->len; i++) {
		const struct route *route = in_force->routes->pdata[i];
		char *match =
		    g_strconcat(route->host, "\n", route->prefix, NULL);
		const struct config_place place = {
		    .section = CONFIG_ROUTES, .index = i};
		const struct route *later = g_hash_table_lookup(after, match);

		if (g_hash_table_lookup(before, match) != route)
			;
		else if (later == NULL)
			add_difference(findings, CONFIG_ROUTE_REMOVED, &place,
			    route->name, true);
		else
			compare_route(findings, route, later);
		g_free(match);
	}
	for (guint i = 0; i < deployment->routes->len; i++) {
		const struct route *route = deployment->routes->pdata[i];
		char *match =
		    g_strconcat(route->host, "\n", route->prefix, NULL);
		const struct config_place place = {
		    .section = CONFIG_ROUTES, .index = i};

		if (!g_hash_table_contains(before, match) &&
		    g_hash_table_lookup(after, match) == route)
			add_difference(findings, CONFIG_ROUTE_ADDED, &place,
			    route->name, false);
		g_free(match);
	}
	g_hash_table_unref(before);
	g_hash_table_unref(after);
}

/// Compares the services of two configurations.
static void
compare_services(struct config_findings *findings,
    const struct deployment *in_force, const struct deployment *deployment)
{
	GPtrArray *before = deployment_list_services(in_force);
	GPtrArray *after = deployment_list_services(deployment);

	for (guint i = 0; i < before->len; i++) {
		const struct service *service = before->pdata[i];
		const struct config_place place = {
		    .section = CONFIG_SERVICES, .index = service->index};

		if (deployment_find_service(deployment, service->name) == NULL)
			add_difference(findings, CONFIG_SERVICE_REMOVED, &place,
			    service->name, true);
	}
	for (guint i = 0; i < after->len; i++) {
		const struct service *service = after->pdata[i];
		const struct service *earlier =
		    deployment_find_service(in_force, service->name);
		const struct config_place place = {
		    .section = CONFIG_SERVICES, .index = service->index};

		if (earlier == NULL)
			add_difference(findings, CONFIG_SERVICE_ADDED, &place,
			    service->name, false);
		else
			config_compare_fields(
			    findings, &place, service->name, earlier, service);
	}
	g_ptr_array_unref(before);
	g_ptr_array_unref(after);
}

/// Indexes organisations by name.
static GHashTable *
index_organisations(const struct deployment *deployment)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < deployment->organisations->len; i++) {
		struct organisation *organisation =
		    deployment->organisations->pdata[i];

		g_hash_table_insert(index, organisation->name, organisation);
	}
	return index;
}

/// Compares the priorities of two versions of an organisation.
static void
compare_priorities(struct config_findings *findings,
    const struct organisation *before, const struct organisation *after)
{
	const struct config_place place = {
	    .section = CONFIG_ORGANISATIONS,
	    .index = after->index,
	    .field = CONFIG_FIELD_PRIORITY,
	};
	struct config_finding *finding;

	if (before->priority == after->priority)
		return;
	finding = config_findings_add(findings, CONFIG_CHANGED, &place);
	if (finding == NULL)
		return;
	finding->subject = config_finding_text(after->name);
	finding->before = before->priority < 0
	    ? g_strdup("none")
	    : g_strdup_printf("%d", before->priority);
	finding->after = after->priority < 0
	    ? g_strdup("none")
	    : g_strdup_printf("%d", after->priority);
}

/// Reports the organisations of one configuration that another one lacks.
static void
report_organisations(struct config_findings *findings,
    enum config_finding_kind kind, const struct deployment *deployment,
    GHashTable *others, bool in_force)
{
	for (guint i = 0; i < deployment->organisations->len; i++) {
		const struct organisation *organisation =
		    deployment->organisations->pdata[i];
		const struct config_place place = {
		    .section = CONFIG_ORGANISATIONS, .index = i};
		const struct organisation *other =
		    g_hash_table_lookup(others, organisation->name);

		if (other == NULL)
			add_difference(findings, kind, &place,
			    organisation->name, in_force);
		else if (!in_force)
			compare_priorities(findings, other, organisation);
	}
}

/// Orders keys by their text, so that the order of findings is fixed.
static int
compare_texts(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/// Reports the keys of one configuration that another one lacks, or that belong
/// to another organisation there.
static void
compare_keys(struct config_findings *findings, enum config_finding_kind kind,
    const struct deployment *deployment, const struct deployment *other,
    bool in_force)
{
	guint n_keys;
	const char **keys = (const char **)g_hash_table_get_keys_as_array(
	    deployment->keys, &n_keys);

	qsort(keys, n_keys, sizeof(*keys), compare_texts);
	for (guint i = 0; i < n_keys; i++) {
		const struct organisation *owner =
		    deployment_find_organisation(deployment, keys[i]);
		const struct organisation *other_owner =
		    deployment_find_organisation(other, keys[i]);
		const struct config_place place = {
		    .section = CONFIG_ORGANISATIONS,
		    .index = owner->index,
		    .field = CONFIG_FIELD_KEYS,
		};
		bool is_moved = other_owner != NULL &&
		    strcmp(owner->name, other_owner->name) != 0;
		struct config_finding *finding;

		if (other_owner != NULL && (!is_moved || in_force))
			continue;
		finding = config_findings_add(
		    findings, is_moved ? CONFIG_KEY_MOVED : kind, &place);
		if (finding == NULL)
			continue;
		finding->subject = config_finding_text(owner->name);
		finding->other = config_finding_key_text(keys[i]);
		finding->in_force = in_force;
		if (is_moved)
			finding->before =
			    config_finding_text(other_owner->name);
	}
	g_free(keys);
}

/// Compares the organisations and the keys of two configurations.
static void
compare_organisations(struct config_findings *findings,
    const struct deployment *in_force, const struct deployment *deployment)
{
	const struct config_place place = {.field = CONFIG_FIELD_ORGANISATIONS};
	GHashTable *before = index_organisations(in_force);
	GHashTable *after = index_organisations(deployment);

	if (in_force->needs_keys != deployment->needs_keys)
		config_findings_add(findings,
		    deployment->needs_keys ? CONFIG_KEYS_NEEDED
					   : CONFIG_KEYS_NOT_NEEDED,
		    &place);
	report_organisations(
	    findings, CONFIG_ORGANISATION_REMOVED, in_force, after, true);
	report_organisations(
	    findings, CONFIG_ORGANISATION_ADDED, deployment, before, false);
	compare_keys(findings, CONFIG_KEY_REMOVED, in_force, deployment, true);
	compare_keys(findings, CONFIG_KEY_ADDED, deployment, in_force, false);
	g_hash_table_unref(before);
	g_hash_table_unref(after);
}

/// Checks that the version is higher than the one in force.
static void
compare_versions(struct config_findings *findings,
    const struct deployment *in_force, const struct deployment *deployment)
{
	const struct config_place place = {.field = CONFIG_FIELD_VERSION};
	struct config_finding *finding;

	if (deployment->version > in_force->version)
		return;
	finding =
	    config_findings_add(findings, CONFIG_VERSION_NOT_HIGHER, &place);
	if (finding == NULL)
		return;
	finding->before =
	    g_strdup_printf("%" G_GUINT64_FORMAT, in_force->version);
	finding->after =
	    g_strdup_printf("%" G_GUINT64_FORMAT, deployment->version);
}

/// Compares a configuration with the one in force.
///
/// @param in_force    the configuration in force
/// @param deployment  the configuration that is to replace it
/// @param findings    receives the differences
void
config_compare(const struct deployment *in_force,
    const struct deployment *deployment, struct config_findings *findings)
{
	const struct config_place limits = {.section = CONFIG_LIMITS};

	compare_versions(findings, in_force, deployment);
	compare_routes(findings, in_force, deployment);
	compare_services(findings, in_force, deployment);
	compare_organisations(findings, in_force, deployment);
	config_compare_fields(
	    findings, &limits, NULL, &in_force->limits, &deployment->limits);
}
