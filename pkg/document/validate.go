package document

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Defaults and limits of the values in a document.
const (
	defaultMaxBodyBytes     = 256 << 10
	maxBodyBytesLimit       = 8 << 20
	defaultDeadlineMillis   = 30_000
	defaultStreamIdleMillis = 10_000
	defaultMinBytesPerToken = 1
	defaultMaxConcurrent    = 16
	defaultWeight           = 1
	maxWeight               = 1000
	maxPrepaidTokens        = 1 << 53
	maxOutputTokensLimit    = 1 << 20
	keyHashHexDigits        = 64
	maxAccountsPerDocument  = 30_000
	maxUpstreamsPerDocument = 10_000
	minDeadlineMillis       = 50
	minStreamIdleMillis     = 50
	maxDeadlineMillis       = 600_000
	maxMinBytesPerToken     = 8
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// FieldError describes one invalid value in a document.
type FieldError struct {
	// Key is the TOML key, such as "accounts[2].prepaid_tokens".
	Key string
	// Value is the value found, formatted as text.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// String formats the error as one line.
func (f FieldError) String() string {
	return fmt.Sprintf("%s = %s: allowed is %s", f.Key, f.Value, f.Allowed)
}

// InvalidError lists all invalid values of a document.
type InvalidError struct{ FieldErrors []FieldError }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.FieldErrors))
	for i, fieldErr := range e.FieldErrors {
		lines[i] = fieldErr.String()
	}
	return "document: " + strings.Join(lines, "; ")
}

func newReader(text []byte) io.Reader { return bytes.NewReader(text) }

func syntaxError(err error) FieldError {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		key := strings.Join(strict.Errors[0].Key(), ".")
		return FieldError{Key: key, Value: "(set)", Allowed: "no such key"}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		where := fmt.Sprintf("line %d column %d", row, column)
		return FieldError{Key: where, Value: decode.Error(), Allowed: "TOML of the documented shape"}
	}
	return FieldError{Key: "(file)", Value: err.Error(), Allowed: "TOML of the documented shape"}
}

