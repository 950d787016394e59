package amrsoak

import (
	"fmt"
	"slices"
)

// faultKind identifies a kind of fault in the output.
type faultKind string

// The kinds of faults.
const (
	killRouter          faultKind = "kill-router"          // A router is killed and started again.
	killAllRouters      faultKind = "kill-all-routers"     // All routers are killed and started again.
	stopRouter          faultKind = "stop-router"          // A router is stopped by SIGTERM and started again.
	pauseRouter         faultKind = "pause-router"         // A router is paused by SIGSTOP.
	hangUp              faultKind = "hang-up"              // A router receives SIGHUP, which lets it reload its settings.
	callersLink         faultKind = "callers-link"         // The connections from callers to a router are delayed, held back, refused or reset.
	storeLink           faultKind = "store-link"           // The same for the connections from a router to the store.
	serverLink          faultKind = "server-link"          // The same for the connections from routers to a backend server.
	peersLink           faultKind = "peers-link"           // The same for the connections from other routers to a router. Datagrams to it are dropped.
	storeDown           faultKind = "store-down"           // The store answers every call with an error.
	storeLosesAnswers   faultKind = "store-loses-answers"  // The store applies transactions but does not answer them.
	storeForgetsHistory faultKind = "store-forgets"        // The store discards its history of changes.
	storeClock          faultKind = "store-clock"          // The store's clock is wrong.
	storeInvalidRows    faultKind = "store-garbage"        // The store contains rows that cannot be decoded.
	serverErrors        faultKind = "server-errs"          // A backend server answers requests wrongly or not at all, as ServerFault specifies.
	serverDrains        faultKind = "server-leaves"        // A backend server is drained and becomes available again.
	serverCrashes       faultKind = "server-crashes"       // A backend server closes its connections and refuses new ones.
	poisonRequest       faultKind = "poison-request"       // A request that crashes backend servers is sent repeatedly.
	revokeKey           faultKind = "change-keys"          // A key is revoked and restored.
	newWeights          faultKind = "new-weights"          // A new version of the weights is published.
	storeRestored       faultKind = "store-restored"       // The store comes back from an older copy, and operators and servers write again what was lost.
	serverTellsLeaving  faultKind = "server-tells-leaving" // A backend server tells in its responses that it is leaving, and restarts.
	serverAsksPause     faultKind = "server-asks-pause"    // A backend server rejects requests and asks for no more of them.
	serverNoLength      faultKind = "server-no-length"     // A backend server ends its responses, whole or inside an event, only with the connection.
	crashingPart        faultKind = "crashing-part"        // Different requests are sent that have a part in common which crashes backend servers.
	serverLimit         faultKind = "server-limit"         // A backend server names in its responses the requests per second that it takes from all routers.
	serverEndless       faultKind = "server-endless"       // A backend server sends bytes that are no response, without end.
	killAllMixed        faultKind = "kill-all-mixed"       // All routers are killed while engines of two software versions serve, or just after those of one version have left.
	quotaExceeded       faultKind = "quota-exceeded"       // A team with a quota sends several times as much as that.
	unevenEngines       faultKind = "uneven-engines"       // Engines differ in speed, with noise, and report their pace.
	slowCallers         faultKind = "slow-callers"         // Callers of a router read large answers slowly or not at all.
	fullMemory          faultKind = "full-memory"          // Requests are sent that exceed the memory of all engines.
	engineRenewed       faultKind = "engine-renewed"       // An engine crashes and starts again under its name with another version of its software.
	engineReplaced      faultKind = "engine-replaced"      // The same, but it is drained before.
	routerCut           faultKind = "router-cut"           // A router is cut off from the store and from all other routers.
	splitAnswers        faultKind = "split-answers"        // Answers of a server, and of a router, arrive in small pieces and then break off, most of them within an event.
	latePrompts         faultKind = "late-prompts"         // Streams are sent that wait for seconds at an engine before they begin.
	weightsSeries       faultKind = "weights-series"       // New weights are named several times, and each time the router that ordered last is killed, cut off or paused.
	powerLost           faultKind = "power-lost"           // All routers, servers and the store lose power and return, in any order; servers that are back may end connections for a while.
	serverBroken        faultKind = "server-broken"        // A backend server sends responses that are no answers, or that only look so; some of the requests have long bodies.
	recordsSeries       faultKind = "records-series"       // The records change in quick succession: idle and route timeouts, attempts, hundreds of routes, a key.
	rollRouters         faultKind = "rolling-restart"      // All routers are stopped by SIGTERM and started again, one after the other; new weights are named when the last one got the signal.
)

// faultKinds lists the kinds of faults that are selected at random. New kinds
// must be appended, because a seed in regressions.yaml selects from the first
// kinds of the list and would get other faults if their order changed.
var faultKinds = []faultKind{
	killRouter, killAllRouters, stopRouter, pauseRouter, hangUp, callersLink, storeLink, serverLink, storeDown, storeLosesAnswers,
	storeForgetsHistory, storeClock, storeInvalidRows, serverErrors, serverDrains, serverCrashes, revokeKey, newWeights,
	poisonRequest, peersLink, storeRestored, serverTellsLeaving, serverAsksPause, serverEndless, serverNoLength,
	crashingPart, serverLimit, killAllMixed, quotaExceeded,
	unevenEngines, slowCallers, fullMemory,
	engineRenewed, engineReplaced, routerCut, rollRouters, splitAnswers,
	latePrompts, weightsSeries, powerLost,
	serverBroken,
	recordsSeries,
}

// kindsNamed returns the kinds with the names, in the order of faultKinds. It returns
// an error if a name is unknown.
func kindsNamed(names []string) ([]faultKind, error) {
	var found []faultKind
	for _, k := range faultKinds {
		if slices.Contains(names, string(k)) {
			found = append(found, k)
		}
	}
	for _, name := range names {
		if !slices.Contains(faultKinds, faultKind(name)) {
			return nil, fmt.Errorf("unknown kind of fault %q: the kinds are %v", name, faultKinds)
		}
	}
	return found, nil
}

// disturbs returns the name in disturbances of what the fault disturbs beside routers: ""
// if it only takes routers away or adds load that servers bear, extraLoad if it adds more
// than that, and otherFaults for the others.
func (k faultKind) disturbs() string {
	switch k {
	case killRouter, killAllRouters, killAllMixed, stopRouter, pauseRouter, hangUp, quotaExceeded, unevenEngines, recordsSeries:
		return ""
	case slowCallers, fullMemory, latePrompts:
		return extraLoad
	}
	return otherFaults
}
