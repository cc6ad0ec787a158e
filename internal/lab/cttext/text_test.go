package cttext

import (
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// assertTexts checks many texts for what their place in a line allows.
func assertTexts(t *testing.T, draw func(*rand.Rand, string) string, allowed func(text string) bool) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 0))
	drawn := make(map[string]bool)
	for range 2000 {
		text := draw(random, "q")
		assert.Assert(t, text != "" && allowed(text), "%q", text)
		drawn[text] = true
	}
	assert.Assert(t, len(drawn) > 5 && (drawn["q"] || drawn["q\n"]))
}

func TestTexts(t *testing.T) {
	t.Run("a word has no blank", func(t *testing.T) {
		assertTexts(t, Word, func(text string) bool { return !strings.ContainsAny(text, " \n") })
	})
	t.Run("a field has no line feed", func(t *testing.T) {
		assertTexts(t, Field, func(text string) bool { return !strings.Contains(text, "\n") })
	})
	t.Run("an unsendable text has line feeds alone", func(t *testing.T) {
		assertTexts(t, Unsendable, func(text string) bool {
			return strings.Contains(text, "\n") && !strings.Contains(text, "\r\n")
		})
	})
}
