package ctsql

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// The parts of the patterns below.
const (
	identifier = `([a-z_][a-z0-9_]*)`
	operand    = `('(?:[^']|'')*'|-?[0-9]+(?:\.[0-9]+)?|\$[0-9]+)`
)

// rule makes a statement of the parts that a pattern found.
type rule struct {
	pattern *regexp.Regexp
	make    func(parts []string) Statement
}

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
	{pattern(`set ([a-z_.]+) (?:=|to) (.+)`), func(p []string) Statement {
		return Set{Name: p[1], Value: strings.Trim(p[2], "'")}
	}},
	{pattern(`set local ([a-z_.]+) (?:=|to) (.+)`), func(p []string) Statement {
		return Set{Name: p[1], Value: strings.Trim(p[2], "'")}
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
		return Follow{Term: parseNumber(p[1]), Start: parseNumber(p[2]), Address: p[3]}
	}},
	{pattern(`select entry from group_log\(([0-9]+), ([0-9]+)\)`), func(p []string) Statement {
		return ReadLog{Term: parseNumber(p[1]), From: parseNumber(p[2])}
	}},
}

func pattern(text string) *regexp.Regexp {
	return regexp.MustCompile(`(?is)^` + text + `$`)
}

// Parse reads the statements of a text, which are separated by semicolons.
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

// splitStatements cuts a text at the semicolons that are not quoted.
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

func appendNonEmpty(parts []string, text string) []string {
	text = strings.TrimSpace(text)
	if text == "" {
		return parts
	}
	return append(parts, text)
}

func parseValue(text string) Value {
	if strings.HasPrefix(text, "$") {
		return Value{Parameter: int(parseNumber(text[1:]))}
	}
	if strings.HasPrefix(text, "'") {
		text = strings.ReplaceAll(text[1:len(text)-1], "''", "'")
	}
	return Value{Text: text}
}

// parseNumber reads digits that a pattern found; one that is too large reads as 0.
func parseNumber(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// ParameterCount returns the number of the highest parameter of a statement.
func ParameterCount(statement Statement) int {
	highest := 0
	for _, v := range valuesOf(statement) {
		highest = max(highest, v.Parameter)
	}
	return highest
}

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
