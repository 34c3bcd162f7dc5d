/**
 * @file testbed_script.h
 * Runs scripts on a testbed: time advances in ticks of the core, packets arrive
 * in the order in which they were sent. Commands:
 *
 *	write session=N proxy=N		read session=N proxy=N [age=MS]
 *	run ms=N			state
 *	cut a=NODE b=NODE		cut zone=N		heal
 *	down member=N			up member=N
 *	silent member=N			no replies until a new connection
 *	pause proxy=N			resume proxy=N
 *	lag member=N			ship member=N
 *	lose step=OP [count=N]		repeat step=OP
 *	take proxy=N member=N		leave member=N		truth
 *	block step=OP member=N [on=0]
 *	rewind member=N pos=N		like a restore of an older copy
 *	patience ms=N			how long writes wait for a replica
 *	stalled proxy=N			remove member=N		from the group
 *	token session=N term=N pos=N [unsure=1]
 *
 * Nodes are p0..p2 for proxies and m0..m2 for members. "lose" drops the replies
 * to the next control commands of that kind, which do take effect. "truth"
 * prints the first violated rule.
 */
#ifndef TESTBED_SCRIPT_H
#define TESTBED_SCRIPT_H

#include "script.h"

/** Runs one script on a new testbed; returns the same as script_run(). */
char *testbed_script_run(const char *file);

#endif
