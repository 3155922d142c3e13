/* The platform's list of members: the instances that run or are leaving. */
#ifndef GODWITVALE_REGISTRY_MEMBER_LIST_H
#define GODWITVALE_REGISTRY_MEMBER_LIST_H

#include "godwitvale/serve/instance_defs.h"

/// One instance of the list.
struct member {
	node_id id; /// hash of the name
	char *name;
	char *ip;
	uint16_t peer_port; /// port for messages and HTTP between instances
	char *zone;
	bool leaving; /// the instance is shutting down
};

struct member_list *member_list_new(struct instance *instance);
void member_list_free(struct member_list *list);
void member_list_tick(struct member_list *list, usec_t now);
void member_list_schedule_read(struct member_list *list);
const struct member *member_list_find(
    const struct member_list *list, node_id id);
GPtrArray *member_list_get_members(struct member_list *list);
uint64_t member_list_get_revision(const struct member_list *list);

#endif
