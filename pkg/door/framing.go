package door

import (
	"bytes"
	"errors"
)

// Errors in a request's framing. If two HTTP implementations disagree on where such a
// request ends, part of one client's data is read as another request (request
// smuggling). It is therefore answered with status 400 and its connection closed.
var (
	errBareLineFeed      = errors.New("header line ends with a line feed without a carriage return")
	errFoldedLine        = errors.New("folded header line")
	errRepeatedFraming   = errors.New("more than one Content-Length or Transfer-Encoding header")
	errLengthAndChunked  = errors.New("both a length and chunks")
	errInvalidLength     = errors.New("Content-Length is not digits only")
	errTransferCoding    = errors.New("Transfer-Encoding is not chunked")
	errInvalidHeaderName = errors.New("header line without a valid name")
	errControlChars      = errors.New("carriage return or NUL within a header line")
)

// checkFraming checks a request's raw header lines.
func checkFraming(raw []byte) error {
	numLengths, numCodings := 0, 0
	for len(raw) > 0 {
		end := bytes.IndexByte(raw, '\n')
		if end < 0 {
			end = len(raw)
		}
		line := raw[:end]
		raw = raw[min(end+1, len(raw)):]
		if end > 0 && line[len(line)-1] == '\r' {
			line = line[:len(line)-1]
		} else if end > 0 {
			return errBareLineFeed
		}
		if len(line) == 0 {
			break
		}
		if err := checkLine(line, &numLengths, &numCodings); err != nil {
			return err
		}
	}
	switch {
	case numLengths > 1 || numCodings > 1:
		return errRepeatedFraming
	case numLengths > 0 && numCodings > 0:
		return errLengthAndChunked
	}
	return nil
}

func checkLine(line []byte, numLengths, numCodings *int) error {
	if line[0] == ' ' || line[0] == '\t' {
		return errFoldedLine
	}
	if bytes.ContainsAny(line, "\r\x00") {
		return errControlChars
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return errInvalidHeaderName
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		*numLengths++
		if len(value) == 0 || len(bytes.Trim(value, "0123456789")) > 0 {
			return errInvalidLength
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		*numCodings++
		if !bytes.EqualFold(value, []byte("chunked")) {
			return errTransferCoding
		}
	}
	return nil
}
