package test

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against an instance of the own door that exceeds its memory because it decodes many large chats at once.
func TestCrowdOfLargeChatsLeavesTheInstanceAlone(t *testing.T) {
	skipWithRaceDetector(t)
	const begin, end = `{"model":"leak-report","messages":[{"role":"user","content":"`, `"}]}`
	body := begin + strings.Repeat("c", crowdBodyLimit-len(begin)-len(end)) + end
	chats := crowdForm{"large chats", 64, func(c *crowdClient) {
		head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", crewKey, len(body))
		c.write(head + body)
		c.readAnswer()
	}}
	startOwnDoor(t, crowdSettings).checkForms([]crowdForm{chats}, 1)
}
