package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/platform"
)

// EmptyDomain stops new requests to the upstreams of a failure domain until
// RestoreDomain is called for it.
func EmptyDomain(ctx context.Context, out io.Writer, address, domain string) error {
	return updateEmptiedDomains(ctx, out, address, "emptied "+domain, func(domains []string) []string {
		if slices.Contains(domains, domain) {
			return domains
		}
		return slices.Sorted(slices.Values(append(domains, domain)))
	})
}

// RestoreDomain allows new requests to the upstreams of a failure domain again.
func RestoreDomain(ctx context.Context, out io.Writer, address, domain string) error {
	return updateEmptiedDomains(ctx, out, address, "restored "+domain, func(domains []string) []string {
		return slices.DeleteFunc(domains, func(other string) bool { return other == domain })
	})
}

func updateEmptiedDomains(
	ctx context.Context, out io.Writer, address, message string, change func(domains []string) []string,
) error {
	client := platform.NewClient(address, callTimeout, nil)
	err := store.Update(ctx, client, configsync.EmptiedDomainsKey, func(stored []byte) ([]byte, error) {
		e, err := decodeEmptiedDomains(stored)
		if err != nil {
			return nil, err
		}
		before := slices.Clone(e.Domains)
		e.Domains = change(e.Domains)
		if slices.Equal(before, e.Domains) {
			return nil, store.ErrUnchanged
		}
		// The generation is higher than every one written before, even if a rollback of
		// the store has lost the last writes.
		e.Generation = max(e.Generation+1, uint64(time.Now().UnixMilli()))
		return json.Marshal(e)
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, message)
	return err
}

// ListEmptiedDomains prints the emptied failure domains.
func ListEmptiedDomains(ctx context.Context, out io.Writer, address string, asJSON bool) error {
	client := platform.NewClient(address, callTimeout, nil)
	object, err := client.Get(ctx, configsync.EmptiedDomainsKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	e, err := decodeEmptiedDomains(object.Value)
	if err != nil {
		return err
	}
	if asJSON {
		body, err := json.Marshal(e.Domains)
		if err != nil {
			return err
		}
		return printJSON(out, body)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "EMPTIED DOMAIN") // Flush returns errors
	for _, domain := range e.Domains {
		_, _ = fmt.Fprintln(table, domain)
	}
	return table.Flush()
}

// decodeEmptiedDomains decodes the stored object. If there is none, no domain is emptied.
func decodeEmptiedDomains(value []byte) (configsync.EmptiedDomains, error) {
	if len(value) == 0 {
		return configsync.EmptiedDomains{Domains: []string{}}, nil
	}
	return configsync.DecodeEmptiedDomains(value)
}
