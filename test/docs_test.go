package test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// readFiles returns the contents of all files that match pattern, joined.
func readFiles(t *testing.T, pattern string) string {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		t.Fatalf("%s: %v, %d files", pattern, err, len(paths))
	}
	var text strings.Builder
	for _, path := range paths {
		read, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		text.Write(read)
	}
	return text.String()
}

// Every word of docs/GLOSSARY.md must occur in the code: an entry for a word that the code does not use
// misleads its reader.
func TestGlossaryWordsAreInTheCode(t *testing.T) {
	code := strings.ToLower(readFiles(t, "../pkg/*/*.go") + readFiles(t, "../pkg/*/*/*.go"))
	for _, line := range strings.Split(readFiles(t, "../docs/GLOSSARY.md"), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 3 || strings.Contains(cells[1], "---") || strings.TrimSpace(cells[1]) == "word" {
			continue
		}
		for _, word := range strings.Split(cells[1], ",") {
			word, _, _ = strings.Cut(strings.TrimSpace(word), " (")
			if !strings.Contains(code, word) {
				t.Errorf("glossary word %q does not occur in the code", word)
			}
		}
	}
}

// Every test and every safeguard that docs/PROOFS.md names must exist.
func TestProofsNameTestsThatExist(t *testing.T) {
	code := readFiles(t, "../pkg/*/*_test.go") + readFiles(t, "../pkg/*/*/*_test.go") + readFiles(t, "../platform/*_test.go") + readFiles(t, "*_test.go")
	script := readFiles(t, "../scripts/safeguards.sh")
	for _, line := range strings.Split(readFiles(t, "../docs/PROOFS.md"), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 6 {
			continue
		}
		for _, word := range strings.FieldsFunc(cells[3], func(r rune) bool { return strings.ContainsRune(" ,;`()", r) }) {
			if strings.HasPrefix(word, "Test") && !strings.Contains(code, "func "+word+"(") {
				t.Errorf("docs/PROOFS.md names %s, which does not exist", word)
			}
		}
		for _, name := range strings.FieldsFunc(cells[4], func(r rune) bool { return strings.ContainsRune(" ,", r) }) {
			if strings.Contains(name, "-") && !strings.HasPrefix(name, "--") && !strings.Contains(script, "try "+name+" ") {
				t.Errorf("docs/PROOFS.md names the safeguard %s, which scripts/safeguards.sh does not have", name)
			}
		}
	}
}

// README.md is the index of the packages and must name each of them.
func TestReadmeNamesEveryPackage(t *testing.T) {
	readme := readFiles(t, "../README.md")
	entries, err := os.ReadDir("../pkg")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if !strings.Contains(readme, "`"+entry.Name()+"`") {
			t.Errorf("README.md does not name %s", entry.Name())
		}
	}
}
