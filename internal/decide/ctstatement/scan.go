package ctstatement

import "strings"

// scan returns the tokens of the first statement that is not empty, and whether
// another statement follows. Words are in upper case and comments are omitted;
// see token for quoted parts.
func scan(text string) (words []string, multiple bool) {
	s := scanner{text: text}
	ended := false
	for s.skipSpaceAndComments() {
		if s.text[s.pos] == ';' {
			s.pos++
			ended = len(words) > 0 || ended
			continue
		}
		if ended {
			return words, true
		}
		words = append(words, s.token())
	}
	return words, false
}

// scanner splits an SQL text into tokens.
type scanner struct {
	text string
	// pos is the byte offset of the next token.
	pos int
}

// skipSpaceAndComments skips white space and comments, and reports whether text
// remains.
func (s *scanner) skipSpaceAndComments() bool {
	for s.pos < len(s.text) {
		switch {
		case isSpaceByte(s.text[s.pos]):
			s.pos++
		case strings.HasPrefix(s.text[s.pos:], "--"):
			s.skipLine()
		case strings.HasPrefix(s.text[s.pos:], "/*"):
			s.skipComment()
		default:
			return true
		}
	}
	return false
}

func (s *scanner) skipLine() {
	end := strings.IndexByte(s.text[s.pos:], '\n')
	if end < 0 {
		s.pos = len(s.text)
		return
	}
	s.pos += end + 1
}

// skipComment skips a block comment. As in PostgreSQL, block comments nest.
func (s *scanner) skipComment() {
	depth := 0
	for s.pos < len(s.text) {
		switch {
		case strings.HasPrefix(s.text[s.pos:], "/*"):
			depth++
			s.pos += 2
		case strings.HasPrefix(s.text[s.pos:], "*/"):
			depth--
			s.pos += 2
		default:
			s.pos++
		}
		if depth == 0 {
			return
		}
	}
}

// token reads one word, quoted part or other byte. It returns a single quote for
// a quoted part, so that the content can't be mistaken for keywords.
func (s *scanner) token() string {
	start := s.pos
	b := s.text[s.pos]
	switch {
	case b == '\'':
		s.skipQuoted('\'', s.isEscapeString(start))
		return "'"
	case b == '"':
		s.skipQuoted('"', false)
		return "'"
	case b == '$' && s.skipDollarQuoted():
		return "'"
	case !isWordByte(b):
		s.pos++
		return s.text[start:s.pos]
	}
	for s.pos < len(s.text) && isWordByte(s.text[s.pos]) {
		s.pos++
	}
	return strings.ToUpper(s.text[start:s.pos])
}

// isEscapeString reports whether the quote at the given offset begins a string
// with backslash escapes, such as E'it\'s'.
func (s *scanner) isEscapeString(quote int) bool {
	if quote == 0 || (s.text[quote-1] != 'E' && s.text[quote-1] != 'e') {
		return false
	}
	return quote == 1 || !isWordByte(s.text[quote-2])
}

// skipQuoted skips a quoted part, in which a doubled quote stands for one quote.
// If backslashEscapes is set, a backslash escapes the byte after it.
func (s *scanner) skipQuoted(quote byte, backslashEscapes bool) {
	s.pos++
	for s.pos < len(s.text) {
		b := s.text[s.pos]
		s.pos++
		switch {
		case backslashEscapes && b == '\\':
			s.pos = min(s.pos+1, len(s.text))
		case b != quote:
		case s.pos < len(s.text) && s.text[s.pos] == quote:
			s.pos++
		default:
			return
		}
	}
}

// skipDollarQuoted skips a dollar-quoted part, such as $tag$text$tag$, and reports
// whether there is one.
func (s *scanner) skipDollarQuoted() bool {
	end := s.pos + 1
	for end < len(s.text) && isWordByte(s.text[end]) && s.text[end] != '$' {
		end++
	}
	if end >= len(s.text) || s.text[end] != '$' {
		return false
	}
	tag := s.text[s.pos : end+1]
	length := strings.Index(s.text[end+1:], tag)
	if length < 0 {
		s.pos = len(s.text)
		return true
	}
	s.pos = end + 1 + length + len(tag)
	return true
}

func isSpaceByte(b byte) bool {
	return b == ' ' || (b >= '\t' && b <= '\r')
}

func isWordByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return b == '_' || b == '$' || b >= 0x80
}
