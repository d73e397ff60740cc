// Package configsync synchronizes service documents between the store and the
// instances: it validates and accepts the documents that operators write,
// applies an accepted document only if it is newer than the one in force, and
// notifies the peers.
package configsync

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Kind and key prefixes of the objects in the store.
const (
	// Kind is the kind of all objects that instances watch.
	Kind = "service-documents"
	// DocumentPrefix is the prefix of documents written by operators.
	DocumentPrefix = Kind + "/documents/"
	// AcceptedPrefix is the prefix of documents accepted by instances.
	AcceptedPrefix = Kind + "/accepted/"
	// StatusPrefix is the prefix of each service's Status.
	StatusPrefix = "status/"
)

// Accepted is a validated document with its generation.
type Accepted struct {
	// Service names the service.
	Service string `json:"service"`
	// Generation increases by one with each accepted document of the service.
	Generation uint64 `json:"generation"`
	// DocumentVersion is the store's version of the accepted document.
	DocumentVersion store.Position `json:"document_version"`
	// Text is the document as written, in TOML.
	Text []byte `json:"text"`
}

// Status tells operators whether a service's newest document was accepted.
type Status struct {
	Service         string         `json:"service"`
	DocumentVersion store.Position `json:"document_version"`
	Accepted        bool           `json:"accepted"`
	// Reason says why the document was rejected.
	Reason string `json:"reason,omitempty"`
}

// ActiveDocument is the document of one service that is in force on this instance.
type ActiveDocument struct {
	Accepted
	Document *document.Document
}

// Snapshot holds all documents in force at one moment. It is immutable.
type Snapshot struct {
	// Services holds the documents by service.
	Services map[string]*ActiveDocument
	// accountsByKey is indexed by the hash of the account's API key.
	accountsByKey map[string]AccountRef
	// sharedKeys holds the hashes that more than one account declares.
	sharedKeys map[string]bool
}

// AccountRef is a client account and the document that declares it.
type AccountRef struct {
	Service *ActiveDocument
	Account *document.Account
}

// Account returns the account that an API key belongs to. A key that two services
// declare is not found, because a request with it could be billed to the wrong one.
func (s *Snapshot) Account(key string) (AccountRef, bool) {
	hash := document.HashKey(key)
	if s.sharedKeys[hash] {
		return AccountRef{}, false
	}
	ref, found := s.accountsByKey[hash]
	return ref, found
}

// State holds the documents and emptied domains in force. Reads do not block.
type State struct {
	mu       sync.Mutex
	snapshot atomic.Pointer[Snapshot]
	onApply  func(*ActiveDocument)

	emptiedDomains   atomic.Pointer[EmptiedDomains]
	onEmptiedDomains func(before, now EmptiedDomains)
}

// NewState returns a state with nothing in force. onApply is called, with the
// state locked, for each document that comes into force.
func NewState(onApply func(*ActiveDocument)) *State {
	s := &State{onApply: onApply, onEmptiedDomains: func(EmptiedDomains, EmptiedDomains) {}}
	s.snapshot.Store(&Snapshot{Services: map[string]*ActiveDocument{}})
	s.emptiedDomains.Store(&EmptiedDomains{})
	return s
}

// OnEmptiedDomains sets the function that is called when a change of the emptied domains comes into
// force. It must be called before the state is used.
func (s *State) OnEmptiedDomains(call func(before, now EmptiedDomains)) { s.onEmptiedDomains = call }

// Snapshot returns the documents in force.
func (s *State) Snapshot() *Snapshot { return s.snapshot.Load() }

// Generation returns the generation in force for a service, or 0 if there is none.
func (s *State) Generation(service string) uint64 {
	if f := s.Snapshot().Services[service]; f != nil {
		return f.Generation
	}
	return 0
}

// Apply brings an accepted document into force if its generation is higher than
// the one in force, and reports whether it did. A late or stale answer of the
// store or of a peer therefore never replaces a newer document.
func (s *State) Apply(a Accepted) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Generation <= s.Generation(a.Service) {
		return false, nil
	}
	doc, err := document.Parse(a.Text)
	if err != nil {
		return false, fmt.Errorf("apply generation %d of %s: %w", a.Generation, a.Service, err)
	}
	next := &ActiveDocument{Accepted: a, Document: doc}
	s.snapshot.Store(s.Snapshot().withDocument(next))
	s.onApply(next)
	return true, nil
}

func (s *Snapshot) withDocument(next *ActiveDocument) *Snapshot {
	out := &Snapshot{
		Services:      map[string]*ActiveDocument{next.Service: next},
		accountsByKey: map[string]AccountRef{},
		sharedKeys:    map[string]bool{},
	}
	for name, f := range s.Services {
		if name != next.Service {
			out.Services[name] = f
		}
	}
	for _, f := range out.Services {
		out.addAccounts(f)
	}
	return out
}

func (s *Snapshot) addAccounts(f *ActiveDocument) {
	for i := range f.Document.Accounts {
		account := &f.Document.Accounts[i]
		if _, taken := s.accountsByKey[account.KeySHA256]; taken {
			s.sharedKeys[account.KeySHA256] = true
		}
		s.accountsByKey[account.KeySHA256] = AccountRef{Service: f, Account: account}
	}
}

// DecodeAccepted decodes the value of an object under AcceptedPrefix.
func DecodeAccepted(value []byte) (Accepted, error) {
	var a Accepted
	if err := json.Unmarshal(value, &a); err != nil {
		return Accepted{}, fmt.Errorf("decode accepted object: %w", err)
	}
	return a, nil
}
