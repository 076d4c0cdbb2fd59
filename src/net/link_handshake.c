#include "net/link_impl.h"

#include <string.h>

/*
 * Handshake, in the clear:
 *
 * opener:   hello (version, nonce)
 * acceptor: hello and proof
 * opener:   proof
 *
 * A proof carries the sender's listening address and the header of its sealed
 * stream, with a MAC keyed by the cluster secret over both nonces and the
 * sender's role, so replayed and reflected proofs fail. The opener also
 * compares the address with the one that it dialled.
 */
#define VERSION_SIZE 8
#define IP_SIZE 16
#define PORT_SIZE 2
#define MAC_SIZE 32

static const uint8_t version[VERSION_SIZE] = {'m', 'f', 'l', 'i',
					      'n', 'k', 0,   1};

struct hello {
	uint8_t version[VERSION_SIZE];
	uint8_t nonce[LINK_NONCE_SIZE];
};

struct proof {
	uint8_t ip[IP_SIZE];
	uint8_t port[PORT_SIZE];
	uint8_t header[crypto_secretstream_xchacha20poly1305_HEADERBYTES];
	uint8_t mac[MAC_SIZE];
};

struct reply {
	struct hello hello;
	struct proof proof;
};

/* Starts a keyed hash of a label and both nonces, the opener's first. */
static void start_hash(struct crypto_generichash_blake2b_state *h,
		       const struct link *l, const char *label)
{
	const uint8_t *opener = l->opener ? l->nonce : l->peer_nonce;
	const uint8_t *acceptor = l->opener ? l->peer_nonce : l->nonce;

	crypto_generichash_init(h, l->links->options.secret, SECRET_SIZE,
				MAC_SIZE);
	crypto_generichash_update(h, (const uint8_t *)label, strlen(label) + 1);
	crypto_generichash_update(h, opener, LINK_NONCE_SIZE);
	crypto_generichash_update(h, acceptor, LINK_NONCE_SIZE);
}

static const char *role(bool opener)
{
	return opener ? "opener" : "acceptor";
}

/* Derives the key of the sealed stream that one of the sides sends. */
static void direction_key(const struct link *l, bool from_opener,
			  uint8_t key[MAC_SIZE])
{
	struct crypto_generichash_blake2b_state h;

	start_hash(&h, l, from_opener ? "from-opener" : "from-acceptor");
	crypto_generichash_final(&h, key, MAC_SIZE);
}

static void proof_mac(const struct link *l, const struct proof *p, bool opener,
		      uint8_t mac[MAC_SIZE])
{
	struct crypto_generichash_blake2b_state h;

	start_hash(&h, l, role(opener));
	crypto_generichash_update(&h, (const uint8_t *)p,
				  offsetof(struct proof, mac));
	crypto_generichash_final(&h, mac, MAC_SIZE);
}

/* Initialises the sealed stream to the peer and fills in the proof. */
static void make_proof(struct link *l, struct proof *p)
{
	const struct addr *self = &l->links->addr;
	uint8_t key[MAC_SIZE];

	direction_key(l, l->opener, key);
	crypto_secretstream_xchacha20poly1305_init_push(&l->push, p->header,
							key);
	sodium_memzero(key, sizeof(key));
	memcpy(p->ip, self->ip, IP_SIZE);
	p->port[0] = (uint8_t)(self->port >> 8);
	p->port[1] = (uint8_t)self->port;
	proof_mac(l, p, l->opener, p->mac);
}

