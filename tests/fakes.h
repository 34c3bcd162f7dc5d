/**
 * @file fakes.h
 * Members of one database group in memory: durable promises, a log with
 * lineage, and asynchronous replication. No time passes inside.
 */
#ifndef FAKES_H
#define FAKES_H

#include "../core/message.h"

#define FAKE_MEMBERS 3
#define FAKE_LOG 96

struct fake_member {
	hm_id endpoint;
	bool down;
	bool silent; /**< answers on new connections only */
	enum endpoint_role role;
	uint64_t promised;
	uint64_t promised_by;
	uint64_t owner;
	struct lineage lineage;
	uint64_t pos;
	uint64_t terms[FAKE_LOG];  /**< of record pos + 1 */
	uint64_t writes[FAKE_LOG]; /**< number of the write in it */
	hm_id target;		   /**< followed, 0 for none */
	uint64_t follow_term;
};

struct fakes {
	struct fake_member members[FAKE_MEMBERS];
	uint64_t promoted; /**< newest term that any member was promoted to */
	struct fake_member newest; /**< that member, as it was promoted */
};

/** Member 0 is primary of term 1, the others follow it. */
void fake_init(struct fakes *m);
hm_id fake_endpoint(uint32_t index);
struct fake_member *fake_member(struct fakes *m, hm_id endpoint);
/** Performs a control step and reports the state after it. */
struct endpoint_state fake_control(struct fakes *m,
				   const struct control *command);
struct log_pos fake_at(const struct fake_member *m);
/** Appends a write; false when the member refuses it. */
bool fake_write(struct fake_member *m, uint64_t write);
/** Ships up to @a records from the followed member; true if it could. */
bool fake_replicate(struct fakes *m, struct fake_member *to, uint32_t records);
/** One bit for each write in the log, by its number below 64. */
uint64_t fake_write_bits(const struct fake_member *m);
bool fake_has_write(const struct fake_member *m, uint64_t write);
/** Whether the log holds the record at @a at under its term. */
bool fake_has_record(const struct fake_member *m, struct log_pos at);

#endif
