/** @file main.c Entry of the program: picks a subcommand. */
#include <stdio.h>
#include <string.h>

#define VERSION "0.1.0"

int main(int argc, char **argv)
{
	if (argc == 2 && !strcmp(argv[1], "--version")) {
		printf("hyssopmount %s\n", VERSION);
		return 0;
	}
	fprintf(stderr, "usage: hyssopmount --version\n");
	return 2;
}
