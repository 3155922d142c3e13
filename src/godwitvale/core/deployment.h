/* Builds, shares and searches versions of the operators' configuration. */
#ifndef GODWITVALE_CORE_DEPLOYMENT_H
#define GODWITVALE_CORE_DEPLOYMENT_H

#include "godwitvale/core/deployment_defs.h"

struct deployment *deployment_new(void);
void deployment_record_conflicts(struct deployment *deployment);
struct deployment *deployment_ref(struct deployment *deployment);
void deployment_unref(struct deployment *deployment);
struct route *deployment_add_route(struct deployment *deployment);
struct service *deployment_add_service(
    struct deployment *deployment, const char *name);
struct organisation *deployment_add_organisation(
    struct deployment *deployment, const char *name);
void deployment_add_key(struct deployment *deployment, const char *key,
    struct organisation *organisation, uint32_t item);
void route_add_share(struct route *route, const char *service, uint32_t weight);
void deployment_build_indexes(struct deployment *deployment);

const struct route *deployment_find_route(
    const struct deployment *deployment, const char *host, const char *path);
const struct organisation *deployment_find_organisation(
    const struct deployment *deployment, const char *key);
const struct organisation *deployment_find_organisation_by_name(
    const struct deployment *deployment, const char *name);
const struct service *deployment_find_service(
    const struct deployment *deployment, const char *name);
GPtrArray *deployment_list_services(const struct deployment *deployment);
bool deployment_names_service(
    const struct deployment *deployment, const char *name);
const char *route_pick_service(const struct route *route, uint64_t hash);

#endif
