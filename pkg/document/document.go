// Package document defines the service document, in which a team declares its
// client accounts with their prepaid budgets, its upstreams, and the requests
// that must not be retried. It is the only configuration that operators edit.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Kinds of pool.
const (
	// KindModel is a pool of model engines that speak chat completions.
	KindModel = "model"
	// KindPlain is a pool of plain services.
	KindPlain = "plain"
)

// States of an upstream in the document.
const (
	// StateInService is the state of an upstream that gets new requests.
	StateInService = "in-service"
	// StateLeaving is the state of an upstream that finishes its requests and
	// gets no new ones.
	StateLeaving = "leaving"
)

// Document is one team's service document.
type Document struct {
	// Service names the team's service: lower-case letters, digits and dashes.
	Service string `toml:"service"`
	// Limits bounds the requests of clients.
	Limits Limits `toml:"limits"`
	// Accounts lists the client accounts.
	Accounts []Account `toml:"accounts"`
	// Pools lists the groups of upstreams.
	Pools []Pool `toml:"pools"`
}

// Limits bounds the requests of clients.
type Limits struct {
	// MaxBodyBytes bounds a request body. Default 262144.
	MaxBodyBytes int `toml:"max_body_bytes"`
	// DeadlineMillis bounds a request from its arrival to the first byte of
	// its answer, in milliseconds. Default 30000.
	DeadlineMillis int64 `toml:"deadline_millis"`
	// StreamIdleMillis is the silence of an upstream, in milliseconds, after
	// which the rest of its answer is also asked for elsewhere. The answer is
	// given up after four times as long, but not before 5 s. Default 10000.
	StreamIdleMillis int64 `toml:"stream_idle_millis"`
	// MinBytesPerToken is the minimum number of UTF-8 bytes that one prompt
	// token covers with this service's tokenizers. Default 1, which is safe
	// for every byte-level tokenizer.
	MinBytesPerToken int `toml:"min_bytes_per_token"`
}

// Account is one client account with its prepaid budget.
type Account struct {
	// Name identifies the account within the service.
	Name string `toml:"name"`
	// KeySHA256 is the SHA-256 of the account's API key, in hexadecimal.
	KeySHA256 string `toml:"key_sha256"`
	// PrepaidTokens is the total that the account has prepaid since it was
	// created, in tokens. A top-up raises it.
	PrepaidTokens int64 `toml:"prepaid_tokens"`
	// Weight is the account's relative share of the capacity while requests
	// are queued. Default 1.
	Weight int `toml:"weight"`
}

// Pool is a group of upstreams that answer the same requests.
type Pool struct {
	// Name is the path segment of a plain pool, /services/<name>/.
	Name string `toml:"name"`
	// Kind is "model" or "plain".
	Kind string `toml:"kind"`
	// Model is the model name that clients request; model pools only.
	Model string `toml:"model,omitempty"`
	// MaxOutputTokens bounds one answer's generated tokens; model pools only.
	MaxOutputTokens int64 `toml:"max_output_tokens,omitempty"`
	// PriceTokens is what one call of a plain pool costs, in tokens.
	PriceTokens int64 `toml:"price_tokens,omitempty"`
	// Urgent gives the pool's requests precedence over those of other pools
	// while requests are queued.
	Urgent bool `toml:"urgent,omitempty"`
	// MaxConcurrent bounds the concurrent requests that one instance sends to
	// one upstream of the pool. Default 16.
	MaxConcurrent int `toml:"max_concurrent,omitempty"`
	// NonIdempotent lists the requests that must not be retried.
	NonIdempotent []RequestPattern `toml:"once,omitempty"`
	// Upstreams lists the pool's upstreams.
	Upstreams []Upstream `toml:"upstreams"`
}

// RequestPattern matches requests by method and path.
type RequestPattern struct {
	// Method is the HTTP method, in capitals.
	Method string `toml:"method"`
	// Path is a path prefix below the pool's own path, such as "/jobs".
	Path string `toml:"path"`
}

// Upstream is one model engine or one replica of a plain service.
type Upstream struct {
	// Name identifies the upstream within the service.
	Name string `toml:"name"`
	// Address is an IP address and port.
	Address string `toml:"address"`
	// Domain is the failure domain that the upstream runs in.
	Domain string `toml:"domain"`
	// State is "in-service" (default) or "leaving".
	State string `toml:"state,omitempty"`
}

// Deadline returns the time limit to the first byte of an answer.
func (l Limits) Deadline() time.Duration {
	return time.Duration(l.DeadlineMillis) * time.Millisecond
}

// StreamIdleTimeout returns the silence after which the rest of an answer is also asked for elsewhere.
func (l Limits) StreamIdleTimeout() time.Duration {
	return time.Duration(l.StreamIdleMillis) * time.Millisecond
}

// MaxPromptTokens returns an upper bound on the prompt tokens of a body of the
// given size in bytes. A byte-level tokenizer yields at most one token per
// byte, and the JSON around the text is larger than the text that any chat
// template adds.
func (l Limits) MaxPromptTokens(bodyBytes int) int64 {
	return int64((bodyBytes + l.MinBytesPerToken - 1) / l.MinBytesPerToken)
}

// HashKey returns the SHA-256 of an API key in hexadecimal, the form in which
// documents store the key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Parse decodes a document, fills in defaults and validates it. The error is an
// *InvalidError that lists the TOML syntax error or all invalid values.
func Parse(text []byte) (*Document, error) {
	doc := &Document{}
	decoder := toml.NewDecoder(newReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(doc); err != nil {
		return nil, &InvalidError{FieldErrors: []FieldError{syntaxError(err)}}
	}
	doc.fillDefaults()
	if fieldErrs := doc.validate(); len(fieldErrs) > 0 {
		return nil, &InvalidError{FieldErrors: fieldErrs}
	}
	return doc, nil
}

// Pool returns the pool of the given name, or nil.
func (d *Document) Pool(name string) *Pool {
	for i := range d.Pools {
		if d.Pools[i].Name == name {
			return &d.Pools[i]
		}
	}
	return nil
}

// PoolForModel returns the pool that serves a model, or nil.
func (d *Document) PoolForModel(model string) *Pool {
	for i := range d.Pools {
		if d.Pools[i].Kind == KindModel && d.Pools[i].Model == model {
			return &d.Pools[i]
		}
	}
	return nil
}
