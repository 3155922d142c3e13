/* Audit trail of changes that took effect in bundles, service states, leases
 * and model orders: who made each change, its subject, version and time. */
#ifndef GODWITVALE_OPS_AUDIT_H
#define GODWITVALE_OPS_AUDIT_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/// Type of the object that changed.
enum audit_kind {
	AUDIT_BUNDLE = 1,
	AUDIT_ZONE,
	AUDIT_INSTANCE,
	AUDIT_UPSTREAM,
	AUDIT_LEASE,
	AUDIT_MODEL_ORDER,
};

struct audit;

struct audit *audit_new(const char *instance, size_t capacity);
void audit_free(struct audit *audit);
void audit_add(struct audit *audit, enum audit_kind kind, const char *subject,
    const char *who, uint64_t version, const char *format, ...)
    __attribute__((format(printf, 6, 7)));
GString *audit_to_json(const struct audit *audit);

#endif
