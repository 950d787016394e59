package amrengine

import "github.com/joomcode/errorx"

var (
	namespace      = errorx.NewNamespace("engine")
	busyType       = namespace.NewType("busy", errorx.Temporary())
	loadFailedType = namespace.NewType("load-failed")
	errBusy        = busyType.New("the engine is loading weights: send the order again when it is done")
	errLoadFailed  = loadFailedType.New("the weights could not be loaded: send the order again")
)
