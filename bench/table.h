/* Results of all runs: the table, the CSV file, the plot. */
#ifndef GODWITVALE_BENCH_TABLE_H
#define GODWITVALE_BENCH_TABLE_H

#include "run.h"

/// One row: the same run over several seeds.
struct row {
	const struct fleet *fleet;
	const char *policy;
	enum scenario scenario;
	double load;
	unsigned n_seeds;
	double *values; /// n_seeds by N_MEASURES
};

extern const char *const scenario_names[N_SCENARIOS];

double row_median(const struct row *row, enum measure_id measure);
void table_print(const struct row *rows, unsigned n_rows);
bool table_write_csv(const struct row *rows, unsigned n_rows, const char *path);
bool table_write_svg(const struct row *rows, unsigned n_rows, const char *path);

#endif
