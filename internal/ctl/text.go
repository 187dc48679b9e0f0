package ctl

import (
	"fmt"

	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

// decisionText describes a decision, including its findings, the revision that it
// conflicts with and the proposals that it closed.
func decisionText(d statemachine.Decision) []string {
	lines := []string{decisionHeadline(d)}
	for _, f := range d.Findings {
		lines = append(lines, "  "+f.String())
	}
	if w := d.Winner; w != nil {
		lines = append(lines, winnerText(*w)...)
	}
	for _, s := range d.Closed {
		lines = append(lines, "  "+proposalResultText(s))
	}
	return lines
}

func decisionHeadline(d statemachine.Decision) string {
	line := fmt.Sprintf("offset %d: %s", d.Offset, d.Outcome)
	if d.Branch != "" {
		line += " " + string(d.Branch)
	}
	if d.Revision > 0 {
		line += fmt.Sprintf(" revision %d", d.Revision)
	}
	if d.Proposal != "" {
		line += " " + d.Proposal
	}
	if d.Publisher != "" {
		line += " by " + d.Publisher
	}
	if d.Message != "" {
		line += ": " + d.Message
	}
	return line
}

func winnerText(w statemachine.Winner) []string {
	if w.Removed {
		return []string{"  the branch is not in force"}
	}
	lines := []string{fmt.Sprintf("  in force is revision %d by %s (offset %d), which changed:", w.Revision, w.Publisher, w.Offset)}
	for _, change := range w.Changes {
		lines = append(lines, "    "+change)
	}
	return lines
}

func proposalResultText(s statemachine.ProposalResult) string {
	line := fmt.Sprintf("proposal %s on %s: %s at offset %d", s.Proposal, s.Branch, s.Outcome, s.Offset)
	if s.Message != "" {
		line += ": " + s.Message
	}
	return line
}
