#include "conf/conf_impl.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "platform/platform.h"

#define SETTINGS_SIZE_MAX (64 * 1024) /* bytes */
#define COUNT(a) (sizeof(a) / sizeof(*(a)))
#define AT(member) offsetof(struct settings, member)

#define MB (1024 * 1024)
#define BODY_MEMORY_DIVISOR 4 /* bodies get a quarter of the host's memory */
#define RECORDS_PER_MB 8      /* of 700 bytes each: 0.5 % of the memory */
/* For files, links to other hosts, the upstream and the store. */
#define DESCRIPTORS_RESERVED 456

/* Indexed by syslog priority. */
static const char *const log_levels[] = {"emerg", "alert",   "crit",
					 "err",	  "warning", "notice",
					 "info",  "debug",   NULL};
static const char *const store_kinds[] = {"none", "etcd", "memory", "platform",
					  NULL};
static const char *const interfaces[] = {"own", "platform", NULL};

/* In nested objects too, offsets are from the start of struct settings. */
static const struct field listen_fields[] = {
	{"callers", .kind = FIELD_ADDR, .offset = AT(callers),
	 .required = true},
	{"services", .kind = FIELD_ADDR, .offset = AT(services),
	 .required = true},
	{"nodes", .kind = FIELD_ADDR, .offset = AT(nodes), .required = true},
	{"admin", .kind = FIELD_ADDR, .offset = AT(admin), .required = true},
	{"ready", .kind = FIELD_ADDR, .offset = AT(ready)},
};

static const struct field upstream_fields[] = {
	{"service", .kind = FIELD_NAME, .offset = AT(service),
	 .required = true},
	{"address", .kind = FIELD_ADDR, .offset = AT(upstream)},
};

static const struct field host_fields[] = {
	{"memory_mb", .kind = FIELD_COUNT, .offset = AT(host_memory_mb),
	 .min = 32, .max = 1e6},
	{"descriptors", .kind = FIELD_COUNT, .offset = AT(host_descriptors),
	 .min = 512, .max = 1e6},
};

static const struct field store_fields[] = {
	{"kind", .kind = FIELD_CHOICE, .offset = AT(store_kind),
	 .required = true, .choices = store_kinds},
	{"address", .kind = FIELD_ADDR, .offset = AT(store)},
	{"calls_per_second", .kind = FIELD_COUNT, .offset = AT(store_calls_s),
	 .min = 1, .max = 10000},
};

static const struct field limits_fields[] = {
	{"body_bytes", .kind = FIELD_BYTES, .offset = AT(body_limit),
	 .min = 1024, .max = 64 * 1024 * 1024},
	{"memory_bytes", .kind = FIELD_BYTES, .offset = AT(memory_limit),
	 .min = 1024 * 1024, .max = 16e9},
	{"requests", .kind = FIELD_COUNT, .offset = AT(requests_max), .min = 1,
	 .max = 1e6},
	{"connections", .kind = FIELD_COUNT, .offset = AT(connections_max),
	 .min = 1, .max = 1e6},
	{"records", .kind = FIELD_COUNT, .offset = AT(records_max), .min = 16,
	 .max = 1e6},
};

static const struct field crossing_fields[] = {
	{"cost_per_mb", .kind = FIELD_NUMBER, .offset = AT(cost_per_mb),
	 .max = 1e9},
	{"wait_worth_per_s", .kind = FIELD_NUMBER,
	 .offset = AT(wait_worth_per_s), .min = 1e-9, .max = 1e9},
};

static const struct field settings_fields[] = {
	{"host", .kind = FIELD_NAME, .offset = AT(host), .required = true},
	{"data_centre", .kind = FIELD_NAME, .offset = AT(data_centre),
	 .required = true},
	{"region", .kind = FIELD_NAME, .offset = AT(region), .required = true},
	{"listen", .kind = FIELD_OBJECT, .required = true,
	 .fields = listen_fields, .field_count = COUNT(listen_fields)},
	{"seeds", .kind = FIELD_OTHER},
	{"headers", .kind = FIELD_OTHER},
	{"store", .kind = FIELD_OBJECT, .required = true,
	 .fields = store_fields, .field_count = COUNT(store_fields)},
	{"secret", .kind = FIELD_HASH, .offset = AT(secret)},
	{"interface", .kind = FIELD_CHOICE, .offset = AT(interface),
	 .choices = interfaces},
	{"upstream", .kind = FIELD_OBJECT, .fields = upstream_fields,
	 .field_count = COUNT(upstream_fields)},
	{"host_limits", .kind = FIELD_OBJECT, .fields = host_fields,
	 .field_count = COUNT(host_fields)},
	{"promises", .kind = FIELD_OTHER},
	{"bootstrap_operator", .kind = FIELD_HASH,
	 .offset = AT(bootstrap_operator)},
	{"limits", .kind = FIELD_OBJECT, .fields = limits_fields,
	 .field_count = COUNT(limits_fields)},
	{"stop_grace_s", .kind = FIELD_TIME, .offset = AT(stop_grace_us),
	 .max = 3600, .unit_us = USEC_PER_SEC},
	{"share_hold_s", .kind = FIELD_TIME, .offset = AT(share_hold_us),
	 .min = 20, .max = 86400, .unit_us = USEC_PER_SEC},
	{"share_groups", .kind = FIELD_COUNT, .offset = AT(share_groups),
	 .max = 1024},
	{"data_centres", .kind = FIELD_OTHER},
	{"crossing", .kind = FIELD_OBJECT, .fields = crossing_fields,
	 .field_count = COUNT(crossing_fields)},
	{"log_level", .kind = FIELD_CHOICE, .offset = AT(log_priority),
	 .choices = log_levels},
};

