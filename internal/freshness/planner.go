package freshness

import (
	"cmp"
	"slices"
	"time"
)

// Shares of the bound. Readers of the source, helpers and all others ask when their evidence is
// older than their share, so that evidence passes from readers to helpers to the others without
// growing beyond the last share. What is left of 0.4 lets a question be repeated, so that
// evidence is never older than 0.4 while a member reaches the source.
const (
	readerShare = 0.18
	helperShare = 0.2
	otherShare  = 0.36
	// cutOffShare is the share of an entry that gets no answers. It is below silentReadShare, as
	// its reads would otherwise keep it from finding that it gets answers again.
	cutOffShare = 0.2
	// repeatShare is the time after which a question without an answer, or with one that did not
	// help, is asked again elsewhere. Without proof it is idleShare, as others have none either.
	repeatShare = 0.03
	idleShare   = 0.1
	// timeoutShare is how long an answer is waited for.
	timeoutShare = 0.1
	// readShare is the time since a member's last read up to which it counts as a reader.
	readShare = 0.4
	// silenceShare is how long a member without an answer is not asked first; it doubles up to
	// maxSilenceShare.
	silenceShare    = 0.1
	maxSilenceShare = 0.4
	// ownReadShare is the age of the evidence above which an entry reads the source itself.
	// ownReadSpread is added for the last one in the order of readers, so that not all entries
	// read at once when readers have ended. An entry that gets no answers reads at silentReadShare, so
	// that after an outage of the source of 0.6 it still has 0.1 of the bound for the next read.
	ownReadShare    = 0.4
	ownReadSpread   = 0.1
	silentReadShare = 0.29
)

const (
	// membersPerHelper is the number of members for which there is one helper: a member that
	// others ask besides the readers, which may be small.
	membersPerHelper = 16
	// maxSpread is the limit of Planner.spread.
	maxSpread = 100
	// maxOpen bounds the open questions of one entry.
	maxOpen = 4
	// unanswered is the number of questions in a row without an answer after which an entry takes
	// itself to be cut off from the others.
	unanswered = 2
	// triesBeforeAll is the number of questions in a row that did not help after which every
	// second one is asked at any member.
	triesBeforeAll = 2
)

// Member is another entry that can be asked.
type Member struct {
	// VM is its name.
	VM string
	// ReadAge is the time since it last read the source itself, as far as it is known.
	ReadAge time.Duration
	// Weight is its CPU quota in cores, and Hash a number that orders members of the same weight
	// in the same way at all entries.
	Weight float64
	Hash   uint64
}

// Role is the part of an entry in passing on evidence.
type Role int

// Roles.
const (
	Other Role = iota
	Helper
	Reader
)

// Planner decides when to ask which member. It is not safe for concurrent use.
type Planner struct {
	bound  time.Duration
	random func(n int) int

	lastAsked time.Duration
	asked     bool
	open      int
	fruitless int // questions in a row that did not help
	silent    int // questions in a row without an answer
	// spread is the part of the share, in thousandths, by which the next question is earlier, so
	// that entries do not ask at the same time.
	spread  int
	members map[string]*history
}

// history is what is known of a member from its answers.
type history struct {
	silentUntil time.Duration
	silence     time.Duration
	// at is the moment of its last evidence.
	at    time.Duration
	known bool
}

// NewPlanner returns a planner. random returns a number from 0 to n-1.
func NewPlanner(bound time.Duration, random func(n int) int) *Planner {
	return &Planner{bound: bound, random: random, members: map[string]*history{}}
}

func (p *Planner) share(s float64) time.Duration { return time.Duration(s * float64(p.bound)) }

// Timeout returns how long an answer is waited for.
func (p *Planner) Timeout() time.Duration { return p.share(timeoutShare) }

// IsCutOff reports whether the last questions had no answer, so that the entry takes itself to be cut
// off from the others.
func (p *Planner) IsCutOff() bool { return p.silent >= unanswered }

// ReadDue reports whether an entry whose evidence has that age must read the source itself. Its
// position in the order of readers is that of all entries.
func (p *Planner) ReadDue(age time.Duration, position, entries int) bool {
	if p.IsCutOff() {
		return age > p.share(silentReadShare)
	}
	spread := ownReadSpread * float64(position) / float64(max(entries, 1))
	return age > p.share(ownReadShare+min(spread, ownReadSpread))
}

