package ctsql

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Parts of the patterns of rules. Each has one capture group. An operand is a string, a
// number or a parameter such as $1.
const (
	identifier = `([a-z_][a-z0-9_]*)`
	operand    = `('(?:[^']|'')*'|-?[0-9]+(?:\.[0-9]+)?|\$[0-9]+)`
)

// rule describes one kind of statement. If a text matches pattern, make receives the
// match followed by its capture groups.
type rule struct {
	pattern *regexp.Regexp
	make    func(parts []string) Statement
}

// rules are tried in order; the first one that matches is used.
var rules = []rule{
	{pattern(`select value from ` + identifier + ` where key = ` + operand), func(p []string) Statement {
		return Select{Table: p[1], Key: parseValue(p[2])}
	}},
	{pattern(`select key, value from ` + identifier), func(p []string) Statement {
		return SelectAll{Table: p[1]}
	}},
	{pattern(`select count\(\*\) from ` + identifier + ` where key = ` + operand), func(p []string) Statement {
		return Count{Table: p[1], Key: parseValue(p[2]), HasKey: true}
	}},
	{pattern(`select count\(\*\) from ` + identifier), func(p []string) Statement {
		return Count{Table: p[1]}
	}},
	{pattern(`select pg_sleep\(` + operand + `\)`), func(p []string) Statement {
		return Sleep{Seconds: parseValue(p[1])}
	}},
	{pattern(`select 1/0`), func([]string) Statement { return DivideByZero{} }},
	{pattern(`select ` + operand), func(p []string) Statement {
		return SelectLiteral{Value: parseValue(p[1])}
	}},
	{pattern(`insert into ` + identifier + ` ?\(key, value\) values ?\(` + operand + `, ` + operand + `\)`),
		func(p []string) Statement {
			return Insert{Table: p[1], Key: parseValue(p[2]), Value: parseValue(p[3])}
		}},
	{pattern(`update ` + identifier + ` set value = ` + operand + ` where key = ` + operand), func(p []string) Statement {
		return Update{Table: p[1], Value: parseValue(p[2]), Key: parseValue(p[3])}
	}},
	{pattern(`delete from ` + identifier + ` where key = ` + operand), func(p []string) Statement {
		return Delete{Table: p[1], Key: parseValue(p[2])}
	}},
	{pattern(`(?:begin|start transaction)(?: transaction)?(.*)`), func(p []string) Statement {
		return Begin{ReadOnly: strings.Contains(strings.ToLower(p[1]), "read only")}
	}},
	{pattern(`(?:commit|end)(?: transaction| work)?`), func([]string) Statement { return Commit{} }},
	{pattern(`(?:rollback|abort)(?: transaction| work)?`), func([]string) Statement { return Rollback{} }},
	{pattern(`set transaction .+`), func([]string) Statement { return SetTransaction{} }},
	{pattern(`show ([a-z_.]+)`), func(p []string) Statement { return Show{Name: p[1]} }},
	{pattern(`set ([a-z_.]+) (?:=|to) (.+)`), func(p []string) Statement {
		return Set{Name: p[1], Value: strings.Trim(p[2], "'")}
	}},
	{pattern(`set local ([a-z_.]+) (?:=|to) (.+)`), func(p []string) Statement {
		return Set{Name: p[1], Value: strings.Trim(p[2], "'"), Local: true}
	}},
	{pattern(`discard all`), func([]string) Statement { return Discard{} }},
	{pattern(`copy .+`), func([]string) Statement { return Copy{} }},
	{pattern(`select pg_try_advisory_lock\([0-9]+\)`), func([]string) Statement { return TryAdvisoryLock{} }},
	{pattern(`select count\(\*\) from pg_stat_activity where .* <> '([^']*)'`), func(p []string) Statement {
		return CountOtherHolders{Except: p[1]}
	}},
	{pattern(`select count\(pg_terminate_backend\(pid\)\) from pg_stat_activity where .* <> '([^']*)'`),
		func(p []string) Statement { return TerminateOthers{Except: p[1]} }},
	{pattern(`select group_fence\(([0-9]+)\)`), func(p []string) Statement {
		return Fence{Term: parseNumber(p[1])}
	}},
	{pattern(`select group_promote\(([0-9]+)\)`), func(p []string) Statement {
		return Promote{Term: parseNumber(p[1])}
	}},
	{pattern(`select group_follow\(([0-9]+), ([0-9]+), '([^']+)'\)`), func(p []string) Statement {
		return Follow{Term: parseNumber(p[1]), TermStart: parseNumber(p[2]), Address: p[3]}
	}},
	{pattern(`select entry from group_log\(([0-9]+), ([0-9]+)\)`), func(p []string) Statement {
		return ReadLog{Term: parseNumber(p[1]), From: parseNumber(p[2])}
	}},
}

