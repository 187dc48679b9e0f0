package main

import (
	"context"
	"fmt"
	"os"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// changedBranch is the branch that each append changes.
const changedBranch = tree.Branch("/glazenpot/intake")

// operator publishes on the log service.
type operator struct {
	log   *logservice.Client
	state *statemachine.State // of the records of the log
	// content is that of the changed branch before the first change.
	content string
}

func newOperator(url string) *operator {
	return &operator{
		log:   logservice.NewClient([]string{url}, logservice.Options{ClientName: "operator"}),
		state: statemachine.Empty(),
	}
}

// found publishes the tree.
func (o *operator) found(dir string) error {
	docs, findings := tree.ReadFS(os.DirFS(dir), dir)
	if len(findings) > 0 {
		return findings
	}
	p := statemachine.Publish{Branch: string(tree.Root), Publisher: "glazenpot", PublishID: "founding"}
	for branch, doc := range docs {
		if branch == tree.Root {
			p.Content = doc.Content
			continue
		}
		p.Children = append(p.Children, statemachine.Child{Branch: string(branch), Content: doc.Content})
	}
	if _, err := o.append(p); err != nil {
		return err
	}
	return o.readOn()
}

// change publishes the changed branch with another comment and returns its offset.
func (o *operator) change() (int64, error) {
	if err := o.readOn(); err != nil {
		return 0, err
	}
	inForce, ok := o.state.Branch(changedBranch)
	if !ok {
		return 0, fmt.Errorf("the tree has no %s", changedBranch)
	}
	if o.content == "" {
		o.content = inForce.Content
	}
	n := o.state.Offset()
	return o.append(statemachine.Publish{
		Branch:       string(changedBranch),
		BaseRevision: inForce.Revision,
		Content:      fmt.Sprintf("// change %d\n%s", n, o.content),
		Publisher:    "glazenpot",
		PublishID:    fmt.Sprint("change-", n),
	})
}

// append appends a publish and returns its offset.
func (o *operator) append(p statemachine.Publish) (int64, error) {
	data, err := statemachine.NewPublish(p).Encode()
	if err != nil {
		return 0, err
	}
	return o.log.Append(context.Background(), logservice.StreamConfig, data)
}

// readOn applies what the log has beyond the state.
func (o *operator) readOn() error {
	for {
		page, err := o.log.Read(context.Background(), logservice.StreamConfig, o.state.Offset()+1, 0)
		if err != nil || len(page.Records) == 0 {
			return err
		}
		for _, r := range page.Records {
			next, decision := o.state.Apply(r.Offset, r.Data)
			if decision.Kind == statemachine.KindPublish && decision.Outcome != statemachine.Accepted {
				return fmt.Errorf("record not in force: %s %s", decision, decision.Findings)
			}
			o.state = next
		}
	}
}
