#include "platform_node.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "node/node.h"

struct node *open_platform_node(const char *more)
{
	static const char format[] =
		"{\"host\":\"h\",\"data_centre\":\"a\",\"region\":\"r\","
		"\"interface\":\"platform\",\"listen\":{"
		"\"callers\":\"127.0.0.1:0\",\"services\":\"127.0.0.1:0\","
		"\"ready\":\"127.0.0.1:0\",\"nodes\":\"127.0.0.1:0\","
		"\"admin\":\"127.0.0.1:0\"},"
		"\"secret\":\"00112233445566778899aabbccddeeff"
		"00112233445566778899aabbccddeeff\","
		"\"log_level\":\"err\"%s}";
	struct error err = {0};
	struct settings s;
	char text[1024];
	struct node *n;

	snprintf(text, sizeof(text), format, more);
	assert_int_equal(settings_parse(&s, text, "f", &err), 0);
	n = node_open(&s, NULL, &err);
	assert_non_null(n);
	return n;
}
