#include "core/quota.h"

static void customer_quota_free(gpointer data);

void quotas_init(struct quotas *quotas)
{
	quotas->customers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, customer_quota_free);
}

void quotas_clear(struct quotas *quotas)
{
	g_hash_table_unref(quotas->customers);
	quotas->customers = NULL;
}

struct customer_quota *quotas_find(const struct quotas *quotas,
				   uint64_t customer_hash)
{
	return g_hash_table_lookup(quotas->customers, &customer_hash);
}

struct customer_quota *quotas_add(struct quotas *quotas, uint64_t customer_hash)
{
	struct customer_quota *quota = quotas_find(quotas, customer_hash);

	if (quota)
		return quota;
	quota = g_new0(struct customer_quota, 1);
	quota->customer_hash = customer_hash;
	quota->waiting = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_hash_table_insert(quotas->customers, &quota->customer_hash, quota);
	return quota;
}

static void customer_quota_free(gpointer data)
{
	struct customer_quota *quota = data;

	g_array_unref(quota->waiting);
	g_free(quota);
}
