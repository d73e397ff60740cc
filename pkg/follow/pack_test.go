package follow

import (
	"bytes"
	"compress/gzip"
	"errors"
	"testing"
)

// Guards against a copy of which only the beginning is taken, as if the rest had been deleted.
func TestCopyAboveTheLimitIsAnError(t *testing.T) {
	var packed bytes.Buffer
	compressor, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	// Many empty fields: the copy's beginning is a valid copy too.
	part := bytes.Repeat([]byte{0x7a, 0}, 1<<19)
	for range maxUnpackedBytes/len(part) + 1 {
		if _, err := compressor.Write(part); err != nil {
			t.Fatal(err)
		}
	}
	if err := compressor.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := unpack(packed.Bytes()); !errors.Is(err, errCopyTooLong) {
		t.Errorf("error is %v, want %v", err, errCopyTooLong)
	}
}
