package peer

import (
	"context"
	"crypto/tls"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/lavenderring/lavenderring/pkg/bill/billpb"
	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/origin/originpb"
	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
	"github.com/lavenderring/lavenderring/pkg/quarantine/quarantinepb"
	"github.com/lavenderring/lavenderring/pkg/tunnel/tunnelpb"
)

// Handlers holds the handlers of the messages. All except Members may be nil.
type Handlers struct {
	Budgets budgetpb.DRPCBudgetsServer
	Bills   billpb.DRPCBillsServer
	Members memberpb.DRPCMembersServer
	Loans   prepaidpb.DRPCLoansServer
	Copies  followpb.DRPCCopiesServer
	// Quarantine handles exchanges of records of requests that crash upstreams.
	Quarantine quarantinepb.DRPCQuarantineServer
	// Tunnels connects other instances to upstreams.
	Tunnels tunnelpb.DRPCTunnelsServer
	// Origins keeps records of what began streams.
	Origins originpb.DRPCOriginsServer
}

// Server serves calls of other instances.
type Server struct {
	listener net.Listener
	server   *drpcserver.Server
}

// Listen registers the handlers and binds an address; traffic counts the bytes, and tlsConfig is nil
// for plain connections.
func Listen(address string, handlers Handlers, traffic *Traffic, tlsConfig *tls.Config) (*Server, error) {
	mux := drpcmux.New()
	if handlers.Budgets != nil {
		if err := budgetpb.DRPCRegisterBudgets(mux, handlers.Budgets); err != nil {
			return nil, err
		}
	}
	if handlers.Loans != nil {
		if err := prepaidpb.DRPCRegisterLoans(mux, handlers.Loans); err != nil {
			return nil, err
		}
	}
	if handlers.Copies != nil {
		if err := followpb.DRPCRegisterCopies(mux, handlers.Copies); err != nil {
			return nil, err
		}
	}
	if handlers.Quarantine != nil {
		if err := quarantinepb.DRPCRegisterQuarantine(mux, handlers.Quarantine); err != nil {
			return nil, err
		}
	}
	if handlers.Tunnels != nil {
		if err := tunnelpb.DRPCRegisterTunnels(mux, handlers.Tunnels); err != nil {
			return nil, err
		}
	}
	if handlers.Origins != nil {
		if err := originpb.DRPCRegisterOrigins(mux, handlers.Origins); err != nil {
			return nil, err
		}
	}
	if handlers.Bills != nil {
		if err := billpb.DRPCRegisterBills(mux, handlers.Bills); err != nil {
			return nil, err
		}
	}
	if err := memberpb.DRPCRegisterMembers(mux, handlers.Members); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	listener = countedListener{listener, traffic}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return &Server{listener: listener, server: drpcserver.New(mux)}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves calls until ctx ends.
func (s *Server) Serve(ctx context.Context) error { return s.server.Serve(ctx, s.listener) }
