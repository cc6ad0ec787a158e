/*
Package cttext draws texts of callers for the labs: any bytes that the line protocol can carry,
and some that it can't. The texts look like the protocol's own words, like names that the
product makes, or like nothing at all.

# Usage

	item := cttext.Word(random, "1a4")      // a field in the middle: no blank
	shape := cttext.Field(random, "q5")     // the last field: any text but a line feed
	query := cttext.Unsendable(random, "READ 1a4") // has a line feed
*/
package cttext

import (
	"math/rand/v2"
	"strings"

	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

const (
	// plainShare is how many texts there are for each plain one.
	plainShare = 3
	// longShare is how many odd texts there are for each long one, and longBytes its length.
	longShare = 40
	longBytes = 20 << 10
)

// words are texts without blanks that look like something else.
var words = []string{
	"-", "\r", "\r\r", "\x00", "\x00\x01\x1b\x7f", "\t", "\v\f", "\xff\xfe", "\xc3(", "\u00a0", "\u2028", "\u0085",
	"READ", ctpeer.KeywordMinPoint, "COMMIT", "r_q5", "w_q5a", "s1", "s_1", "p1",
	"d41d8cd98f00b204e9800998ecf8427e", "%s%n", "%0d%0a", `"`,
	"{}", "\u00fcml\u00e4ut",
}

// phrases are texts with blanks that look like something else.
var phrases = []string{
	"q5 READ im", "q5 READ im READ q5 READ im", "READ q5", "WRITE q5 x", ctpeer.KeywordMinPoint + " 9.9 READ x",
	"QUERY b WRITE y 1",
	"COMPLETE -", "READY I -", "ROW x", "ERROR RETRY -", "- STATUS", "r_q5 READ im", "SET n v", " ", "  a  b  ",
}

// Word draws a field that is followed by another one. Some are plain.
func Word(random *rand.Rand, plain string) string {
	if random.IntN(plainShare) == 0 {
		return plain
	}
	word := words[random.IntN(len(words))]
	switch random.IntN(4) {
	case 0:
		return word
	case 1:
		return word + plain
	case 2:
		return plain + word
	}
	return plain + word + plain
}

// Field draws the last field of a line. It is not empty, and some are plain.
func Field(random *rand.Rand, plain string) string {
	if random.IntN(plainShare) == 0 {
		return plain
	}
	text := phrases[random.IntN(len(phrases))]
	if random.IntN(2) == 0 {
		text = words[random.IntN(len(words))]
	}
	if random.IntN(longShare) == 0 {
		text = strings.Repeat(text, longBytes/len(text))
	}
	switch random.IntN(6) {
	case 0:
		return text
	case 1:
		return plain + text
	case 2:
		return text + plain
	case 3:
		return plain + " " + text
	case 4:
		return " " + plain + text + " "
	}
	return plain + text + "\r"
}

// Unsendable draws a text that has line feeds without a CR before them, made of a statement. No
// member can receive it as it is.
func Unsendable(random *rand.Rand, statement string) string {
	feeds := []string{"\n", "\nQUERY b WRITE y 1", "\n\n", "\nCOMMIT\n", "\x00\n", "\n\r"}
	return statement + feeds[random.IntN(len(feeds))]
}

// Printable returns a random text of UTF-8 characters that end lines or separate words in some
// protocols, and others.
func Printable(random *rand.Rand) string {
	letters := []rune("ab \t\r\n\x01\x7f;'\"\\é")
	var text strings.Builder
	for range 1 + random.IntN(20) {
		text.WriteRune(letters[random.IntN(len(letters))])
	}
	return text.String()
}

// Quote returns the SQL literal of a text.
func Quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
