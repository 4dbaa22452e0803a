// Command play plays the scripted cases of the review: it starts entries and agents as
// separate processes, with stand-ins for the store, the endpoints and the callers, and
// checks one rule by what the stand-ins see.
package main

import (
	"fmt"
	"os"
)

// Exit statuses, as the cases' scripts return them.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripted cases by name.
var cases = map[string]func(*site, bool) error{
	"cancelled":      playCancelled,
	"changed-kind":   playChangedKind,
	"power-and-kind": playPowerAndKind,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the arguments name, with the disruption unless TROUBLE is 0.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE RECORD")
		return exitFailed
	}
	file, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	rec := newRecord(file)
	s, err := newSite(rec)
	if err == nil {
		defer s.close()
		err = cases[args[0]](s, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		rec.add("could not run: %v", err)
		return exitFailed
	}
	broken, answered := rec.summary()
	fmt.Printf("broken %d times, %d jobs completed\n", broken, answered)
	switch {
	case answered == 0:
		return exitFailed
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}
