package ctstatement

import "strings"

// scan returns the words of the first statement in upper case, without quoted
// parts and comments, and whether more statements follow it.
func scan(text string) (words []string, several bool) {
	s := scanner{text: text}
	ended := false
	for s.skip() {
		if s.text[s.at] == ';' {
			s.at++
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
	at   int
}

// skip moves past white space and comments and reports whether text is left.
func (s *scanner) skip() bool {
	for s.at < len(s.text) {
		switch {
		case isSpace(s.text[s.at]):
			s.at++
		case strings.HasPrefix(s.text[s.at:], "--"):
			s.skipLine()
		case strings.HasPrefix(s.text[s.at:], "/*"):
			s.skipComment()
		default:
			return true
		}
	}
	return false
}

func (s *scanner) skipLine() {
	end := strings.IndexByte(s.text[s.at:], '\n')
	if end < 0 {
		s.at = len(s.text)
		return
	}
	s.at += end + 1
}

// skipComment moves past a comment, which may hold others.
func (s *scanner) skipComment() {
	depth := 0
	for s.at < len(s.text) {
		switch {
		case strings.HasPrefix(s.text[s.at:], "/*"):
			depth++
			s.at += 2
		case strings.HasPrefix(s.text[s.at:], "*/"):
			depth--
			s.at += 2
		default:
			s.at++
		}
		if depth == 0 {
			return
		}
	}
}

// token reads one word, quoted part or sign. A quoted part is returned as a
// single quote, so that its content is never taken for a word.
func (s *scanner) token() string {
	start := s.at
	b := s.text[s.at]
	switch {
	case b == '\'':
		s.skipQuoted('\'', s.escaped(start))
		return "'"
	case b == '"':
		s.skipQuoted('"', false)
		return "'"
	case b == '$' && s.skipDollar():
		return "'"
	case !isWord(b):
		s.at++
		return s.text[start:s.at]
	}
	for s.at < len(s.text) && isWord(s.text[s.at]) {
		s.at++
	}
	return strings.ToUpper(s.text[start:s.at])
}

// escaped reports whether the quote at the place start belongs to a string
// with backslash escapes, such as E'it\'s'.
func (s *scanner) escaped(start int) bool {
	if start == 0 || (s.text[start-1] != 'E' && s.text[start-1] != 'e') {
		return false
	}
	return start == 1 || !isWord(s.text[start-2])
}

// skipQuoted moves past a quoted part in which the quote is written twice.
func (s *scanner) skipQuoted(quote byte, backslash bool) {
	s.at++
	for s.at < len(s.text) {
		b := s.text[s.at]
		s.at++
		switch {
		case backslash && b == '\\':
			s.at = min(s.at+1, len(s.text))
		case b != quote:
		case s.at < len(s.text) && s.text[s.at] == quote:
			s.at++
		default:
			return
		}
	}
}

// skipDollar moves past a dollar-quoted part and reports whether there is one.
func (s *scanner) skipDollar() bool {
	end := s.at + 1
	for end < len(s.text) && isWord(s.text[end]) && s.text[end] != '$' {
		end++
	}
	if end >= len(s.text) || s.text[end] != '$' {
		return false
	}
	tag := s.text[s.at : end+1]
	rest := strings.Index(s.text[end+1:], tag)
	if rest < 0 {
		s.at = len(s.text)
		return true
	}
	s.at = end + 1 + rest + len(tag)
	return true
}

func isSpace(b byte) bool {
	return b == ' ' || (b >= '\t' && b <= '\r')
}

func isWord(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return b == '_' || b == '$' || b >= 0x80
}
