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

// Defaults and bounds of the document.
const (
	defaultMaxBodyBytes      = 256 << 10
	maxBodyBytesLimit        = 8 << 20
	defaultDeadlineMillis    = 30_000
	defaultStreamIdleMillis  = 10_000
	defaultMinBytesPerToken  = 1
	defaultMaxConcurrent     = 16
	defaultWeight            = 1
	maxWeight                = 1000
	maxPrepaidTokens         = 1 << 53
	maxOutputTokensLimit     = 1 << 20
	keyHashHexDigits         = 64
	maxAccountsPerDocument   = 30_000
	maxUpstreamsPerDocument  = 10_000
	minimumDeadlineMillis    = 50
	minimumStreamIdleMillis  = 50
	maximumDeadlineMillis    = 600_000
	maximumMinBytesPerTokens = 8
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Fault is one thing wrong with a document.
type Fault struct {
	// Key is the TOML key, such as "accounts[2].prepaid_tokens".
	Key string
	// Value is what stands there.
	Value string
	// Allowed says what may stand there.
	Allowed string
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s = %s: allowed is %s", f.Key, f.Value, f.Allowed)
}

// InvalidError lists every fault of a document.
type InvalidError struct{ Faults []Fault }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return "document: " + strings.Join(lines, "; ")
}

func bytesReader(text []byte) io.Reader { return bytes.NewReader(text) }

func syntaxFault(err error) Fault {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		key := strings.Join(strict.Errors[0].Key(), ".")
		return Fault{Key: key, Value: "(set)", Allowed: "no such key"}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		where := fmt.Sprintf("line %d column %d", row, column)
		return Fault{Key: where, Value: decode.Error(), Allowed: "TOML of the documented shape"}
	}
	return Fault{Key: "(file)", Value: err.Error(), Allowed: "TOML of the documented shape"}
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

// checker gathers faults so that an operator sees all of them at once.
type checker struct{ faults []Fault }

func (c *checker) require(ok bool, key string, value any, allowed string) {
	if ok {
		return
	}
	fault := Fault{Key: key, Value: fmt.Sprintf("%#v", value), Allowed: allowed}
	c.faults = append(c.faults, fault)
}

func (c *checker) name(key, value string) {
	allowed := "1 to 63 lower-case letters, digits and dashes"
	c.require(namePattern.MatchString(value), key, value, allowed)
}

func (d *Document) check() []Fault {
	c := &checker{}
	c.name("service", d.Service)
	d.checkLimits(c)
	d.checkAccounts(c)
	d.checkPools(c)
	return c.faults
}

func (d *Document) checkLimits(c *checker) {
	l := d.Limits
	c.require(l.MaxBodyBytes > 0 && l.MaxBodyBytes <= maxBodyBytesLimit,
		"limits.max_body_bytes", l.MaxBodyBytes, "1 to 8388608")
	c.require(l.DeadlineMillis >= minimumDeadlineMillis && l.DeadlineMillis <= maximumDeadlineMillis,
		"limits.deadline_millis", l.DeadlineMillis, "50 to 600000")
	c.require(l.StreamIdleMillis >= minimumStreamIdleMillis && l.StreamIdleMillis <= maximumDeadlineMillis,
		"limits.stream_idle_millis", l.StreamIdleMillis, "50 to 600000")
	c.require(l.MinBytesPerToken >= 1 && l.MinBytesPerToken <= maximumMinBytesPerTokens,
		"limits.min_bytes_per_token", l.MinBytesPerToken, "1 to 8")
}

func (d *Document) checkAccounts(c *checker) {
	c.require(len(d.Accounts) > 0, "accounts", len(d.Accounts), "at least one account")
	c.require(len(d.Accounts) <= maxAccountsPerDocument, "accounts", len(d.Accounts), "at most 30000")
	names := map[string]bool{}
	keys := map[string]bool{}
	for i, account := range d.Accounts {
		at := fmt.Sprintf("accounts[%d].", i)
		c.name(at+"name", account.Name)
		c.require(!names[account.Name], at+"name", account.Name, "a name used once")
		c.require(len(account.KeySHA256) == keyHashHexDigits, at+"key_sha256", account.KeySHA256,
			"64 hexadecimal digits")
		c.require(!keys[account.KeySHA256], at+"key_sha256", account.KeySHA256, "a key used once")
		c.require(account.PrepaidTokens >= 0 && account.PrepaidTokens <= maxPrepaidTokens,
			at+"prepaid_tokens", account.PrepaidTokens, "0 to 9007199254740992")
		c.require(account.Weight >= 1 && account.Weight <= maxWeight, at+"weight", account.Weight, "1 to 1000")
		names[account.Name] = true
		keys[account.KeySHA256] = true
	}
}

func (d *Document) checkPools(c *checker) {
	c.require(len(d.Pools) > 0, "pools", len(d.Pools), "at least one pool")
	poolNames := map[string]bool{}
	models := map[string]bool{}
	upstreamNames := map[string]bool{}
	for i, pool := range d.Pools {
		at := fmt.Sprintf("pools[%d].", i)
		c.name(at+"name", pool.Name)
		c.require(!poolNames[pool.Name], at+"name", pool.Name, "a name used once")
		poolNames[pool.Name] = true
		checkPoolKind(c, at, pool, models)
		checkUpstreams(c, at, pool, upstreamNames)
	}
	c.require(len(upstreamNames) <= maxUpstreamsPerDocument, "pools.upstreams", len(upstreamNames), "at most 10000")
}

func checkPoolKind(c *checker, at string, pool Pool, models map[string]bool) {
	switch pool.Kind {
	case KindModel:
		c.require(pool.Model != "" && !models[pool.Model], at+"model", pool.Model, "a model name used once")
		c.require(pool.MaxOutputTokens > 0 && pool.MaxOutputTokens <= maxOutputTokensLimit,
			at+"max_output_tokens", pool.MaxOutputTokens, "1 to 1048576")
		models[pool.Model] = true
	case KindPlain:
		c.require(pool.PriceTokens >= 0 && pool.PriceTokens <= maxPrepaidTokens,
			at+"price_tokens", pool.PriceTokens, "0 or more")
	default:
		c.require(false, at+"kind", pool.Kind, `"model" or "plain"`)
	}
	for i, once := range pool.Once {
		key := fmt.Sprintf("%sonce[%d].", at, i)
		c.require(once.Method == strings.ToUpper(once.Method) && once.Method != "",
			key+"method", once.Method, "a method in capitals")
		c.require(strings.HasPrefix(once.Path, "/"), key+"path", once.Path, "a path that starts with /")
	}
}

func checkUpstreams(c *checker, at string, pool Pool, names map[string]bool) {
	for i, upstream := range pool.Upstreams {
		key := fmt.Sprintf("%supstreams[%d].", at, i)
		c.name(key+"name", upstream.Name)
		c.require(!names[upstream.Name], key+"name", upstream.Name, "a name used once")
		names[upstream.Name] = true
		_, err := netip.ParseAddrPort(upstream.Address)
		c.require(err == nil, key+"address", upstream.Address, "an IP address and port")
		c.name(key+"domain", upstream.Domain)
		known := upstream.State == StateInService || upstream.State == StateLeaving
		c.require(known, key+"state", upstream.State, `"in-service" or "leaving"`)
	}
}
