/* Internal to the departures controller. */
#ifndef CONTROL_DEPARTURES_DEPARTURES_IMPL_H
#define CONTROL_DEPARTURES_DEPARTURES_IMPL_H

#include "control/departures/departures.h"

#define DEPARTURE_LINE_SIZE 80
#define DEPARTURES_TEXT_SIZE (DEPARTURES_MAX * DEPARTURE_LINE_SIZE)

struct kept_departure {
	struct departure departure;
	uint64_t ticket;
	int64_t added_us;
};

struct departures {
	struct departures_options o;
	struct kept_departure items[DEPARTURES_MAX];
	size_t n;
	bool known;
	bool certain;
	int64_t started_us;
	/* Tickets number the changes of the table. */
	uint64_t last_ticket;
	int64_t changed_us;

	/* Members: the record of this host that has all up to told_ticket. */
	uint32_t told_version;
	uint64_t told_ticket;
	uint64_t confirmed_ticket;
	int64_t ask_due_us;
	int64_t witness_due_us;
	bool store_alone; /* it is enough for what was told last */

	/* The store: all departures of this host under one key. */
	char key[STORE_KEY_SIZE];
	int64_t revision; /* of the key; 0: absent */
	int64_t lease;
	char text[DEPARTURES_TEXT_SIZE]; /* being written */
	uint64_t written_ticket;
	uint64_t stored_ticket;
	bool was_read;
	bool read_due;
	bool call_pending;
	int64_t next_us;
};

/* departures_store.c */
void departures_store_init(struct departures *d);
void departures_store_tick(struct departures *d, int64_t now);

#endif
