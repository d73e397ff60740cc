package quarantine

import (
	"slices"
	"strconv"
	"strings"
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

// Bounds on what clients choose in a prompt.
const (
	// maxModelBytes limits the model's name.
	maxModelBytes = 128
	// maxPromptParts limits the parts that are considered, each of which is looked up for each attempt.
	maxPromptParts = 64
)

// NewPrompt returns a prompt; parts are all its parts with the last. A model's name is cut where it is very long,
// and made valid UTF-8, without which records could not be exchanged. Of very many parts the first are kept.
func NewPrompt(account, service, model string, parts []uint64) Prompt {
	shared := parts[:max(len(parts)-1, 0)]
	return Prompt{
		Account: account,
		Service: service,
		Model:   strings.ToValidUTF8(model[:min(len(model), maxModelBytes)], "?"),
		Parts:   shared[:min(len(shared), maxPromptParts)],
	}
}

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

// suspects lists the parts of a prompt whose answer had not proved them sound when the connection ended.
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
