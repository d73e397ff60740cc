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

// EmptyDomain has a failure domain's upstreams get nothing new until RestoreDomain.
func EmptyDomain(ctx context.Context, out io.Writer, address, domain string) error {
	return changeDomains(ctx, out, address, "emptied "+domain, func(domains []string) []string {
		if slices.Contains(domains, domain) {
			return domains
		}
		return slices.Sorted(slices.Values(append(domains, domain)))
	})
}

// RestoreDomain takes a failure domain back.
func RestoreDomain(ctx context.Context, out io.Writer, address, domain string) error {
	return changeDomains(ctx, out, address, "restored "+domain, func(domains []string) []string {
		return slices.DeleteFunc(domains, func(other string) bool { return other == domain })
	})
}

func changeDomains(
	ctx context.Context, out io.Writer, address, done string, change func(domains []string) []string,
) error {
	client := platform.NewClient(address, callTimeout, nil)
	err := store.Update(ctx, client, configsync.EmptiedDomainsKey, func(present []byte) ([]byte, error) {
		e, err := emptiedIn(present)
		if err != nil {
			return nil, err
		}
		before := slices.Clone(e.Domains)
		e.Domains = change(e.Domains)
		if slices.Equal(before, e.Domains) {
			return nil, store.ErrUnchanged
		}
		// Above every number given before, also by a store that has gone back since.
		e.Generation = max(e.Generation+1, uint64(time.Now().UnixMilli()))
		return json.Marshal(e)
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, done)
	return err
}

// ListDomains prints the emptied failure domains.
func ListDomains(ctx context.Context, out io.Writer, address string, asJSON bool) error {
	client := platform.NewClient(address, callTimeout, nil)
	object, err := client.Get(ctx, configsync.EmptiedDomainsKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	e, err := emptiedIn(object.Value)
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
	_, _ = fmt.Fprintln(table, "EMPTIED DOMAIN") // Flush tells errors
	for _, domain := range e.Domains {
		_, _ = fmt.Fprintln(table, domain)
	}
	return table.Flush()
}

// emptiedIn reads the stored object; nothing is emptied where there is none.
func emptiedIn(value []byte) (configsync.EmptiedDomains, error) {
	if len(value) == 0 {
		return configsync.EmptiedDomains{Domains: []string{}}, nil
	}
	return configsync.DecodeEmptiedDomains(value)
}
