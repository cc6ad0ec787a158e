package ctstatement

import "strings"

// scan returns the words of the first statement in upper case, without quoted
// parts and comments, and whether more statements follow it.
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

// scanner walks over an SQL text.
type scanner struct {
	text string
	pos  int
}

// skipSpaceAndComments moves past white space and comments and reports whether text is left.
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

// skipComment moves past a comment, which may hold others.
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

// token reads one word, quoted part or sign. A quoted part is returned as a
// single quote, so that its content is never taken for a word.
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

// isEscapeString reports whether the quote at the place start belongs to a string
// with backslash escapes, such as E'it\'s'.
func (s *scanner) isEscapeString(quote int) bool {
	if quote == 0 || (s.text[quote-1] != 'E' && s.text[quote-1] != 'e') {
		return false
	}
	return quote == 1 || !isWordByte(s.text[quote-2])
}

// skipQuoted moves past a quoted part in which the quote is written twice.
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

// skipDollarQuoted moves past a dollar-quoted part and reports whether there is one.
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
