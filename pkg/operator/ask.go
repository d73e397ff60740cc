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

// Ask prints what an instance's administration address answers.
func Ask(ctx context.Context, out io.Writer, address, token, path string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(consts.MethodGet)
	req.SetRequestURI("http://" + address + "/" + path)
	req.Header.Set("Authorization", "Bearer "+token)
	end, err := httpcall.Call(ctx, httpcall.Options{Address: address, MaxResponseBytes: maxAnswerBytes}, req, resp)
	defer end()
	if err != nil {
		return err
	}
	if resp.StatusCode() != consts.StatusOK {
		return fmt.Errorf("%s answered %d %s", address, resp.StatusCode(), resp.Body())
	}
	var pretty bytes.Buffer
	if json.Indent(&pretty, resp.Body(), "", "  ") != nil {
		pretty.Reset()
		pretty.Write(resp.Body())
	}
	_, err = fmt.Fprintln(out, pretty.String())
	return err
}
