package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/quarantine/keeper"
)

// ListQuarantine prints the requests that an instance suspects of crashing upstreams or
// no longer runs.
func ListQuarantine(ctx context.Context, out io.Writer, admin AdminClient, asJSON bool) error {
	body, err := admin.call(ctx, consts.MethodGet, "quarantine")
	if err != nil {
		return err
	}
	var views []keeper.View
	if err := json.Unmarshal(body, &views); err != nil {
		return fmt.Errorf("decode the response of %s: %w", admin.Address, err)
	}
	return printQuarantine(out, body, views, asJSON)
}

// ShowQuarantined prints one request that an instance suspects or no longer runs.
func ShowQuarantined(ctx context.Context, out io.Writer, admin AdminClient, id string, asJSON bool) error {
	body, err := admin.call(ctx, consts.MethodGet, "quarantine?id="+url.QueryEscape(id))
	if err != nil {
		return err
	}
	var view keeper.View
	if err := json.Unmarshal(body, &view); err != nil {
		return fmt.Errorf("decode the response of %s: %w", admin.Address, err)
	}
	return printQuarantine(out, body, []keeper.View{view}, asJSON)
}

// ReleaseQuarantined allows a request to run again at all instances.
func ReleaseQuarantined(ctx context.Context, out io.Writer, admin AdminClient, id string) error {
	if _, err := admin.call(ctx, consts.MethodPost, "quarantine/release?id="+url.QueryEscape(id)); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, "released", id)
	return err
}

func printQuarantine(out io.Writer, body []byte, views []keeper.View, asJSON bool) error {
	if asJSON {
		return printJSON(out, body)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ID\tSTATE\tCRASHES\tACCOUNT\tROUTE OR PART\tLAST UPSTREAM\tLAST CRASH") // Flush returns errors
	for _, v := range views {
		where := v.Route
		if v.Part != "" {
			where = "prompt part " + v.Part + " at " + v.Service
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n",
			v.ID, v.State, v.Crashes, v.Account, where, v.Upstream, v.LastCrash.UTC().Format(time.RFC3339))
	}
	return table.Flush()
}
