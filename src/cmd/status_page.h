/* The status of a node as a page for people. */
#ifndef CMD_STATUS_PAGE_H
#define CMD_STATUS_PAGE_H

#include <json-c/json.h>
#include <stdbool.h>

void status_page_print(struct json_object *status, bool terminal);

#endif
