package tree

import (
	"fmt"
	"path"
	"regexp"
	"slices"
	"strings"

	"chestnutrouter.example/chestnutrouter/internal/finding"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// tokenPattern matches a token of RFC 9110, the syntax of methods and header names.
var tokenPattern = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")

// hostPattern matches a lower-case host name or IPv4 address without a port.
var hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)

// reservedHeaderPrefix is the prefix of the load balancer's own headers, in lower
// case.
const reservedHeaderPrefix = "chestnut-"

func (d *Document) checkRoot() finding.List {
	var found finding.List
	report := d.reporter(&found)
	root := d.Root
	checkNames(root.Members, "members[%d]", "", report)
	if len(root.Members) == 0 {
		report("members", "expected at least one member")
	}
	if len(root.Members) > 0 && root.Quorum > len(root.Members) {
		report("quorum", fmt.Sprintf("out of range: %d is more than the %d members", root.Quorum, len(root.Members)))
	}
	checkRegions(root.Regions, report)
	checkRanks(root.Ranks, report)
	return found
}

func checkRanks(ranks []RankDefaults, report reporter) {
	if len(ranks) == 0 {
		report("ranks", "expected at least one rank")
	}
	var names []string
	orders := make(map[int]string)
	totalShare := 0.0
	for i, r := range ranks {
		names = append(names, r.Name)
		totalShare += r.KeptShare
		if other, taken := orders[r.Order]; taken {
			report(fmt.Sprintf("ranks[%d].order", i), fmt.Sprintf("order %d is already that of rank %q", r.Order, other))
		}
		orders[r.Order] = r.Name
	}
	checkNames(names, "ranks[%d]", ".name", report)
	if totalShare > 1 {
		report("ranks", fmt.Sprintf("kept shares add up to %.4g, which is more than 1", totalShare))
	}
}

// checkNames checks that the names are valid and unique. The path of a finding is
// pathFormat with the index of the name, followed by field.
func checkNames(names []string, pathFormat, field string, report reporter) {
	for i, name := range names {
		at := fmt.Sprintf(pathFormat, i) + field
		if !namePattern.MatchString(name) {
			report(at, fmt.Sprintf("%q is no name: expected lower-case letters, digits and inner hyphens", name))
		}
		if slices.Contains(names[:i], name) {
			report(at, fmt.Sprintf("duplicate name %q", name))
		}
	}
}

func (d *Document) checkService() finding.List {
	var found finding.List
	report := d.reporter(&found)
	s := d.Service
	checkHosts(s.Hosts, report)
	if len(s.Routes) == 0 {
		report("routes", "expected at least one route")
	}
	for i := range s.Routes {
		checkRoute(s.Routes, i, report)
	}
	checkHeader("load_report_header", s.LoadReportHeader, report)
	checkHeader("load_shed_header", s.LoadShedHeader, report)
	return found
}

func checkHosts(hosts []string, report reporter) {
	if len(hosts) == 0 {
		report("hosts", "expected at least one host")
	}
	for i, host := range hosts {
		at := fmt.Sprintf("hosts[%d]", i)
		if !hostPattern.MatchString(host) {
			report(at, fmt.Sprintf("%q is no host name: expected lower case and no port", host))
		}
		if slices.Contains(hosts[:i], host) {
			report(at, fmt.Sprintf("duplicate host %q", host))
		}
	}
}

func checkRoute(routes []RouteDocument, i int, report reporter) {
	at := fmt.Sprintf("routes[%d]", i)
	route := routes[i]
	for j, method := range route.Methods {
		if !tokenPattern.MatchString(method) || method != strings.ToUpper(method) {
			report(fmt.Sprintf("%s.methods[%d]", at, j), fmt.Sprintf("%q is no method: expected upper case", method))
		}
	}
	if message := checkPrefix(route.PathPrefix); message != "" {
		report(at+".path_prefix", message)
	}
	for j, earlier := range routes[:i] {
		if covers(earlier, route) {
			report(at, fmt.Sprintf("never matched: routes[%d] comes first and matches the same requests", j))
			return
		}
	}
}

// checkPrefix returns what is wrong with a path prefix, or "".
func checkPrefix(prefix string) string {
	clean := strings.TrimSuffix(prefix, "/")
	switch {
	case !strings.HasPrefix(prefix, "/"):
		return fmt.Sprintf("%q is no path prefix: expected it to start with /", prefix)
	case clean != "" && path.Clean(clean) != clean, strings.ContainsAny(prefix, "?#% \t\r\n"):
		return fmt.Sprintf("%q is no path prefix: expected a clean path without query or escapes", prefix)
	case strings.HasPrefix(prefix+"/", wire.PathPrefix):
		return fmt.Sprintf("paths under %s are the system's own", wire.PathPrefix)
	default:
		return ""
	}
}

// covers reports whether the earlier route matches every request that the later
// one matches.
func covers(earlier, later RouteDocument) bool {
	prefix := strings.TrimSuffix(earlier.PathPrefix, "/") + "/"
	if !strings.HasPrefix(strings.TrimSuffix(later.PathPrefix, "/")+"/", prefix) {
		return false
	}
	if len(earlier.Methods) == 0 {
		return true
	}
	if len(later.Methods) == 0 {
		return false
	}
	for _, method := range later.Methods {
		if !slices.Contains(earlier.Methods, method) {
			return false
		}
	}
	return true
}

func checkHeader(at, name string, report reporter) {
	if name == "" {
		return
	}
	if !tokenPattern.MatchString(name) {
		report(at, fmt.Sprintf("%q is no header name", name))
	}
	if strings.HasPrefix(strings.ToLower(name), reservedHeaderPrefix) {
		report(at, fmt.Sprintf("%q is one of the system's own headers", name))
	}
}

func (d *Document) checkApprovals() finding.List {
	var found finding.List
	report := d.reporter(&found)
	for i, id := range d.Approvals.Approve {
		at := fmt.Sprintf("approve[%d]", i)
		if _, err := ParseProposalID(id); err != nil {
			report(at, err.Error())
		}
		if slices.Contains(d.Approvals.Approve[:i], id) {
			report(at, fmt.Sprintf("duplicate proposal %q", id))
		}
	}
	return found
}

// reporter adds a finding at a path of one document.
type reporter func(path, message string)

func (d *Document) reporter(found *finding.List) reporter {
	return func(path, message string) {
		*found = append(*found, d.source.FindingAt(path, message))
	}
}
