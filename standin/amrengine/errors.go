package amrengine

import "github.com/joomcode/errorx"

var (
	namespace     = errorx.NewNamespace("engine")
	busy          = namespace.NewType("busy", errorx.Temporary())
	loadFailed    = namespace.NewType("load-failed")
	errBusy       = busy.New("the engine is loading weights: send the order again when it is done")
	errLoadFailed = loadFailed.New("the weights could not be loaded: send the order again")
)
