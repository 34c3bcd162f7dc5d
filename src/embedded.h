/**
 * @file embedded.h
 * "serve" without settings: one instance with a stand-in platform and
 * stand-in database members, all in this process.
 */
#ifndef EMBEDDED_H
#define EMBEDDED_H

/** Serves until SIGINT or SIGTERM; returns the exit code. */
int embedded_serve(void);

#endif
