package httpcall

import (
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"weak"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// Guards against request bodies that stay in memory after their call, as long as the library keeps what belongs to an
// idle connection.
func TestEndedCallKeepsNoBody(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	body := new([64 << 10]byte)
	kept := weak.Make(body)
	callWith(t, server.Listener.Addr(), body[:])
	body = nil
	for range maxCollections {
		runtime.GC()
	}
	if kept.Value() != nil {
		t.Fatal("the body is still in memory")
	}
}

// maxCollections is how many garbage collections free a body: finalizers of the library delay it.
const maxCollections = 5

func callWith(t *testing.T, address net.Addr, body []byte) {
	t.Helper()
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + address.String() + "/")
	req.SetBodyRaw(body)
	end, err := Call(t.Context(), Options{Address: address.String(), MaxResponseBytes: 1 << 10}, req, resp)
	defer end()
	if err != nil {
		t.Fatal(err)
	}
}
