package eventlog

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md")

const pagePath = "../../docs/EVENTS.md"

func renderPage() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEach line of an instance's log is one event in JSON: `time`, `process`, `seq` (the process's own " +
		"order), `event` (the number), `msg` (the name), `request` where there is one, and `fields`. " +
		"`lavenderring timeline` merges the logs of all processes. This page is made from the catalogue in " +
		"`pkg/eventlog/catalogue.go` and checked against it.\n\n| number | name | meaning | what to do |\n|---:|---|---|---|\n")
	for _, number := range slices.Sorted(maps.Keys(Catalogue)) {
		d := Catalogue[number]
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", number, d.Name, d.Meaning, d.Action)
	}
	return b.String()
}

// docs/EVENTS.md must agree with the catalogue, or operators look up wrong descriptions.
func TestPageMatchesCatalogue(t *testing.T) {
	if *update {
		if err := os.WriteFile(pagePath, []byte(renderPage()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != renderPage() {
		t.Error("docs/EVENTS.md differs from the catalogue; run go test ./pkg/eventlog -update")
	}
}

// Two kinds of events with the same name could not be distinguished in a time line.
func TestNamesAreUnique(t *testing.T) {
	seen := map[string]Number{}
	for number, d := range Catalogue {
		if other, taken := seen[d.Name]; taken {
			t.Errorf("%d and %d are both %s", number, other, d.Name)
		}
		seen[d.Name] = number
	}
}
