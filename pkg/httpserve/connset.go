package httpserve

import (
	"container/list"
	"sync"
)

// connSet holds the open connections of a server.
type connSet struct {
	// most bounds the number of open connections.
	most int

	mu   sync.Mutex
	open map[*conn]bool
	// waiting holds the connections of which no request is being served, the one that waits longest first, and
	// places where each stands in it.
	waiting *list.List
	places  map[*conn]*list.Element
	// numLingering counts the connections that are read on after their end.
	numLingering int
}

func newConnSet(most int) *connSet {
	return &connSet{most: most, open: map[*conn]bool{}, waiting: list.New(), places: map[*conn]*list.Element{}}
}

// add adds a connection.
func (s *connSet) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = true
	s.places[c] = s.waiting.PushBack(c)
}

// excess returns the connection to be closed because there are too many: the one that waits longest, never one whose
// request is being served; nil if there are not too many.
func (s *connSet) excess() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) <= s.most || s.waiting.Len() == 0 {
		return nil
	}
	longest, _ := s.waiting.Front().Value.(*conn)
	return longest
}

// noteServing notes that a connection's request is being served.
func (s *connSet) noteServing(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveWaiting(c)
}

// noteWaiting notes that a connection waits for a next request.
func (s *connSet) noteWaiting(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveWaiting(c)
	if s.open[c] {
		s.places[c] = s.waiting.PushBack(c)
	}
}

func (s *connSet) leaveWaiting(c *conn) {
	if place := s.places[c]; place != nil {
		s.waiting.Remove(place)
		delete(s.places, c)
	}
}

// beginLinger reports whether one more connection may be read on after its end; endLinger must follow then.
func (s *connSet) beginLinger() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.numLingering >= maxLingering {
		return false
	}
	s.numLingering++
	return true
}

func (s *connSet) endLinger() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.numLingering--
}

func (s *connSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveWaiting(c)
	delete(s.open, c)
}

// all returns the open connections.
func (s *connSet) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.open))
	for c := range s.open {
		all = append(all, c)
	}
	return all
}
