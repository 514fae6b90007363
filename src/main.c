#include <stdio.h>

int main(void)
{
	fputs("nutmegcrank: not yet\n", stderr);
	return 1;
}
