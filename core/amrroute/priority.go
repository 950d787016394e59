package amrroute

import (
	"cmp"
	"slices"
)

// priorityLevels is the number of priorities that engines distinguish.
const priorityLevels = 10

// precedence orders requests: by the priority of the team and, for teams of the same
// priority, by that of the route. Lower ones go first.
type precedence struct {
	team, route int
}

// precedenceOf returns the precedence of requests of the team on the route. Without a
// priority of the team, that of the route counts for both.
func precedenceOf(route *Route, team *Team) precedence {
	if team == nil || team.Priority == nil {
		return precedence{route.Priority, route.Priority}
	}
	return precedence{*team.Priority, route.Priority}
}

// compare returns a negative number if p goes before q.
func (p precedence) compare(q precedence) int {
	return cmp.Or(cmp.Compare(p.team, q.team), cmp.Compare(p.route, q.route))
}

// precedences returns all precedences that requests may have, in order.
func (r Records) precedences() []precedence {
	var all []precedence
	for i := range r.Routes {
		all = append(all, precedenceOf(&r.Routes[i], nil))
		for j := range r.Teams {
			all = append(all, precedenceOf(&r.Routes[i], &r.Teams[j]))
		}
	}
	slices.SortFunc(all, precedence.compare)
	return slices.Compact(all)
}

// Priority returns the priority, from 0 to 9, of requests of the team on the route among
// all requests that the records allow. The priority of the team goes first, and requests
// of teams of the same priority are in the order of their routes. If there are more than
// ten different ones, neighbors share a priority.
func (t *Table) Priority(route *Route, team *Team) int {
	i, _ := slices.BinarySearchFunc(t.precedences, precedenceOf(route, team), precedence.compare)
	if n := len(t.precedences); n > priorityLevels {
		return i * priorityLevels / n
	}
	return min(i, priorityLevels-1)
}
