#include "wire/wire.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define SEAL_BYTES (crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES)

static void datagram_key(uint8_t key[crypto_secretbox_KEYBYTES],
			 const uint8_t secret[SECRET_SIZE])
{
	static const uint8_t label[] = "mulberryferry datagram";

	crypto_generichash(key, crypto_secretbox_KEYBYTES, label, sizeof(label),
			   secret, SECRET_SIZE);
}

/*
 * Appends the nonce and the sealed data to out. Returns -1 if the datagram
 * would exceed DATAGRAM_MAX bytes or memory is short.
 */
int datagram_seal(const uint8_t secret[SECRET_SIZE], const void *data,
		  size_t len, struct buffer *out)
{
	uint8_t key[crypto_secretbox_KEYBYTES];
	uint8_t sealed[DATAGRAM_MAX];

	if (len > DATAGRAM_MAX - SEAL_BYTES)
		return -1;
	datagram_key(key, secret);
	randombytes_buf(sealed, crypto_secretbox_NONCEBYTES);
	crypto_secretbox_easy(sealed + crypto_secretbox_NONCEBYTES, data, len,
			      sealed, key);
	sodium_memzero(key, sizeof(key));
	return buffer_append(out, sealed, len + SEAL_BYTES, SIZE_MAX);
}

/*
 * Appends the decrypted data to out. Returns -1 if the length is invalid, the
 * data was not sealed with the secret, or memory is short.
 */
int datagram_open(const uint8_t secret[SECRET_SIZE], const void *data,
		  size_t len, struct buffer *out)
{
	const uint8_t *nonce = data;
	uint8_t key[crypto_secretbox_KEYBYTES];
	uint8_t opened[DATAGRAM_MAX];
	int rc;

	if (len < SEAL_BYTES || len > DATAGRAM_MAX)
		return -1;
	datagram_key(key, secret);
	rc = crypto_secretbox_open_easy(
		opened, nonce + crypto_secretbox_NONCEBYTES,
		len - crypto_secretbox_NONCEBYTES, nonce, key);
	sodium_memzero(key, sizeof(key));
	if (rc)
		return -1;
	return buffer_append(out, opened, len - SEAL_BYTES, SIZE_MAX);
}
