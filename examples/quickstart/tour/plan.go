package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/loopback"
	"chestnutrouter.example/chestnutrouter/internal/settings"
)

const (
	planFile        = "plan.json"
	envFile         = "plan.env"
	walkthroughFile = "walk.env"

	// Short times, because the quick start soon stops its entries.
	addressTTLMs = 300
	keepAliveMs  = 300
	drainLimitMs = 5_000
)

// plan lists the processes of the quick start.
type plan struct {
	// Platform is the address of the stand-in platform.
	Platform string `json:"platform"`
	// VMs are the entries and the backend servers.
	VMs []fleet.VM `json:"vms"`
}

// plannedVMs are the VMs, without addresses. writePlan assigns the addresses.
var plannedVMs = []fleet.VM{
	{Name: "entry-1", Zone: "zone-a", Service: fleet.EntryService},
	{Name: "entry-2", Zone: "zone-b", Service: fleet.EntryService},
	{Name: "entry-3", Zone: "zone-c", Service: fleet.EntryService},
	{Name: "shop-1", Zone: "zone-a", Service: "glazenpot/shop"},
	{Name: "shop-2", Zone: "zone-b", Service: "glazenpot/shop"},
	{Name: "shop-3", Zone: "zone-c", Service: "glazenpot/shop"},
	{Name: "intake-1", Zone: "zone-a", Service: "glazenpot/intake"},
	{Name: "booking-1", Zone: "zone-b", Service: "tabloblan/booking"},
	{Name: "booking-2", Zone: "zone-c", Service: "tabloblan/booking"},
	{Name: "archive-1", Zone: "zone-a", Service: "tabloblan/archive"},
}

// writePlan assigns free loopback addresses to all VMs. It writes the plan, the
// entries' settings, and the shell variables of run.sh and of the operators'
// walkthrough.
func writePlan(_ context.Context, dir string) error {
	var errs []error
	address := func() string {
		next, err := loopback.Next()
		errs = append(errs, err)
		return next.String()
	}
	p := plan{Platform: address()}
	for _, vm := range plannedVMs {
		vm.State = fleet.Live
		vm.Address = address()
		if vm.Service == fleet.EntryService {
			vm.PeerAddress = address()
			vm.StatusAddress = address()
		}
		p.VMs = append(p.VMs, vm)
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for _, vm := range p.entries() {
		if err := writeJSON(filepath.Join(dir, vm.Name+".jsonc"), p.settingsOf(vm)); err != nil {
			return err
		}
	}
	if err := writeJSON(filepath.Join(dir, planFile), p); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, walkthroughFile), []byte(p.walkthroughEnv(dir)), 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, envFile), []byte(p.env()), 0o600)
}

func readPlan(dir string) (plan, error) {
	var p plan
	data, err := os.ReadFile(filepath.Join(dir, planFile))
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(data, &p)
}

func (p *plan) entries() []fleet.VM {
	var found []fleet.VM
	for _, vm := range p.VMs {
		if vm.Service == fleet.EntryService {
			found = append(found, vm)
		}
	}
	return found
}

func (p *plan) settingsOf(vm fleet.VM) settings.Settings {
	s := settings.Default()
	s.VM = vm.Name
	s.Zone = vm.Zone
	s.CallerAddress = vm.Address
	s.PeerAddress = vm.PeerAddress
	s.StatusAddress = vm.StatusAddress
	s.PlatformEndpoints = []string{"http://" + p.Platform}
	s.Peers = []string{}
	s.AddressTTLMs = addressTTLMs
	s.KeepAliveMs = keepAliveMs
	s.DrainLimitMs = drainLimitMs
	for _, other := range p.entries() {
		if other.Name != vm.Name {
			s.Peers = append(s.Peers, other.PeerAddress)
		}
	}
	return s
}

// env returns the plan as shell variables.
func (p *plan) env() string {
	var entries, servers []string
	for _, vm := range p.VMs {
		if vm.Service == fleet.EntryService {
			entries = append(entries, vm.Name)
			continue
		}
		servers = append(servers, vm.Name+"="+vm.Address)
	}
	return fmt.Sprintf("PLATFORM=%q\nENTRIES=%q\nSERVERS=%q\n",
		p.Platform, strings.Join(entries, " "), strings.Join(servers, " "))
}

// walkthroughEnv returns the shell variables of the operators' walkthrough: PATH with
// the programs, the platform's URL, and for each entry its status address as
// $STATUS_entry_N and its address for callers as $CALLER_entry_N.
func (p *plan) walkthroughEnv(dir string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "export PATH=%q:$PATH\n", dir)
	fmt.Fprintf(&b, "export CHESTNUT_PLATFORM=%q\n", "http://"+p.Platform)
	for _, vm := range p.entries() {
		name := strings.ReplaceAll(vm.Name, "-", "_")
		fmt.Fprintf(&b, "export STATUS_%s=%q CALLER_%s=%q\n", name, vm.StatusAddress, name, vm.Address)
	}
	return b.String()
}

func writeJSON(file string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}
