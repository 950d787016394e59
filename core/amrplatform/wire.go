package amrplatform

import "time"

// The URL paths of the services.
const (
	pathItem         = "/v1/table/item"
	pathItems        = "/v1/table/items"
	pathTransactions = "/v1/table/transactions"
	pathObject       = "/v1/objects/object"
	pathObjectKeys   = "/v1/objects/keys"
	pathHosts        = "/v1/hosts"
)

// maxBodyBytes is the maximum length of the body of a request or response.
const maxBodyBytes = 64 << 20

type wireItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

type wireTxn struct {
	Checks  []wireCheck `json:"checks,omitempty"`
	Puts    []wirePut   `json:"puts,omitempty"`
	Deletes []string    `json:"deletes,omitempty"`
}

type wireCheck struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type wirePut struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

type wireHost struct {
	Name             string    `json:"name"`
	Address          string    `json:"address"`
	AvailabilityZone string    `json:"availability-zone"`
	Role             Role      `json:"role"`
	State            HostState `json:"state"`
	Since            time.Time `json:"since"`
}

type wireError struct {
	Message string `json:"message"`
}

func toWireTxn(txn Txn) wireTxn {
	w := wireTxn{Deletes: txn.Deletes}
	for _, c := range txn.Checks {
		w.Checks = append(w.Checks, wireCheck(c))
	}
	for _, p := range txn.Puts {
		w.Puts = append(w.Puts, wirePut(p))
	}
	return w
}

func (w wireTxn) txn() Txn {
	txn := Txn{Deletes: w.Deletes}
	for _, c := range w.Checks {
		txn.Checks = append(txn.Checks, Check(c))
	}
	for _, p := range w.Puts {
		txn.Puts = append(txn.Puts, Put(p))
	}
	return txn
}
