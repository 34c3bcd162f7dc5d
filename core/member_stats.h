/**
 * @file member_stats.h
 * What an instance has seen of one member: the execution time of its reads and
 * writes, the share of its attempts that failed, and how far a replica lags. A
 * member that fails much more than the others of its service is ejected, and
 * returns after successful probes.
 */
#ifndef MEMBER_STATS_H
#define MEMBER_STATS_H

#include "types.h"

/** What an attempt at a member showed. */
enum member_outcome {
	MEMBER_SERVED,
	MEMBER_FAILED, /**< ran and failed, or its answer was lost */
	MEMBER_BEHIND, /**< a replica lacks the required log position */
	MEMBER_SKIPPED /**< refused before it reached the member */
};

struct member_stats {
	/** Mean execution times, and how many statements they are from. */
	hm_time read_cost;
	hm_time write_cost;
	uint32_t reads;
	uint32_t writes;
	/** Attempts and failures, in thousandths; both decay. */
	int64_t attempts;
	int64_t failures;
	hm_time decayed_at;
	bool ejected;
	hm_time probe_at; /**< ejected: time of the next probe */
	uint32_t probes_served;
	/** Age at which a commit is expected in its log; decays. */
	hm_time lag;
	hm_time lag_at; /**< last update of @a lag */
	/** A read of bounded age fails until then. */
	hm_time behind_until;
	hm_time behind_for; /**< length of the last wait for it to catch up */
};

/** One attempt. */
struct member_attempt {
	enum member_outcome outcome;
	bool writes;
	hm_time took;	    /**< from sending to the result */
	hm_time queue_wait; /**< part of it in the owner's queue */
	hm_time commit_age; /**< age of the commit required, 0: none */
};

void member_stats_add(struct member_stats *s, const struct member_attempt *a,
		      hm_time now);
/** Expected execution time of a statement. */
hm_time member_stats_cost(const struct member_stats *s, bool writes);
/** Share of failed attempts in thousandths, 0 if there were too few. */
uint32_t member_stats_failures(struct member_stats *s, hm_time now);
/**
 * Whether a replica is expected to lack what a read requires.
 * @param commit_age age of the session's own commit that it must see, 0: the
 * read accepts data of a certain age
 */
bool member_stats_is_behind(const struct member_stats *s, hm_time commit_age,
			    hm_time now);
/**
 * Whether the member is to be ejected: its share of failures is high, and more
 * than twice @a others, the share of the other members of its service.
 */
bool member_stats_fails(struct member_stats *s, uint32_t others, hm_time now);
void member_stats_eject(struct member_stats *s, hm_time now);
/** Whether an ejected member gets a probe now; counts it as sent. */
bool member_stats_probe(struct member_stats *s, hm_time now);

#endif
