package test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/lavenderring/lavenderring/pkg/chat"
)

// answer is what a client got for a request.
type answer struct {
	status  int
	header  http.Header
	body    string
	whole   bool // complete, with status 200
	problem problem
	err     error
}

// problem is the body of a refusal or failure.
type problem struct {
	Title   string `json:"title"`
	Outcome string `json:"outcome"`
	Request string `json:"request"`
}

// refusedNotRun reports whether the answer claims that the request did not run.
func (a answer) refusedNotRun() bool { return a.problem.Outcome == "not-run" }

// call sends a client's request and reads the whole answer.
func call(address, key, method, path, idempotencyKey string, body []byte) answer {
	return callWithTimeout(waitTimeout, address, key, method, path, idempotencyKey, body)
}

// callWithTimeout sends a request as call does, and closes the connection after a timeout.
func callWithTimeout(timeout time.Duration, address, key, method, path, idempotencyKey string, body []byte) answer {
	return callWithID(timeout, address, key, method, path, idempotencyKey, "", body)
}

func callWithID(
	timeout time.Duration, address, key, method, path, idempotencyKey, id string, body []byte,
) answer {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set(chat.HeaderIdempotencyKey, idempotencyKey)
	}
	if id != "" {
		req.Header.Set(chat.HeaderRequestID, id)
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	read, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(read), err: err}
	a.whole = err == nil && resp.StatusCode == http.StatusOK
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.whole = a.whole && strings.HasSuffix(strings.TrimSpace(a.body), chat.EndMark)
	} else if !a.whole {
		_ = json.Unmarshal(read, &a.problem)
	}
	return a
}

// ask sends a model request.
func askModel(address, key string, stream bool, maxTokens int64, prompt string) answer {
	return askModelWithTimeout(waitTimeout, address, key, stream, maxTokens, prompt)
}

func askModelWithTimeout(timeout time.Duration, address, key string, stream bool, maxTokens int64, prompt string) answer {
	return askInConversation(timeout, address, key, stream, maxTokens, []chat.Message{{Role: "user", Content: prompt}})
}

func askInConversation(
	timeout time.Duration, address, key string, stream bool, maxTokens int64, messages []chat.Message,
) answer {
	body, err := json.Marshal(chat.Request{
		Model:     "leak-report",
		Messages:  messages,
		MaxTokens: maxTokens,
		Stream:    stream,
	})
	if err != nil {
		return answer{err: err}
	}
	return callWithTimeout(timeout, address, key, http.MethodPost, "/v1/chat/completions", "", body)
}

// assign sends a non-idempotent request.
func assign(address, idempotencyKey, job string) answer {
	return call(address, crewKey, http.MethodPost, "/services/jobs/assign", idempotencyKey, []byte(`{"job":"`+job+`"}`))
}

// text returns the generated text of an answer, streamed or not.
func (a answer) text() string {
	var out strings.Builder
	for _, line := range strings.Split(a.body, "\n") {
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			data = line
		}
		var response chat.Response
		if json.Unmarshal([]byte(data), &response) != nil {
			continue
		}
		for _, choice := range response.Choices {
			if choice.Delta != nil {
				out.WriteString(choice.Delta.Content)
			}
			if choice.Message != nil {
				out.WriteString(choice.Message.Content)
			}
		}
	}
	return out.String()
}
