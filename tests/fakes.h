/**
 * @file fakes.h
 * Simulated members of one database group, in memory: promises, a log with
 * lineage, and asynchronous replication. They have no notion of time.
 */
#ifndef FAKES_H
#define FAKES_H

#include "../core/message.h"

#define FAKE_MEMBERS 3
#define FAKE_LOG 96

struct fake_member {
	hm_id endpoint;
	bool down;
	bool silent; /**< replies on new connections only */
	enum endpoint_role role;
	uint64_t promised;
	uint64_t promised_by;
	uint64_t owner;
	struct lineage lineage;
	uint64_t pos;
	uint64_t terms[FAKE_LOG];  /**< terms[i]: term of record i + 1 */
	uint64_t writes[FAKE_LOG]; /**< writes[i]: write in record i + 1 */
	hm_id target;		   /**< member that it follows, 0: none */
	uint64_t follow_term;
};

struct fakes {
	struct fake_member members[FAKE_MEMBERS];
	uint64_t promoted; /**< newest term that has a primary */
	/** copy of the primary of that term at its promotion */
	struct fake_member newest;
};

/** Makes member 0 the primary of term 1; the others follow it. */
void fake_init(struct fakes *m);
hm_id fake_endpoint(uint32_t index);
struct fake_member *fake_member(struct fakes *m, hm_id endpoint);
/** Performs a control command; returns the member's state afterwards. */
struct endpoint_state fake_control(struct fakes *m,
				   const struct control *command);
struct log_pos fake_at(const struct fake_member *m);
/** Appends a write to the log; returns false when the member refuses it. */
bool fake_write(struct fake_member *m, uint64_t write);
/**
 * Copies up to @a records log records to the member @a to from the member that
 * @a to follows; returns false when @a to cannot receive any.
 */
bool fake_replicate(struct fakes *m, struct fake_member *to, uint32_t records);
/** Bit set of the writes in the log: bit i stands for write i, below 64. */
uint64_t fake_write_bits(const struct fake_member *m);
bool fake_has_write(const struct fake_member *m, uint64_t write);
/** Whether the log has a record at the position and with the term of @a at. */
bool fake_has_record(const struct fake_member *m, struct log_pos at);

#endif
