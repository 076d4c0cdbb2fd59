#include "wire/wire_impl.h"

enum value_kind {
	VALUE_UNSUPPORTED,
	VALUE_SCALAR, /* the head holds the value */
	VALUE_BYTES,  /* followed by a counted run of bytes */
	VALUE_ARRAY,  /* followed by a counted list of values */
};

struct value_head {
	enum value_kind kind;
	uint8_t size; /* bytes of the head after the first */
};

/*
 * Value heads for first bytes from 0xc0 on, of the msgpack types that messages
 * use. Types left out (nil, ext, float, negative and map) are not supported.
 */
static const struct value_head value_heads[] = {
	[0xc2 - 0xc0] = {VALUE_SCALAR, 0}, [0xc3 - 0xc0] = {VALUE_SCALAR, 0},
	[0xc4 - 0xc0] = {VALUE_BYTES, 1},  [0xc5 - 0xc0] = {VALUE_BYTES, 2},
	[0xc6 - 0xc0] = {VALUE_BYTES, 4},  [0xcc - 0xc0] = {VALUE_SCALAR, 1},
	[0xcd - 0xc0] = {VALUE_SCALAR, 2}, [0xce - 0xc0] = {VALUE_SCALAR, 4},
	[0xcf - 0xc0] = {VALUE_SCALAR, 8}, [0xd9 - 0xc0] = {VALUE_BYTES, 1},
	[0xda - 0xc0] = {VALUE_BYTES, 2},  [0xdb - 0xc0] = {VALUE_BYTES, 4},
	[0xdc - 0xc0] = {VALUE_ARRAY, 2},  [0xdd - 0xc0] = {VALUE_ARRAY, 4},
};

static struct value_head decode_value_head(uint8_t b, uint64_t *value)
{
	static const struct value_head refused = {VALUE_UNSUPPORTED, 0};

	*value = 0;
	if (b < 0x80)
		return (struct value_head){VALUE_SCALAR, 0};
	if (b >= 0x90 && b < 0xa0) {
		*value = b & 0x0f;
		return (struct value_head){VALUE_ARRAY, 0};
	}
	if (b >= 0xa0 && b < 0xc0) {
		*value = b & 0x1f;
		return (struct value_head){VALUE_BYTES, 0};
	}
	if (b < 0xc0 ||
	    (size_t)(b - 0xc0) >= sizeof(value_heads) / sizeof(*value_heads))
		return refused;
	return value_heads[b - 0xc0];
}

/*
 * Checks every declared length against the bytes available, because msgpack-c
 * allocates memory for a whole array as soon as it reads its head.
 */
static bool lengths_are_valid(const uint8_t *data, size_t len)
{
	size_t pending = 1;
	size_t p = 0;

	while (pending) {
		uint64_t value;
		struct value_head h;
		uint8_t i;

		if (p >= len)
			return false;
		h = decode_value_head(data[p++], &value);
		if (h.kind == VALUE_UNSUPPORTED || h.size > len - p)
			return false;
		for (i = 0; i < h.size; i++)
			value = value << 8 | data[p++];
		pending--;
		if (h.kind == VALUE_SCALAR)
			continue;
		if (value > len - p)
			return false;
		if (h.kind == VALUE_BYTES)
			p += value;
		else if (value + pending > len - p)
			return false;
		else
			pending += value;
	}
	return p == len;
}

/*
 * Decodes one value that takes exactly len bytes. Returns 0, after which the
 * caller must call msgpack_unpacked_destroy, or -1. Byte strings point into
 * data.
 */
int parse_value(msgpack_unpacked *u, const uint8_t *data, size_t len)
{
	size_t used = 0;

	if (!lengths_are_valid(data, len))
		return -1;
	msgpack_unpacked_init(u);
	if (msgpack_unpack_next(u, (const char *)data, len, &used) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    used == len)
		return 0;
	msgpack_unpacked_destroy(u);
	return -1;
}