static int check_proof(struct link *l, const struct proof *p, struct error *err)
{
	uint8_t key[MAC_SIZE], mac[MAC_SIZE];
	struct addr peer;

	proof_mac(l, p, !l->opener, mac);
	if (sodium_memcmp(mac, p->mac, MAC_SIZE))
		return error_set(err, ERROR_AUTH, "link-handshake", NULL,
				 "proof does not match the cluster secret");
	memcpy(peer.ip, p->ip, IP_SIZE);
	peer.port = (uint16_t)(p->port[0] << 8 | p->port[1]);
	if (l->opener && !addr_equal(&peer, &l->peer))
		return error_set(
			err, ERROR_AUTH, "link-handshake", NULL,
			"proof names another address than the one dialled");
	l->peer = peer;
	direction_key(l, !l->opener, key);
	if (crypto_secretstream_xchacha20poly1305_init_pull(&l->pull, p->header,
							    key))
		return error_set(err, ERROR_AUTH, "link-handshake", NULL,
				 "bad stream header");
	sodium_memzero(key, sizeof(key));
	return 0;
}

static void make_hello(struct link *l, struct hello *h)
{
	memcpy(h->version, version, VERSION_SIZE);
	randombytes_buf(l->nonce, LINK_NONCE_SIZE);
	memcpy(h->nonce, l->nonce, LINK_NONCE_SIZE);
}

static int check_hello(struct link *l, const struct hello *h, struct error *err)
{
	if (memcmp(h->version, version, VERSION_SIZE))
		return error_set(err, ERROR_AUTH, "link-handshake", NULL,
				 "unknown protocol or version in the hello");
	if (l->opener && !memcmp(h->nonce, l->nonce, LINK_NONCE_SIZE))
		return error_set(err, ERROR_AUTH, "link-handshake", NULL,
				 "own nonce received in the peer's hello");
	memcpy(l->peer_nonce, h->nonce, LINK_NONCE_SIZE);
	return 0;
}

static int send_handshake(struct link *l, const void *data, size_t len,
			  struct error *err)
{
	if (buffer_append(&l->handshake_out, data, len, SIZE_MAX) < 0)
		return error_set(err, ERROR_MEMORY, "link-handshake", NULL,
				 "out of memory");
	link_request_write(l);
	return 0;
}

/* Moves len received bytes to the caller; false if fewer are there yet. */
static bool take_bytes(struct link *l, void *to, size_t len)
{
	if (l->in.len < len)
		return false;
	memcpy(to, l->in.data, len);
	l->in.len -= len;
	memmove(l->in.data, l->in.data + len, l->in.len);
	return true;
}

/* Sends the opener's hello. */
void handshake_start(struct link *l)
{
	struct hello h;

	make_hello(l, &h);
	send_handshake(l, &h, sizeof(h), NULL);
}

static int answer_hello(struct link *l, struct error *err)
{
	struct hello h;
	struct reply r;

	if (!take_bytes(l, &h, sizeof(h)))
		return 0;
	if (check_hello(l, &h, err) < 0)
		return -1;
	make_hello(l, &r.hello);
	make_proof(l, &r.proof);
	l->hello_answered = true;
	return send_handshake(l, &r, sizeof(r), err);
}

static int read_reply(struct link *l, struct error *err)
{
	struct reply r;
	struct proof p;

	if (!take_bytes(l, &r, sizeof(r)))
		return 0;
	if (check_hello(l, &r.hello, err) < 0 ||
	    check_proof(l, &r.proof, err) < 0)
		return -1;
	make_proof(l, &p);
	if (send_handshake(l, &p, sizeof(p), err) < 0)
		return -1;
	link_authenticated(l);
	return 0;
}

static int read_proof(struct link *l, struct error *err)
{
	struct proof p;

	if (!take_bytes(l, &p, sizeof(p)))
		return 0;
	if (check_proof(l, &p, err) < 0)
		return -1;
	link_authenticated(l);
	return 0;
}

/*
 * Advances the handshake with the bytes in l->in; l->state becomes LINK_UP
 * when the peer's proof is accepted. Returns -1 with err set on any error.
 */
int handshake_receive(struct link *l, struct error *err)
{
	if (l->opener)
		return read_reply(l, err);
	if (!l->hello_answered && answer_hello(l, err) < 0)
		return -1;
	return l->hello_answered ? read_proof(l, err) : 0;
}
