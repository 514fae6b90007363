#include "core/member.h"

#include <string.h>

void membership_init(struct membership *membership,
		     const struct settings *settings)
{
	membership->self.caller = settings->caller_listen;
	membership->self.peer = settings->peer_listen;
	membership->self.domain = settings->domain;
	membership->self.self_report.cpu_permille =
		(uint32_t)((uint64_t)settings->cpu_share_permille *
			   settings->cpu_speed_permille / PERMILLE_ONE);
	membership->seed_discovery =
		!settings_instance_list_published(settings);
	membership->seed_count = settings->seed_count;
	memcpy(membership->seeds, settings->seeds, sizeof(settings->seeds));
	membership->list_known = membership->seed_discovery;
	membership->self_listed = membership->seed_discovery;
	membership->members = g_array_new(FALSE, TRUE, sizeof(struct member));
	membership->probe_order =
		g_array_new(FALSE, TRUE, sizeof(struct net_addr));
	membership->rumours =
		g_array_new(FALSE, TRUE, sizeof(struct rumour_task));
	membership->offers =
		g_array_new(FALSE, TRUE, sizeof(struct offer_task));
}

void membership_clear(struct membership *membership)
{
	g_array_unref(membership->members);
	g_array_unref(membership->probe_order);
	g_array_unref(membership->rumours);
	g_array_unref(membership->offers);
}

struct member *membership_find(const struct membership *membership,
			       struct net_addr peer)
{
	struct member *member;
	guint i;

	for (i = 0; i < membership->members->len; i++) {
		member = &g_array_index(membership->members, struct member, i);
		if (addr_equal(member->listed.peer, peer))
			return member;
	}
	return NULL;
}
