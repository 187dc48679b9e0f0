// Command policy prints how server selection, the rank queue and hedging behave under
// load and faults, in comparison with simple baselines. It runs the decision code of
// the product in virtual time; the same seed prints the same tables.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// defaultSeed is the seed without --seed.
const defaultSeed = 1

func main() {
	seed := uint64(defaultSeed)
	asJSON := false
	table := "all"
	seconds := 20
	flaggy.SetName("policy")
	flaggy.SetDescription("tables of the policy under load, in virtual time")
	flaggy.UInt64(&seed, "", "seed", "seed of all random choices")
	flaggy.Bool(&asJSON, "", "json", "print JSON in place of text")
	flaggy.String(&table, "", "table", "quick, load, faults, work, shared, flood or all")
	flaggy.Int(&seconds, "", "seconds", "measured virtual seconds of each run")
	flaggy.Parse()

	tables, err := build(table, seed, seconds)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if asJSON {
		err = json.NewEncoder(os.Stdout).Encode(tables)
	} else {
		err = printText(os.Stdout, tables)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
