/** @file conn_room.c How many connections the pool of a member may open. */
#include "conn_queue.h"

struct conn_room conn_queue_room(const struct conn_queue *q, uint32_t limit,
				 uint32_t reserved, hm_time now)
{
	uint32_t users = conn_queue_users(q, now);
	struct conn_room room = { 0 };

	room.most = limit > reserved ? limit - reserved : 1;
	room.most_others = room.most;
	/*
	 * These accounts keep the member full all the time. After a change of
	 * owners it counts the connections of old and new monitors and checks.
	 */
	if (users > room.most && limit - limit / 8 < room.most) {
		room.most = limit - limit / 8;
		room.most_others = limit - limit / 4;
	}
	room.hold = users && limit > users ? limit / users : 1;
	return room;
}
