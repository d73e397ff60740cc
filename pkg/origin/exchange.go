package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/origin/originpb"
)

// sendCopies sends records to the instances that are to hold them. The group it returns is done when
// all have answered or failed.
func (d *Directory) sendCopies(ctx context.Context, records []record) *sync.WaitGroup {
	others := d.Others()
	batches := map[string][]record{}
	names := writers(d.Self, others)
	for _, r := range records {
		for _, m := range holders(r.key, others, writerOf(r.key, names)) {
			batches[m.Address] = append(batches[m.Address], r)
		}
	}
	var sent sync.WaitGroup
	for address, batch := range batches {
		d.goSend(&sent, batch, func() {
			if d.sendTo(ctx, address, batch) != nil {
				d.sendToSubstitutes(ctx, others, batch)
			}
		})
	}
	return &sent
}

// holders returns the other instances that are to hold a stream's record: those that rank first. The record's writer
// takes the place of the last of them.
func holders(key Key, others []Member, writer string) []Member {
	ranked := rankMembers(key, others, numCopiesAmong(len(others)))
	isWriter := func(m Member) bool { return m.Name == writer }
	if n := slices.IndexFunc(others, isWriter); n >= 0 && !slices.ContainsFunc(ranked, isWriter) {
		ranked[len(ranked)-1] = others[n]
	}
	return ranked
}

// goSend runs a sending of records in the background, unless too many are in progress.
func (d *Directory) goSend(sent *sync.WaitGroup, batch []record, send func()) {
	select {
	case d.sending <- struct{}{}:
	default:
		d.drop(Fault{Step: "queue", Records: len(batch), Err: errTooManySent})
		return
	}
	sent.Go(func() {
		defer func() { <-d.sending }()
		send()
	})
}

// sendToSubstitutes sends copies that their instance has not acknowledged to the instance that is asked next.
func (d *Directory) sendToSubstitutes(ctx context.Context, others []Member, records []record) {
	batches := map[string][]record{}
	numHolding := numCopiesAmong(len(others))
	for _, r := range records {
		if ranked := rankMembers(r.key, others, numHolding+1); len(ranked) > numHolding {
			address := ranked[numHolding].Address
			batches[address] = append(batches[address], r)
		}
	}
	for address, batch := range batches {
		if ctx.Err() != nil {
			return
		}
		_ = d.sendTo(ctx, address, batch) // sendTo reports the fault
	}
}

// sendTo sends records to the instance at an address.
func (d *Directory) sendTo(ctx context.Context, address string, records []record) error {
	message := &originpb.Records{}
	now := d.Now()
	for _, r := range records {
		message.Records = append(message.Records, encode(r, now))
	}
	err := d.Peers.KeepOrigins(ctx, address, message)
	if err != nil && ctx.Err() == nil {
		d.OnFault(Fault{Step: "keep", Peer: address, Records: len(records), Err: err})
	}
	return err
}

// ask asks instances for a record at the same time. It returns the first one that it gets, or nil if none
// has it or askTimeout is over, and how many have answered.
func (d *Directory) ask(ctx context.Context, key Key, members []Member) (found *record, answered int) {
	replies := make(chan *originpb.FindReply, len(members))
	// A call that is cancelled would close the connections to its peer.
	background := context.WithoutCancel(ctx)
	for _, m := range members {
		go func() { replies <- d.askOne(background, key, m) }()
	}
	timeout := time.NewTimer(askTimeout)
	defer timeout.Stop()
	for range members {
		select {
		case <-ctx.Done():
			return nil, answered
		case <-timeout.C:
			return nil, answered
		case reply := <-replies:
			if reply == nil {
				continue
			}
			answered++
			if r := d.decodeReply(key, reply); r != nil {
				return r, answered
			}
		}
	}
	return nil, answered
}

// askOne returns an instance's reply; nil if there is none.
func (d *Directory) askOne(ctx context.Context, key Key, m Member) *originpb.FindReply {
	reply, err := d.Peers.FindOrigin(ctx, m.Address, &originpb.FindRequest{Key: key[:]})
	if err != nil {
		d.OnFault(Fault{Step: "find", Peer: m.Address, Records: 1, Err: err})
		return nil
	}
	return reply
}

// decodeReply returns the record of a stream in a reply; nil if there is no usable one.
func (d *Directory) decodeReply(key Key, reply *originpb.FindReply) *record {
	if reply.GetRecord() == nil {
		return nil
	}
	r, err := decode(reply.Record, d.Now())
	if err == nil && r.key != key {
		err = errInvalidRecord
	}
	if err != nil {
		d.OnFault(Fault{Step: "decode", Records: 1, Err: err})
		return nil
	}
	return &r
}

// Service handles calls of other instances. It implements the Origins service.
type Service struct{ Directory *Directory }

// Keep implements the Origins service.
func (s Service) Keep(_ context.Context, message *originpb.Records) (*originpb.KeepReply, error) {
	d := s.Directory
	now := d.Now()
	numDropped := 0
	for _, encoded := range message.Records {
		r, err := decode(encoded, now)
		if err != nil {
			return nil, err
		}
		if !d.table.merge(r) {
			numDropped++
		}
	}
	if numDropped > 0 {
		d.drop(Fault{Step: "queue", Records: numDropped, Err: errTableFull})
	}
	return &originpb.KeepReply{}, nil
}

// Find implements the Origins service.
func (s Service) Find(_ context.Context, request *originpb.FindRequest) (*originpb.FindReply, error) {
	if len(request.Key) != keySize {
		return nil, errInvalidRecord
	}
	r, found := s.Directory.table.find(Key(request.Key))
	if !found {
		return &originpb.FindReply{}, nil
	}
	return &originpb.FindReply{Record: encode(r, s.Directory.Now())}, nil
}
