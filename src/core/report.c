#include "core/report.h"

void status_report_free(struct status_report *report)
{
	uint32_t i;

	if (!report)
		return;
	for (i = 0; i < report->service_count; i++)
		g_free(report->services[i].backends);
	g_free(report->services);
	g_free(report->members);
	g_free(report->quotas);
	g_free(report);
}

void metrics_report_free(struct metrics_report *report)
{
	if (!report)
		return;
	g_free(report->services);
	g_free(report);
}
