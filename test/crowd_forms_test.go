package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Sizes of what crowds send.
const (
	// crowdHeadBytes is the size of a head inside the limit of crowdHeadLimit.
	crowdHeadBytes = 15 << 10
	crowdHeadLimit = 16 << 10
	crowdBodyLimit = 4 << 20
	// crowdPieceBytes is the size of a write of a client that sends without end.
	crowdPieceBytes = 32 << 10
	// crowdSmallBodyBytes is the size of the bodies that are sent whole.
	crowdSmallBodyBytes = 250 << 10
	// crowdSmallPieceBytes and crowdSmallPause are the pieces of a head that is cut into many, and the pause between
	// them, without which the kernel joins them.
	crowdSmallPieceBytes = 8
	crowdSmallPause      = time.Millisecond
	// crowdUnreadBytes is the size of an answer that is not read, larger than the kernel's buffers.
	crowdUnreadBytes = 8 << 20
)

// crowdClient is one client of a crowd. It keeps its connections open until its door's test is over.
type crowdClient struct {
	door *crowdDoor
	net.Conn
	until time.Time
}

// write sends text and reports whether the connection took it.
func (c *crowdClient) write(text string) bool {
	_, err := io.WriteString(c.Conn, text)
	return err == nil
}

// repeat sends a piece again and again until the connection ends or the crowd's time is over.
func (c *crowdClient) repeat(piece string) {
	for time.Now().Before(c.until) && c.write(piece) {
	}
}

// repeatTimes sends a text a number of times in larger pieces.
func (c *crowdClient) repeatTimes(text string, times int) bool {
	perPiece := max(crowdPieceBytes/len(text), 1)
	for ; times > 0; times -= perPiece {
		if !c.write(strings.Repeat(text, min(perPiece, times))) {
			return false
		}
	}
	return true
}

// readAnswer reads one answer and reports whether there was one.
func (c *crowdClient) readAnswer() bool { return c.readStatus() > 0 }

// readStatus reads one answer and returns its status; 0 if there was none.
func (c *crowdClient) readStatus() int {
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	reader := bufio.NewReader(c.Conn)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return 0
		}
		return resp.StatusCode
	}
}

// sendInPieces sends text in small pieces.
func (c *crowdClient) sendInPieces(text string) {
	for len(text) > 0 && time.Now().Before(c.until) {
		size := min(crowdSmallPieceBytes, len(text))
		if !c.write(text[:size]) {
			return
		}
		text = text[size:]
		time.Sleep(crowdSmallPause)
	}
}

// headOf returns an unfinished head of a size, without the empty line at its end.
func (c *crowdClient) headOf(size int) string {
	head := c.door.head("Content-Length: 2") + "X-Filler: "
	return head + strings.Repeat("f", size-len(head))
}

// chunkedHead returns the head of a request with a chunked body.
func (c *crowdClient) chunkedHead() string { return c.door.head("Transfer-Encoding: chunked") + "\r\n" }

// lengthHead returns the head of a request with a body of a length.
func (c *crowdClient) lengthHead(length int) string {
	return c.door.head(fmt.Sprintf("Content-Length: %d", length)) + "\r\n"
}

// crowdForm is one way in which clients do not behave.
type crowdForm struct {
	name    string
	clients int
	send    func(c *crowdClient)
}

// sendChunk sends a chunk of a size.
func sendChunk(c *crowdClient, size int) bool {
	return c.write(fmt.Sprintf("%x\r\n", size)) && c.repeatTimes("b", size) && c.write("\r\n")
}

