package amrdemo

import "encoding/json"

// completionBody is the body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// completionEvent is the data of an event in a streamed completion.
type completionEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *refusalFields `json:"error"`
}

// refusalBody is the body of a refusal.
type refusalBody struct {
	Error refusalFields `json:"error"`
}

// refusalFields describes an error in a refusal or in an event.
type refusalFields struct {
	Message   string `json:"message"`
	Code      string `json:"code"`
	Ran       string `json:"ran"`
	Remedy    string `json:"remedy"`
	RequestID string `json:"request_id"`
}

// explanation contains the printed fields of an explanation.
type explanation struct {
	RequestID  string `json:"request_id"`
	Summary    string `json:"summary"`
	Candidates []struct {
		BackendServer string `json:"backend_server"`
		Cost          string `json:"cost"`
	} `json:"candidates"`
	Attempts []struct {
		BackendServer string `json:"backend_server"`
		Result        string `json:"result"`
	} `json:"attempts"`
}

// marshal returns the JSON encoding of v, whose type must be declared in this package.
func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // The types of this package can always be marshaled.
	}
	return data
}
