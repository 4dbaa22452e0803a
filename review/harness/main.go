// Command harness starts a small deployment on loopback addresses, with stand-ins for
// the platform, its minions and its clients, and checks one rule of the users' pages.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// cases are the checks by name. Each returns what breaks the rule, or nothing. Without
// trouble it leaves the disruption out.
var cases = map[string]func(r *record, trouble bool) (broken []string, err error){
	"suspended-entry": suspendedEntry,
	"large-bodies":    largeBodies,
	"other-writer":    otherWriter,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and writes its record into a folder.
func play(name, folder string) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer out.Close()
	broken, err := cases[name](&record{began: time.Now(), out: out}, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	case len(broken) > 0:
		for _, b := range broken {
			fmt.Println("broken:", b)
			fmt.Fprintln(out, "broken:", b)
		}
		return exitBroken
	}
	fmt.Println("held")
	fmt.Fprintln(out, "held")
	return exitHeld
}
