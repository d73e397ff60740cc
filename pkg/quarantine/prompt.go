package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
)

// Prompt describes what a request's prompt shares with other requests. It is empty for requests without
// a prompt.
type Prompt struct {
	// Account is the client account, Service the service that runs the request, and Model the model that
	// the request names.
	Account, Service, Model string
	// Parts are the IDs of the shared parts in their order. The last part of a prompt belongs to the
	// request alone and is not among them.
	Parts []uint64
}

// maxModelBytes limits the model's name, which clients choose.
const maxModelBytes = 128

// ModelName returns the name of a model in a Prompt: its beginning if it is very long.
func ModelName(name string) string { return name[:min(len(name), maxModelBytes)] }

// Part identifies a part of prompts. Equal IDs under another service or model are other parts.
type Part struct {
	Service, Model string
	ID             uint64
}

// Name returns the part's ID in hexadecimal, as clients send it.
func (p Part) Name() string { return strconv.FormatUint(p.ID, 16) }

// part returns the part with an ID of the prompt.
func (p *Prompt) part(id uint64) Part { return Part{Service: p.Service, Model: p.Model, ID: id} }

// scopedPart is a part in the requests of one account, or in those of all accounts if Account is empty.
type scopedPart struct {
	Account string
	Part
}

func (p scopedPart) fingerprint() fingerprint.Fingerprint {
	return fingerprint.Part(p.Account, p.Service, p.Model, p.ID)
}

// maxSuspects limits the parts listed in one ending.
const maxSuspects = 16

// suspects lists the parts of a prompt whose answer had not begun when the connection ended.
type suspects struct {
	Service, Model string
	// Unanswered are the parts on which the reporting instance knew no recent answer, Answered the others.
	Unanswered, Answered []uint64
}

// suspectsOf lists the parts of a prompt, those without a recent answer first if there are too many.
func (t *Table) suspectsOf(prompt *Prompt, now time.Time) suspects {
	s := suspects{Service: prompt.Service, Model: prompt.Model}
	for _, id := range prompt.Parts {
		if t.answered.isRecent(prompt.part(id), now) {
			s.Answered = append(s.Answered, id)
		} else {
			s.Unanswered = append(s.Unanswered, id)
		}
	}
	s.Unanswered = slices.Clip(s.Unanswered[:min(len(s.Unanswered), maxSuspects)])
	s.Answered = slices.Clip(s.Answered[:min(len(s.Answered), maxSuspects-len(s.Unanswered))])
	return s
}
