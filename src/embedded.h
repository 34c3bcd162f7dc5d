/**
 * @file embedded.h
 * The embedded default: one instance with stand-ins, all in this process.
 */
#ifndef EMBEDDED_H
#define EMBEDDED_H

/** Serves until a signal; returns the exit code. */
int embedded_serve(void);

#endif
