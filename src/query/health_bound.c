#include "query/health_bound.h"

/* Scale of the intermediate values, in 64 bits so that they do not overflow. */
#define PERMILLE_SCALE UINT64_C(1000)

static uint64_t square_root(uint64_t value);
static uint64_t half_width(uint64_t part, uint64_t all, uint64_t z_square);

uint32_t share_lower_permille(uint32_t part_requests, uint32_t all_requests,
			      uint64_t z_square_permille)
{
	uint64_t centre =
		PERMILLE_SCALE * part_requests + z_square_permille / 2;
	uint64_t width =
		half_width(part_requests, all_requests, z_square_permille);
	uint64_t all = PERMILLE_SCALE * all_requests + z_square_permille;

	if (all_requests == 0 || centre < width)
		return 0;
	return (uint32_t)((centre - width) * PERMILLE_SCALE / all);
}

uint32_t share_upper_permille(uint32_t part_requests, uint32_t all_requests,
			      uint64_t z_square_permille)
{
	uint64_t centre =
		PERMILLE_SCALE * part_requests + z_square_permille / 2;
	uint64_t width =
		half_width(part_requests, all_requests, z_square_permille);
	uint64_t all = PERMILLE_SCALE * all_requests + z_square_permille;

	if (all_requests == 0)
		return PERMILLE_ONE;
	return (uint32_t)((centre + width) * PERMILLE_SCALE / all);
}

/* z * sqrt(part * (all - part) / all + z^2 / 4), in thousandths. */
static uint64_t half_width(uint64_t part, uint64_t all, uint64_t z_square)
{
	uint64_t radicand = z_square / 4;

	if (all > 0)
		radicand += part * (all - part) * PERMILLE_SCALE / all;
	return square_root(z_square * radicand);
}

/* Return: square root of @value, rounded down, by Newton's method. */
static uint64_t square_root(uint64_t value)
{
	uint64_t root = value;
	uint64_t next = value / 2 + 1;

	while (next < root) {
		root = next;
		next = (root + value / root) / 2;
	}
	return root;
}