func (d *Document) fillDefaults() {
	l := &d.Limits
	setDefault(&l.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&l.DeadlineMillis, defaultDeadlineMillis)
	setDefault(&l.StreamIdleMillis, defaultStreamIdleMillis)
	setDefault(&l.MinBytesPerToken, defaultMinBytesPerToken)
	for i := range d.Accounts {
		setDefault(&d.Accounts[i].Weight, defaultWeight)
	}
	for i := range d.Pools {
		setDefault(&d.Pools[i].MaxConcurrent, defaultMaxConcurrent)
		for j := range d.Pools[i].Upstreams {
			setDefault(&d.Pools[i].Upstreams[j].State, StateInService)
		}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// validator collects all errors of a document, so that an operator sees them at once.
type validator struct{ fieldErrors []FieldError }

func (v *validator) require(ok bool, key string, value any, allowed string) {
	if ok {
		return
	}
	fieldErr := FieldError{Key: key, Value: fmt.Sprintf("%#v", value), Allowed: allowed}
	v.fieldErrors = append(v.fieldErrors, fieldErr)
}

func (v *validator) requireName(key, value string) {
	allowed := "1 to 63 lower-case letters, digits and dashes"
	v.require(namePattern.MatchString(value), key, value, allowed)
}

func (d *Document) validate() []FieldError {
	v := &validator{}
	v.requireName("service", d.Service)
	d.validateLimits(v)
	d.validateAccounts(v)
	d.validatePools(v)
	return v.fieldErrors
}

func (d *Document) validateLimits(v *validator) {
	l := d.Limits
	v.require(l.MaxBodyBytes > 0 && l.MaxBodyBytes <= maxBodyBytesLimit,
		"limits.max_body_bytes", l.MaxBodyBytes, "1 to 8388608")
	v.require(l.DeadlineMillis >= minDeadlineMillis && l.DeadlineMillis <= maxDeadlineMillis,
		"limits.deadline_millis", l.DeadlineMillis, "50 to 600000")
	v.require(l.StreamIdleMillis >= minStreamIdleMillis && l.StreamIdleMillis <= maxDeadlineMillis,
		"limits.stream_idle_millis", l.StreamIdleMillis, "50 to 600000")
	v.require(l.MinBytesPerToken >= 1 && l.MinBytesPerToken <= maxMinBytesPerToken,
		"limits.min_bytes_per_token", l.MinBytesPerToken, "1 to 8")
}

func (d *Document) validateAccounts(v *validator) {
	v.require(len(d.Accounts) > 0, "accounts", len(d.Accounts), "at least one account")
	v.require(len(d.Accounts) <= maxAccountsPerDocument, "accounts", len(d.Accounts), "at most 30000")
	names := map[string]bool{}
	keys := map[string]bool{}
	for i, account := range d.Accounts {
		prefix := fmt.Sprintf("accounts[%d].", i)
		v.requireName(prefix+"name", account.Name)
		v.require(!names[account.Name], prefix+"name", account.Name, "a name used once")
		v.require(len(account.KeySHA256) == keyHashHexDigits, prefix+"key_sha256", account.KeySHA256,
			"64 hexadecimal digits")
		v.require(!keys[account.KeySHA256], prefix+"key_sha256", account.KeySHA256, "a key used once")
		v.require(account.PrepaidTokens >= 0 && account.PrepaidTokens <= maxPrepaidTokens,
			prefix+"prepaid_tokens", account.PrepaidTokens, "0 to 9007199254740992")
		v.require(account.Weight >= 1 && account.Weight <= maxWeight, prefix+"weight", account.Weight, "1 to 1000")
		names[account.Name] = true
		keys[account.KeySHA256] = true
	}
}

func (d *Document) validatePools(v *validator) {
	v.require(len(d.Pools) > 0, "pools", len(d.Pools), "at least one pool")
	poolNames := map[string]bool{}
	models := map[string]bool{}
	upstreamNames := map[string]bool{}
	for i, pool := range d.Pools {
		prefix := fmt.Sprintf("pools[%d].", i)
		v.requireName(prefix+"name", pool.Name)
		v.require(!poolNames[pool.Name], prefix+"name", pool.Name, "a name used once")
		poolNames[pool.Name] = true
		validatePoolKind(v, prefix, pool, models)
		validateUpstreams(v, prefix, pool, upstreamNames)
	}
	v.require(len(upstreamNames) <= maxUpstreamsPerDocument, "pools.upstreams", len(upstreamNames), "at most 10000")
}

func validatePoolKind(v *validator, prefix string, pool Pool, models map[string]bool) {
	switch pool.Kind {
	case KindModel:
		v.require(pool.Model != "" && !models[pool.Model], prefix+"model", pool.Model, "a model name used once")
		v.require(pool.MaxOutputTokens > 0 && pool.MaxOutputTokens <= maxOutputTokensLimit,
			prefix+"max_output_tokens", pool.MaxOutputTokens, "1 to 1048576")
		models[pool.Model] = true
	case KindPlain:
		v.require(pool.PriceTokens >= 0 && pool.PriceTokens <= maxPrepaidTokens,
			prefix+"price_tokens", pool.PriceTokens, "0 or more")
	default:
		v.require(false, prefix+"kind", pool.Kind, `"model" or "plain"`)
	}
	for i, pattern := range pool.NonIdempotent {
		key := fmt.Sprintf("%sonce[%d].", prefix, i)
		v.require(pattern.Method == strings.ToUpper(pattern.Method) && pattern.Method != "",
			key+"method", pattern.Method, "a method in capitals")
		v.require(strings.HasPrefix(pattern.Path, "/"), key+"path", pattern.Path, "a path that starts with /")
	}
}

func validateUpstreams(v *validator, prefix string, pool Pool, names map[string]bool) {
	for i, upstream := range pool.Upstreams {
		key := fmt.Sprintf("%supstreams[%d].", prefix, i)
		v.requireName(key+"name", upstream.Name)
		v.require(!names[upstream.Name], key+"name", upstream.Name, "a name used once")
		names[upstream.Name] = true
		_, err := netip.ParseAddrPort(upstream.Address)
		v.require(err == nil, key+"address", upstream.Address, "an IP address and port")
		v.requireName(key+"domain", upstream.Domain)
		knownState := upstream.State == StateInService || upstream.State == StateLeaving
		v.require(knownState, key+"state", upstream.State, `"in-service" or "leaving"`)
	}
}
