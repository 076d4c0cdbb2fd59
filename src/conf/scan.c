/*
 * json-c reports neither the line of a member nor duplicate members. This
 * scanner follows the structure of a text that json-c has already accepted.
 */
#include "conf/conf_impl.h"

#include <stdio.h>
#include <string.h>

struct span {
	const char *p;
	size_t len;
};

struct scan {
	const char *p;
	const char *end;
	const char *start;
	char path[JSON_PATH_SIZE];
	void *ctx;
	void (*member)(struct scan *s, const char *fault);
};

static void scan_value(struct scan *s);

static void skip_comment(struct scan *s)
{
	const char *end;

	if (s->end - s->p > 1 && s->p[1] == '*') {
		end = memmem(s->p + 2, (size_t)(s->end - s->p - 2), "*/", 2);
		s->p = end ? end + 2 : s->end;
		return;
	}
	while (s->p < s->end && *s->p != '\n')
		s->p++;
}

static void skip_space(struct scan *s)
{
	while (s->p < s->end)
		if (*s->p == '/')
			skip_comment(s);
		else if (strchr(" \t\r\n\f\v", *s->p))
			s->p++;
		else
			return;
}

/* Skips a quoted string and returns the text between the quotes. */
static struct span scan_string(struct scan *s)
{
	char quote = *s->p++;
	struct span text = {s->p, 0};

	while (s->p < s->end && *s->p != quote)
		s->p += *s->p == '\\' ? 2 : 1;
	if (s->p > s->end)
		s->p = s->end;
	text.len = (size_t)(s->p - text.p);
	if (s->p < s->end)
		s->p++;
	return text;
}

/* Skips white space and comments, then c if it is next; true if it was. */
static bool accept_char(struct scan *s, char c)
{
	skip_space(s);
	if (s->p >= s->end || *s->p != c)
		return false;
	s->p++;
	return true;
}

static bool at_string(struct scan *s)
{
	skip_space(s);
	return s->p < s->end && (*s->p == '"' || *s->p == '\'');
}

static const char *name_fault(const struct span *names, size_t n,
			      struct span name)
{
	size_t i;

	if (memchr(name.p, '\\', name.len))
		return "a member name has no escapes";
	for (i = 0; i < n; i++)
		if (names[i].len == name.len &&
		    !memcmp(names[i].p, name.p, name.len))
			return "is given twice";
	return NULL;
}

static void scan_object(struct scan *s)
{
	struct span names[JSON_MEMBERS_MAX], name;
	size_t len = strlen(s->path), n = 0;

	while (at_string(s)) {
		name = scan_string(s);
		snprintf(s->path + len, sizeof(s->path) - len, "%s%.*s",
			 len ? "." : "", (int)name.len, name.p);
		if (n == JSON_MEMBERS_MAX) {
			s->member(s, "exceeds the member limit of its object");
		} else {
			s->member(s, name_fault(names, n, name));
			names[n++] = name;
		}
		if (accept_char(s, ':'))
			scan_value(s);
		s->path[len] = 0;
		if (!accept_char(s, ','))
			break;
	}
	accept_char(s, '}');
}

static void scan_array(struct scan *s)
{
	size_t len = strlen(s->path), n = 0;

	for (;;) {
		skip_space(s);
		if (s->p >= s->end || *s->p == ']')
			break;
		snprintf(s->path + len, sizeof(s->path) - len, "[%zu]", n++);
		s->member(s, NULL);
		scan_value(s);
		s->path[len] = 0;
		if (!accept_char(s, ','))
			break;
	}
	accept_char(s, ']');
}

/* The recursion is bounded, as json-c accepts at most JSON_DEPTH_MAX levels. */
static void scan_value(struct scan *s)
{
	if (accept_char(s, '{'))
		scan_object(s);
	else if (accept_char(s, '['))
		scan_array(s);
	else if (at_string(s))
		scan_string(s);
	else
		while (s->p < s->end && !strchr(",]} \t\r\n/", *s->p))
			s->p++;
}

static void add_fault(struct scan *s, const char *fault)
{
	if (fault)
		reader_fault_at(s->ctx, s->path, "%s", fault);
}

/* Reports duplicate members, of which json-c keeps only the last. */
void check_duplicates(const char *text, size_t len, struct reader *r)
{
	struct scan s = {.p = text,
			 .end = text + len,
			 .start = text,
			 .ctx = r,
			 .member = add_fault};

	scan_value(&s);
}

struct target {
	const char *path;
	size_t len; /* of the longest matching path so far */
	size_t offset;
};

/* Stores the offset of the member if it is the target or encloses it. */
static void match_path(struct scan *s, const char *fault)
{
	struct target *t = s->ctx;
	size_t n = strlen(s->path);

	(void)fault;
	if (n < t->len || strncmp(s->path, t->path, n) ||
	    !strchr(".[", t->path[n]))
		return;
	t->len = n;
	t->offset = (size_t)(s->p - s->start);
}

/* Returns the line, from 1, of a member or of the nearest enclosing one. */
unsigned line_of_path(const char *text, size_t len, const char *path)
{
	struct target t = {.path = path};
	struct scan s = {.p = text,
			 .end = text + len,
			 .start = text,
			 .ctx = &t,
			 .member = match_path};

	scan_value(&s);
	return line_at(text, len, t.offset);
}

/* Returns the line of a byte offset, from 1. */
unsigned line_at(const char *text, size_t len, size_t offset)
{
	unsigned line = 1;
	size_t i;

	for (i = 0; i < len && i < offset; i++)
		line += text[i] == '\n';
	return line;
}

static bool only_space(const char *p, const char *end)
{
	struct scan s = {.p = p, .end = end};

	skip_space(&s);
	return s.p >= end || !*s.p;
}

/*
 * Parses a JSON object; comments are allowed. Returns NULL with err set and
 * the line of the error in *line.
 */
struct json_object *json_read(const char *text, size_t len, unsigned *line,
			      struct error *err)
{
	struct json_tokener *tok = json_tokener_new_ex(JSON_DEPTH_MAX);
	struct json_object *obj = NULL;
	enum json_tokener_error e;
	size_t end;

	*line = 1;
	if (!tok || len > INT32_MAX) {
		json_tokener_free(tok);
		error_set(err, ERROR_LIMIT, "json", NULL, "too large");
		return NULL;
	}
	json_tokener_set_flags(tok, JSON_TOKENER_VALIDATE_UTF8);
	obj = json_tokener_parse_ex(tok, text, (int)len);
	e = json_tokener_get_error(tok);
	end = json_tokener_get_parse_end(tok);
	json_tokener_free(tok);
	if (e == json_tokener_success && !only_space(text + end, text + len)) {
		json_object_put(obj);
		obj = NULL;
		e = json_tokener_error_parse_unexpected;
	} else if (e == json_tokener_success &&
		   json_object_is_type(obj, json_type_object)) {
		return obj;
	}
	json_object_put(obj);
	*line = line_at(text, len, end);
	error_set(err, ERROR_INPUT, "json", NULL, "%s",
		  e == json_tokener_success    ? "not an object"
		  : e == json_tokener_continue ? "ends too early"
					       : json_tokener_error_desc(e));
	return NULL;
}
