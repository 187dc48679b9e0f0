package main

import (
	"context"
	"fmt"
	"os"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// changedBranch is the branch that each measured change publishes.
const changedBranch = tree.Branch("/glazenpot/intake")

// publisher publishes configuration changes to the log service.
type publisher struct {
	log   *logservice.Client
	state *statemachine.State // after the records read so far
	// originalContent is the content of the changed branch before the first change.
	originalContent string
}

func newPublisher(url string) *publisher {
	return &publisher{
		log:   logservice.NewClient([]string{url}, logservice.Options{ClientName: "operator"}),
		state: statemachine.Empty(),
	}
}

// publishInitialTree publishes the tree that it reads from a directory.
func (p *publisher) publishInitialTree(dir string) error {
	docs, findings := tree.ReadFS(os.DirFS(dir), dir)
	if len(findings) > 0 {
		return findings
	}
	publish := statemachine.Publish{Branch: string(tree.Root), Publisher: "glazenpot", PublishID: "founding"}
	for branch, doc := range docs {
		if branch == tree.Root {
			publish.Content = doc.Content
			continue
		}
		publish.Children = append(publish.Children, statemachine.Child{Branch: string(branch), Content: doc.Content})
	}
	if _, err := p.append(publish); err != nil {
		return err
	}
	return p.catchUp()
}

// publishChange publishes the changed branch with a new comment and returns the offset
// of the record.
func (p *publisher) publishChange() (int64, error) {
	if err := p.catchUp(); err != nil {
		return 0, err
	}
	active, ok := p.state.Branch(changedBranch)
	if !ok {
		return 0, fmt.Errorf("the tree has no branch %s", changedBranch)
	}
	if p.originalContent == "" {
		p.originalContent = active.Content
	}
	n := p.state.Offset()
	return p.append(statemachine.Publish{
		Branch:       string(changedBranch),
		BaseRevision: active.Revision,
		Content:      fmt.Sprintf("// change %d\n%s", n, p.originalContent),
		Publisher:    "glazenpot",
		PublishID:    fmt.Sprint("change-", n),
	})
}

// append appends the record of a publish and returns its offset.
func (p *publisher) append(publish statemachine.Publish) (int64, error) {
	data, err := statemachine.NewPublish(publish).Encode()
	if err != nil {
		return 0, err
	}
	return p.log.Append(context.Background(), logservice.StreamConfig, data)
}

// catchUp applies the records of the log that follow the state.
func (p *publisher) catchUp() error {
	for {
		page, err := p.log.Read(context.Background(), logservice.StreamConfig, p.state.Offset()+1, 0)
		if err != nil || len(page.Records) == 0 {
			return err
		}
		for _, r := range page.Records {
			next, decision := p.state.Apply(r.Offset, r.Data)
			if decision.Kind == statemachine.KindPublish && decision.Outcome != statemachine.Accepted {
				return fmt.Errorf("publish was not accepted: %s %s", decision, decision.Findings)
			}
			p.state = next
		}
	}
}
