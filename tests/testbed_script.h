/**
 * @file testbed_script.h
 * Scripted runs over a bed: time passes in ticks of the core, packets arrive
 * in the order in which they were sent. Commands:
 *
 *	write session=N proxy=N		read session=N proxy=N [age=MS]
 *	run ms=N			state
 *	cut a=NODE b=NODE		cut zone=N		heal
 *	down member=N			up member=N
 *	silent member=N				until a fresh connection
 *	pause proxy=N			resume proxy=N
 *	lag member=N			ship member=N
 *	lose step=OP [count=N]		repeat step=OP
 *	take proxy=N member=N		leave member=N		truth
 *	block step=OP member=N [on=0]
 *	rewind member=N pos=N		as by a restore of an old copy
 *	stalled proxy=N			remove member=N		from the settings
 *	token session=N term=N pos=N [unsure=1]
 *
 * Nodes are p0..p2 for proxies and m0..m2 for members. "lose" drops the
 * answers to the next control steps of that kind after they took effect.
 */
#ifndef TESTBED_SCRIPT_H
#define TESTBED_SCRIPT_H

#include "script.h"

/** Runs one script on a new bed; as script_run(). */
char *testbed_script_run(const char *file);

#endif
