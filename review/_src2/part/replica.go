package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// badPart is the part of a prompt that crashes replicas; it is never the last one of a prompt.
const badPart = "bad0"

// serveReplica serves streams. With a bad part in the prompt the process ends when it has begun to write the answer.
func serveReplica(id, address string, born int64) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		os.Exit(2)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(2)
		}
		go serve(c, id, born)
	}
}

func serve(c net.Conn, id string, born int64) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		attempt := req.Header.Get("X-Lavenderring-Attempt-Id")
		if expected := req.Header.Get("X-Lavenderring-Expected-Instance"); expected != "" && expected != id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Lavenderring-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt)
			continue
		}
		if req.Method == http.MethodGet {
			body := fmt.Sprintf(`{"phase":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"active":1,"kv_used":1000,"kv_total":350683,"kv_handles":0,"born":%d}`, born)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Lavenderring-Attempt-Id: %s\r\nX-Lavenderring-Instance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", attempt, id, len(body), body)
			continue
		}
		if !stream(c, id, attempt, req) {
			return
		}
	}
}

func stream(c net.Conn, id, attempt string, req *http.Request) bool {
	bad := hasBadPart(req.Header.Get("X-Lavenderring-Prompt-Prefix"))
	if bad {
		fmt.Printf("%d %s %s\n", time.Now().UnixMilli(), id, attempt) // one write, read by the driver
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Lavenderring-Attempt-Id: %s\r\nX-Lavenderring-Response-Seal: seal-%s\r\nX-Lavenderring-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, id)
	time.Sleep(prefillTime)
	first, _ := strconv.Atoi(strings.TrimSpace(req.Header.Get("Last-Event-Id")))
	for n := first + 1; n <= numEvents; n++ {
		time.Sleep(stepTime)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, attempt)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		if bad {
			time.Sleep(crashAfter)
			os.Exit(crashed)
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func hasBadPart(prompt string) bool {
	parts := strings.Split(prompt, ",")
	for _, part := range parts[:len(parts)-1] {
		if strings.HasPrefix(part, badPart+":") {
			return true
		}
	}
	return false
}
