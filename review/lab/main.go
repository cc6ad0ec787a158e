// Command lab runs one case of the review: it starts the project's processes with stand-ins
// around them and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const timeLimit = 115 * time.Second

func main() {
	os.Exit(run())
}

func run() int {
	cases := map[string]func(*Recorder, bool) error{"stale": runStale, "stop": runStop, "silent": runSilent, "oldprimary": runOldPrimary, "explore": runExplore}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "use: lab CASE RECORD-FILE")
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := NewRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.Log("case %s, trouble %t", os.Args[1], trouble)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](rec, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-done:
	case <-time.After(timeLimit):
		err = fmt.Errorf("the case took too long")
	case <-signals:
		err = fmt.Errorf("interrupted")
	}
	if started != nil {
		started.Close()
	}
	return verdict(rec, err)
}

func verdict(rec *Recorder, err error) int {
	switch {
	case err != nil:
		rec.Log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(rec.Broken) > 0:
		fmt.Println(rec.Broken[0])
		fmt.Println("broken:", len(rec.Broken))
		return 1
	}
	rec.Log("the rule held")
	fmt.Println("the rule held")
	return 0
}
