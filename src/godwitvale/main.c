/* The one binary: picks the sub-command. */
#include <stdio.h>

int
main(void)
{
	fprintf(stderr, "godwitvale: no sub-command\n");
	return 64;
}
