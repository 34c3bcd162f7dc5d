/** @file model_faults.c Effects of the simulated faults. */
#include "model_world.h"

#define BEHIND_LAG (30 * HM_SEC)
/* Time after an outage until the instances have listed all contracts again. */
#define RELIST_DELAY (1 * HM_SEC)

/*
 * The member that a fault hits: the primary of database 0 at the time when the
 * fault begins.
 */
static struct model_member *fault_member(struct world *w, uint32_t index,
					 bool on)
{
	if (on)
		w->fault_members[index] = group_newest_primary(w, 0);
	return &w->members[0][w->fault_members[index] % MODEL_MEMBERS];
}

static void primary_dead(struct world *w, uint32_t index, bool on)
{
	struct model_member *m = fault_member(w, index, on);

	if (on)
		member_kill(m);
	else
		member_revive(m);
}

static void primary_cut(struct world *w, uint32_t index, bool on)
{
	fault_member(w, index, on)->cut_peers = on;
}

static void zone_cut(struct world *w, uint32_t index, bool on)
{
	uint16_t zone = fault_member(w, index, on)->spec->zone;

	w->zone_cut[zone] = on;
	if (on)
		w->zone_cut_since[zone] = w->schedule.now;
	else
		w->zone_healed_at[zone] = w->schedule.now;
}

static void instance_dead(struct world *w, uint32_t index, bool on)
{
	(void)index;
	if (on)
		world_stop_instance(w, 0);
	else
		world_start_instance(w, 0);
}

static void instance_paused(struct world *w, uint32_t index, bool on)
{
	w->instances[0].paused_until =
		on ? w->plan.faults[index].until : w->schedule.now;
}

static void replica_behind(struct world *w, uint32_t index, bool on)
{
	struct model_member *m = fault_member(w, index, on);
	uint32_t next = (uint32_t)(m - w->members[0]) + 1;

	w->members[0][next % MODEL_MEMBERS].lag =
		on ? BEHIND_LAG : w->plan.site.lag;
}

static void platform_down(struct world *w, uint32_t index, bool on)
{
	uint32_t i;

	(void)index;
	w->platform_down = on;
	/* After an outage all instances list all contracts again. */
	for (i = 0; !on && i < w->plan.site.account_count; i++)
		schedule_at(&w->schedule, w->schedule.now + RELIST_DELAY,
			    world_publish_contract, w, GUINT_TO_POINTER(i),
			    NULL);
}

static void (*const fault_calls[FAULT_KIND_COUNT])(struct world *w,
						   uint32_t index, bool on) = {
	[FAULT_PRIMARY_DEAD] = primary_dead,
	[FAULT_PRIMARY_CUT] = primary_cut,
	[FAULT_ZONE_CUT] = zone_cut,
	[FAULT_INSTANCE_DEAD] = instance_dead,
	[FAULT_INSTANCE_PAUSED] = instance_paused,
	[FAULT_REPLICA_BEHIND] = replica_behind,
	[FAULT_PLATFORM_DOWN] = platform_down,
};

static void fault_begin(void *owner, void *arg)
{
	struct world *w = owner;
	uint32_t index = GPOINTER_TO_UINT(arg);

	fault_calls[w->plan.faults[index].kind](w, index, true);
}

static void fault_end(void *owner, void *arg)
{
	struct world *w = owner;
	uint32_t index = GPOINTER_TO_UINT(arg);

	fault_calls[w->plan.faults[index].kind](w, index, false);
}

void faults_plan(struct world *w)
{
	uint32_t i;

	for (i = 0; i < w->plan.fault_count; i++) {
		const struct model_fault *f = &w->plan.faults[i];

		schedule_at(&w->schedule, f->at, fault_begin, w,
			    GUINT_TO_POINTER(i), NULL);
		schedule_at(&w->schedule, f->until, fault_end, w,
			    GUINT_TO_POINTER(i), NULL);
	}
}
