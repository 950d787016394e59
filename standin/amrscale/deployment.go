package amrscale

import "time"

const (
	// enginesPerRouter is the number of engines for each router.
	enginesPerRouter = 1.5

	// routersPerStore is the number of routers for each store of cached parts.
	routersPerStore = 15

	// routersOfRates is the number of routers for which the rates and the numbers of
	// different parts of Deployment are given; they grow in proportion.
	routersOfRates = 100
)

// Deployment returns the parameters of a deployment with a number of routers. Its
// traffic, engines and stores of cached parts grow in proportion to them, so a request
// costs as much at any size if routers need not tell each other more.
func Deployment(routers int) Params {
	scale := float64(routers) / routersOfRates
	return Params{
		Routers: routers, Engines: int(enginesPerRouter * float64(routers)), Stores: max(1, routers/routersPerStore), Zones: 5,
		Classes: []Class{
			{
				Name: "documents", Rate: 650 * scale, Aim: 600 * time.Millisecond, Deadline: 5 * time.Second, Priority: 1,
				Levels: []Level{
					{Tokens: Size{Mean: 2500, Spread: 0.4, Max: 6000}, Things: 4},
					{Tokens: Size{Mean: 3800, Spread: 0.7, Max: 11000}, Things: int(4000 * scale), Skew: 0.3},
				},
				PromptTokens: Size{Mean: 2900, Spread: 1, Max: 40000}, Events: Size{Mean: 50, Spread: 1.4, Max: 200},
			},
			{
				Name: "dialogues", Rate: 500 * scale, Aim: 400 * time.Millisecond, Deadline: 15 * time.Second, Priority: 0,
				Levels: []Level{
					{Tokens: Size{Mean: 120, Spread: 0.4, Max: 300}, Things: 80},
					{Tokens: Size{Mean: 80, Spread: 0.7, Max: 240}, Things: int(1400 * scale), Skew: 0.3},
				},
				PromptTokens: Size{Mean: 600, Spread: 1, Max: 3000}, Events: Size{Mean: 300, Spread: 0.7, Max: 1000},
			},
		},
		Engine: EngineModel{
			Slots: 32, MemoryTokens: 100_000, Step: 4500 * time.Microsecond, PrefillRate: 70_000, Chunk: 1024,
			PairsTime: 600 * time.Microsecond, FirstToken: 110 * time.Millisecond, TransferRate: 500_000,
		},
		TransferSetup: 3 * time.Millisecond, CallerDelay: 3 * time.Millisecond, ZoneDelay: time.Millisecond,
		LocalDelay: 200 * time.Microsecond, RouterTime: 2 * time.Millisecond,
		Length: 12 * time.Second, Seed: 1,
	}
}

// WithTrouble returns the parameters with a crash of a quarter of the engines, soon
// followed by new weights on the others.
func (p Params) WithTrouble() Params {
	p.Crash = Crash{At: p.Length / 5, For: p.Length, Share: 0.25}
	p.NewWeights = []time.Duration{p.Length / 4}
	return p
}

// WithBudget returns the parameters with a limit of the bytes per second that a router
// may send to others.
func (p Params) WithBudget(bytes float64) Params {
	p.Budget = bytes
	return p
}

// WithLoss returns the parameters with a share of messages between routers that are
// lost.
func (p Params) WithLoss(share float64) Params {
	p.Loss = share
	return p
}

// WithLength returns the parameters with another length of the simulation.
func (p Params) WithLength(length time.Duration) Params {
	p.Length = length
	return p
}
