package test

import (
	"testing"

	"github.com/pelletier/go-toml/v2"

	"github.com/lavenderring/lavenderring/pkg/document"
)

// encodeDocument returns a document as the TOML text that operators write.
func encodeDocument(t testing.TB, doc *document.Document) []byte {
	t.Helper()
	text, err := toml.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
