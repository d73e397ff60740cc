// Package fingerprint recognizes equal requests by a hash of their contents.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Size is the length of a fingerprint in bytes: half of a SHA-256 sum, long enough that making
// two requests collide is not feasible.
const Size = 16

// Fingerprint is a hash of a request; equal requests have equal fingerprints.
type Fingerprint [Size]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Content returns the fingerprint of a request's content, which is the same for all client
// accounts. The target is the path with its query.
func Content(method, target string, body []byte) Fingerprint {
	digest := sha256.New()
	_, _ = digest.Write([]byte(method + "\x00" + target + "\x00")) // hash.Hash's Write never returns an error
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum(nil)[:Size])
}

// Of returns the fingerprint of content that a client account sends to a host or service. It
// includes the account, so that no account's requests are taken for those of another.
func Of(account, host string, content Fingerprint) Fingerprint {
	digest := sha256.New()
	_, _ = digest.Write([]byte(account + "\x00" + host + "\x00"))
	_, _ = digest.Write(content[:])
	return Fingerprint(digest.Sum(nil)[:Size])
}

// Part returns the fingerprint of a part of prompts that are sent to a service for a model: in the
// requests of one account, or of all accounts if account is empty.
func Part(account, service, model string, id uint64) Fingerprint {
	digest := sha256.New()
	_, _ = digest.Write([]byte("part\x00" + account + "\x00" + service + "\x00" + model + "\x00"))
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, id))
	return Fingerprint(digest.Sum(nil)[:Size])
}