#define DATA_CENTRES_MAX 64 /* well above the seven that are planned */

static const struct settings defaults = {
	.store_calls_s = 50,
	.body_limit = 1024 * 1024,
	.memory_limit = 32 * 1024 * 1024,
	.requests_max = 4096,
	.connections_max = 2048,
	.records_max = 32768,
	.stop_grace_us = 30 * USEC_PER_SEC,
	.log_priority = LOG_INFO,
	.wait_worth_per_s = 1,
};

static void read_seeds(struct reader *r, struct json_object *obj,
		       struct settings *s)
{
	struct json_object *seeds;
	size_t len, i, n, outer;

	if (!json_object_object_get_ex(obj, "seeds", &seeds))
		return;
	outer = reader_enter(r, "seeds");
	if (!json_object_is_type(seeds, json_type_array)) {
		reader_fault(r, "must be a list of addresses");
		reader_leave(r, outer);
		return;
	}
	n = json_object_array_length(seeds);
	if (n > SEEDS_MAX)
		reader_fault(r, "must have at most %d addresses", SEEDS_MAX);
	for (i = 0; i < n && i < SEEDS_MAX; i++) {
		len = reader_enter_index(r, i);
		if (!field_addr(r, json_object_array_get_idx(seeds, i),
				&s->seeds[s->seed_count]))
			s->seed_count++;
		reader_leave(r, len);
	}
	reader_leave(r, outer);
}

static bool is_header_name(const char *name)
{
	/* RFC 9110 5.6.2, lower case. */
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz0123456789"
				      "!#$%&'*+-.^_`|~";

	return *name && !name[strspn(name, allowed)] &&
	       strlen(name) < NAME_SIZE;
}

static void read_header(struct reader *r, struct json_object *name,
			struct settings *s)
{
	const char *text = json_object_get_string(name);

	if (!json_object_is_type(name, json_type_string) ||
	    !is_header_name(text))
		reader_fault(r, "must be a header name in lower case");
	else
		copy_name(s->headers[s->header_count++], NAME_SIZE, text);
}

static void read_headers(struct reader *r, struct json_object *obj,
			 struct settings *s)
{
	struct json_object *list;
	size_t len, i, n, outer;

	if (!json_object_object_get_ex(obj, "headers", &list))
		return;
	outer = reader_enter(r, "headers");
	n = json_object_is_type(list, json_type_array)
		    ? json_object_array_length(list)
		    : SIZE_MAX;
	if (n > PASS_HEADERS_MAX)
		reader_fault(r, "must be a list of at most %d names",
			     PASS_HEADERS_MAX);
	for (i = 0; i < n && n <= PASS_HEADERS_MAX; i++) {
		len = reader_enter_index(r, i);
		read_header(r, json_object_array_get_idx(list, i), s);
		reader_leave(r, len);
	}
	reader_leave(r, outer);
}

/* Counts the listed data centres; this node's own must be among them. */
static void read_data_centres(struct reader *r, struct json_object *obj,
			      struct settings *s)
{
	struct json_object *list, *name;
	bool own = false;
	size_t i, n;

	if (!json_object_object_get_ex(obj, "data_centres", &list))
		return;
	n = json_object_is_type(list, json_type_array)
		    ? json_object_array_length(list)
		    : 0;
	for (i = 0; i < n; i++) {
		name = json_object_array_get_idx(list, i);
		own |= json_object_is_type(name, json_type_string) &&
		       !strcmp(json_object_get_string(name), s->data_centre);
	}
	if (!own || n > DATA_CENTRES_MAX)
		reader_fault_at(r, "data_centres",
				"must be a list of at most %d names, with "
				"data_centre among them",
				DATA_CENTRES_MAX);
	s->data_centres = (uint32_t)n;
}

/* Reads the service levels of the platform, each as "name=value". */
static void read_promises(struct reader *r, struct json_object *obj,
			  struct settings *s)
{
	struct json_object *list, *text;
	size_t len, i, outer;

