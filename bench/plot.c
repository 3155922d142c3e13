/* Draws the measures at steady load as bars in an SVG file. */
#include "table.h"

#define PANEL_WIDTH 420
#define PANEL_HEIGHT 210
#define PLOT_LEFT 60
#define PLOT_TOP 40
#define PLOT_WIDTH 340
#define PLOT_HEIGHT 130
#define POLICIES_MAX 6
/// Bars are set apart after so many.
#define N_GROUPED 4

static const enum measure_id panels[] = {MEASURE_STALL, MEASURE_PREEMPTIONS,
    MEASURE_GAP_P99, MEASURE_SERVED, MEASURE_GOODPUT};
static const char *const colours[POLICIES_MAX] = {
    "#999999", "#4477aa", "#cc6677", "#228833", "#aa3377", "#ccbb44"};

static double
highest(const struct row *rows, unsigned n_rows, const struct fleet *fleet,
    enum measure_id measure)
{
	double most = 1e-9;

	for (unsigned i = 0; i < n_rows; i++) {
		if (rows[i].fleet == fleet &&
		    rows[i].scenario == SCENARIO_STEADY)
			most = MAX(most, row_median(&rows[i], measure));
	}
	return most;
}

static void
draw_bar(FILE *file, const struct row *row, enum measure_id measure,
    double most, unsigned at, unsigned policy, double x, double y)
{
	double value = row_median(row, measure);
	double height = PLOT_HEIGHT * value / most;
	unsigned group = at / N_GROUPED;
	double left = x + PLOT_LEFT + at * 13.0 + group * 16.0;

	fprintf(file,
	    "<rect x='%.1f' y='%.1f' width='11' height='%.1f' fill='%s'>"
	    "<title>%s load %.2f: %.4g</title></rect>\n",
	    left, y + PLOT_TOP + PLOT_HEIGHT - height, height, colours[policy],
	    row->policy, row->load, value);
	if (policy == 0)
		fprintf(file,
		    "<text x='%.1f' y='%.1f' font-size='10'>%.2f</text>\n",
		    left, y + PLOT_TOP + PLOT_HEIGHT + 14, row->load);
}

static void
draw_panel(FILE *file, const struct row *rows, unsigned n_rows,
    const struct fleet *fleet, enum measure_id measure, double x, double y)
{
	double most = highest(rows, n_rows, fleet, measure);
	unsigned at = 0;
	unsigned policy = 0;
	double load = -1;

	fprintf(file,
	    "<text x='%.0f' y='%.0f' font-size='13'>%s: %s</text>\n"
	    "<text x='%.0f' y='%.0f' font-size='10' text-anchor='end'>%.4g"
	    "</text>\n<line x1='%.0f' y1='%.0f' x2='%.0f' y2='%.0f' "
	    "stroke='black'/>\n",
	    x + PLOT_LEFT, y + 22, fleet->name, measure_names[measure],
	    x + PLOT_LEFT - 4, y + PLOT_TOP + 8, most, x + PLOT_LEFT,
	    y + PLOT_TOP + PLOT_HEIGHT, x + PLOT_LEFT + PLOT_WIDTH,
	    y + PLOT_TOP + PLOT_HEIGHT);
	for (unsigned i = 0; i < n_rows; i++) {
		if (rows[i].fleet != fleet ||
		    rows[i].scenario != SCENARIO_STEADY)
			continue;
		policy = rows[i].load == load ? policy + 1 : 0;
		load = rows[i].load;
		draw_bar(file, &rows[i], measure, most, at++,
		    MIN(policy, POLICIES_MAX - 1), x, y);
	}
}

static void
draw_legend(FILE *file, const struct row *rows, unsigned n_rows, double y)
{
	for (unsigned i = 0; i < MIN(n_rows, POLICIES_MAX); i++) {
		if (rows[i].load != rows[0].load ||
		    rows[i].scenario != rows[0].scenario ||
		    rows[i].fleet != rows[0].fleet)
			return;
		fprintf(file,
		    "<rect x='%u' y='%.0f' width='11' height='11' "
		    "fill='%s'/><text x='%u' y='%.0f' font-size='12'>%s"
		    "</text>\n",
		    PLOT_LEFT + i * 150, y, colours[i],
		    PLOT_LEFT + 16 + i * 150, y + 10, rows[i].policy);
	}
}

/* Writes the plot; returns false when the file can't be written. */
bool
table_write_svg(const struct row *rows, unsigned n_rows, const char *path)
{
	FILE *file = fopen(path, "w");
	unsigned n_panels = G_N_ELEMENTS(panels);

	if (file == NULL)
		return false;
	fprintf(file,
	    "<svg xmlns='http://www.w3.org/2000/svg' width='%u' height='%u' "
	    "font-family='sans-serif'>\n"
	    "<rect width='100%%' height='100%%' fill='white'/>\n",
	    PANEL_WIDTH * n_fleets, PANEL_HEIGHT * n_panels + 30);
	for (unsigned f = 0; f < n_fleets; f++) {
		for (unsigned p = 0; p < n_panels; p++)
			draw_panel(file, rows, n_rows, &fleets[f], panels[p],
			    f * PANEL_WIDTH, p * PANEL_HEIGHT);
	}
	draw_legend(file, rows, n_rows, PANEL_HEIGHT * n_panels + 8);
	fprintf(file, "</svg>\n");
	return fclose(file) == 0;
}
