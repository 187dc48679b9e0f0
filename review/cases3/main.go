// Command cases3 runs the cases of the third review: the program of the deploy file as processes on
// loopback, between stand-ins for callers, backend servers and the platform's store.
//
// With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns the exit status.
var cases = map[string]func(recordFile string, trouble bool) (int, error){
	"directory": removedMachines,
	"foreign":   foreignRecord,
	"islands":   islands,
	"tenants":   lastTenant,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: cases3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	status, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case could not run:", err)
		status = exitNotRun
	}
	os.Exit(status)
}