// pattern compiles an expression that must match a whole statement, without regard
// to case.
func pattern(text string) *regexp.Regexp {
	return regexp.MustCompile(`(?is)^` + text + `$`)
}

// Parse returns the statements of a text, which are separated by semicolons. Empty
// statements are left out. It returns an error of the kind cterror.Invalid if any
// statement is not supported.
func Parse(text string) ([]Statement, error) {
	var statements []Statement
	for _, part := range splitStatements(text) {
		statement, err := parseStatement(part)
		if err != nil {
			return nil, err
		}
		statements = append(statements, statement)
	}
	return statements, nil
}

func parseStatement(text string) (Statement, error) {
	if text == ctserver.StatusQuery {
		return ReadStatus{}, nil
	}
	for _, r := range rules {
		if parts := r.pattern.FindStringSubmatch(text); parts != nil {
			return r.make(parts), nil
		}
	}
	return nil, cterror.Newf(cterror.Invalid, "use a statement that the stand-in knows", "syntax error at %q", text)
}

// splitStatements splits a text at the semicolons outside of quotes.
func splitStatements(text string) []string {
	var parts []string
	quoted := false
	start := 0
	for i := range len(text) {
		switch text[i] {
		case '\'':
			quoted = !quoted
		case ';':
			if !quoted {
				parts = appendNonEmpty(parts, text[start:i])
				start = i + 1
			}
		}
	}
	return appendNonEmpty(parts, text[start:])
}

// appendNonEmpty trims a text and appends it, unless it is empty.
func appendNonEmpty(parts []string, text string) []string {
	text = strings.TrimSpace(text)
	if text == "" {
		return parts
	}
	return append(parts, text)
}

// parseValue parses an operand. It removes the quotes of a string.
func parseValue(text string) Value {
	if strings.HasPrefix(text, "$") {
		return Value{Parameter: int(parseNumber(text[1:]))}
	}
	if strings.HasPrefix(text, "'") {
		text = strings.ReplaceAll(text[1:len(text)-1], "''", "'")
	}
	return Value{Text: text}
}

// parseNumber parses a group of digits. It returns 0 if the number is too large.
func parseNumber(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// ParameterCount returns the highest parameter number in a statement, or 0 if the
// statement has no parameters or is nil.
func ParameterCount(statement Statement) int {
	highest := 0
	for _, v := range valuesOf(statement) {
		highest = max(highest, v.Parameter)
	}
	return highest
}

// valuesOf returns the operands of a statement.
func valuesOf(statement Statement) []Value {
	switch s := statement.(type) {
	case Select:
		return []Value{s.Key}
	case Count:
		return []Value{s.Key}
	case SelectLiteral:
		return []Value{s.Value}
	case Sleep:
		return []Value{s.Seconds}
	case Insert:
		return []Value{s.Key, s.Value}
	case Update:
		return []Value{s.Key, s.Value}
	case Delete:
		return []Value{s.Key}
	}
	return nil
}