// crowdForms lists the ways in which clients do not behave. Each client stays after what it has sent.
var crowdForms = []crowdForm{
	{"first line without end", 64, func(c *crowdClient) {
		c.write("POST /")
		c.repeat(strings.Repeat("p", crowdPieceBytes))
	}},
	{"header line without end", 64, func(c *crowdClient) {
		c.write(c.door.head("X-Filler: "))
		c.repeat(strings.Repeat("f", crowdPieceBytes))
	}},
	{"header lines without end", 64, func(c *crowdClient) {
		c.write(c.door.head("X-First: f"))
		c.repeat(strings.Repeat("X-Filler: ffffffff\r\n", crowdPieceBytes/20))
	}},
	{"empty lines without end", 64, func(c *crowdClient) {
		c.repeat(strings.Repeat("\r\n", crowdPieceBytes/2))
	}},
	{"empty lines before a request", 64, func(c *crowdClient) {
		if c.repeatTimes("\r\n", 8<<20) {
			c.write(c.lengthHead(2) + "{}")
		}
	}},
	{"chunk extensions without end", 64, func(c *crowdClient) {
		c.write(c.chunkedHead() + "2;")
		c.repeat(strings.Repeat("e", crowdPieceBytes))
	}},
	{"trailer line without end", 64, func(c *crowdClient) {
		c.write(c.chunkedHead() + "2\r\n{}\r\n0\r\nX-Filler: ")
		c.repeat(strings.Repeat("t", crowdPieceBytes))
	}},
	{"trailer lines without end", 64, func(c *crowdClient) {
		c.write(c.chunkedHead() + "2\r\n{}\r\n0\r\n")
		c.repeat(strings.Repeat("X-Filler: tttttttt\r\n", crowdPieceBytes/20))
	}},
	{"spaces after a chunk's size without end", 64, func(c *crowdClient) {
		c.write(c.chunkedHead() + "2")
		c.repeat(strings.Repeat(" ", crowdPieceBytes))
	}},
	{"large chunks, one byte short", 64, func(c *crowdClient) {
		c.write(c.chunkedHead())
		for range 3 {
			if !sendChunk(c, 1<<20) {
				return
			}
		}
		c.write(fmt.Sprintf("%x\r\n", 1<<20))
		c.repeatTimes("b", 1<<20-1)
	}},
	{"chunks of one byte", 64, func(c *crowdClient) {
		c.write(c.chunkedHead())
		c.repeatTimes("1\r\nb\r\n", 1_000_000)
	}},
	{"chunks without end", 64, func(c *crowdClient) {
		c.write(c.chunkedHead())
		c.repeat(fmt.Sprintf("%x\r\n%s\r\n", crowdPieceBytes, strings.Repeat("b", crowdPieceBytes)))
	}},
	{"body far over the limit announced", 64, func(c *crowdClient) {
		c.write(c.lengthHead(256 << 20))
		c.repeat(strings.Repeat("b", crowdPieceBytes))
	}},
	{"body four times the limit, one byte short", 64, func(c *crowdClient) {
		c.write(c.lengthHead(4 * crowdBodyLimit))
		c.repeatTimes("b", 4*crowdBodyLimit-1)
	}},
	{"body one byte short", 64, func(c *crowdClient) {
		c.write(c.lengthHead(crowdBodyLimit))
		c.repeatTimes("b", crowdBodyLimit-1)
	}},
	{"body one byte short after 100-continue", 64, func(c *crowdClient) {
		c.write(c.door.head(fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d", crowdBodyLimit)) + "\r\n")
		c.repeatTimes("b", crowdBodyLimit-1)
	}},
	{"bodies announced, nothing sent", 256, func(c *crowdClient) {
		c.write(c.lengthHead(crowdBodyLimit))
	}},
	{"large chunks announced, nothing sent", 256, func(c *crowdClient) {
		c.write(c.chunkedHead() + fmt.Sprintf("%x\r\n", crowdBodyLimit))
	}},
	{"head in small pieces", 64, func(c *crowdClient) {
		c.sendInPieces(c.headOf(crowdHeadBytes))
	}},
	{"pipelined head in small pieces", 64, func(c *crowdClient) {
		head := c.headOf(crowdHeadBytes)
		c.write(c.lengthHead(2) + "{}" + head[:1])
		if c.readAnswer() {
			c.sendInPieces(head[1:])
		}
	}},
	{"heads one byte short", 1500, func(c *crowdClient) {
		c.write(c.headOf(crowdHeadBytes))
	}},
	{"whole bodies, then idle", 600, func(c *crowdClient) {
		c.write(c.lengthHead(crowdSmallBodyBytes))
		if c.repeatTimes("b", crowdSmallBodyBytes) {
			c.readAnswer()
		}
	}},
	{"whole heads in small pieces, then idle", 64, func(c *crowdClient) {
		c.sendInPieces(c.headOf(crowdHeadBytes) + "\r\n\r\n{}")
	}},
	{"pipelined requests, answers not read", 64, func(c *crowdClient) {
		c.repeat(strings.Repeat(c.lengthHead(2)+"{}", 100))
	}},
}
