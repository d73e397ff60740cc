// Package fingerprint recognizes equal requests by a hash of what their callers sent.
package fingerprint

import (
	"crypto/sha256"
	"encoding/hex"
)

// Size is the length of a fingerprint in bytes: half of a SHA-256 sum, for which nobody can
// make two requests collide.
const Size = 16

// Fingerprint is equal for equal requests.
type Fingerprint [Size]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Content returns the fingerprint of a request's content, whoever sends it. The target is the
// path with its query.
func Content(method, target string, body []byte) Fingerprint {
	digest := sha256.New()
	_, _ = digest.Write([]byte(method + "\x00" + target + "\x00")) // a hash never fails
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum(nil)[:Size])
}

// Of returns the fingerprint of content that a client account sends to a host or service. The
// account is part of it: none can make its requests be taken for another's.
func Of(account, host string, content Fingerprint) Fingerprint {
	digest := sha256.New()
	_, _ = digest.Write([]byte(account + "\x00" + host + "\x00"))
	_, _ = digest.Write(content[:])
	return Fingerprint(digest.Sum(nil)[:Size])
}
