package bill

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/lavenderring/lavenderring/pkg/bill/billpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Statement holds the bills and open requests of a set of segments.
type Statement struct {
	// Bills holds the bills by request id.
	Bills map[string]*billpb.Record
	// Open holds, by id, the requests that were dispatched and have no bill; their
	// tokens are the maximum that they may cost. They are in doubt if their
	// instance has crashed.
	Open map[string]*billpb.Record
	// DuplicateBills lists the requests with more than one bill; it is empty
	// unless the exactly-once guarantee was violated.
	DuplicateBills []string
}

// ReadStatement decodes segments into a Statement.
func ReadStatement(objects []store.Object) (*Statement, error) {
	s := &Statement{Bills: map[string]*billpb.Record{}, Open: map[string]*billpb.Record{}}
	for _, object := range objects {
		var segment Segment
		if err := json.Unmarshal(object.Value, &segment); err != nil {
			return nil, fmt.Errorf("decode bill segment %s: %w", object.Key, err)
		}
		for _, record := range segment.Records {
			s.add(record)
		}
	}
	for request := range s.Bills {
		delete(s.Open, request)
	}
	sort.Strings(s.DuplicateBills)
	return s, nil
}

func (s *Statement) add(record *billpb.Record) {
	if record.Outcome == OutcomeOpen {
		s.Open[record.Request] = record
		return
	}
	if s.Bills[record.Request] != nil {
		s.DuplicateBills = append(s.DuplicateBills, record.Request)
	}
	s.Bills[record.Request] = record
}

// Total returns the tokens billed to a budget.
func (s *Statement) Total(budget string) int64 {
	var total int64
	for _, record := range s.Bills {
		if record.Budget == budget {
			total += record.Tokens
		}
	}
	return total
}
