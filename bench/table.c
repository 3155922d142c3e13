/* Prints rows as a table and as CSV. */
#include "table.h"

const char *const scenario_names[N_SCENARIOS] = {
    "steady", "zone", "restart", "surge"};

/// Columns of the printed table.
static const enum measure_id columns[] = {MEASURE_STALL, MEASURE_PREEMPTIONS,
    MEASURE_GAP_P99, MEASURE_SERVED, MEASURE_COMPLETED, MEASURE_GOODPUT,
    MEASURE_REFUSED, MEASURE_DRAFT_P99, MEASURE_DIAGRAM_P99,
    MEASURE_SMALL_SERVED, MEASURE_LOST, MEASURE_OVER_LIMIT, MEASURE_COLLAPSES,
    MEASURE_RECOVERY};

static void
gather(const struct row *row, enum measure_id measure, double *values)
{
	for (unsigned s = 0; s < row->n_seeds; s++)
		values[s] = row->values[s * N_MEASURES + measure];
}

double
row_median(const struct row *row, enum measure_id measure)
{
	double *values = g_new(double, row->n_seeds);
	double median;

	gather(row, measure, values);
	median = median_of(values, row->n_seeds);
	g_free(values);
	return median;
}

static void
print_cell(const struct row *row, enum measure_id measure)
{
	double *values = g_new(double, row->n_seeds);
	char cell[64];

	gather(row, measure, values);
	g_snprintf(cell, sizeof(cell), "%.4g [%.3g..%.3g]",
	    median_of(values, row->n_seeds), least_of(values, row->n_seeds),
	    most_of(values, row->n_seeds));
	printf(" %26s", cell);
	g_free(values);
}

/* One block for each fleet, scenario and load; a line for each measure. */
void
table_print(const struct row *rows, unsigned n_rows)
{
	unsigned i = 0;

	while (i < n_rows) {
		unsigned n = 1;

		while (i + n < n_rows && rows[i + n].fleet == rows[i].fleet &&
		    rows[i + n].scenario == rows[i].scenario &&
		    rows[i + n].load == rows[i].load)
			n++;
		printf("\n%s %s load %.2f, median [least..most] of %u seeds\n"
		       "%-20s",
		    rows[i].fleet->name, scenario_names[rows[i].scenario],
		    rows[i].load, rows[i].n_seeds, "");
		for (unsigned k = 0; k < n; k++)
			printf(" %26s", rows[i + k].policy);
		for (unsigned c = 0; c < G_N_ELEMENTS(columns); c++) {
			printf("\n%-20s", measure_names[columns[c]]);
			for (unsigned k = 0; k < n; k++)
				print_cell(&rows[i + k], columns[c]);
		}
		printf("\n");
		i += n;
	}
}

/* Writes every run; returns false when the file can't be written. */
bool
table_write_csv(const struct row *rows, unsigned n_rows, const char *path)
{
	FILE *file = fopen(path, "w");

	if (file == NULL)
		return false;
	fprintf(file, "fleet,scenario,load,policy,seed");
	for (int m = 0; m < N_MEASURES; m++)
		fprintf(file, ",%s", measure_names[m]);
	fprintf(file, "\n");
	for (unsigned i = 0; i < n_rows; i++) {
		const struct row *row = &rows[i];

		for (unsigned s = 0; s < row->n_seeds; s++) {
			fprintf(file, "%s,%s,%.2f,%s,%u", row->fleet->name,
			    scenario_names[row->scenario], row->load,
			    row->policy, s + 1);
			for (int m = 0; m < N_MEASURES; m++)
				fprintf(file, ",%.6g",
				    row->values[s * N_MEASURES + m]);
			fprintf(file, "\n");
		}
	}
	return fclose(file) == 0;
}
