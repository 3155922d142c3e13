/* Writes a stack trace to standard error when the process crashes. */
#ifndef GODWITVALE_OPS_CRASH_H
#define GODWITVALE_OPS_CRASH_H

void crash_report_enable(void);

#endif
