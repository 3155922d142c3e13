/* What a process that crashes leaves behind. */
#ifndef GODWITVALE_OPS_CRASH_H
#define GODWITVALE_OPS_CRASH_H

void crash_report_enable(void);

#endif
