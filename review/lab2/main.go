// Command review-lab2 runs one case of the second review: the project's own processes on loopback
// addresses, with stand-ins for the members, the platform, the operator and the requesters.
//
//	review-lab2 CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

// outcome is the result of a case, as its exit status.
type outcome int

const (
	held   outcome = 0
	broken outcome = 1
	unrun  outcome = 2
)

var cases = map[string]func(f *fleet, trouble bool) outcome{
	"lost-log":     lostLog,
	"old-primary":  oldPrimary,
	"large-answer": largeAnswer,
	"lost-answer":  lostAnswer,
	"unanswered":   unanswered,
	"behind":       behind,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab2 CASE PROGRAM RECORD")
		os.Exit(int(unrun))
	}
	os.Exit(int(run(os.Args[1], os.Args[2], os.Args[3])))
}

func run(name, program, path string) outcome {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unrun
	}
	f, err := newFleet(rec, program, 3, 3)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unrun
	}
	defer f.close()
	time.AfterFunc(100*time.Second, func() {
		rec.add("the case took too long")
		f.close()
		os.Exit(int(unrun))
	})
	result := cases[name](f, os.Getenv("TROUBLE") != "0")
	rec.add("result: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[result])
	fmt.Println(name+":", [...]string{"the rule held", "the rule was broken", "the case could not run"}[result])
	return result
}
