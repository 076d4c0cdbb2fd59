#include "conf/conf_impl.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define UNRESERVED \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
#define LITERAL UNRESERVED "%!$&'()+,;=:@"
#define ROOT 0

#define PARENT_LEN 5 /* characters */
#define EDGE_KEY_SIZE (PARENT_LEN + PATTERN_SIZE + 1)

/* Edge to a child; the key is the parent's number and the segment's text. */
struct edge {
	uint32_t to;
	char key[EDGE_KEY_SIZE];
};

struct node {
	struct route *exact;	/* of a pattern that ends here */
	struct route *wildcard; /* of a pattern that ends here with ** */
	uint32_t param;		/* child for {x}, or 0 */
};

struct trie {
	uint32_t refs;
	uint32_t n;
	uint32_t size;
	struct node *nodes;
	struct section edges;
};

/* A normalised path segment: escapes of unreserved characters are decoded. */
struct segment {
	char text[PATTERN_SIZE];
	size_t len;
	bool truncated; /* longer than any literal in a pattern */
};

static bool at_path_end(char c)
{
	return !c || c == '?' || c == '#';
}

static int hex_value(char c)
{
	if (isdigit((unsigned char)c))
		return c - '0';
	c = (char)tolower((unsigned char)c);
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

static void segment_add(struct segment *s, char c)
{
	if (s->len < sizeof(s->text))
		s->text[s->len++] = c;
	else
		s->truncated = true;
}

/*
 * Reads %xx and adds the decoded character if it is unreserved, else the
 * escape in upper case. Returns its end, or NULL if malformed.
 */
static const char *read_escape(const char *p, struct segment *s)
{
	int high = hex_value(p[1]);
	int low = high < 0 ? -1 : hex_value(p[2]);
	char c;

	if (low < 0)
		return NULL;
	c = (char)(high << 4 | low);
	if (c && strchr(UNRESERVED, c)) {
		segment_add(s, c);
	} else {
		segment_add(s, '%');
		segment_add(s, (char)toupper((unsigned char)p[1]));
		segment_add(s, (char)toupper((unsigned char)p[2]));
	}
	return p + 3;
}

/* Reads the segment after a slash; returns its end, or NULL if malformed. */
static const char *read_segment(const char *p, struct segment *s)
{
	s->len = 0;
	s->truncated = false;
	while (p && !at_path_end(*p) && *p != '/')
		if (*p == '%')
			p = read_escape(p, s);
		else
			segment_add(s, *p++);
	return p;
}

static bool is_dot_segment(const struct segment *s)
{
	return (s->len == 1 && s->text[0] == '.') ||
	       (s->len == 2 && !memcmp(s->text, "..", 2));
}

/*
 * Rejects malformed escapes and dot segments. An upstream that resolves dot
 * segments would serve a path that belongs to another route.
 */
static bool path_is_valid(const char *path)
{
	struct segment s;

	if (*path != '/')
		return false;
	while (path && *path == '/') {
		path = read_segment(path + 1, &s);
		if (path && is_dot_segment(&s))
			return false;
	}
	return path != NULL;
}

static const char *segment_fault(const char *p, size_t len, bool last)
{
	if (len == 2 && !memcmp(p, "**", 2))
		return last ? NULL : "may only have ** at its end";
	if (len && p[0] == '{') {
		if (len > 2 && p[len - 1] == '}' &&
		    strspn(p + 1, UNRESERVED) == len - 2)
			return NULL;
		return "has a malformed {name}";
	}
	if (!len && !last)
		return "has an empty segment";
	return strspn(p, LITERAL) == len
		       ? NULL
		       : "has a character that is not allowed in a path";
}

/* Returns the error in a pattern, or NULL if it is valid. */
const char *pattern_fault(const char *pattern)
{
	const char *p = pattern, *fault;
	size_t len;

	if (*p != '/')
		return "must start with /";
	while (*p == '/') {
		len = strcspn(++p, "/");
		fault = segment_fault(p, len, !p[len]);
		if (fault)
			return fault;
		p += len;
	}
	return path_is_valid(pattern) ? NULL : "has a dot segment or a bad %";
}

static uint32_t add_node(struct trie *t)
{
	uint32_t size = t->size ? t->size * 2 : 64;
	struct node *nodes;

	if (t->n == t->size) {
		nodes = realloc(t->nodes, size * sizeof(*nodes));
		if (!nodes)
			return 0;
		t->nodes = nodes;
		t->size = size;
	}
	memset(&t->nodes[t->n], 0, sizeof(*t->nodes));
	return t->n++;
}

/* Returns an empty trie with one reference, or NULL. */
struct trie *trie_new(void)
{
	struct trie *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->refs = 1;
	t->edges.key_offset = offsetof(struct edge, key);
	add_node(t);
	if (t->n)
		return t;
	free(t);
	return NULL;
}

/* Takes a reference. */
struct trie *trie_get(struct trie *t)
{
	t->refs++;
	return t;
}

/* Drops a reference; NULL is allowed. */
void trie_put(struct trie *t)
{
	uint32_t i;

	if (!t || --t->refs)
		return;
	section_free(&t->edges);
	for (i = 0; i < t->n; i++) {
		item_put(t->nodes[i].exact);
		item_put(t->nodes[i].wildcard);
	}
	free(t->nodes);
	free(t);
}

/*
 * Builds the key of an edge. The parent's number is encoded with seven bits per
 * character and the top bit set, so that the key has no NUL. len is at most
 * PATTERN_SIZE.
 */
static void make_key(char key[EDGE_KEY_SIZE], uint32_t parent, const char *text,
		     size_t len)
{
	size_t i;

	for (i = 0; i < PARENT_LEN; i++)
		key[i] = (char)(0x80 | (parent >> 7 * i & 0x7f));
	memcpy(key + PARENT_LEN, text, len);
	key[PARENT_LEN + len] = 0;
}

static const struct edge *find_edge(const struct trie *t, uint32_t parent,
				    const char *text, size_t len)
{
	char key[EDGE_KEY_SIZE];

	make_key(key, parent, text, len);
	return section_find(&t->edges, key);
}

/* Finds or creates the child for a literal segment; 0 when out of memory. */
static uint32_t literal_child(struct trie *t, uint32_t parent, const char *text,
			      size_t len)
{
	const struct edge *found = find_edge(t, parent, text, len);
	struct edge from, *e;
	int rc;

	if (found)
		return found->to;
	from.to = add_node(t);
	make_key(from.key, parent, text, len);
	e = from.to ? item_new(&from, offsetof(struct edge, key) + PARENT_LEN +
					      len + 1)
		    : NULL;
	rc = e ? section_put(&t->edges, e) : -1;
	item_put(e);
	return rc < 0 ? 0 : from.to;
}

/* Finds or creates the child for {x}; returns 0 when out of memory. */
static uint32_t param_child(struct trie *t, uint32_t parent)
{
	uint32_t to = t->nodes[parent].param;

	if (to)
		return to;
	to = add_node(t);
	t->nodes[parent].param = to;
	return to;
}

/*
 * Adds a route whose pattern pattern_fault accepts. Returns -1 when out of
 * memory, and 1 with *taken set if another route has the same method and
 * pattern.
 */
int trie_add(struct trie *t, const struct route *r, const struct route **taken)
{
	uint32_t at = literal_child(t, ROOT, r->method, strlen(r->method));
	const char *p = r->pattern;
	struct segment s;
	struct route **slot;
	bool rest = false;

	while (at && *p == '/') {
		rest = !strcmp(p, "/**");
		if (rest)
			break;
		if (p[1] == '{') {
			at = param_child(t, at);
			p += 1 + strcspn(p + 1, "/");
			continue;
		}
		p = read_segment(p + 1, &s);
		at = literal_child(t, at, s.text, s.len);
	}
	if (!at)
		return -1;
	slot = rest ? &t->nodes[at].wildcard : &t->nodes[at].exact;
	*taken = *slot;
	if (*slot)
		return 1;
	*slot = item_get((void *)r);
	return 0;
}

/*
 * Matches the rest of a path below a node. Each node is visited at most once,
 * as its depth determines how many segments have been consumed.
 */
static const struct route *match_from(const struct trie *t, uint32_t at,
				      const char *p)
{
	const struct node *node = &t->nodes[at];
	const struct route *r = NULL;
	const struct edge *e;
	struct segment s;

	if (*p != '/')
		return node->exact ? node->exact : node->wildcard;
	p = read_segment(p + 1, &s);
	if (!s.truncated) {
		e = find_edge(t, at, s.text, s.len);
		r = e ? match_from(t, e->to, p) : NULL;
	}
	if (!r && node->param && s.len)
		r = match_from(t, node->param, p);
	return r ? r : node->wildcard;
}

/*
 * Finds the route for a method and a path, whose query is ignored. From left
 * to right, a literal segment takes precedence over {x}, and {x} over **.
 * Returns NULL if none matches or the path is malformed or has dot segments.
 */
const struct route *trie_match(const struct trie *t, const char *method,
			       const char *path)
{
	size_t len = strlen(method);
	const struct edge *e;

	if (len >= METHOD_SIZE || !path_is_valid(path))
		return NULL;
	e = find_edge(t, ROOT, method, len);
	return e ? match_from(t, e->to, path) : NULL;
}
