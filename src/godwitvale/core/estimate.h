/*
 * Online estimates of output length for each organisation, service and class,
 * conditional on the tokens generated so far.
 */
#ifndef GODWITVALE_CORE_ESTIMATE_H
#define GODWITVALE_CORE_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

/// Stands for all organisations, or for all classes, in a key.
#define ESTIMATE_ALL UINT32_MAX

/// Whose output lengths are estimated.
struct estimate_key {
	uint32_t organisation;
	uint32_t service;
	uint32_t class_id;
};

struct estimate;
struct estimate_series;

struct estimate *estimate_new(void);
void estimate_free(struct estimate *estimate);
struct estimate_series *estimate_series_of(
    struct estimate *estimate, const struct estimate_key *key);
void estimate_add(struct estimate_series *series, uint32_t tokens);
double estimate_survival(
    struct estimate_series *series, uint32_t so_far, uint32_t more);
uint32_t estimate_quantile(
    struct estimate_series *series, uint32_t so_far, double share);
double estimate_mean(struct estimate_series *series, uint32_t so_far);

#endif
