package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/httpcall"
)

// maxResponseBytes limits the size of an instance's response.
const maxResponseBytes = 64 << 20

// AdminClient calls the administration API of one instance. Token is the operators' token.
type AdminClient struct{ Address, Token string }

// PrintAdminResponse requests a path from an instance's administration address and
// prints the response.
func PrintAdminResponse(ctx context.Context, out io.Writer, address, token, path string) error {
	body, err := AdminClient{Address: address, Token: token}.call(ctx, consts.MethodGet, path)
	if err != nil {
		return err
	}
	return printJSON(out, body)
}

// call sends a request and returns the body of the response. A status other than 200 is an error.
func (a AdminClient) call(ctx context.Context, method, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI("http://" + a.Address + "/" + path)
	req.Header.Set("Authorization", "Bearer "+a.Token)
	end, err := httpcall.Call(ctx, httpcall.Options{Address: a.Address, MaxResponseBytes: maxResponseBytes}, req, resp)
	defer end()
	if err != nil {
		return nil, err
	}
	if resp.StatusCode() != consts.StatusOK {
		return nil, fmt.Errorf("%s %s answered %d %s", a.Address, path, resp.StatusCode(), resp.Body())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// printJSON prints a body with indentation, or unchanged if it is not JSON.
func printJSON(out io.Writer, body []byte) error {
	var pretty bytes.Buffer
	if json.Indent(&pretty, body, "", "  ") != nil {
		pretty.Reset()
		pretty.Write(body)
	}
	_, err := fmt.Fprintln(out, pretty.String())
	return err
}
