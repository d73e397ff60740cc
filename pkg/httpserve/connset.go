package httpserve

import "sync"

// connSet holds the open connections of a server.
type connSet struct {
	mu   sync.Mutex
	open map[*conn]bool
	// numLingering counts the connections that are read on after their end.
	numLingering int
}

func newConnSet() *connSet { return &connSet{open: map[*conn]bool{}} }

func (s *connSet) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = true
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
