package ctstatement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
)

func TestClassify(t *testing.T) {
	for _, c := range []struct {
		text string
		want ctstatement.Class
	}{
		{"", ctstatement.Empty},
		{" ; -- nothing\n;", ctstatement.Empty},
		{"select 1", ctstatement.Select},
		{"/* a /* b */ c */ SELECT 'x; y' ;", ctstatement.Select},
		{"SELECT ';' FROM t; ", ctstatement.Select},
		{"SELECT $tag$ ; INSERT $tag$", ctstatement.Select},
		{`SELECT "for"`, ctstatement.Select},
		{"SELECT E'it\\'s; x'", ctstatement.Select},
		{"SELECT 1; SELECT 2", ctstatement.Write},
		{"SELECT 1; INSERT INTO t VALUES (1)", ctstatement.Write},
		{"SELECT * FROM t FOR UPDATE", ctstatement.Write},
		{"SELECT * INTO u FROM t", ctstatement.Write},
		{"WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x", ctstatement.Write},
		{"INSERT INTO t VALUES ('SELECT')", ctstatement.Write},
		{"begin", ctstatement.Begin},
		{"START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY", ctstatement.BeginReadOnly},
		{"BEGIN READ WRITE", ctstatement.Begin},
		{"COMMIT", ctstatement.End},
		{"ROLLBACK TO SAVEPOINT s", ctstatement.Write},
		{"COMMIT PREPARED 'x'", ctstatement.Write},
		{"SET search_path = x", ctstatement.SessionState},
		{"SET LOCAL search_path = x", ctstatement.Write},
		{"SET TRANSACTION READ ONLY", ctstatement.Write},
		{"LISTEN c", ctstatement.SessionState},
		{"PREPARE TRANSACTION 'x'", ctstatement.Write},
		{"COPY t FROM STDIN", ctstatement.Copy},
		{"SHOW server_version", ctstatement.Select},
	} {
		t.Run(c.text, func(t *testing.T) {
			assert.Equal(t, ctstatement.Classify(c.text).String(), c.want.String())
		})
	}
}

// FuzzClassify checks that Classify does not panic on any text, and that a read
// followed by a write is not classified as a read.
func FuzzClassify(f *testing.F) {
	for _, seed := range []string{"SELECT 1", "/*", "'", "$a$", "E'\\", "--", "select 1;;"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if ctstatement.Classify(text) != ctstatement.Select {
			return
		}
		if ctstatement.Classify(text+"\n;INSERT INTO t VALUES (1)") == ctstatement.Select && hasNoQuoteMarks(text) {
			t.Errorf("a second statement after %q was overlooked", text)
		}
	})
}

// hasNoQuoteMarks reports whether the text has no byte that could begin a quoted
// part or a block comment. Such a part could extend past the end of the text. A
// line comment can't, because FuzzClassify appends a newline.
func hasNoQuoteMarks(text string) bool {
	for i := range len(text) {
		switch text[i] {
		case '\'', '"', '$', '*', '\\':
			return false
		}
	}
	return true
}