	if (!json_object_object_get_ex(obj, "promises", &list))
		return;
	outer = reader_enter(r, "promises");
	if (!json_object_is_type(list, json_type_array))
		reader_fault(r, "must be a list of name=value strings");
	for (i = 0; json_object_is_type(list, json_type_array) &&
		    i < json_object_array_length(list);
	     i++) {
		text = json_object_array_get_idx(list, i);
		len = reader_enter_index(r, i);
		if (platform_parse_promise(&s->promises,
					   json_object_get_string(text)) < 0)
			reader_fault(r, "must be name=value, with a number");
		reader_leave(r, len);
	}
	reader_leave(r, outer);
	if (s->promises.stop_grace_us)
		s->stop_grace_us = s->promises.stop_grace_us;
}

/* Derives the node's limits from those of its host, where they are set. */
static void apply_host_limits(struct settings *s)
{
	if (s->host_memory_mb) {
		s->memory_limit =
			(size_t)s->host_memory_mb * MB / BODY_MEMORY_DIVISOR;
		s->records_max = s->host_memory_mb * RECORDS_PER_MB;
	}
	if (s->host_descriptors)
		s->connections_max =
			(s->host_descriptors - DESCRIPTORS_RESERVED) / 2;
}

static void check_combinations(struct reader *r, const struct settings *s)
{
	static const uint8_t none[SECRET_SIZE];

	if (!memcmp(s->secret, none, SECRET_SIZE) &&
	    s->store_kind != STORE_PLATFORM)
		reader_fault_at(r, "secret", "is missing");
	if (s->store_kind == STORE_PLATFORM && !addr_is_set(&s->store))
		reader_fault_at(r, "store.address", "is missing");
	if (s->store_kind == STORE_ETCD && !addr_is_set(&s->store))
		reader_fault_at(r, "store.address", "is missing");
	if (s->share_groups && !s->data_centres)
		reader_fault_at(r, "data_centres",
				"is missing, and share_groups needs it");
	if (s->memory_limit < s->body_limit)
		reader_fault_at(r, "limits.memory_bytes",
				"must be at least limits.body_bytes");
}

/* Sets err to the fault with the lowest line number. */
static int report_first_fault(const struct note_faults *faults,
			      const char *text, const char *name,
			      struct error *err)
{
	const struct note_fault *first = NULL;
	unsigned line = 0, l;
	size_t i;

	for (i = 0; i < faults->n; i++) {
		l = line_of_path(text, strlen(text), faults->items[i].path);
		if (first && l >= line)
			continue;
		first = &faults->items[i];
		line = l;
	}
	return error_set(err, ERROR_INPUT, "settings", name, "%s:%u: %s: %s",
			 name, line, first->path, first->text);
}

/*
 * Reads settings from text; name is the file name used in errors. Returns -1
 * with the first fault in err, as "name:line: member: fault".
 */
int settings_parse(struct settings *s, const char *text, const char *name,
		   struct error *err)
{
	struct note_faults faults = {0};
	struct reader r = {.faults = &faults};
	struct json_object *obj;
	struct error json_err;
	unsigned line;
	int rc = 0;

	*s = defaults;
	obj = json_read(text, strlen(text), &line, &json_err);
	if (!obj)
		return error_set(err, ERROR_INPUT, "settings", name,
				 "%s:%u: %s", name, line, json_err.text);
	check_duplicates(text, strlen(text), &r);
	fields_read(&r, obj, settings_fields, COUNT(settings_fields), s, false);
	read_seeds(&r, obj, s);
	read_data_centres(&r, obj, s);
	read_headers(&r, obj, s);
	read_promises(&r, obj, s);
	s->crossing = json_object_object_get_ex(obj, "crossing", NULL);
	apply_host_limits(s);
	if (!faults.n)
		check_combinations(&r, s);
	if (faults.n)
		rc = report_first_fault(&faults, text, name, err);
	note_faults_free(&faults);
	json_object_put(obj);
	return rc;
}

/* Reads a settings file; reports errors as settings_parse does. */
int settings_load(struct settings *s, const char *path, struct error *err)
{
	struct buffer text = {0};
	char piece[4096];
	FILE *f = fopen(path, "re");
	size_t n;
	int rc = 0;

	if (!f)
		return error_set(err, ERROR_IO, "settings", path, "%s: %s",
				 path, strerror(errno));
	while (!rc && (n = fread(piece, 1, sizeof(piece), f)) > 0)
		rc = buffer_append(&text, piece, n, SETTINGS_SIZE_MAX);
	if (!rc && ferror(f))
		rc = error_set(err, ERROR_IO, "settings", path, "%s: %s", path,
			       strerror(errno));
	else if (rc || buffer_append(&text, "", 1, SETTINGS_SIZE_MAX) < 0)
		rc = error_set(err, ERROR_LIMIT, "settings", path,
			       "%s: larger than %d bytes", path,
			       SETTINGS_SIZE_MAX);
	if (!rc && text.data)
		rc = settings_parse(s, (char *)text.data, path, err);
	fclose(f);
	buffer_free(&text);
	return rc;
}
