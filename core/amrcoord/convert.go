package amrcoord

import (
	"math"
	"time"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
)

// QueryOf returns the query for a request.
func QueryOf(sequence uint32, r *amrpool.Request, timeLeft time.Duration) amrgossip.Query {
	q := amrgossip.Query{
		Sequence: sequence, Pool: nameID(r.Pool), Model: nameID(r.Model), Group: r.Group.Index, Groups: r.Group.Count,
		Keys: r.PrefixKeys(), PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		MaxWaitMS: int(r.MaxWait.Milliseconds()), TimeLeftMS: int(timeLeft.Milliseconds()),
		Urgent: r.Urgent, NoPartsWait: r.NoPartsWait, Software: uint32(r.Software),
		Priority: r.Priority, Team: uint32(amrpool.TeamIDOf(r.Team)), Zone: uint16(r.Zone), Spread: r.Spread,
	}
	for _, p := range r.Parts {
		q.PartTokens = append(q.PartTokens, p.Tokens)
	}
	for _, name := range r.Exclude {
		q.Exclude = append(q.Exclude, amrgossip.ServerID(amrpool.IDOf(name)))
	}
	return q
}

// requestOf returns the request of a query to the named pool for the named model.
// The function name returns the names of servers.
func requestOf(pool, model string, q amrgossip.Query, name func(amrpool.ServerID) string) amrpool.Request {
	r := amrpool.Request{
		Pool: pool, Model: model, Keys: q.Keys, PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens,
		MaxWait: time.Duration(q.MaxWaitMS) * time.Millisecond, Urgent: q.Urgent, NoPartsWait: q.NoPartsWait,
		Group: amrpool.Group{Index: q.Group, Count: q.Groups}, Software: amrpool.SoftwareID(q.Software),
		Priority: q.Priority, TeamID: amrpool.TeamID(q.Team), Zone: amrpool.ZoneID(q.Zone), Spread: q.Spread, TimeLeft: time.Duration(q.TimeLeftMS) * time.Millisecond,
	}
	for _, tokens := range q.PartTokens {
		r.Parts = append(r.Parts, amrpool.Part{Tokens: tokens})
	}
	for _, id := range q.Exclude {
		r.Exclude = append(r.Exclude, name(amrpool.ServerID(id)))
	}
	return r
}

// ReplyOf returns the reply with an assignment.
func ReplyOf(sequence uint32, a amrpool.Assignment) amrgossip.Reply {
	return amrgossip.Reply{
		Sequence: sequence, Server: amrgossip.ServerID(a.Server), WeightsVersion: a.WeightsVersion,
		Fetch: int(a.FetchFrom), FetchServer: amrgossip.ServerID(a.FetchServer), Save: a.Save,
		CachedTokens: a.CachedTokens, PrefillTokens: a.PrefillTokens, CostMS: int(a.Cost.Milliseconds()),
		WithinLimit: a.WithinLimit,
	}
}

// denyWith sets the denial of a reply.
func denyWith(reply *amrgossip.Reply, d amrpool.Denial) {
	reply.Denial = int(d.Reason) + 1
	reply.WaitMS, reply.MeanWaitMS = int(d.Wait.Milliseconds()), int(d.MeanWait.Milliseconds())
	if d.Reason == amrpool.Paused {
		reply.WaitMS = int(d.Pause.Milliseconds())
	}
	if d.Short != amrpool.ShortOfNothing {
		reply.Refusal = &amrgossip.Refusal{RetryAfterMS: int(d.Pause.Milliseconds()), Short: int(d.Short)}
	}
	if d.Server != "" {
		reply.Server = amrgossip.ServerID(amrpool.IDOf(d.Server))
	}
}

// assignmentOf returns the assignment in a reply.
func assignmentOf(r amrgossip.Reply) amrpool.Assignment {
	return amrpool.Assignment{
		Server: amrpool.ServerID(r.Server), WeightsVersion: r.WeightsVersion,
		FetchFrom: amrpool.Source(r.Fetch), FetchServer: amrpool.ServerID(r.FetchServer), Save: r.Save,
		CachedTokens: r.CachedTokens, PrefillTokens: r.PrefillTokens, Cost: time.Duration(r.CostMS) * time.Millisecond,
		WithinLimit: r.WithinLimit,
	}
}

// denialOf returns the denial in a reply. The function name returns the names of servers.
func denialOf(r amrgossip.Reply, name func(amrpool.ServerID) string) amrpool.Denial {
	d := amrpool.Denial{Reason: amrpool.Reason(r.Denial - 1)}
	wait := time.Duration(r.WaitMS) * time.Millisecond
	if d.Reason == amrpool.Paused {
		d.Pause = wait
		return d
	}
	if r.Refusal != nil {
		d.Pause, d.Short = time.Duration(r.Refusal.RetryAfterMS)*time.Millisecond, amrpool.Shortage(r.Refusal.Short)
	}
	d.Wait, d.MeanWait = wait, time.Duration(r.MeanWaitMS)*time.Millisecond
	if r.Server != 0 {
		d.Server = name(amrpool.ServerID(r.Server))
	}
	return d
}

// paceUnit is the unit of the pace in updates.
const paceUnit = 0.01

// loadOf returns the load in an update, or nil if there is none.
func loadOf(numbers []int) *amrpool.Load {
	if len(numbers) != 3 && len(numbers) != 4 {
		return nil
	}
	load := &amrpool.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
	if len(numbers) == 4 {
		load.Pace = float64(numbers[3]) * paceUnit
	}
	return load
}

// loadNumbers returns the load in the form of an update.
func loadNumbers(load *amrpool.Load) []int {
	if load == nil {
		return nil
	}
	numbers := []int{load.Running, load.Waiting, load.Slots}
	if load.Pace > 0 {
		numbers = append(numbers, int(math.Round(load.Pace/paceUnit)))
	}
	return numbers
}
