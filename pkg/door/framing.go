package door

import (
	"bytes"
	"errors"
)

// Faults of a request's framing. Two readers that disagree on where such a
// request ends make one client's bytes another request, so it is answered with
// 400 and its connection closed.
var (
	errBareNewline   = errors.New("line feed without carriage return")
	errFolded        = errors.New("folded header line")
	errLengths       = errors.New("more than one length")
	errLengthChunks  = errors.New("both a length and chunks")
	errLengthDigits  = errors.New("length is not digits only")
	errTransferCode  = errors.New("transfer coding other than chunked")
	errHeaderName    = errors.New("header line without a proper name")
	errControlOctets = errors.New("control octet in a header line")
)

// checkFraming checks a request's header lines as they came.
func checkFraming(raw []byte) error {
	lengths, codings := 0, 0
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
			return errBareNewline
		}
		if len(line) == 0 {
			break
		}
		if err := checkLine(line, &lengths, &codings); err != nil {
			return err
		}
	}
	switch {
	case lengths > 1 || codings > 1:
		return errLengths
	case lengths > 0 && codings > 0:
		return errLengthChunks
	}
	return nil
}

func checkLine(line []byte, lengths, codings *int) error {
	if line[0] == ' ' || line[0] == '\t' {
		return errFolded
	}
	if bytes.ContainsAny(line, "\r\x00") {
		return errControlOctets
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return errHeaderName
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		*lengths++
		if len(value) == 0 || len(bytes.Trim(value, "0123456789")) > 0 {
			return errLengthDigits
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		*codings++
		if !bytes.EqualFold(value, []byte("chunked")) {
			return errTransferCode
		}
	}
	return nil
}
