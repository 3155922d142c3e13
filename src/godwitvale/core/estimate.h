/*
 * Estimates of the length of a generation's output for each organisation,
 * service and workload class, given the number of tokens generated so far. The
 * estimates are learnt from the lengths of finished outputs.
 */
#ifndef GODWITVALE_CORE_ESTIMATE_H
#define GODWITVALE_CORE_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

/// Wildcard in a key: all organisations, or all classes.
#define ESTIMATE_ALL UINT32_MAX

/// Identifies the requests whose output lengths form one series.
struct estimate_key {
	uint32_t organisation;
	uint32_t service;
	uint32_t class_id; /// workload class
};

struct estimate;
struct estimate_series;

struct estimate *estimate_new(void);
void estimate_free(struct estimate *estimate);
struct estimate_series *estimate_get_series(
    struct estimate *estimate, const struct estimate_key *key);
void estimate_add_sample(struct estimate_series *series, uint32_t tokens);
double estimate_survival(
    struct estimate_series *series, uint32_t generated, uint32_t additional);
uint32_t estimate_quantile(
    struct estimate_series *series, uint32_t generated, double fraction);
double estimate_mean(struct estimate_series *series, uint32_t generated);

#endif
