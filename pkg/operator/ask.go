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

// maxAnswerBytes bounds what an instance may answer.
const maxAnswerBytes = 64 << 20

// Admin is an instance's administration address, and the operators' token for it.
type Admin struct{ Address, Token string }

// Ask prints what an instance's administration address answers.
func Ask(ctx context.Context, out io.Writer, address, token, path string) error {
	body, err := Admin{Address: address, Token: token}.call(ctx, consts.MethodGet, path)
	if err != nil {
		return err
	}
	return printJSON(out, body)
}

// call returns the body of a successful answer.
func (a Admin) call(ctx context.Context, method, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI("http://" + a.Address + "/" + path)
	req.Header.Set("Authorization", "Bearer "+a.Token)
	end, err := httpcall.Call(ctx, httpcall.Options{Address: a.Address, MaxResponseBytes: maxAnswerBytes}, req, resp)
	defer end()
	if err != nil {
		return nil, err
	}
	if resp.StatusCode() != consts.StatusOK {
		return nil, fmt.Errorf("%s answered %d %s", a.Address, resp.StatusCode(), resp.Body())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// printJSON prints a body indented, or as it is if it is no JSON.
func printJSON(out io.Writer, body []byte) error {
	var pretty bytes.Buffer
	if json.Indent(&pretty, body, "", "  ") != nil {
		pretty.Reset()
		pretty.Write(body)
	}
	_, err := fmt.Fprintln(out, pretty.String())
	return err
}
