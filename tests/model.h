/**
 * @file model.h
 * Members of one database group in memory: durable promises, a log with
 * lineage, and asynchronous replication. No time passes inside.
 */
#ifndef MODEL_H
#define MODEL_H

#include "../core/message.h"

#define MODEL_MEMBERS 3
#define MODEL_LOG 96

struct model_member {
	hm_id endpoint;
	bool down;
	bool silent; /**< answers on new connections only */
	enum endpoint_role role;
	uint64_t promised;
	uint64_t promised_by;
	uint64_t home;
	struct lineage lineage;
	uint64_t pos;
	uint64_t terms[MODEL_LOG];  /**< of record pos + 1 */
	uint64_t writes[MODEL_LOG]; /**< number of the write in it */
	hm_id target;		    /**< followed, 0 for none */
	uint64_t follow_term;
};

struct model {
	struct model_member members[MODEL_MEMBERS];
	uint64_t promoted; /**< newest term that any member was promoted to */
	struct model_member newest; /**< that member, as it was promoted */
};

/** Member 0 is primary of term 1, the others follow it. */
void model_init(struct model *m);
hm_id model_endpoint(uint32_t index);
struct model_member *model_member(struct model *m, hm_id endpoint);
/** Performs a control step and reports the state after it. */
struct endpoint_state model_control(struct model *m,
				    const struct control *step);
struct mark model_at(const struct model_member *m);
/** Appends a write; false when the member refuses it. */
bool model_write(struct model_member *m, uint64_t write);
/** Ships up to @a records from the followed member; true if it could. */
bool model_replicate(struct model *m, struct model_member *to,
		     uint32_t records);
/** One bit for each write in the log, by its number below 64. */
uint64_t model_bits(const struct model_member *m);
bool model_holds(const struct model_member *m, uint64_t write);
/** Whether the log holds the record at @a at under its term. */
bool model_reached(const struct model_member *m, struct mark at);

#endif
