/**
 * @file member.h
 * Stand-in for the members of one service: a primary and two replicas without
 * delay that speak the line protocol, each on a loopback port.
 */
#ifndef LAB_MEMBER_H
#define LAB_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#define MEMBERS 3

bool members_start(const char *service);
const char *member_address(int index);
const char *member_name(int index);
uint64_t members_runs(void);

/** Called for each statement with a client's id, before it runs. */
typedef void (*member_hook)(int member, const char *tenant, const char *id,
			    const char *text);
void members_on_run(member_hook h);

#endif
