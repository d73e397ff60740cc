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

// answer is what a caller got.
type answer struct {
	status  int
	header  http.Header
	body    string
	whole   bool
	problem problem
	err     error
}

// problem is a refusal or failure.
type problem struct {
	Title   string `json:"title"`
	Outcome string `json:"outcome"`
	Request string `json:"request"`
}

// refusedUnrun says that the answer truly claims that nothing ran.
func (a answer) refusedUnrun() bool { return a.problem.Outcome == "not-run" }

// call sends a caller's request and reads all of the answer.
func call(address, key, method, path, idempotencyKey string, body []byte) answer {
	return callFor(giveUpAfter, address, key, method, path, idempotencyKey, body)
}

// callFor is call by a caller who hangs up after a while.
func callFor(patience time.Duration, address, key, method, path, idempotencyKey string, body []byte) answer {
	return callWithID(patience, address, key, method, path, idempotencyKey, "", body)
}

func callWithID(
	patience time.Duration, address, key, method, path, idempotencyKey, id string, body []byte,
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
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
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
func ask(address, key string, stream bool, maxTokens int64, question string) answer {
	return askFor(giveUpAfter, address, key, stream, maxTokens, question)
}

func askFor(patience time.Duration, address, key string, stream bool, maxTokens int64, question string) answer {
	body, err := json.Marshal(chat.Request{
		Model:     "leak-report",
		Messages:  []chat.Message{{Role: "user", Content: question}},
		MaxTokens: maxTokens,
		Stream:    stream,
	})
	if err != nil {
		return answer{err: err}
	}
	return callFor(patience, address, key, http.MethodPost, "/v1/chat/completions", "", body)
}

// assign sends a request that may not be repeated.
func assign(address, idempotencyKey, job string) answer {
	return call(address, crewKey, http.MethodPost, "/services/jobs/assign", idempotencyKey, []byte(`{"job":"`+job+`"}`))
}

// text returns the answer's text, streamed or whole.
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
