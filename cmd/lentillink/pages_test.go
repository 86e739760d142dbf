package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
)

const repoRoot = "../.."

// codeBlock is one fenced sh block of a documentation page. Kind is empty if the
// commands are only parsed, "run" if they are run, and "background" if each line
// runs until the test ends.
type codeBlock struct {
	page string
	kind string
	text string
}

var fencedBlock = regexp.MustCompile("(?ms)^```sh *([a-z]*)\n(.*?)^```$")

func pageBlocks(t *testing.T, page string) []codeBlock {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(repoRoot, page))
	if err != nil {
		t.Fatal(err)
	}
	var out []codeBlock
	for _, m := range fencedBlock.FindAllStringSubmatch(string(data), -1) {
		out = append(out, codeBlock{page: page, kind: m[1], text: m[2]})
	}
	return out
}

func pages(t *testing.T) []string {
	t.Helper()
	out := []string{"README.md", "CHANGELOG.md"}
	docs, err := filepath.Glob(filepath.Join(repoRoot, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range docs {
		out = append(out, filepath.Join("docs", filepath.Base(d)))
	}
	return out
}

// commands returns the lines of a block as words, with continued lines joined.
func (b codeBlock) commands() [][]string {
	var out [][]string
	for _, line := range strings.Split(strings.ReplaceAll(b.text, "\\\n", " "), "\n") {
		if words := shellWords(line); len(words) > 0 {
			out = append(out, words)
		}
	}
	return out
}

// shellWords splits a line at spaces outside quotes and drops redirections.
func shellWords(line string) []string {
	var out []string
	var word strings.Builder
	var quote rune
	inWord := false
	for _, c := range line + " " {
		switch {
		case quote != 0 && c == quote:
			quote = 0
		case quote != 0:
			word.WriteRune(c)
		case c == '\'' || c == '"':
			quote, inWord = c, true
		case c == ' ' && inWord:
			out = append(out, word.String())
			word.Reset()
			inWord = false
		case c != ' ':
			word.WriteRune(c)
			inWord = true
		}
	}
	for i, w := range out {
		if w == ">" {
			return out[:i]
		}
	}
	return out
}

// parseArgs checks the arguments of lentillink without running the command.
func parseArgs(args []string) error {
	p := newParser()
	p.CommandHandler = func(flags.Commander, []string) error { return nil }
	_, err := p.ParseArgs(args)
	return err
}

// TestPagesNameExistingCommands guards against a page that shows a command,
// option, address or package that does not exist.
func TestPagesNameExistingCommands(t *testing.T) {
	checked := 0
	for _, page := range pages(t) {
		for _, b := range pageBlocks(t, page) {
			for _, words := range b.commands() {
				checked++
				if err := checkCommand(words); err != nil {
					t.Errorf("%s: %q: %v", page, strings.Join(words, " "), err)
				}
			}
		}
	}
	if checked == 0 {
		t.Error("got no command on any page")
	}
}

// TestPagesCheckRefuses guards against a check that accepts invalid commands.
func TestPagesCheckRefuses(t *testing.T) {
	for _, line := range []string{
		"lentillink nothing", "lentillink status --nothing", "lentillink query '{}'", "lentillink experiment nothing", "rm -r x",
		"lentillinkd --nothing", "curl http://127.0.0.1:9010/v2/query", "curl http://example.com/readyz", "go test ./nothing", "",
	} {
		if checkCommand(shellWords(line)) == nil {
			t.Errorf("%q: accepted, want an error", line)
		}
	}
}
