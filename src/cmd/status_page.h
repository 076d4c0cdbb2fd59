/* Prints the status of a node as text. */
#ifndef CMD_STATUS_PAGE_H
#define CMD_STATUS_PAGE_H

#include <json-c/json.h>
#include <stdbool.h>

/* Prints a response of /v1/status; on a terminal, headings are bold. */
void status_page_print(struct json_object *status, bool terminal);
/* Prints a response of /v1/evacuations; returns false if there are none. */
bool status_page_print_evacuations(struct json_object *answer);

#endif