// Helpers returns the names of the helpers among all entries: the strongest ones.
func Helpers(entries []Member) map[string]bool {
	n := len(entries) / membersPerHelper
	if n == 0 {
		return map[string]bool{}
	}
	order := slices.SortedFunc(slices.Values(entries), func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Hash, b.Hash), cmp.Compare(a.VM, b.VM))
	})
	helpers := make(map[string]bool, n)
	for _, m := range order[:n] {
		helpers[m.VM] = true
	}
	return helpers
}

// Due reports whether a member must be asked now. age is that of the own evidence, more than the
// bound if there is none.
func (p *Planner) Due(now, age time.Duration, role Role) bool {
	limit := map[Role]float64{Reader: readerShare, Helper: helperShare, Other: otherShare}[role]
	if p.IsCutOff() {
		limit = cutOffShare
	}
	limit *= 1 - float64(p.spread)/1000
	if age <= p.share(limit) || p.open >= maxOpen {
		return false
	}
	pause := p.share(repeatShare)
	if age > p.bound {
		pause = p.share(idleShare)
	}
	return !p.asked || now-p.lastAsked >= pause
}

// Choose returns the member to ask now, or false if there is no other member. It counts as asked
// until Answered or Silent.
func (p *Planner) Choose(now time.Duration, role Role, others []Member, helpers map[string]bool) (Member, bool) {
	if len(others) == 0 {
		return Member{}, false
	}
	chosen := p.choose(now, p.candidates(now, role, others, helpers))
	p.lastAsked, p.asked = now, true
	p.open++
	p.spread = p.random(maxSpread)
	return chosen, true
}

// candidates returns the members among which one is chosen: helpers first, then helpers and
// readers, then now and then any member.
func (p *Planner) candidates(now time.Duration, role Role, others []Member, helpers map[string]bool) []Member {
	var usable, sources, helping []Member
	for _, m := range others {
		if h := p.members[m.VM]; h != nil && now < h.silentUntil {
			continue
		}
		usable = append(usable, m)
		switch {
		case role == Other && helpers[m.VM]:
			helping = append(helping, m)
			sources = append(sources, m)
		case m.ReadAge <= p.share(readShare):
			sources = append(sources, m)
		}
	}
	anyone := p.fruitless >= triesBeforeAll && p.fruitless%2 == 0
	switch {
	case len(helping) > 0 && p.fruitless == 0:
		return helping
	case len(sources) > 0 && !anyone:
		return sources
	case len(usable) > 0:
		return usable
	default:
		return others
	}
}

// choose returns the one of two random members that is expected to have younger evidence.
func (p *Planner) choose(now time.Duration, candidates []Member) Member {
	a, b := candidates[p.random(len(candidates))], candidates[p.random(len(candidates))]
	if p.expectedAge(now, b) < p.expectedAge(now, a) {
		return b
	}
	return a
}

// expectedAge returns the age that the member's evidence has at most if it has got none since its
// last answer, or since it last read the source. Members that have not answered yet count as those
// with young evidence, and all of these as equal, so that the questions are spread over them.
func (p *Planner) expectedAge(now time.Duration, m Member) time.Duration {
	h := p.members[m.VM]
	if h == nil || !h.known {
		return p.share(readShare)
	}
	return max(min(m.ReadAge, now-h.at), p.share(readShare))
}

// Answered records the answer of a member: the moment of its evidence, if it has any, and whether
// that is younger than what was known.
func (p *Planner) Answered(vm string, at time.Duration, known, younger bool) {
	p.open--
	p.silent = 0
	p.members[vm] = &history{at: at, known: known}
	if younger {
		p.fruitless = 0
	} else {
		p.fruitless++
	}
}

// Silent records that a member did not answer in time.
func (p *Planner) Silent(now time.Duration, vm string) {
	p.open--
	p.fruitless++
	p.silent++
	h := p.members[vm]
	if h == nil {
		h = &history{}
		p.members[vm] = h
	}
	h.silence = min(max(2*h.silence, p.share(silenceShare)), p.share(maxSilenceShare))
	h.silentUntil = now + h.silence
}

// Forget drops what is known of members that are not among the given ones.
func (p *Planner) Forget(others []Member) {
	if len(p.members) <= len(others) {
		return
	}
	present := make(map[string]bool, len(others))
	for _, m := range others {
		present[m.VM] = true
	}
	for vm := range p.members {
		if !present[vm] {
			delete(p.members, vm)
		}
	}
}
