package operator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// maxLineBytes limits the length of one line of an event log.
const maxLineBytes = 1 << 20

// Timeline merges event logs and prints the events ordered by time. Events of one
// process with equal times are ordered by their sequence numbers. Lines that are
// not events are skipped and counted.
func Timeline(out io.Writer, paths []string, request, process string) error {
	var events []eventlog.Event
	totalSkipped := 0
	for _, path := range paths {
		read, skipped, err := readLog(path)
		if err != nil {
			return err
		}
		events = append(events, read...)
		totalSkipped += skipped
	}
	sortEvents(events)
	for _, event := range events {
		if (request != "" && event.Request != request) || (process != "" && event.Process != process) {
			continue
		}
		if _, err := fmt.Fprintln(out, formatEvent(event)); err != nil {
			return err
		}
	}
	if totalSkipped > 0 {
		_, err := fmt.Fprintf(out, "(%d lines are not events)\n", totalSkipped)
		return err
	}
	return nil
}

func readLog(path string) ([]eventlog.Event, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = file.Close() }()
	var events []eventlog.Event
	skipped := 0
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var event eventlog.Event
		if json.Unmarshal(scanner.Bytes(), &event) != nil || event.Number == 0 {
			skipped++
			continue
		}
		events = append(events, event)
	}
	return events, skipped, scanner.Err()
}

func sortEvents(events []eventlog.Event) {
	sort.SliceStable(events, func(i, j int) bool {
		a, b := events[i], events[j]
		if !a.Time.Equal(b.Time) {
			return a.Time.Before(b.Time)
		}
		return a.Process == b.Process && a.Seq < b.Seq
	})
}

func formatEvent(e eventlog.Event) string {
	names := make([]string, 0, len(e.Fields))
	for name := range e.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var fields strings.Builder
	for _, name := range names {
		fmt.Fprintf(&fields, " %s=%v", name, e.Fields[name])
	}
	request := e.Request
	if request == "" {
		request = "-"
	}
	return fmt.Sprintf("%s %-12s %d %-20s %s%s",
		e.Time.Format("15:04:05.000000"), e.Process, e.Number, e.Name, request, fields.String())
}
