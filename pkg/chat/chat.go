// Package chat defines the messages and headers of the chat-completion protocol
// between clients, instances and model engines.
package chat

// Headers of requests and answers, and the end mark of streams.
const (
	// HeaderRequestID carries the request's id; an upstream's answer repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderResumeOffset asks an engine to resume the stream of a request that it
	// knows after this number of tokens.
	HeaderResumeOffset = "X-Resume-Offset"
	// HeaderLoad reports an upstream's load as "running/waiting" requests. The
	// value may be out of date.
	HeaderLoad = "X-Load"
	// HeaderIncarnation identifies the upstream's process among those that run at
	// its address one after the other: any text that a process chooses anew at
	// its start. Answers may lack it.
	HeaderIncarnation = "X-Incarnation"
	// HeaderPriority asks an engine to start a request before others.
	HeaderPriority = "X-Priority"
	// HeaderIdempotencyKey is the key under which a client may retry a request
	// without running it twice.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOutcome reports the outcome of a request to its client.
	HeaderOutcome = "X-Outcome"
	// EndMark is the data of the event that ends a complete stream.
	EndMark = "[DONE]"
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is the body of a chat completion request.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int64     `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Usage is the number of tokens that a request used.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Total returns the sum of prompt and completion tokens.
func (u Usage) Total() int64 { return u.PromptTokens + u.CompletionTokens }

// Delta is the text that one event adds to a streamed answer.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Choice is the one answer of a response: in Delta if it is streamed, otherwise
// in Message.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Response is a whole answer or one event of a streamed answer.
type Response struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}
