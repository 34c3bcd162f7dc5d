/**
 * @file site.h
 * A whole site in one process and on loopback: the stand-in platform, stand-in
 * database groups and instances, each on its own thread. For first trials,
 * demonstrations and tests.
 */
#ifndef SITE_H
#define SITE_H

#include "../src/settings.h"
#include "member.h"
#include "store.h"

#define SITE_INSTANCES_MAX 8
#define SITE_DATABASES_MAX 3
#define SITE_ZONES 4
#define SITE_KEY_BYTES 65

struct site;

struct site_options {
	uint16_t port; /**< first of SITE_PORTS consecutive ports */
	/** number of instances, in the zones a, b, c, d, a, ... */
	uint32_t instances;
	/** number of databases, named db1, db2, db3; three members each */
	uint32_t databases;
	uint32_t slots;
	uint32_t connections;
	struct member_options member;
	const char *log_level;
	/** Instances run in other processes, with site_settings_text(). */
	bool instances_elsewhere;
};

#define SITE_PORTS (1 + SITE_DATABASES_MAX * 3 + SITE_INSTANCES_MAX * 3)

void site_options_default(struct site_options *o);
/** Starts the site; NULL with an error text in @a fault on failure. */
struct site *site_new(const struct site_options *options,
		      char fault[SETTINGS_FAULT_BYTES]);
/** Stops the running instances at once and frees the site. */
void site_free(struct site *s);

struct store *site_store(struct site *s);
struct members *site_members(struct site *s);
/** Client address of an instance, and its operator address. */
const char *site_client_address(const struct site *s, uint32_t instance);
const char *site_operator_address(const struct site *s, uint32_t instance);
/** Settings of an instance as JSON text; release with g_free(). */
char *site_settings_text(const struct site *s, uint32_t instance);
/** Member named @a name, NULL when there is none. */
const struct endpoint_spec *site_member(const struct site *s, const char *name);
/** Member @a member of database @a database. */
const struct endpoint_spec *site_endpoint(const struct site *s,
					  uint32_t database, uint32_t member);

/**
 * Stores a contract for all databases with one new random key.
 * @param key receives the key as text
 */
bool site_put_contract(struct site *s, const char *account, uint32_t rate,
		       uint32_t burst, char key[SITE_KEY_BYTES]);
/** Replaces the contract by one without keys. */
bool site_put_contract_without_keys(struct site *s, const char *account,
				    uint32_t rate, uint32_t burst);
/** Shuts an instance down gracefully; returns when it has ended. */
void site_stop(struct site *s, uint32_t instance);
/** Ends an instance at once; its sockets close as if it was killed. */
void site_kill(struct site *s, uint32_t instance);

#endif
